//! The ledger at work: its folder of segments, the thread that writes it, and what operators do with it.
//!
//! Nothing that viewers wait for waits for this. What the thread has no time for is left out and told as a gap.

use std::collections::{HashMap, VecDeque};
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::ops::ControlFlow;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use elderpick_entitle::Times;
use elderpick_ledger::Micros;
use elderpick_ledger::book::{Book, Correction, Entry, Facts, Kind, Record};
use elderpick_ledger::calendar::Calendar;
use elderpick_ledger::segments::{self, Disk, From, Place, Segments};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::oneshot;

use crate::config;
use crate::engine::{Token, Use};

mod handover;
mod office;

use handover::Work;
pub use office::{exports, reconcile};

/// Segments as files, `00000001.jsonl` and on, in a folder.
struct Files {
    folder: PathBuf,
    /// The last segment, while it is written.
    file: Option<(u64, File)>,
}

fn told(path: &Path) -> impl Fn(std::io::Error) -> String {
    move |why| format!("{}: {why}", path.display())
}

impl Files {
    fn at(&self, segment: u64) -> PathBuf {
        self.folder.join(format!("{segment:08}.jsonl"))
    }

    fn open(&mut self, segment: u64) -> std::io::Result<&mut File> {
        if self.file.as_ref().is_none_or(|(number, _)| *number != segment) {
            let file = OpenOptions::new().append(true).open(self.at(segment))?;
            self.file = Some((segment, file));
        }
        self.file.as_mut().map(|(_, file)| file).ok_or_else(|| std::io::Error::other("no segment"))
    }
}

impl Disk for Files {
    type Error = std::io::Error;

    fn begin(&mut self, segment: u64) -> std::io::Result<()> {
        let path = self.at(segment);
        self.file = None;
        OpenOptions::new().create(true).write(true).truncate(true).open(path)?.sync_all()?;
        File::open(&self.folder)?.sync_all()
    }

    fn append(&mut self, segment: u64, bytes: &[u8]) -> std::io::Result<()> {
        self.open(segment)?.write_all(bytes)
    }

    fn sync(&mut self, segment: u64) -> std::io::Result<()> {
        self.open(segment)?.sync_data()
    }

    fn cut(&mut self, segment: u64, length: u64) -> std::io::Result<()> {
        self.file = None;
        let file = OpenOptions::new().write(true).open(self.at(segment))?;
        file.set_len(length)?;
        file.sync_all()
    }

    fn remove(&mut self, segment: u64) -> std::io::Result<()> {
        std::fs::remove_file(self.at(segment))
    }

    fn read(&self, segment: u64) -> std::io::Result<Vec<u8>> {
        std::fs::read(self.at(segment))
    }

    fn head(&self, segment: u64) -> std::io::Result<Vec<u8>> {
        let mut line = Vec::new();
        BufReader::new(File::open(self.at(segment))?).read_until(b'\n', &mut line)?;
        Ok(line)
    }

    fn segments(&self) -> std::io::Result<Vec<(u64, u64)>> {
        let mut all = Vec::new();
        for file in std::fs::read_dir(&self.folder)? {
            let file = file?;
            let name = file.file_name();
            let number = name.to_str().and_then(|n| n.strip_suffix(".jsonl")?.parse().ok());
            if let Some(number) = number {
                // One that was let go meanwhile is not there any more.
                all.extend(file.metadata().ok().map(|m| (number, m.len())));
            }
        }
        all.sort_unstable();
        Ok(all)
    }
}

/// Reads records in order, from a place on and as long as they are wanted.
fn read(
    folder: &Path,
    gateway: &str,
    from: From,
    mut take: impl FnMut(&Record) -> ControlFlow<()>,
) -> Result<Place, String> {
    let files = Files { folder: folder.to_owned(), file: None };
    let read = segments::read(&files, gateway, from, |record| take(record).is_continue());
    read.map_err(|why| format!("{}: {why}", folder.display()))
}

/// What operators ask of a ledger.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    Show,
    /// Closes the period of this name.
    Close {
        period: String,
    },
    /// Hands over what is new, to a folder or `http://` receiver, or what an export that was not handed over had.
    Export {
        to: String,
    },
    /// Hands an export over again: the same bytes.
    Again {
        to: String,
        export: u64,
    },
    Correct {
        entry: u64,
        uses: i64,
        at_rung: Vec<Micros>,
        #[serde(default)]
        bytes: i64,
        tenant: Option<String>,
        why: String,
    },
}

/// A gateway's ledger, open.
pub struct Ledger {
    gateway: String,
    book: Book,
    folder: PathBuf,
    segments: Segments<Files>,
    /// Bytes of records that are kept, about.
    keep: u64,
    /// The segment at whose beginning it was looked last whether old ones can go.
    looked: u64,
    _lock: File,
}

fn now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros)
}

impl Ledger {
    /// Opens the ledger of the settings and reads it whole. `Err` tells a person what is wrong.
    pub fn open(gateway: &str, settings: &config::Ledger) -> Result<Ledger, String> {
        let folder = &settings.folder;
        std::fs::create_dir_all(folder).map_err(told(folder))?;
        let lock = File::create(folder.join("lock")).map_err(told(folder))?;
        lock.try_lock().map_err(|_| format!("{}: another process has this ledger", folder.display()))?;
        let mut book = Book::new(Calendar::new(&settings.zone, settings.every, settings.lateness)?);
        let place = read(folder, gateway, From::Newest, |record| {
            book.apply(record, &mut |_| ());
            ControlFlow::Continue(())
        })?;
        if let Some(other) = book.other_calendar() {
            let folder = folder.display();
            return Err(format!(
                "{folder}: ledger.zone, ledger.every: must stay {other}, or take another folder"
            ));
        }
        let files = Files { folder: folder.clone(), file: None };
        let segments = Segments::new(files, gateway, settings.segment as u64, place);
        let keep = settings.keep as u64;
        let (gateway, folder) = (gateway.into(), folder.clone());
        Ok(Ledger { gateway, book, folder, segments, keep, looked: 0, _lock: lock })
    }

    /// Begins a new epoch: what the process before left open ends where it was marked last.
    pub fn begin(&mut self) -> Result<(), String> {
        let records = self.book.start(rand::random(), now());
        self.take(&records)
    }

    /// Keeps records and then counts them.
    pub fn take(&mut self, records: &[Record]) -> Result<(), String> {
        self.segments.append(self.book.state(), records).map_err(told(&self.folder))?;
        records.iter().for_each(|record| self.book.apply(record, &mut |_| ()));
        Ok(())
    }

    /// Lets go of old segments when the folder has more than is to be kept; looked at once a segment. Only what was
    /// handed over goes.
    pub fn tidy(&mut self) -> Result<(), String> {
        if self.looked == self.segments.segment() {
            return Ok(());
        }
        self.looked = self.segments.segment();
        let there = self.segments.disk.segments().map_err(told(&self.folder))?;
        let mut over = there.iter().map(|s| s.1).sum::<u64>().saturating_sub(self.keep);
        if over > 0 {
            // The first that may stay: all before it are over what is kept.
            let stay = there.iter().find(|(_, bytes)| {
                let stays = over == 0;
                over = over.saturating_sub(*bytes);
                stays
            });
            let upto = stay.map_or(self.looked, |s| s.0);
            let kept = self.book.state().kept_from();
            let begins = segments::index(&self.segments.disk).map_err(told(&self.folder))?;
            let begins: Vec<_> = begins.into_iter().filter(|(s, _)| *s > kept && *s <= upto).collect();
            if let Some(record) = self.book.let_go(&begins) {
                self.take(&[record])?;
            }
            if self.book.state().kept_from() < upto {
                let waiting = self.book.waiting();
                tracing::warn!(waiting, "the ledger is over keep, and its oldest entries are not exported");
            }
        }
        self.segments.remove_before(self.book.state().kept_from()).map_err(told(&self.folder))
    }

    fn entry(&self, number: u64) -> Result<Entry, String> {
        let mut found = None;
        let of = (&*self.folder, &*self.gateway, self.book.calendar());
        handover::entries(of, (number, number), |entry| {
            found = Some(entry);
            Ok(())
        })?;
        found.ok_or_else(|| "there is no such entry".into())
    }

    fn work(&self, number: u64, to: &str) -> Result<Work, String> {
        let exports = self.book.exports();
        let of = exports
            .iter()
            .find(|e| e.number == number)
            .ok_or("there is no such export, or it is kept no more")?;
        let before = exports.iter().find(|e| e.number + 1 == number).and_then(|e| e.digest.clone());
        if number > 1 && before.is_none() {
            return Err("what comes before this export is kept no more".into());
        }
        Ok(Work {
            folder: self.folder.clone(),
            gateway: self.gateway.clone(),
            calendar: self.book.calendar().clone(),
            number,
            first: of.first,
            last: of.last,
            before: before.unwrap_or_default(),
            to: to.into(),
        })
    }

    /// Begins what a command asks. What is worked out beside the records' thread comes back as work.
    fn begin_command(&mut self, command: Command) -> Result<Begun, String> {
        match command {
            Command::Export { to } => {
                let pending = self.book.exports().last().filter(|e| e.digest.is_none()).map(|e| e.number);
                let number = match pending {
                    Some(number) => number,
                    None => {
                        let record = self.book.prepare().map_err(|why| why.to_string())?;
                        self.take(std::slice::from_ref(&record))?;
                        self.book.exports().last().map_or(0, |e| e.number)
                    }
                };
                Ok(Begun::Work(self.work(number, &to)?, true))
            }
            Command::Again { to, export } => Ok(Begun::Work(self.work(export, &to)?, false)),
            other => self.quick(other).map(Begun::Done),
        }
    }

    /// An export was handed over, for the first time or again.
    fn handed(&mut self, number: u64, first: bool, done: (String, String)) -> Result<Value, String> {
        let (name, digest) = done;
        if first {
            let record = self.book.hand(number, &digest).map_err(|why| why.to_string())?;
            self.take(&record.into_iter().collect::<Vec<_>>())?;
        }
        let waiting = self.book.waiting();
        Ok(json!({ "export": number, "name": name, "digest": digest, "waiting": waiting }))
    }

    /// Does what an operator asks.
    pub fn run(&mut self, command: Command) -> Result<Value, String> {
        match self.begin_command(command)? {
            Begun::Done(done) => Ok(done),
            Begun::Work(work, first) => {
                let number = work.number;
                let done = work.run()?;
                self.handed(number, first, done)
            }
        }
    }

    fn quick(&mut self, command: Command) -> Result<Value, String> {
        let refused = |why: elderpick_ledger::book::Refused| why.to_string();
        match command {
            Command::Show => {
                let totals = self.book.totals().iter().map(|((period, tenant), total)| {
                    json!({ "period": period, "tenant": tenant, "entries": total.entries, "uses": total.uses,
                        "us": total.time(), "at_rung_us": total.at_rung, "bytes": total.bytes })
                });
                let exports = self.book.exports().iter().map(|e| {
                    json!({ "export": e.number, "first": e.first, "last": e.last, "handed": e.digest.is_some() })
                });
                Ok(
                    json!({ "gateway": self.gateway, "epoch": self.book.epoch(), "entries": self.book.entries(),
                    "open": self.book.open(), "closed_us": self.book.closed(), "odd": self.book.odd(),
                    "totals": totals.collect::<Vec<_>>(), "exports": exports.collect::<Vec<_>>() }),
                )
            }
            Command::Close { period } => {
                let day = if period.len() == 7 { format!("{period}-15") } else { period.clone() };
                let day: jiff::civil::Date = day.parse().map_err(|_| format!("{period:?} is no period"))?;
                let noon = day.at(12, 0, 0, 0).in_tz("UTC").map_err(|why| why.to_string())?;
                let of = self.book.calendar().period(noon.timestamp().as_microsecond());
                if of.name != period {
                    return Err(format!("{period:?} is no period: the one of that time is {:?}", of.name));
                }
                let record = self.book.close(&of, now()).map_err(refused)?;
                self.take(&[record])?;
                Ok(json!({ "closed": of.name }))
            }
            Command::Correct { entry, uses, at_rung, bytes, tenant, why } => {
                let of = self.entry(entry)?;
                let change = Correction {
                    of: entry,
                    period: of.period.clone(),
                    tenant: tenant.unwrap_or_else(|| of.tenant.clone()),
                    licence: of.licence.clone(),
                    class: of.class.clone(),
                    uses,
                    at_rung,
                    bytes,
                    why,
                    at: now(),
                };
                let record = self.book.correct(&of, change).map_err(refused)?;
                self.take(&[record])?;
                let number = self.book.entries();
                let period = self.entry(number)?.period;
                Ok(json!({ "entry": number, "kind": Kind::Correction, "period": period }))
            }
            Command::Export { .. } | Command::Again { .. } => Err("it takes its time".into()),
        }
    }
}

/// Reads all records of a ledger, also of a gateway that runs: how many records and entries, and how many records did
/// not fit what was known.
pub fn verify(gateway: &str, settings: &config::Ledger) -> Result<(u64, u64, u64), String> {
    let mut book = Book::new(Calendar::new(&settings.zone, settings.every, settings.lateness)?);
    let mut records = 0;
    read(&settings.folder, gateway, From::Oldest, |record| {
        records += 1;
        book.apply(record, &mut |_| ());
        ControlFlow::Continue(())
    })?;
    Ok((records, book.entries(), book.odd()))
}

/// How a command began.
enum Begun {
    Done(Value),
    /// An export that is to be handed over, for the first time or again.
    Work(Work, bool),
}

/// An export that is on its way, on a thread of its own.
struct Out {
    number: u64,
    first: bool,
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
    good: Arc<AtomicBool>,
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

/// The sessions that play, as the ledger is told of them.
pub(crate) struct Uses {
    writer: Writer,
    pub settings: config::Ledger,
    /// When each began, on the engine's clock.
    open: HashMap<Token, Micros>,
}

impl Uses {
    pub fn open(config: &config::Config) -> Result<Option<Uses>, String> {
        let Some(settings) = config.ledger.clone() else { return Ok(None) };
        let writer = Writer::start(&config.name, &settings)?;
        Ok(Some(Uses { writer, settings, open: HashMap::new() }))
    }

    /// Writes down what the engine tells.
    pub fn told(&mut self, t: Times, class: &str, what: Use) {
        let record = match what {
            Use::Began { session, payer, title, rung, .. } => {
                self.open.insert(session, t.mono);
                let facts = Facts {
                    tenant: payer.tenant,
                    licence: payer.licence,
                    class: class.into(),
                    title,
                    viewer: payer.viewer,
                    started: t.wall,
                };
                Record::Begun { session: session.to_string(), facts, rung }
            }
            Use::Rung { session, rung } => {
                let Some(began) = self.open.get(&session) else { return };
                Record::Rung { session: session.to_string(), at: t.mono - began, rung }
            }
            Use::Over { session, at, tries, outcome, bytes } => {
                let Some(began) = self.open.remove(&session) else { return };
                Record::Over {
                    session: session.to_string(),
                    span: (at - began).max(0),
                    tries,
                    outcome,
                    bytes,
                }
            }
        };
        self.writer.give(vec![record]);
    }

    /// Marks how far all that plays has come, in pieces that fit a line.
    pub fn mark(&self, t: Times) {
        let all: Vec<(String, Micros)> =
            self.open.iter().map(|(s, began)| (s.to_string(), t.mono - began)).collect();
        let marks = all.chunks(500).map(|list| Record::Marks { list: list.to_vec() });
        self.writer.give(marks.collect());
    }

    /// Whether licensed classes are to be refused now.
    pub fn refuses(&self) -> bool {
        self.settings.full == config::Full::Refuse && !self.writer.good()
    }

    pub fn ask(&self, command: Command) -> oneshot::Receiver<Result<Value, String>> {
        self.writer.ask(command)
    }
}
