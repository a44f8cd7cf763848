//! The log of seats on disk: a thread of its own writes it, so that a slow disk holds nothing else up.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use elderpick_entitle::keeper::{Found, Keeper, Store, Sync};
use elderpick_entitle::log::Record;
use tokio::sync::watch;

/// A log in a file.
pub struct FileStore {
    path: PathBuf,
    file: Option<File>,
}

fn beside(path: &Path, ending: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(ending);
    name.into()
}

impl Store for FileStore {
    type Error = io::Error;

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.as_mut().ok_or_else(|| io::Error::other("the log is not open"))?.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file.as_ref().ok_or_else(|| io::Error::other("the log is not open"))?.sync_data()
    }

    fn replace(&mut self, whole: &[u8]) -> io::Result<()> {
        self.file = None;
        let new = beside(&self.path, ".new");
        let mut file = OpenOptions::new().create(true).write(true).truncate(true).open(&new)?;
        file.write_all(whole)?;
        file.sync_all()?;
        std::fs::rename(&new, &self.path)?;
        let folder = self.path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
        File::open(folder)?.sync_all()?;
        self.file = Some(file);
        Ok(())
    }
}

/// The time since the machine was started, by name.
fn boot() -> String {
    let boot = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").unwrap_or_default();
    // Where the system does not tell, each start may be one after a loss of power.
    if boot.trim().is_empty() { format!("unknown-{}", std::process::id()) } else { boot.trim().into() }
}

/// How far the log has come.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Kept {
    /// Records up to this one are kept.
    pub records: u64,
    /// Whether the last write was good.
    pub good: bool,
    /// Length of the log, bytes.
    pub length: u64,
}

/// Records on their way to the disk.
pub struct Journal {
    sender: Option<mpsc::SyncSender<Vec<Record>>>,
    given: u64,
    kept: watch::Receiver<Kept>,
    thread: Option<std::thread::JoinHandle<()>>,
    /// Held as long as the process lives: two gateways with one state would give seats twice.
    _lock: File,
}

/// Batches that may wait for the disk.
const MOST_WAITING: usize = 4096;
/// After a write failed, it is tried again so much later.
const AGAIN: Duration = Duration::from_millis(500);
/// At its end the gateway waits so long for the disk.
const AT_END: Duration = Duration::from_secs(2);

impl Journal {
    /// Opens the log, or begins one. What it told is to be looked at.
    pub fn open(path: &Path, sync: Sync, within: Duration) -> Result<(Journal, Found), String> {
        let told = |why: &dyn std::fmt::Display| format!("{}: {why}", path.display());
        let lock = File::create(beside(path, ".lock")).map_err(|why| told(&why))?;
        lock.try_lock().map_err(|_| told(&"another gateway has this state"))?;
        let log = match std::fs::read(path) {
            Ok(log) => Some(log),
            Err(why) if why.kind() == io::ErrorKind::NotFound => None,
            Err(why) => return Err(told(&why)),
        };
        let store = FileStore { path: path.to_owned(), file: None };
        let damaged = log.as_deref().map(elderpick_entitle::log::replay);
        if damaged.is_some_and(|r| matches!(r.end, elderpick_entitle::log::End::Damaged(_))) {
            // For those who want to know what happened.
            let _ = std::fs::copy(path, beside(path, ".damaged"));
        }
        let (keeper, found) = Keeper::open(store, log.as_deref(), &boot(), sync);
        let now = Kept { records: 0, good: !keeper.failed(), length: keeper.length() };
        let (sender, jobs) = mpsc::sync_channel(MOST_WAITING);
        let (tell, kept) = watch::channel(now);
        let thread = std::thread::Builder::new().name("seats".into());
        let thread = thread.spawn(move || write(keeper, &jobs, &tell, within)).map_err(|why| told(&why))?;
        Ok((Journal { sender: Some(sender), given: 0, kept, thread: Some(thread), _lock: lock }, found))
    }

    /// Hands records over. `false` if too many wait: the caller keeps them.
    pub fn give(&mut self, records: &[Record]) -> bool {
        if records.is_empty() {
            return true;
        }
        let taken = self.sender.as_ref().is_some_and(|s| s.try_send(records.to_vec()).is_ok());
        if taken {
            self.given += records.len() as u64;
        }
        taken
    }

    /// Number of the last record that was handed over.
    pub fn given(&self) -> u64 {
        self.given
    }

    pub fn kept(&self) -> watch::Receiver<Kept> {
        self.kept.clone()
    }
}

impl Drop for Journal {
    fn drop(&mut self) {
        // What was answered is kept already; a disk that hangs does not hold the program's end up.
        self.sender = None;
        let until = Instant::now() + AT_END;
        let Some(thread) = self.thread.take() else { return };
        while !thread.is_finished() && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

fn write(
    mut keeper: Keeper<FileStore>,
    jobs: &mpsc::Receiver<Vec<Record>>,
    tell: &watch::Sender<Kept>,
    within: Duration,
) {
    let (mut taken, mut kept) = (0, 0);
    let mut owed: Option<Instant> = None;
    loop {
        let wait = match (keeper.failed(), owed) {
            (true, _) => AGAIN,
            (false, Some(at)) => at.saturating_duration_since(Instant::now()),
            (false, None) => Duration::from_secs(3600),
        };
        let mut batch = match jobs.recv_timeout(wait) {
            Ok(batch) => batch,
            Err(mpsc::RecvTimeoutError::Timeout) => Vec::new(),
            Err(mpsc::RecvTimeoutError::Disconnected) => break,
        };
        // All that came while the disk was busy goes with one write.
        while let Ok(more) = jobs.try_recv() {
            batch.extend(more);
        }
        taken += batch.len() as u64;
        let was_good = !keeper.failed();
        let mut done = keeper.commit(&batch);
        if owed.is_some_and(|at| at <= Instant::now()) {
            done = done.and_then(|()| keeper.sync());
            owed = None;
        }
        match done {
            Ok(()) => {
                kept = taken;
                if !was_good {
                    tracing::info!("the seats' state is kept again");
                }
            }
            Err(why) if was_good => {
                tracing::error!(%why, "the seats' state cannot be kept: no new seats; what plays goes on");
            }
            Err(_) => {}
        }
        if keeper.owes_sync() && owed.is_none() {
            owed = Some(Instant::now() + within);
        }
        tell.send_replace(Kept { records: kept, good: !keeper.failed(), length: keeper.length() });
    }
    let _ = keeper.sync();
}

/// Makes an empty state that is known to tell all: a gateway that finds none must suppose that it was lost.
pub fn create(path: &Path) -> Result<(), String> {
    let told = |why: io::Error| format!("{}: {why}", path.display());
    let mut file = OpenOptions::new().create_new(true).write(true).open(path).map_err(told)?;
    file.write_all(&elderpick_entitle::log::begin(&boot())).and_then(|()| file.sync_all()).map_err(told)
}
