//! Settings of small deployments, as JSON.

use std::net::SocketAddr;

/// A class of sessions.
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub aim_ms: u64,
    pub limit_ms: u64,
    pub floor: usize,
    pub seats: usize,
}

/// A small deployment.
pub struct Site {
    pub classes: Vec<Class>,
    pub cells: usize,
    pub max_attempts: usize,
    /// Drain grace in ms.
    pub grace_ms: u64,
    /// Budget of further attempts: free, share, window in ms.
    pub budget: Option<(f64, f64, u64)>,
    pub connect_ms: u64,
    pub idle_ms: u64,
    pub sockets: usize,
    pub memory_mb: u64,
}

impl Site {
    /// As `piedmont-playback`.
    pub fn piedmont(cells: usize) -> Site {
        let class =
            |name, effect, limit_ms| Class { name, effect, aim_ms: 1_500, limit_ms, floor: 0, seats: 0 };
        Site {
            classes: vec![
                class("replay", "free", 3_000),
                class("greeting", "free", 4_000),
                Class { seats: 40, ..class("first-listen", "single_shot", 3_000) },
            ],
            cells,
            max_attempts: 4,
            grace_ms: 250,
            budget: None,
            connect_ms: 250,
            idle_ms: 30_000,
            sockets: 256,
            memory_mb: 128,
        }
    }

    pub fn config(&self, listen: SocketAddr, journal: SocketAddr, known: &str) -> String {
        let list =
            |field: &dyn Fn(&Class) -> String| self.classes.iter().map(field).collect::<Vec<_>>().join(",");
        let profiles = list(&|c| {
            format!(
                "{{\"name\":\"{}\",\"effect\":\"{}\",\"group\":\"all\",\"window_us\":5000000,\"on_time_us\":{},\
                 \"hard_limit_us\":{},\"late_worth\":0.0,\"worth\":1.0,\"stream\":true}}",
                c.name,
                c.effect,
                c.aim_ms * 1000,
                c.limit_ms * 1000
            )
        });
        let (floors, seats) = (list(&|c| c.floor.to_string()), list(&|c| c.seats.to_string()));
        let (scales, tops) = (list(&|_| "1.0".into()), list(&|_| "3".into()));
        let budget = self.budget.map_or(String::new(), |(free, share, ms)| {
            format!(",\"extra_floor\":{free},\"further_ratio\":{share},\"look_back_us\":{}", ms * 1000)
        });
        format!(
            "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"journal\":\"{journal}\",\"known\":{known},\
             \"settings\":{{\"me\":0,\"balancers\":1,\"az\":0,\"zones\":[\"room\"],\"flavors\":[\"box\"],\
             \"profiles\":[{profiles}],\"registry_mode\":\"automatic\",\"weight_kind\":\"nominal\",\"tier\":0,\
             \"extra\":{{\"cells\":{},\"cabinets\":2,\"class_floor\":[{floors}],\"class_scale\":[{scales}],\
             \"class_seats\":[{seats}],\"class_top\":[{tops}],\"kb_per_weight\":6000.0,\"places_by_kind\":[60],\
             \"rung_kb\":[200.0,420.0,700.0,1900.0],\"worth_by_rung\":[0.2,0.5,0.7,1.0],\"see_us\":700000,\"tell_us\":0,\
             \"refuses_from\":1.0,\"join\":1.0,\"stall_cost\":6.0,\"change_costs_s\":0.5}},\
             \"guarantees\":{{\"answer_slack_us\":50000,\"ramp_time_us\":8000000,\"start_capacity\":0.5,\
             \"tip_multiple\":2.5,\"overload_for_us\":1500000,\"stop_sending_within_us\":{}{budget}}},\
             \"limits\":{{\"cancelling\":true,\"conn_idle_us\":{},\"connect_timeout_us\":{},\"max_attempts\":{},\
             \"max_open\":1000000,\"max_retry_after_us\":500000,\"may_probe\":true,\"parallel_tries\":false,\
             \"peers\":false,\"retry_after\":true,\"streams_per_conn\":100}},\
             \"reporting\":{{\"how\":\"probe\",\"names\":[\"utilization\"]}}}}}}",
            self.memory_mb,
            self.sockets,
            self.cells,
            self.grace_ms * 1000,
            self.idle_ms * 1000,
            self.connect_ms * 1000,
            self.max_attempts
        )
    }
}
