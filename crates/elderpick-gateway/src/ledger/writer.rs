//! The thread that writes the ledger.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use elderpick_ledger::Micros;
use elderpick_ledger::accounts::Record;
use serde_json::Value;
use tokio::sync::oneshot;

use super::{Begun, Command, Ledger, now};
use crate::config;

/// An export that is on its way, on a thread of its own.
struct Out {
    pub(super) number: u64,
    pub(super) first: bool,
    thread: std::thread::JoinHandle<Result<(String, String), String>>,
    answer: oneshot::Sender<Result<Value, String>>,
}

enum Job {
    Records(Vec<Record>),
    Command(Command, oneshot::Sender<Result<Value, String>>),
}

/// A ledger that a thread of its own writes.
pub struct Writer {
    jobs: Option<mpsc::SyncSender<Job>>,
    thread: Option<std::thread::JoinHandle<()>>,
    pub(super) good: Arc<AtomicBool>,
    /// Records that found no room.
    left_out: Arc<AtomicU64>,
}

/// Batches that may wait for the disk.
const MOST_WAITING: usize = 8192;

/// Records that are held while the disk takes none.
const MOST_HELD: usize = 100_000;

const AGAIN: Duration = Duration::from_millis(500);

/// While an export is on its way it is looked so often whether it is there.
const WORKS: Duration = Duration::from_millis(20);

impl Writer {
    /// Opens the ledger and begins to write it.
    pub fn start(gateway: &str, settings: &config::Ledger) -> Result<Writer, String> {
        let mut ledger = Ledger::open(gateway, settings)?;
        ledger.begin()?;
        let (jobs, taken) = mpsc::sync_channel(MOST_WAITING);
        let commit = crate::shell::span(settings.commit);
        let good = Arc::new(AtomicBool::new(true));
        let mut writer = Writer { jobs: Some(jobs), thread: None, good, left_out: Arc::default() };
        let (good, left_out) = (writer.good.clone(), writer.left_out.clone());
        let thread = std::thread::Builder::new().name("ledger".into());
        let begun = thread.spawn(move || write(ledger, commit, &taken, &good, &left_out));
        writer.thread = Some(begun.map_err(|why| format!("no thread for the ledger: {why}"))?);
        Ok(writer)
    }

    /// Hands records over; never waits.
    pub fn give(&self, records: Vec<Record>) {
        let many = records.len() as u64;
        let Some(jobs) = &self.jobs else { return };
        if !records.is_empty() && jobs.try_send(Job::Records(records)).is_err() {
            self.left_out.fetch_add(many, Ordering::Relaxed);
            self.good.store(false, Ordering::Relaxed);
        }
    }

    /// Whether all is kept so far as is known.
    pub fn good(&self) -> bool {
        self.good.load(Ordering::Relaxed)
    }

    /// Asks the thread; what was handed over before is kept first.
    pub fn ask(&self, command: Command) -> oneshot::Receiver<Result<Value, String>> {
        let (answer, receiver) = oneshot::channel();
        let sent = self.jobs.as_ref().map(|jobs| jobs.try_send(Job::Command(command, answer)));
        if let Some(Err(mpsc::TrySendError::Full(Job::Command(_, answer)))) = sent {
            let _ = answer.send(Err("the ledger is behind".into()));
        }
        receiver
    }
}

/// At its end the gateway waits so long for the disk.
const AT_END: Duration = Duration::from_secs(2);

impl Drop for Writer {
    fn drop(&mut self) {
        self.jobs = None;
        let until = Instant::now() + AT_END;
        let Some(thread) = self.thread.take() else { return };
        while !thread.is_finished() && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

fn write(
    mut ledger: Ledger,
    commit: Duration,
    jobs: &mpsc::Receiver<Job>,
    good: &AtomicBool,
    left_out: &AtomicU64,
) {
    let mut held: VecDeque<Record> = VecDeque::new();
    // Since when records are left out.
    let mut gap: Option<Micros> = None;
    let mut out: Option<Out> = None;
    loop {
        let wait = match (&out, held.is_empty()) {
            (Some(_), _) => WORKS,
            (None, true) => Duration::from_secs(3600),
            (None, false) => AGAIN,
        };
        let job = match jobs.recv_timeout(wait) {
            Ok(job) => Some(job),
            Err(mpsc::RecvTimeoutError::Timeout) => None,
            Err(mpsc::RecvTimeoutError::Disconnected) => break,
        };
        if matches!(job, Some(Job::Records(_))) && out.is_none() {
            // Its sender waits for nothing: what comes within a moment goes with the same write.
            std::thread::sleep(commit);
        }
        let mut asked = None;
        // All that came meanwhile goes with one write.
        for job in job.into_iter().chain(std::iter::from_fn(|| jobs.try_recv().ok())) {
            match job {
                Job::Records(records) => held.extend(records),
                Job::Command(command, answer) => {
                    asked = Some((command, answer));
                    break;
                }
            }
        }
        let mut lost = left_out.swap(0, Ordering::Relaxed);
        while held.len() > MOST_HELD {
            held.pop_front();
            lost += 1;
        }
        if lost > 0 {
            gap.get_or_insert_with(now);
            tracing::error!(lost, "use is left out of the ledger");
        }
        let kept = ledger.take(held.make_contiguous());
        match kept {
            Ok(()) => {
                held.clear();
                if let Some(from) = gap {
                    let why = "the disk did not take records in time".into();
                    if ledger.take(&[Record::Gap { from, until: now(), why }]).is_ok() {
                        gap = None;
                    }
                }
                if !good.swap(gap.is_none(), Ordering::Relaxed) {
                    tracing::info!("the ledger is kept again");
                }
            }
            Err(why) if good.swap(false, Ordering::Relaxed) => {
                tracing::error!(%why, "the ledger cannot be kept")
            }
            Err(_) => {}
        }
        if let Some(done) = out.take_if(|out| out.thread.is_finished()) {
            let worked = done.thread.join().unwrap_or_else(|_| Err("the export's thread broke off".into()));
            let told = worked.and_then(|worked| ledger.handed(done.number, done.first, worked));
            let _ = done.answer.send(told);
        }
        if let Some((command, answer)) = asked {
            let exports = matches!(command, Command::Export { .. } | Command::Again { .. });
            let begun = match exports && out.is_some() {
                true => Err("another export is on its way".into()),
                false => ledger.begin_command(command),
            };
            match begun {
                Ok(Begun::Work(work, first)) => {
                    let number = work.number;
                    let thread = std::thread::spawn(move || work.run());
                    out = Some(Out { number, first, thread, answer });
                }
                Ok(Begun::Done(done)) => drop(answer.send(Ok(done))),
                Err(why) => drop(answer.send(Err(why))),
            }
        }
        if let Err(why) = ledger.tidy() {
            tracing::warn!(%why, "old segments stay");
        }
    }
    let _ = ledger.take(held.make_contiguous());
}
