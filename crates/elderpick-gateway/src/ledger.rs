//! The ledger at work: its folder of segments, the thread that writes it, and what operators do with it.
//!
//! Nothing that viewers wait for waits for this. What the thread has no time for is left out and told as a gap.

use std::collections::{HashMap, VecDeque};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use elderpick_entitle::Times;
use elderpick_ledger::Micros;
use elderpick_ledger::book::{Book, Correction, Entry, Facts, Kind, Record};
use elderpick_ledger::calendar::Calendar;
use elderpick_ledger::segments::{self, Disk, Place, Segments};
use elderpick_ledger::{chain, export};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::oneshot;

use crate::config;
use crate::engine::{Token, Use};

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

    fn read(&self, segment: u64) -> std::io::Result<Vec<u8>> {
        match std::fs::read(self.at(segment)) {
            Err(why) if why.kind() == std::io::ErrorKind::NotFound => {
                Err(std::io::Error::other(format!("{segment:08}.jsonl: missing, and later ones are there")))
            }
            read => read,
        }
    }

    fn last(&self) -> std::io::Result<u64> {
        let names = std::fs::read_dir(&self.folder)?.flatten();
        let numbers = names.filter_map(|f| f.file_name().to_str()?.strip_suffix(".jsonl")?.parse().ok());
        Ok(numbers.max().unwrap_or(0))
    }
}

/// Reads all records in order.
fn read(folder: &Path, gateway: &str, take: impl FnMut(&Record)) -> Result<Place, String> {
    let files = Files { folder: folder.to_owned(), file: None };
    segments::read(&files, gateway, take).map_err(|why| format!("{}: {why}", folder.display()))
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
    /// Writes what is new into a folder, or what an export that was not handed over had.
    Export {
        to: PathBuf,
    },
    /// Writes an export again: the same bytes.
    Again {
        to: PathBuf,
        export: u64,
    },
    Correct {
        entry: u64,
        uses: i64,
        at_rung: Vec<Micros>,
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
        let place = read(folder, gateway, |record| book.apply(record, &mut |_| ()))?;
        if let Some(other) = book.other_calendar() {
            let folder = folder.display();
            return Err(format!(
                "{folder}: ledger.zone, ledger.every: must stay {other}, or take another folder"
            ));
        }
        let files = Files { folder: folder.clone(), file: None };
        let segments = Segments::new(files, settings.segment as u64, place);
        Ok(Ledger { gateway: gateway.into(), book, folder: folder.clone(), segments, _lock: lock })
    }

    /// Begins a new epoch: what the process before left open ends where it was marked last.
    pub fn begin(&mut self) -> Result<(), String> {
        let records = self.book.start(rand::random(), now());
        self.take(&records)
    }

    /// Keeps records and then counts them.
    pub fn take(&mut self, records: &[Record]) -> Result<(), String> {
        self.segments.append(records).map_err(told(&self.folder))?;
        records.iter().for_each(|record| self.book.apply(record, &mut |_| ()));
        Ok(())
    }

    /// Entries of these numbers, from the records.
    fn entries(&self, first: u64, last: u64) -> Result<Vec<Entry>, String> {
        let mut book = Book::new(self.book.calendar().clone());
        let mut found = Vec::new();
        read(&self.folder, &self.gateway, |record| {
            book.apply(record, &mut |entry| {
                if (first..=last).contains(&entry.number) {
                    found.push(entry);
                }
            });
        })?;
        Ok(found)
    }

    fn write(&mut self, number: u64, to: &Path) -> Result<(String, String), String> {
        let exports = self.book.exports();
        let of = exports.iter().find(|e| e.number == number).ok_or("there is no such export")?;
        let before = exports.iter().find(|e| e.number + 1 == number).and_then(|e| e.digest.clone());
        let entries = self.entries(of.first, of.last)?;
        let files = export::write(&self.gateway, number, &before.unwrap_or_default(), &entries)?;
        let name = export::name(&self.gateway, number);
        std::fs::create_dir_all(to).map_err(told(to))?;
        let manifest = to.join(format!("{name}.manifest.json"));
        if std::fs::read(&manifest).is_ok_and(|there| there != files.manifest) {
            return Err(format!("{}: another export of this number is there", manifest.display()));
        }
        // The manifest last: where it stands, all of the export does.
        for (ending, bytes) in
            [("jsonl", &files.jsonl), ("csv", &files.csv), ("manifest.json", &files.manifest)]
        {
            let path = to.join(format!("{name}.{ending}"));
            if std::fs::read(&path).is_ok_and(|there| there == *bytes) {
                continue;
            }
            let new = to.join(format!(".{name}.{ending}.new"));
            let mut file = File::create(&new).map_err(told(&new))?;
            file.write_all(bytes).and_then(|()| file.sync_all()).map_err(told(&new))?;
            std::fs::rename(&new, &path).map_err(told(&path))?;
        }
        File::open(to).and_then(|folder| folder.sync_all()).map_err(told(to))?;
        Ok((name, chain::digest(&files.manifest)))
    }

    /// Does what an operator asks.
    pub fn run(&mut self, command: Command) -> Result<Value, String> {
        let refused = |why: elderpick_ledger::book::Refused| why.to_string();
        match command {
            Command::Show => {
                let totals = self.book.totals().iter().map(|((period, tenant), total)| {
                    json!({ "period": period, "tenant": tenant, "entries": total.entries, "uses": total.uses,
                        "us": total.time(), "at_rung_us": total.at_rung })
                });
                let exports = self.book.exports().iter().map(|e| {
                    json!({ "export": e.number, "first": e.first, "last": e.last, "handed": e.digest.is_some() })
                });
                Ok(
                    json!({ "gateway": self.gateway, "epoch": self.book.epoch(), "entries": self.book.entries(),
                    "open": self.book.open(), "closed_us": self.book.closed(), "odd": self.book.odd,
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
            Command::Export { to } => {
                let pending = self.book.exports().last().filter(|e| e.digest.is_none()).map(|e| e.number);
                let number = match pending {
                    Some(number) => number,
                    None => {
                        let record = self.book.prepare().map_err(refused)?;
                        self.take(std::slice::from_ref(&record))?;
                        self.book.exports().last().map_or(0, |e| e.number)
                    }
                };
                let (name, digest) = self.write(number, &to)?;
                let record = self.book.hand(number, &digest).map_err(refused)?;
                self.take(&record.into_iter().collect::<Vec<_>>())?;
                Ok(json!({ "export": number, "name": name, "digest": digest }))
            }
            Command::Again { to, export } => {
                let (name, digest) = self.write(export, &to)?;
                Ok(json!({ "export": export, "name": name, "digest": digest }))
            }
            Command::Correct { entry, uses, at_rung, tenant, why } => {
                let of = self.entries(entry, entry)?.pop().ok_or("there is no such entry")?;
                let change = Correction {
                    of: entry,
                    period: of.period.clone(),
                    tenant: tenant.unwrap_or_else(|| of.tenant.clone()),
                    licence: of.licence.clone(),
                    class: of.class.clone(),
                    uses,
                    at_rung,
                    why,
                    at: now(),
                };
                let record = self.book.correct(&of, change).map_err(refused)?;
                self.take(&[record])?;
                let number = self.book.entries();
                let entry = self.entries(number, number)?.pop();
                Ok(json!({ "entry": number, "kind": Kind::Correction, "period": entry.map(|e| e.period) }))
            }
        }
    }
}

/// Reads all records of a ledger, also of a gateway that runs: how many records and entries, and how many records did
/// not fit what was known.
pub fn verify(gateway: &str, settings: &config::Ledger) -> Result<(u64, u64, u64), String> {
    let mut book = Book::new(Calendar::new(&settings.zone, settings.every, settings.lateness)?);
    let mut records = 0;
    read(&settings.folder, gateway, |record| {
        records += 1;
        book.apply(record, &mut |_| ());
    })?;
    Ok((records, book.entries(), book.odd))
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

impl Writer {
    /// Opens the ledger and begins to write it.
    pub fn start(gateway: &str, settings: &config::Ledger) -> Result<Writer, String> {
        let mut ledger = Ledger::open(gateway, settings)?;
        ledger.begin()?;
        let (jobs, taken) = mpsc::sync_channel(MOST_WAITING);
        let good = Arc::new(AtomicBool::new(true));
        let mut writer = Writer { jobs: Some(jobs), thread: None, good, left_out: Arc::default() };
        let (good, left_out) = (writer.good.clone(), writer.left_out.clone());
        let thread = std::thread::Builder::new().name("ledger".into());
        let begun = thread.spawn(move || write(ledger, &taken, &good, &left_out));
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

fn write(mut ledger: Ledger, jobs: &mpsc::Receiver<Job>, good: &AtomicBool, left_out: &AtomicU64) {
    let mut held: VecDeque<Record> = VecDeque::new();
    // Since when records are left out.
    let mut gap: Option<Micros> = None;
    loop {
        let job = match jobs.recv_timeout(if held.is_empty() { Duration::from_secs(3600) } else { AGAIN }) {
            Ok(job) => Some(job),
            Err(mpsc::RecvTimeoutError::Timeout) => None,
            Err(mpsc::RecvTimeoutError::Disconnected) => break,
        };
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
        if let Some((command, answer)) = asked {
            let _ = answer.send(ledger.run(command));
        }
    }
    let _ = ledger.take(held.make_contiguous());
}

/// Reads exports from folders.
pub fn exports(folders: &[PathBuf]) -> Result<Vec<export::Export>, String> {
    let mut all = Vec::new();
    for folder in folders {
        let mut names: Vec<PathBuf> = std::fs::read_dir(folder)
            .map_err(told(folder))?
            .filter_map(|f| Some(f.ok()?.path()))
            .filter(|p| p.to_string_lossy().ends_with(".manifest.json"))
            .collect();
        names.sort();
        for manifest in names {
            let stem = manifest.to_string_lossy().trim_end_matches(".manifest.json").to_owned();
            let open = |path: &Path| std::fs::read(path).map_err(told(path));
            let files = export::Files {
                manifest: open(&manifest)?,
                jsonl: open(Path::new(&format!("{stem}.jsonl")))?,
                csv: open(Path::new(&format!("{stem}.csv")))?,
            };
            all.push(export::read(&files).map_err(|why| format!("{stem}: {why}"))?);
        }
    }
    Ok(all)
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
            Use::Over { session, at, tries, outcome } => {
                let Some(began) = self.open.remove(&session) else { return };
                Record::Over { session: session.to_string(), span: (at - began).max(0), tries, outcome }
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
