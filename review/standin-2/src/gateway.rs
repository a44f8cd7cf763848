//! A gateway's process, started by the deploy file's `run`.

use std::ffi::{c_int, c_ulong};
use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::world::World;

unsafe extern "C" {
    fn prctl(option: c_int, argument: c_ulong) -> c_int;
}

/// The option of `prctl` by which a process gets a signal when its parent ends.
const PR_SET_PDEATHSIG: c_int = 1;

const SIGKILL: c_int = 9;

/// What differs between the settings of cases; the rest is as in a small deployment's.
#[derive(Clone)]
pub struct Settings {
    pub balancers: usize,
    pub sockets: usize,
    pub cells: usize,
    pub racks: usize,
    /// Sessions of one title of the class `first-listen` that a gateway may hold.
    pub seats: f64,
    pub kb_per_weight: f64,
    /// What an uplink gives over what the links behind it could.
    pub rack_kb: f64,
}

impl Settings {
    /// The figures of `piedmont-playback`.
    pub fn small() -> Settings {
        Settings {
            balancers: 3,
            sockets: 256,
            cells: 4,
            racks: 4,
            seats: 2.0,
            kb_per_weight: 3300.0,
            rack_kb: 40_000.0,
        }
    }

    fn json(&self) -> String {
        let profile = |name: &str, effect: &str, limit: u64, worth: f64| {
            format!(
                "{{\"effect\":\"{effect}\",\"group\":\"all\",\"hard_limit_us\":{limit},\"late_worth\":0.0,\"name\":\"{name}\",\
                 \"on_time_us\":1500000,\"stream\":true,\"window_us\":{limit},\"worth\":{worth:.1}}}"
            )
        };
        let profiles = [
            profile("replay", "free", 3_000_000, 1.0),
            profile("greeting", "free", 4_000_000, 1.0),
            profile("first-listen", "single_shot", 3_000_000, 2.0),
        ];
        format!(
            "{{\"az\":0,\"balancers\":{},\"clients\":{{\"marks_retry\":false}},\"counted_by\":\"request\",\
             \"extra\":{{\"cabinets\":{},\"cells\":{},\"change_costs_s\":0.6,\
             \"class_floor\":[0,0,0],\"class_scale\":[0.7,0.7,1.4],\"class_seats\":[0,0,{}],\"class_top\":[3,3,3],\
             \"join\":1.0,\"kb_per_weight\":{:.1},\"live\":[false,false,false],\"places_by_kind\":[24,48],\
             \"rack_kb\":{:.1},\"refuses_from\":1.0,\"rung_kb\":[230.0,480.0,1040.0,2200.0],\"see_us\":900000,\
             \"stall_cost\":6.0,\"tell_us\":0,\"worth_by_rung\":[0.22,0.5,0.78,1.0]}},\
             \"flavors\":[\"small-2c\",\"large-4c\"],\
             \"guarantees\":{{\"answer_slack_us\":40000,\"overload_for_us\":1500000,\"ramp_time_us\":8000000,\
             \"start_capacity\":0.5,\"stop_sending_within_us\":250000,\"tip_multiple\":2.5}},\
             \"kind_of_service\":\"streams\",\
             \"limits\":{{\"cancelling\":true,\"conn_idle_us\":30000000,\"connect_timeout_us\":250000,\
             \"cpu_us_per_request\":0.0,\"cpu_us_per_s\":400000,\"max_attempts\":4,\"max_open\":1000000,\
             \"max_retry_after_us\":500000,\"may_probe\":true,\"parallel_tries\":false,\"peers\":false,\
             \"retry_after\":true,\"streams_per_conn\":100}},\
             \"me\":0,\"over_share_worth\":0.1,\"profiles\":[{}],\"registry_mode\":\"automatic\",\
             \"reporting\":{{\"how\":\"probe\",\"names\":[\"utilization\"]}},\"step_us\":10000,\"tenants\":[],\"tier\":0,\
             \"tiers\":[\"play-boxes\"],\"weight_kind\":\"nominal\",\
             \"zones\":[\"north-room\",\"south-room\",\"back-room\"]}}",
            self.balancers,
            self.racks,
            self.cells,
            self.seats,
            self.kb_per_weight,
            self.rack_kb,
            profiles.join(",")
        )
    }
}

pub struct Gateway {
    pub addr: SocketAddr,
    child: Option<Child>,
    folder: PathBuf,
    root: PathBuf,
    settings: Settings,
    run: String,
    starts: u64,
}

/// The value of a line `name = "…"` of the deploy file.
fn deploy_line(root: &Path, name: &str) -> io::Result<String> {
    let text = fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.trim().strip_prefix('='));
    let quoted = line.map(str::trim).and_then(|value| value.strip_prefix('"')?.strip_suffix('"'));
    let quoted = quoted.ok_or_else(|| io::Error::other("the deploy file has no such line"))?;
    Ok(quoted.replace("\\\"", "\"").replace("\\\\", "\\"))
}

impl Gateway {
    pub fn new(root: &Path, folder: &Path, settings: Settings) -> io::Result<Gateway> {
        let addr = TcpListener::bind((crate::world::own_ip(), 0))?.local_addr()?;
        let run = deploy_line(root, "run")?;
        let (root, folder) = (root.to_owned(), folder.to_owned());
        Ok(Gateway { addr, child: None, folder, root, settings, run, starts: 0 })
    }

    pub fn write_config(&self, world: &World) -> io::Result<()> {
        let config = format!(
            "{{\"name\":\"n0\",\"listen\":\"{}\",\"seed\":\"{:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":{}}},\"journal\":\"{}\",\"known\":{},\"settings\":{}}}",
            self.addr,
            0x8c1f_30d2_7a5b_e964_u64.wrapping_add(self.starts),
            self.settings.sockets,
            world.journal.addr,
            world.known(),
            self.settings.json()
        );
        let new = self.folder.join("config.new");
        fs::write(&new, config)?;
        fs::rename(new, self.folder.join("config.json"))
    }

    /// Starts it and waits until it passes its first test; the connection of the test stays open for viewers.
    pub fn start(&mut self, world: &mut World) -> io::Result<usize> {
        self.starts += 1;
        self.write_config(world)?;
        let log = File::create(self.folder.join(format!("gateway-{}.log", self.starts)))?;
        let scratch = self.folder.join(format!("tmp-{}", self.starts));
        fs::create_dir_all(&scratch)?;
        let mut command = Command::new("/bin/sh");
        // Whatever ends this process ends the gateway.
        unsafe {
            command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL as c_ulong) {
                0 => Ok(()),
                _ => Err(io::Error::last_os_error()),
            });
        }
        let child = command
            .arg("-c")
            .arg(&self.run)
            .current_dir(&self.root)
            .env("NODE_NAME", "n0")
            .env("NODE_LISTEN", self.addr.to_string())
            .env("NODE_CONFIG", self.folder.join("config.json"))
            .env("TMPDIR", &scratch)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        let until = Instant::now() + Duration::from_secs(20);
        while TcpStream::connect_timeout(&self.addr, Duration::from_millis(100)).is_err() {
            if Instant::now() >= until {
                return Err(io::Error::other("the gateway does not listen"));
            }
            world.pass(Duration::from_millis(10));
        }
        let viewer = world.connect(self.addr)?;
        world.send(viewer, &crate::world::test(7));
        let from = world.happened.len();
        let passed = world.run(Duration::from_secs(10), |world| {
            world.happened[from..]
                .iter()
                .any(|(_, h)| matches!(h, crate::world::Happened::Tested { passed: true, .. }))
        });
        if !passed {
            return Err(io::Error::other("the gateway passes no test"));
        }
        world.record.say(format!("gateway started at {}, passes its test", self.addr));
        Ok(viewer)
    }

    /// Whether its process has ended.
    pub fn ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
