//! The simulator's wire as plain types. Unknown fields are skipped.

use elderpick_platform::boot::BootInfo;
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
