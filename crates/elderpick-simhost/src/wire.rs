//! The simulator's wire as plain types. Unknown fields are skipped.

use serde::{Deserialize, Serialize};

#[derive(Deserialize)]
pub struct Batch {
    pub ts_us: i64,
    pub news: Vec<News>,
}

#[derive(Deserialize)]
#[serde(tag = "t", rename_all = "snake_case")]
#[allow(clippy::large_enum_variant)] // Attach is rare: boxing it would cost more reading than it saves.
pub enum News {
    Attach {
        i: u64,
        entropy: u64,
        boot_info: BootInfo,
    },
    Retire {
        i: u64,
    },
    Roster {
        bank: u64,
        members_list: Vec<Member>,
    },
    Fleet {
        i: u64,
        kind: FleetKind,
        bank: Option<u64>,
    },
    Incoming {
        i: u64,
        corr: String,
        #[serde(flatten)]
        wish: Wish,
    },
    Preexisting {
        i: u64,
        corr: String,
        host: String,
        #[serde(flatten)]
        wish: Wish,
    },
    Established {
        i: u64,
        corr: String,
        #[serde(default)]
        hop: usize,
    },
    Completed {
        i: u64,
        corr: String,
        #[serde(default)]
        hop: usize,
        code: Code,
        #[serde(default)]
        done_flag: bool,
        #[serde(default)]
        feedback: Option<Feedback>,
    },
    Heartbeat {
        i: u64,
        corr: String,
        host: String,
        topic: u64,
        #[serde(default)]
        amount: f64,
    },
    HealthResult {
        i: u64,
        host: String,
        code: Code,
        #[serde(default)]
        feedback: Option<Feedback>,
    },
    CancelledByClient {
        i: u64,
        corr: String,
    },
    TickDue {
        i: u64,
        token: u64,
    },
    Inbox {
        #[serde(rename = "i")]
        _i: u64,
    },
}

#[derive(Deserialize)]
pub struct Wish {
    #[serde(default)]
    pub profile: usize,
    #[serde(default)]
    pub item: String,
    #[serde(default)]
    pub remaining_us: i64,
    pub effort_us: Option<i64>,
    #[serde(default)]
    pub first_cell: usize,
    #[serde(default)]
    pub holders: usize,
    pub ceiling_rung: Option<usize>,
}

#[derive(Deserialize)]
pub struct Member {
    pub host: String,
    #[serde(default)]
    pub region_part: usize,
    #[serde(default)]
    pub family_type: usize,
    #[serde(default)]
    pub slot_no: usize,
    pub status: MemberStatus,
    #[serde(default)]
    pub weight: f64,
    pub came_up_us: Option<i64>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum MemberStatus {
    InService,
    Terminating,
    Terminated,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum FleetKind {
    Update,
    Replace,
    Restored,
    Unavailable,
}

#[derive(Deserialize, Clone, Copy)]
pub enum Code {
    Ok,
    Failed,
    QueueFull,
    TimedOut,
    ConnectError,
    ResetByPeer,
    Canceled,
    Ignored,
}

#[derive(Deserialize)]
pub struct Feedback {
    pub utilization: Option<f64>,
    pub x0: Option<f64>,
    pub x1: Option<f64>,
    pub outstanding: Option<f64>,
}

#[derive(Deserialize)]
pub struct BootInfo {
    #[serde(default)]
    pub me: usize,
    #[serde(default)]
    pub balancers: usize,
    #[serde(default)]
    pub az: usize,
    #[serde(default)]
    pub profiles: Vec<Profile>,
    #[serde(default)]
    pub extra: Extra,
    #[serde(default)]
    pub guarantees: Guarantees,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub reporting: Reporting,
    pub registry_mode: Option<String>,
    pub weight_kind: Option<String>,
}

#[derive(Deserialize)]
pub struct Profile {
    #[serde(default)]
    pub effect: Option<String>,
    #[serde(default)]
    pub group: Option<String>,
    #[serde(default)]
    pub window_us: i64,
    #[serde(default)]
    pub on_time_us: i64,
    #[serde(default)]
    pub worth: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Extra {
    pub all_links_kb: Option<f64>,
    pub cabinets: Option<usize>,
    pub cells: Option<usize>,
    pub class_floor: Vec<usize>,
    pub class_scale: Vec<f64>,
    pub class_seats: Vec<f64>,
    pub class_top: Vec<usize>,
    pub kb_per_weight: Option<f64>,
    pub places_by_kind: Vec<f64>,
    pub rack_kb: Option<f64>,
    pub rung_kb: Vec<f64>,
    pub see_us: i64,
    pub worth_by_rung: Vec<f64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Guarantees {
    pub extra_floor: Option<f64>,
    pub further_ratio: Option<f64>,
    pub look_back_us: Option<i64>,
    pub start_capacity: Option<f64>,
    pub ramp_time_us: Option<i64>,
    pub tip_multiple: Option<f64>,
    pub overload_for_us: Option<i64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Limits {
    pub max_attempts: Option<usize>,
    pub max_retry_after_us: i64,
    pub may_probe: bool,
    pub retry_after: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Reporting {
    pub how: Option<String>,
}

#[derive(Serialize)]
pub struct Reply {
    pub orders: Vec<Order>,
}

#[derive(Serialize)]
#[serde(tag = "t", rename_all = "snake_case")]
pub enum Order {
    Issue { i: u64, corr: String, host: String, try_for_us: i64 },
    SetRate { i: u64, corr: String, step: usize },
    Reject { i: u64, corr: String, stay_away_us: Option<i64> },
    FinishError { i: u64, corr: String },
    Ping { i: u64, host: String },
    Tail { i: u64, active: bool },
    Reload { i: u64 },
    SetAlarm { i: u64, token: u64, due_at_us: i64 },
}
