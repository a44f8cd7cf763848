//! The ledger's folder: what kills, interrupted exports, damage and old copies do to it.

use std::path::{Path, PathBuf};

use elderpick_gateway::config;
use elderpick_gateway::ledger::{Command, Ledger, exports, verify};
use elderpick_ledger::calendar::Every;
use elderpick_ledger::reconcile::{Finding, Renamed, reconcile};

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("elderpick-ledger-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn at(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn settings(folder: PathBuf) -> config::Ledger {
    config::Ledger {
        folder,
        zone: "Europe/Dublin".into(),
        every: Every::Day,
        lateness: 0,
        mark: 1,
        commit: 0,
        segment: 4096,
        keep: 1 << 40,
        full: config::Full::GoOn,
    }
}

fn open(folder: &Path) -> Ledger {
    let mut ledger = Ledger::open("g", &settings(folder.to_owned())).unwrap();
    ledger.begin().unwrap();
    ledger
}

/// Sessions of a second each; what they are and when is the same for the same numbers.
fn sessions(ledger: &mut Ledger, numbers: std::ops::Range<i64>) {
    use elderpick_ledger::accounts::{Facts, Outcome, Record};
    for k in numbers {
        let facts = Facts {
            tenant: format!("tenant-{}", k % 3),
            licence: "course".into(),
            class: "exam".into(),
            title: "carex".into(),
            viewer: format!("viewer-{k}"),
            started: k * 1_000_000,
        };
        let session = format!("{k:032x}");
        let over = Record::Over {
            session: session.clone(),
            span: 1_000_000,
            tries: 1,
            outcome: Outcome::Left,
            bytes: None,
        };
        ledger.take(&[Record::Begun { session, facts, rung: 1 }, over]).unwrap();
    }
}

fn text(path: &Path) -> String {
    path.to_str().unwrap().to_owned()
}

fn files(folder: &Path) -> Vec<(String, Vec<u8>)> {
    let mut all: Vec<_> = std::fs::read_dir(folder)
        .unwrap()
        .map(|f| f.unwrap().path())
        .filter(|p| p.is_file())
        .map(|p| (p.file_name().unwrap().to_string_lossy().into_owned(), std::fs::read(&p).unwrap()))
        .collect();
    all.sort();
    all
}

fn copy(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).unwrap();
    for (name, bytes) in files(from) {
        std::fs::write(to.join(name), bytes).unwrap();
    }
}

#[test]
fn an_export_that_stops_at_any_step_goes_on_with_the_same_bytes() {
    let folder = Folder::new("export");
    let mut ledger = open(&folder.at("l"));
    sessions(&mut ledger, 0..40);
    drop(ledger);
    copy(&folder.at("l"), &folder.at("whole"));
    open(&folder.at("whole")).run(Command::Export { to: text(&folder.at("to-whole")) }).unwrap();
    let whole = files(&folder.at("to-whole"));
    assert_eq!(whole.len(), 3);
    for (k, obstacle) in ["jsonl", "csv", "manifest.json"].into_iter().enumerate() {
        let (own, to) = (folder.at(&format!("l{k}")), folder.at(&format!("to{k}")));
        copy(&folder.at("l"), &own);
        // A folder in the place of the file that is written next stops the export there; then the process is killed.
        let in_the_way = to.join(format!(".g-00000001.{obstacle}.new"));
        std::fs::create_dir_all(&in_the_way).unwrap();
        assert!(open(&own).run(Command::Export { to: text(&to.clone()) }).is_err());
        std::fs::remove_dir(&in_the_way).unwrap();
        let mut again = open(&own);
        // What comes meanwhile goes to the next one.
        sessions(&mut again, 40..45);
        again.run(Command::Export { to: text(&to.clone()) }).unwrap();
        assert_eq!(files(&to), whole, "stopped at {obstacle}");
        again.run(Command::Export { to: text(&to.clone()) }).unwrap();
        again.run(Command::Again { to: text(&to.clone()), export: 1 }).unwrap();
        let read = exports(&[to]).unwrap();
        assert_eq!(read.iter().map(|e| e.entries.len()).collect::<Vec<_>>(), [40, 5]);
        assert!(reconcile(&read, 0).clean());
    }
    // A folder that has another export of the number keeps it.
    let other = folder.at("other");
    copy(&folder.at("to-whole"), &other);
    std::fs::write(other.join("g-00000001.manifest.json"), "{}").unwrap();
    let why =
        open(&folder.at("whole")).run(Command::Again { to: text(&other.clone()), export: 1 }).unwrap_err();
    assert!(why.contains("another export of this number"), "{why}");
}

#[test]
fn a_ledger_cut_at_any_byte_keeps_all_that_was_finished_and_goes_on() {
    let folder = Folder::new("cut");
    let mut ledger = open(&folder.at("l"));
    sessions(&mut ledger, 0..6);
    drop(ledger);
    let path = folder.at("l").join("00000001.jsonl");
    let whole = std::fs::read(&path).unwrap();
    for cut in (0..=whole.len()).rev().step_by(7) {
        let own = folder.at("cut");
        let _ = std::fs::remove_dir_all(&own);
        std::fs::create_dir_all(&own).unwrap();
        std::fs::write(own.join("00000001.jsonl"), &whole[..cut]).unwrap();
        let finished = whole[..cut].iter().filter(|&&b| b == b'\n').count() as u64;
        assert_eq!(verify("g", &settings(own.clone())).unwrap().0, finished, "cut at {cut}");
        let mut again = open(&own);
        sessions(&mut again, 100..102);
        let before = verify("g", &settings(own.clone())).unwrap();
        drop(again);
        // The cut is behind it: a third start reads both segments.
        let third = open(&own);
        let after = verify("g", &settings(own.clone())).unwrap();
        assert!(after.0 > before.0 && after.2 == 0, "cut at {cut}: {before:?} {after:?}");
        drop(third);
    }
}

#[test]
fn an_edited_ledger_is_found_wherever_it_is_read_and_the_line_is_told() {
    let folder = Folder::new("edited");
    let mut ledger = open(&folder.at("l"));
    sessions(&mut ledger, 0..60);
    drop(ledger);
    let segments = files(&folder.at("l")).into_iter().filter(|(name, _)| name.ends_with("jsonl")).count();
    assert!(segments > 2, "{segments} segments");
    for segment in 1..=segments {
        let own = folder.at(&format!("l{segment}"));
        copy(&folder.at("l"), &own);
        let path = own.join(format!("{segment:08}.jsonl"));
        let good = std::fs::read_to_string(&path).unwrap();
        std::fs::write(&path, good.replacen("tenant-1", "tenant-2", 1)).unwrap();
        let named = [segment, segment + 1].map(|n| format!("{n:08}.jsonl:"));
        let tells = |why: String| named.iter().any(|name| why.contains(name));
        assert!(verify("g", &settings(own.clone())).is_err_and(tells), "segment {segment}");
        // A start reads the last one alone; what is handed over is read from those that hold it.
        match Ledger::open("g", &settings(own)) {
            Err(why) => assert!(segment == segments && tells(why)),
            Ok(mut ledger) => {
                assert!(segment < segments);
                let to = folder.at("to");
                assert!(ledger.run(Command::Export { to: text(&to) }).is_err_and(tells), "segment {segment}");
                assert!(files(&to).iter().all(|(name, _)| name.starts_with('.')), "nothing stands there");
            }
        }
    }
    assert!(verify("g", &settings(folder.at("l"))).is_ok());
    std::fs::remove_file(folder.at("l").join("00000001.jsonl")).unwrap();
    // A ledger without its beginning is no ledger that has nothing.
    assert!(Ledger::open("g", &settings(folder.at("l"))).is_err());
}

#[test]
fn old_segments_go_once_they_were_handed_over_and_never_before() {
    let folder = Folder::new("keep");
    let few = config::Ledger { keep: 20_000, ..settings(folder.at("l")) };
    let bytes = || files(&folder.at("l")).iter().map(|(_, bytes)| bytes.len()).sum::<usize>();
    let mut ledger = Ledger::open("g", &few).unwrap();
    ledger.begin().unwrap();
    let step = |ledger: &mut Ledger, numbers| {
        sessions(ledger, numbers);
        ledger.tidy().unwrap();
    };
    (0..20).for_each(|k| step(&mut ledger, k * 10..k * 10 + 10));
    assert!(bytes() > 60_000, "nothing was handed over: nothing goes, {}", bytes());
    let to = Command::Export { to: text(&folder.at("to")) };
    ledger.run(to).unwrap();
    step(&mut ledger, 200..220);
    assert!(bytes() < 40_000, "{}", bytes());
    let (.., odd) = verify("g", &few).unwrap();
    assert_eq!(odd, 0);
    drop(ledger);
    // It goes on after a restart, and what was let go says so.
    let mut ledger = Ledger::open("g", &few).unwrap();
    ledger.begin().unwrap();
    let correct = |entry| Command::Correct {
        entry,
        uses: -1,
        at_rung: vec![],
        bytes: 0,
        tenant: None,
        why: "a test".into(),
    };
    let why = ledger.run(correct(3)).unwrap_err();
    assert!(why.contains("entry 3 is not in the records that are kept"), "{why}");
    ledger.run(correct(219)).unwrap();
    ledger.run(Command::Export { to: text(&folder.at("to")) }).unwrap();
    let report = reconcile(&exports(&[folder.at("to")]).unwrap(), 0);
    assert_eq!((report.entries, report.findings), (221, vec![]));
    // Sums are those of all that ever was.
    let shown = ledger.run(Command::Show).unwrap();
    let uses: i64 = shown["totals"].as_array().unwrap().iter().map(|t| t["uses"].as_i64().unwrap()).sum();
    assert_eq!(uses, 219);
}

#[test]
fn reconciling_piece_by_piece_gives_what_reconciling_all_at_once_gives() {
    let folder = Folder::new("pieces");
    for gateway in ["g", "h"] {
        let own = folder.at(gateway);
        let mut ledger = Ledger::open(gateway, &settings(own)).unwrap();
        ledger.begin().unwrap();
        // The same viewers at both gateways, some at once and some later.
        sessions(&mut ledger, 0..30);
        ledger.run(Command::Export { to: text(&folder.at("to")) }).unwrap();
        sessions(&mut ledger, 30..50);
        ledger.run(Command::Export { to: text(&folder.at("to")) }).unwrap();
    }
    let whole = reconcile(&exports(&[folder.at("to")]).unwrap(), 5_000_000);
    let pieces = elderpick_gateway::ledger::reconcile(&[folder.at("to")], 5_000_000, Renamed::default());
    assert_eq!(pieces, Ok(whole.clone()));
    let (uses, sessions) = whole.billed.values().fold((0, 0), |(u, s), b| (u + b.uses, s + b.sessions));
    assert_eq!((uses, sessions), (50, 100));
    let table = b"tenant,licence,to\ntenant-0,,botany\ntenant-1,course,botany\n";
    let renamed = Renamed::read(table).unwrap();
    let other = elderpick_gateway::ledger::reconcile(&[folder.at("to")], 5_000_000, renamed).unwrap();
    let names: std::collections::BTreeSet<_> = other.billed.keys().map(|(_, tenant)| &**tenant).collect();
    assert_eq!(names.into_iter().collect::<Vec<_>>(), ["botany", "tenant-2"]);
    let time =
        |r: &elderpick_ledger::reconcile::Report| r.billed.values().map(|b| b.total.time()).sum::<i64>();
    assert_eq!(time(&other), time(&whole));
    for bad in ["a,b\n", "tenant,licence,to\n,x,y\n", "tenant,licence,to\na,,b\na,,c\n"] {
        assert!(Renamed::read(bad.as_bytes()).is_err_and(|why| why.starts_with("line ")), "{bad}");
    }
}

#[test]
fn a_gateway_that_goes_on_from_an_old_copy_is_found_by_its_exports() {
    let folder = Folder::new("copy");
    let mut ledger = open(&folder.at("l"));
    sessions(&mut ledger, 0..3);
    ledger.run(Command::Export { to: text(&folder.at("to")) }).unwrap();
    drop(ledger);
    copy(&folder.at("l"), &folder.at("old"));
    let mut ledger = open(&folder.at("l"));
    sessions(&mut ledger, 3..6);
    ledger.run(Command::Export { to: text(&folder.at("to")) }).unwrap();
    let mut old = open(&folder.at("old"));
    sessions(&mut old, 10..12);
    // It must not write over what was handed over, and elsewhere it shows.
    let why = old.run(Command::Export { to: text(&folder.at("to")) }).unwrap_err();
    assert!(why.contains("another export"), "{why}");
    old.run(Command::Export { to: text(&folder.at("to-old")) }).unwrap();
    let findings = reconcile(&exports(&[folder.at("to"), folder.at("to-old")]).unwrap(), 0).findings;
    assert!(findings.contains(&Finding::Twice { gateway: "g".into(), export: 2 }), "{findings:?}");
}

#[test]
fn one_process_has_a_ledger_and_periods_close_and_correct_through_commands() {
    let folder = Folder::new("commands");
    let mut ledger = open(&folder.at("l"));
    assert!(Ledger::open("g", &settings(folder.at("l"))).err().unwrap().contains("another process"));
    sessions(&mut ledger, 0..3);
    let close = |period: &str| Command::Close { period: period.into() };
    assert!(ledger.run(close("1970-13-01")).is_err() && ledger.run(close("1970-01")).is_err());
    let today = ledger.run(close("2999-01-01")).unwrap_err();
    assert!(today.contains("does not close before"), "{today}");
    ledger.run(close("1970-01-01")).unwrap();
    let correct = |why: &str| Command::Correct {
        entry: 1,
        uses: -1,
        bytes: 0,
        at_rung: vec![0, -1_000_000],
        tenant: None,
        why: why.into(),
    };
    assert!(ledger.run(correct(" ")).is_err());
    let corrected = ledger.run(correct("no such student")).unwrap();
    assert_eq!((&corrected["entry"], &corrected["period"]), (&4.into(), &"1970-01-02".into()));
    let shown = ledger.run(Command::Show).unwrap();
    let sum = |period: &str, tenant: &str| {
        let totals = shown["totals"].as_array().unwrap().clone();
        totals
            .iter()
            .find(|t| t["period"] == period && t["tenant"] == tenant)
            .map(|t| t["us"].as_i64().unwrap())
    };
    assert_eq!(sum("1970-01-01", "tenant-0"), Some(1_000_000), "a closed period's total stands");
    assert_eq!(sum("1970-01-02", "tenant-0"), Some(-1_000_000));
}

#[test]
fn a_ledger_keeps_the_calendar_that_it_was_cut_by() {
    let folder = Folder::new("calendar");
    sessions(&mut open(&folder.at("l")), 0..3);
    let others = [
        config::Ledger { zone: "Asia/Kolkata".into(), ..settings(folder.at("l")) },
        config::Ledger { every: Every::Month, ..settings(folder.at("l")) },
    ];
    for other in others {
        let why = Ledger::open("g", &other).err().unwrap();
        assert!(why.contains("must stay europe/dublin by day"), "{why}");
    }
    assert!(Ledger::open("g", &settings(folder.at("l"))).is_ok());
}
