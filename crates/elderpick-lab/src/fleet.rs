//! A fleet on loopback: the stand-ins in this process, each gateway a process of its own.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::task::spawn_local;

use crate::hosts::{Model, World};
use crate::issuer::{self, Issuer};
use crate::mutants::Mutant;
use crate::record::{Record, What};
use crate::viewers;

pub struct Gateway {
    pub name: String,
    pub address: Cell<Option<SocketAddr>>,
    pub srt: Cell<Option<SocketAddr>>,
    child: RefCell<Option<Child>>,
    pub settings: PathBuf,
}

impl Gateway {
    fn log_name(&self) -> String {
        format!("{}.log", self.name)
    }
}

pub struct Fleet {
    pub world: Rc<World>,
    pub gateways: Vec<Gateway>,
    /// Times the usual arrivals.
    pub crowd: Cell<f64>,
    /// Part of the viewers of unlicensed classes that come over SRT.
    pub srt_part: Cell<f64>,
    pub classes: Vec<ClassOf>,
    pub mutant: Option<Mutant>,
    pub issuer: Issuer,
    program: PathBuf,
    folder: PathBuf,
    pub logs: bool,
}

/// A class as viewers and the checker know it.
#[derive(Clone, Debug)]
pub struct ClassOf {
    pub name: &'static str,
    pub patience: i64,
    pub floor: usize,
    pub seats: Option<usize>,
    pub paid: bool,
    /// Part of the viewers.
    pub part: f64,
}

/// Licences of a usual fleet. The first is cut into parts that gateways count apart.
pub const GRANTED: [issuer::Granted; 3] =
    [("course-101", 7, false), ("course-202", 3, true), ("course-303", 2, false)];
/// What fleets' settings say of seats, in microseconds.
pub const SEAT_GRACE: i64 = 1_000_000;
pub const SEAT_SKEW: i64 = 100_000;
/// Longer than a host holds a session of which it hears nothing more.
pub const HOLD: i64 = 10_000_000;

/// A kill loses at most so much use of a session, in microseconds.
pub const MARK: i64 = 500_000;

pub const GRACE: i64 = 1_000_000;
pub const BUDGET: (f64, f64, i64) = (2.0, 0.05, 10_000_000);

pub fn classes() -> Vec<ClassOf> {
    let class =
        |name, patience, floor, seats, paid, part| ClassOf { name, patience, floor, seats, paid, part };
    vec![
        class("sheet-zoom", 3_000_000, 1, None, false, 0.3),
        class("label-clip", 2_000_000, 0, None, false, 0.3),
        class("exam-sheet", 2_500_000, 0, Some(3), true, 0.2),
        class(issuer::CLASS, 2_500_000, 0, None, true, 0.2),
    ]
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for gateway in &self.gateways {
            if let Some(mut child) = gateway.child.borrow_mut().take() {
                let _ = child.start_kill();
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Starts hosts, the list and `gateways` gateways of the program at `program`.
    pub async fn start(
        model: Model,
        (hosts, racks, gateways): (usize, usize, usize),
        seed: u64,
        mutant: Option<Mutant>,
        program: PathBuf,
        logs: bool,
    ) -> Result<Rc<Fleet>, String> {
        let mut issuer = Issuer::new(GRANTED.to_vec(), 4, gateways);
        if gateways > 1 {
            // In the middle of a bad day the first gateway counts no more seats.
            issuer = issuer.turns(14_000_000, (1..gateways).collect());
        }
        issuer.over = if mutant == Some(Mutant::OverSold) { 9 } else { 1 };
        Fleet::start_with(model, (hosts, racks, gateways), seed, mutant, issuer, program, logs).await
    }

    /// The same with licences of one's own.
    pub async fn start_with(
        model: Model,
        (hosts, racks, gateways): (usize, usize, usize),
        seed: u64,
        mutant: Option<Mutant>,
        issuer: Issuer,
        program: PathBuf,
        logs: bool,
    ) -> Result<Rc<Fleet>, String> {
        static NEXT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("elderpick-lab-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|why| format!("{}: {why}", folder.display()))?;
        let world = World::start(model, hosts, racks, seed, Record::default()).await;
        let write = |name: &str, text: String| {
            let path = folder.join(name);
            std::fs::write(&path, text).map_err(|why| format!("{}: {why}", path.display())).map(|()| path)
        };
        write("inventory.csv", world.inventory())?;
        write("keys.json", issuer.public_keys())?;
        write("sheet.cue", issuer.sheet(&[]))?;
        write("revoked.txt", String::new())?;
        let mut all = Vec::new();
        for me in 0..gateways {
            let settings = write(&format!("gateway-{me}.cue"), settings(&world, me, gateways))?;
            let (address, child) = (Cell::new(None), RefCell::new(None));
            elderpick_gateway::state::create(&folder.join(format!("seats-{me}.log")))?;
            let (name, srt) = (format!("gateway-{me}"), Cell::new(None));
            all.push(Gateway { name, address, srt, child, settings });
        }
        let fleet = Rc::new(Fleet {
            world,
            gateways: all,
            crowd: Cell::new(1.0),
            srt_part: Cell::new(0.0),
            classes: classes(),
            mutant,
            issuer,
            program,
            folder,
            logs,
        });
        for k in 0..gateways {
            fleet.start_gateway(k).await?;
        }
        // Until it has the list a gateway takes all servers for cold.
        let told = |name: &str| {
            let lines = fleet.world.record.lines();
            lines.iter().any(|l| matches!(&l.what, What::Told { gateway, .. } if gateway == name))
        };
        for _ in 0..500 {
            if fleet.gateways.iter().all(|g| told(&g.name)) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        // Gateways have read by now where the others are.
        tokio::time::sleep(Duration::from_millis(350)).await;
        Ok(fleet)
    }

    /// Writes a file that gateways watch, whole.
    pub fn put(&self, name: &str, text: &str) -> Result<(), String> {
        let (path, new) = (self.folder.join(name), self.folder.join(format!("{name}.new")));
        let told = |why: std::io::Error| format!("{}: {why}", path.display());
        std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, &path)).map_err(told)
    }

    /// Tells gateways where they are reached now, and the terms as they are.
    pub fn write_sheet(&self) -> Result<(), String> {
        let at = self.gateways.iter().enumerate();
        let at = at.filter_map(|(k, g)| Some((k, format!("http://{}", g.address.get()?))));
        self.put("sheet.cue", &self.issuer.sheet(&at.collect::<Vec<_>>()))
    }

    /// A file of the fleet, by name.
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// What a gateway has logged, if logs are not shown.
    pub fn log_of(&self, k: usize) -> String {
        std::fs::read_to_string(self.path(&self.gateways[k].log_name())).unwrap_or_default()
    }

    /// Asks a gateway over its control socket.
    pub async fn ask(
        &self,
        k: usize,
        what: &str,
        command: Option<String>,
    ) -> Result<serde_json::Value, String> {
        let path = self.path(&format!("control-{k}.sock"));
        elderpick_gateway::control::ask(&path, what, command).await.map_err(|why| why.to_string())
    }

    /// Has a gateway that runs export its ledger.
    pub async fn export_ledger(&self, k: usize) -> Result<(), String> {
        self.export_ledger_to(k, self.path("exports").display().to_string()).await
    }

    /// The same to a folder or receiver.
    pub async fn export_ledger_to(&self, k: usize, to: String) -> Result<(), String> {
        let command = elderpick_gateway::ledger::Command::Export { to };
        let command = serde_json::to_string(&command).map_err(|why| why.to_string())?;
        self.ask(k, "/ledger", Some(command)).await.map(|_| ())
    }

    /// Exports the ledgers of all gateways, which have ended, and reads the exports.
    pub fn export_ledgers(&self) -> Result<Vec<elderpick_ledger::export::Export>, String> {
        use elderpick_gateway::ledger::{Command, Ledger, exports};
        let to = self.path("exports");
        for gateway in &self.gateways {
            let config = elderpick_gateway::config::Config::open(&gateway.settings)?;
            let settings = config.ledger.as_ref().ok_or("no ledger")?;
            let mut ledger = Ledger::open(&config.name, settings)?;
            ledger.begin()?;
            // Once for what was not handed over, once for the rest.
            for _ in 0..2 {
                match ledger.run(Command::Export { to: to.display().to_string() }) {
                    Err(why) if why.contains("nothing new") => break,
                    done => drop(done?),
                }
            }
        }
        if to.exists() { exports(&[to]) } else { Ok(Vec::new()) }
    }

    /// Where a gateway takes SRT calls.
    pub async fn srt(&self, k: usize) -> Result<SocketAddr, String> {
        let told = self.ask(k, "/listening", None).await?;
        let at = told["srt"].as_str().and_then(|at| at.parse().ok());
        at.ok_or_else(|| format!("no SRT: {told}"))
    }

    /// What a gateway tells operators of its seats.
    pub async fn seats(&self, k: usize) -> Result<serde_json::Value, String> {
        self.ask(k, "/seats", None).await
    }

    /// A gateway's process id, while it runs.
    pub fn process(&self, k: usize) -> Option<u32> {
        self.gateways.get(k)?.child.borrow().as_ref()?.id()
    }

    pub async fn start_gateway(&self, k: usize) -> Result<(), String> {
        let gateway = &self.gateways[k];
        let mut command = Command::new(&self.program);
        command.arg("gateway").arg("--settings").arg(&gateway.settings);
        if let Some(mutant) = self.mutant {
            let name = clap::ValueEnum::to_possible_value(&mutant).map(|v| v.get_name().to_owned());
            command.arg("--mutant").arg(name.unwrap_or_default());
        }
        command.stdin(Stdio::null()).stdout(Stdio::piped()).kill_on_drop(true);
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.path(&gateway.log_name()));
        command.stderr(match log {
            _ if self.logs => Stdio::inherit(),
            Ok(log) => log.into(),
            Err(_) => Stdio::null(),
        });
        let mut child = command.spawn().map_err(|why| format!("{}: {why}", self.program.display()))?;
        let out = child.stdout.take().ok_or("no standard output")?;
        let mut lines = BufReader::new(out).lines();
        let line = tokio::time::timeout(Duration::from_secs(10), lines.next_line()).await;
        let line = line.ok().and_then(|l| l.ok()).flatten().unwrap_or_default();
        let address = line.strip_prefix("listening ").and_then(|a| a.parse().ok());
        gateway.address.set(address);
        *gateway.child.borrow_mut() = Some(child);
        if address.is_none() {
            return Err(format!("{} did not start", gateway.name));
        }
        self.world.record.add(What::GatewayUp { gateway: gateway.name.clone() });
        gateway.srt.set(self.srt(k).await.ok());
        self.write_sheet()
    }

    /// Kills a gateway as a crash would.
    pub async fn kill(&self, k: usize) {
        let gateway = &self.gateways[k];
        gateway.address.set(None);
        gateway.srt.set(None);
        self.world.record.add(What::GatewayDown { gateway: gateway.name.clone() });
        let child = gateway.child.borrow_mut().take();
        if let Some(mut child) = child {
            let _ = child.kill().await;
        }
    }

    /// Holds a gateway's process still for a time.
    pub async fn stall(&self, k: usize, lasts: Duration) {
        use nix::sys::signal::{Signal, kill};
        let gateway = &self.gateways[k];
        let id = gateway.child.borrow().as_ref().and_then(Child::id);
        let Some(id) = id.map(|id| nix::unistd::Pid::from_raw(id as i32)) else { return };
        let kind = format!("stall of {}", gateway.name);
        self.world.record.add(What::Trouble { kind: kind.clone(), on: true });
        let _ = kill(id, Signal::SIGSTOP);
        tokio::time::sleep(lasts).await;
        let _ = kill(id, Signal::SIGCONT);
        self.world.record.add(What::Trouble { kind, on: false });
    }

    /// Asks all gateways to end at once and waits for them. The codes that they ended with.
    pub async fn end(&self) -> Vec<Option<i32>> {
        self.signal_all();
        // The second says not to wait for what plays.
        tokio::time::sleep(Duration::from_millis(20)).await;
        self.end_gently().await
    }

    /// Asks all gateways to let play what plays and then to end.
    pub async fn end_gently(&self) -> Vec<Option<i32>> {
        self.signal_all();
        let mut codes = Vec::new();
        for gateway in &self.gateways {
            let child = gateway.child.borrow_mut().take();
            let Some(mut child) = child else { continue };
            let ended = tokio::time::timeout(Duration::from_secs(10), child.wait()).await;
            match &ended {
                Ok(Ok(status)) if status.success() => {}
                Ok(status) => eprintln!("{} ended: {status:?}", gateway.name),
                Err(_) => eprintln!("{} does not end: {:?}", gateway.name, child.id().map(stuck)),
            }
            codes.push(ended.ok().and_then(|s| s.ok()).and_then(|s| s.code()));
        }
        codes
    }

    fn signal_all(&self) {
        use nix::sys::signal::{Signal, kill};
        for gateway in &self.gateways {
            let id = gateway.child.borrow().as_ref().and_then(Child::id);
            if let Some(id) = id {
                let _ = kill(nix::unistd::Pid::from_raw(id as i32), Signal::SIGTERM);
            }
        }
    }

    /// Lets viewers come for a time, at a rate a second.
    pub async fn viewers(self: &Rc<Self>, rate: f64, lasts: Duration) {
        let until = tokio::time::Instant::now() + lasts;
        while tokio::time::Instant::now() < until {
            let gap = -(1.0 - self.world.unit()).ln() / (rate * self.crowd.get());
            tokio::time::sleep(Duration::from_secs_f64(gap.min(5.0))).await;
            spawn_local(viewers::viewer(self.clone()));
        }
    }
}

/// Where a process' threads are, as the system tells.
fn stuck(process: u32) -> Vec<String> {
    let threads = std::fs::read_dir(format!("/proc/{process}/task")).into_iter().flatten().flatten();
    let read = |path: std::path::PathBuf| std::fs::read_to_string(path).unwrap_or_default();
    let one = |thread: std::fs::DirEntry| {
        let state = read(thread.path().join("stat"));
        let name = state.split(' ').take(3).collect::<Vec<_>>().join(" ");
        format!("{name} in {}", read(thread.path().join("wchan")))
    };
    threads.map(one).collect()
}

/// Settings of one gateway of the fleet.
pub fn settings(world: &World, me: usize, gateways: usize) -> String {
    let model = &world.model;
    let ladder = model.ladder.iter().zip([0.3, 0.6, 1.0, 1.2]);
    let ladder: Vec<String> =
        ladder.map(|(rate, worth)| format!("    {{rate: \"{rate}B/s\", worth: {worth}}},")).collect();
    let list = world.list.address.get().map_or("127.0.0.1:1".into(), |a| a.to_string());
    let (free, share, window) = BUDGET;
    format!(
        r#"// Written by elderpick-lab.
me:       {me}
gateways: {gateways}
name:     "gateway-{me}"
listen:   "127.0.0.1:0"
zone:     "galway"
zones: ["galway"]
kinds: [{{name: "std", places: {places}}}]
classes: [
    {{name: "sheet-zoom", aim: "1.5s", patience: "3s", worth: 2, floor: 1}},
    {{name: "label-clip", aim: "800ms", patience: "2s"}},
    {{name: "exam-sheet", aim: "1.5s", patience: "2.5s", worth: 2, effect: "paid", seats: 3}},
    {{name: "course-clip", aim: "1.5s", patience: "2.5s", worth: 2, effect: "paid", licensed: true}},
]
ladder: [
{ladder}
]
inventory: "inventory.csv"
list: address: "{list}"
racks:      {racks}
links:      "{links}B/s"
rack_links: "{uplink}B/s"
cold: {{warm_up: "{warm_up}us", least: {least}, multiple: {multiple}, window: "{cold_window}us"}}
budget: {{free: {free}, share: {share}, window: "{window}us"}}
retry_after: "1s"
limits: {{silence: "{silence}s", lead: "2s", mute: "2s"}}
entitlement: {{
    keys: "keys.json", sheet: "sheet.cue", revoked: "revoked.txt", state: "seats-{me}.log"
    audience: "{audience}", issuer: "lab"
    skew: "{skew}us", grace: "{grace}us", linger: "3s", hold: "{hold}us", reload: "100ms"
}}
ledger: {{folder: "ledger-{me}", every: "day", lateness: "0s", mark: "{mark}us", segment: "64KiB"}}
control: "control-{me}.sock"
srt: listen: "127.0.0.1:0"
drain: "2s"
"#,
        audience = issuer::AUDIENCE,
        skew = SEAT_SKEW,
        grace = SEAT_GRACE,
        hold = HOLD,
        mark = MARK,
        places = model.places,
        silence = model.silence,
        ladder = ladder.join("\n"),
        racks = world.uplinks.borrow().len(),
        links = model.link * world.hosts.len() as f64,
        uplink = model.uplink,
        warm_up = model.warm_up,
        least = model.least,
        multiple = model.multiple,
        cold_window = model.window,
    )
}
