//! Mutated inputs for the parsers, from a committed corpus, the same for the same seed.
//!
//! kind: tool

use std::collections::BTreeMap;
use std::path::Path;

use elderpick_entitle::keys::{Algorithm, Key, KeySet};
use elderpick_entitle::registry::Revoked;
use elderpick_entitle::sheet::LicenceSheet;
use elderpick_entitle::{log, token};
use elderpick_hls::{Limits, Media, Multivariant, Reveal, Timeline, Variables};
use elderpick_inventory::Format;
use elderpick_ledger::accounts::{Accounts, Entry, Record};
use elderpick_ledger::calendar::{Calendar, Every};
use elderpick_ledger::reconcile::reconcile;
use elderpick_ledger::{chain, export};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A parser to feed.
#[derive(Clone, Copy, PartialEq, Eq, Debug, clap::ValueEnum)]
pub enum Target {
    Playlist,
    Settings,
    Inventory,
    /// Tokens, key sets, sheets, lists of what is withdrawn and logs of seats.
    Entitlement,
    /// Records and entries of the ledger, and what is made of them.
    Ledger,
    /// The platform's wire: viewers' and hosts' messages, events of the journal, configurations.
    Platform,
}

pub const TARGETS: [Target; 6] = [
    Target::Playlist,
    Target::Settings,
    Target::Inventory,
    Target::Entitlement,
    Target::Ledger,
    Target::Platform,
];

fn ledger(input: &[u8]) -> bool {
    let files = export::Files { manifest: input.into(), jsonl: input.into(), csv: Vec::new() };
    assert!(export::read(&files).is_err(), "nothing is a manifest of itself");
    let (_, good, _) = chain::read::<Record>(input, &chain::Link::first("g"), |_| ());
    assert!(good <= input.len());
    let Ok(calendar) = Calendar::new("Europe/Dublin", Every::Day, 0) else { return false };
    let mut accounts = Accounts::new(calendar);
    let mut entries: Vec<Entry> = Vec::new();
    let mut taken = 0;
    for line in input.split(|&b| b == b'\n') {
        if let Ok(record) = serde_json::from_slice::<Record>(line) {
            // Days without end are no use of anybody.
            let sane = |r: &Record| !matches!(r, Record::Over { span, .. } if *span > 1 << 42);
            taken += usize::from(sane(&record));
            if sane(&record) {
                accounts.apply(&record, &mut |e| entries.push(e));
            }
        }
        entries.extend(serde_json::from_slice::<Entry>(line));
    }
    // Whatever the entries, their export reads as it was written and is reconciled.
    for (k, entry) in entries.iter_mut().enumerate() {
        entry.number = k as u64 + 1;
    }
    let files = export::write("g", 1, "", &entries).expect("an export");
    let read = export::read(&files).expect("it reads");
    assert_eq!(read.entries, entries);
    let report = reconcile(&[read.clone(), read], 1);
    assert!(!report.table().is_empty());
    taken > 0 || !entries.is_empty()
}

/// What is read of a set-up is what one written anew with it says; the rest is read or refused.
fn platform(input: &[u8]) -> bool {
    use elderpick_platform::{boot, journal, rtsp, viewer};
    let (mut viewers, mut hosts, mut taken) = (viewer::Decoder::default(), rtsp::Decoder::default(), false);
    viewers.push(input);
    while let Ok(Some(message)) = viewers.message() {
        let Ok(set_up) = viewer::SetUp::parse(&message) else { continue };
        let (class, title, description) = (&*set_up.class, &*set_up.title, &set_up.description[..]);
        let (session, patience_ms) = (set_up.session, set_up.patience_ms);
        let to_host = rtsp::set_up(&rtsp::SetUp { session, class, title, patience_ms, rung: 0, description });
        let mut again = rtsp::Decoder::default();
        again.push(&to_host);
        let read = again.message();
        assert!(read.is_ok_and(|m| m.is_some_and(|m| m.session == session && m.body == description)));
        taken = true;
    }
    hosts.push(input);
    while let Ok(Some(message)) = hosts.message() {
        let _ = (message.cause(), message.state());
        taken = true;
    }
    let Ok(text) = std::str::from_utf8(input) else { return taken };
    let event = journal::parse(text);
    let hosts = event.iter().flat_map(|e| &e.hosts.hosts);
    let listed = hosts.filter(|host| host.listed(&[], &[]).is_ok()).count();
    taken || listed > 0 || boot::Boot::parse(input).is_ok()
}

/// Keys that sign for the fuzzer alone.
fn keys() -> KeySet {
    let mut keys = KeySet::default();
    let key = Key::new("fuzz", Algorithm::Hs256, [7; 32]);
    key.and_then(|key| keys.add(key)).expect("a key");
    keys
}

fn entitlement(input: &[u8]) -> bool {
    let read = log::replay(input);
    assert!(read.good as usize <= input.len());
    let Ok(text) = std::str::from_utf8(input) else { return false };
    let asked = token::Asked { audience: "front".into(), issuer: None, skew: 0 };
    let keys = keys();
    if let Ok((_, _, claims)) = token::inspect(text) {
        // What is understood of a token is what a token with it says.
        if let Ok(issued) = token::issue(&claims, &keys) {
            assert_eq!(token::inspect(&issued).map(|(_, _, again)| again), Ok(claims.clone()));
        }
        // Only the keys decide whether it is taken: no mutation of the corpus makes a signature.
        let taken = token::verify(text, &keys, &asked, claims.not_before.unwrap_or(0));
        return taken.is_ok() || KeySet::read(input).is_ok();
    }
    assert!(token::verify(text, &keys, &asked, 0).is_err());
    if let Ok(set) = KeySet::read(input) {
        assert!(KeySet::read(set.write(true).as_bytes()).is_ok());
        return true;
    }
    LicenceSheet::read("f", text).is_ok() || Revoked::read("f", text).is_ok()
}

/// Feeds one input. What must hold of any input is asserted; a panic is a find.
fn feed(target: Target, input: &[u8]) -> bool {
    match target {
        Target::Playlist => {
            let base = url::Url::parse("http://127.0.0.1:9/s/x.m3u8?a=b").expect("a URI");
            let multi = Multivariant::parse(input, &base, Limits::default());
            if let Ok(multi) = &multi {
                let variant = multi.variant_for(1, &[1, 2, 3]);
                let text = multi.for_session(variant, |_| "/s/t/x.m3u8".into());
                assert!(Multivariant::parse(text.as_bytes(), &base, Limits::default()).is_ok(), "{text}");
            }
            let Ok(media) = Media::parse(input, &base, &Variables::default(), Limits::default()) else {
                return multi.is_ok();
            };
            let of = BTreeMap::from([(0, &media)]);
            let mut timeline = Timeline::new(0);
            for reveal in [Reveal::Until(1_000_000), Reveal::All] {
                let text = timeline.shape(&of, reveal).expect("its rung is there").text;
                let again = Media::parse(text.as_bytes(), &base, &Variables::default(), Limits::default());
                assert!(again.is_ok_and(|a| a.first == media.first), "{text}");
            }
            true
        }
        Target::Settings => {
            let Ok(text) = std::str::from_utf8(input) else { return false };
            let read = elderpick_gateway::config::Config::read("f", text);
            // The same text as a schema of its own.
            let own = elderpick_settings::Schema::new("f", text).map(|s| s.unify("#Class", text).is_ok());
            read.is_ok() || own.is_ok()
        }
        Target::Entitlement => entitlement(input),
        Target::Ledger => ledger(input),
        Target::Platform => platform(input),
        Target::Inventory => [Format::Csv, Format::Yaml].into_iter().any(|format| {
            let read = elderpick_inventory::read("f", input, format, &[], &[]);
            if let Err(faults) = &read {
                assert!(!faults.list.is_empty());
            }
            read.is_ok()
        }),
    }
}

fn mutate(rng: &mut ChaCha8Rng, corpus: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = corpus[rng.random_range(0..corpus.len())].clone();
    for _ in 0..rng.random_range(1..6) {
        let at = rng.random_range(0..=bytes.len());
        let to = (at + rng.random_range(0..24)).min(bytes.len());
        match rng.random_range(0..6) {
            0 => drop(bytes.drain(at..to)),
            1 => bytes.insert(at, rng.random()),
            2 if at < bytes.len() => bytes[at] ^= 1 << rng.random_range(0..8),
            3 => {
                let copied = bytes[at..to].to_vec();
                bytes.splice(at..at, copied);
            }
            4 => {
                let other = &corpus[rng.random_range(0..corpus.len())];
                let from = rng.random_range(0..other.len());
                let upto = (from + rng.random_range(1..64)).min(other.len());
                bytes.splice(at..to, other[from..upto].iter().copied());
            }
            _ => {
                let words: [&[u8]; 10] = [
                    b"{",
                    b"\"",
                    b"\n",
                    b",,",
                    b"{$",
                    b"18446744073709551615",
                    b"&",
                    b"*",
                    b"[",
                    b"\xef\xbb\xbf",
                ];
                let word = words[rng.random_range(0..words.len())];
                bytes.splice(at..at, word.iter().copied());
            }
        }
    }
    bytes
}

/// Feeds the corpus in `folder` and `inputs` mutations of it. How many were accepted.
pub fn run(target: Target, folder: &Path, inputs: usize, seed: u64) -> Result<usize, String> {
    let wrong = |why: std::io::Error| format!("{}: {why}", folder.display());
    let mut files: Vec<_> =
        std::fs::read_dir(folder).map_err(wrong)?.filter_map(|f| Some(f.ok()?.path())).collect();
    files.sort();
    let corpus = files.iter().map(std::fs::read).collect::<Result<Vec<_>, _>>().map_err(wrong)?;
    if corpus.is_empty() {
        return Err(format!("{}: no corpus", folder.display()));
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut taken = corpus.iter().filter(|one| feed(target, one)).count();
    for _ in 0..inputs {
        let input = mutate(&mut rng, &corpus);
        // What is fed is shown if it breaks something.
        let fed = std::panic::catch_unwind(|| feed(target, &input));
        taken += usize::from(
            fed.map_err(|_| format!("{target:?} breaks on {:?}", String::from_utf8_lossy(&input)))?,
        );
    }
    Ok(taken)
}
