//! What is handed over: entries as JSON lines and as CSV, and a manifest that says what they must be.
//!
//! The bytes are a function of the entries, so that an export that was interrupted, or is asked for again, is the same.

use std::collections::BTreeMap;
use std::io::Write;

use serde::{Deserialize, Serialize};

pub use crate::accounts::Entry;
use crate::accounts::Total;
use crate::chain::{Hash, digest};

/// Sums of a tenant in a period, as a manifest tells them.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Sum {
    pub period: String,
    pub tenant: String,
    #[serde(flatten)]
    pub total: Total,
}

/// What an export is.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Manifest {
    /// The form of this text.
    pub form: u32,
    pub gateway: String,
    /// Counted from 1, without gaps.
    pub export: u64,
    /// Numbers of the first and last entry in it.
    pub first: u64,
    pub last: u64,
    pub sums: Vec<Sum>,
    /// SHA-256 of the two files.
    pub jsonl: String,
    pub csv: String,
    /// SHA-256 of the manifest before; empty for the first.
    pub before: String,
}

/// The three files of an export.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Files {
    pub manifest: Vec<u8>,
    pub jsonl: Vec<u8>,
    pub csv: Vec<u8>,
}

/// Name of an export's files, without their ending.
pub fn name(gateway: &str, export: u64) -> String {
    format!("{gateway}-{export:08}")
}

type Sums = BTreeMap<(String, String), Total>;

fn listed(sums: Sums) -> Vec<Sum> {
    sums.into_iter().map(|((period, tenant), total)| Sum { period, tenant, total }).collect()
}

fn add(sums: &mut Sums, entry: &Entry) {
    match sums.get_mut(&(entry.period.clone(), entry.tenant.clone())) {
        Some(total) => total.add(entry),
        None => sums.entry((entry.period.clone(), entry.tenant.clone())).or_default().add(entry),
    }
}

/// Passes bytes on and hashes them.
struct Hashed<W> {
    to: W,
    hash: Hash,
}

impl<W: Write> Write for Hashed<W> {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let count = self.to.write(bytes)?;
        self.hash.take(&bytes[..count]);
        Ok(count)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        self.to.flush()
    }
}

const COLUMNS: [&str; 19] = [
    "number",
    "kind",
    "period",
    "late_for",
    "tenant",
    "licence",
    "class",
    "title",
    "session",
    "viewer",
    "part",
    "uses",
    "from_us",
    "span_us",
    "at_rung_us",
    "bytes",
    "outcome",
    "corrects",
    "why",
];

/// An export that is being written, entry by entry, to wherever its two tables go. It holds none of them.
pub struct Writing<W: Write> {
    jsonl: Hashed<W>,
    csv: csv::Writer<Hashed<W>>,
    sums: Sums,
    numbers: Option<(u64, u64)>,
}

impl<W: Write> Writing<W> {
    pub fn new(jsonl: W, csv: W) -> std::io::Result<Writing<W>> {
        let hashed = |to| Hashed { to, hash: Hash::default() };
        let mut csv = csv::Writer::from_writer(hashed(csv));
        csv.write_record(COLUMNS)?;
        Ok(Writing { jsonl: hashed(jsonl), csv, sums: Sums::new(), numbers: None })
    }

    pub fn entry(&mut self, e: &Entry) -> std::io::Result<()> {
        serde_json::to_writer(&mut self.jsonl, e)?;
        self.jsonl.write_all(b"\n")?;
        let word = |value: serde_json::Result<serde_json::Value>| {
            value.ok().and_then(|v| v.as_str().map(str::to_owned)).unwrap_or_default()
        };
        let rungs: Vec<String> = e.at_rung.iter().map(i64::to_string).collect();
        self.csv.write_record([
            e.number.to_string(),
            word(serde_json::to_value(e.kind)),
            e.period.clone(),
            e.late_for.clone().unwrap_or_default(),
            e.tenant.clone(),
            e.licence.clone(),
            e.class.clone(),
            e.title.clone(),
            e.session.clone(),
            e.viewer.clone(),
            format!("{}/{}", e.part + 1, e.parts),
            e.uses.to_string(),
            e.from.to_string(),
            e.span.to_string(),
            rungs.join(" "),
            e.bytes.map_or(String::new(), |b| b.to_string()),
            word(serde_json::to_value(e.outcome)),
            e.corrects.map_or(String::new(), |c| c.to_string()),
            e.why.clone(),
        ])?;
        add(&mut self.sums, e);
        self.numbers = Some((self.numbers.map_or(e.number, |n| n.0), e.number));
        Ok(())
    }

    /// Ends the tables. Gives them back with the manifest; `before` is the digest of the manifest before it.
    pub fn finish(mut self, gateway: &str, export: u64, before: &str) -> std::io::Result<(W, W, Vec<u8>)> {
        self.jsonl.flush()?;
        let csv = self.csv.into_inner().map_err(|why| why.into_error())?;
        let (first, last) = self.numbers.unwrap_or((0, 0));
        let manifest = Manifest {
            form: 1,
            gateway: gateway.into(),
            export,
            first,
            last,
            sums: listed(self.sums),
            jsonl: self.jsonl.hash.digest(),
            csv: csv.hash.digest(),
            before: before.into(),
        };
        let mut text = serde_json::to_vec_pretty(&manifest)?;
        text.push(b'\n');
        Ok((self.jsonl.to, csv.to, text))
    }
}

/// Writes an export into memory.
pub fn write(gateway: &str, export: u64, before: &str, entries: &[Entry]) -> Result<Files, String> {
    let told = |why: std::io::Error| why.to_string();
    let mut writing = Writing::new(Vec::new(), Vec::new()).map_err(told)?;
    entries.iter().try_for_each(|entry| writing.entry(entry)).map_err(told)?;
    let (jsonl, csv, manifest) = writing.finish(gateway, export, before).map_err(told)?;
    Ok(Files { manifest, jsonl, csv })
}

/// Reads a manifest and gives its digest with it.
pub fn manifest(text: &[u8]) -> Result<(Manifest, String), String> {
    let manifest: Manifest = serde_json::from_slice(text).map_err(|why| format!("manifest: {why}"))?;
    if manifest.form != 1 {
        return Err(format!("manifest: form must be 1, found {}", manifest.form));
    }
    Ok((manifest, digest(text)))
}

/// The tables of an export that are read piece by piece and checked against the manifest. What was read counts only
/// when [`Reading::finish`] has said that it is what the manifest tells of.
pub struct Reading<'a> {
    manifest: &'a Manifest,
    jsonl: Hash,
    csv: Hash,
    sums: Sums,
    lines: u64,
    last: u64,
}

impl<'a> Reading<'a> {
    pub fn new(manifest: &'a Manifest) -> Reading<'a> {
        let sums = Sums::new();
        Reading { manifest, jsonl: Hash::default(), csv: Hash::default(), sums, lines: 0, last: 0 }
    }

    /// Takes a line of the JSON lines, with its end.
    pub fn line(&mut self, line: &[u8]) -> Result<Entry, String> {
        self.jsonl.take(line);
        self.lines += 1;
        let at = self.lines;
        let entry: Entry = serde_json::from_slice(line).map_err(|why| format!("jsonl:{at}: {why}"))?;
        if entry.number != self.manifest.first.saturating_add(at - 1) {
            return Err(format!("jsonl:{at}: entry {} is out of order", entry.number));
        }
        self.last = entry.number;
        add(&mut self.sums, &entry);
        Ok(entry)
    }

    /// Takes some bytes of the CSV table.
    pub fn csv(&mut self, bytes: &[u8]) {
        self.csv.take(bytes);
    }

    pub fn finish(self) -> Result<(), String> {
        for (what, told, found) in
            [("jsonl", &self.manifest.jsonl, self.jsonl), ("csv", &self.manifest.csv, self.csv)]
        {
            if *told != found.digest() {
                return Err(format!("{what}: it is not the file that the manifest tells of"));
            }
        }
        if self.last != self.manifest.last || listed(self.sums) != self.manifest.sums {
            return Err("manifest: its numbers and sums are not those of its entries".into());
        }
        Ok(())
    }
}

/// An export as it was read, and the digest of its manifest.
#[derive(Clone, PartialEq, Debug)]
pub struct Export {
    pub manifest: Manifest,
    pub digest: String,
    pub entries: Vec<Entry>,
}

/// Reads an export and checks it against its manifest.
pub fn read(files: &Files) -> Result<Export, String> {
    let (manifest, digest) = manifest(&files.manifest)?;
    let mut reading = Reading::new(&manifest);
    reading.csv(&files.csv);
    let lines = files.jsonl.split_inclusive(|&b| b == b'\n');
    let entries = lines.map(|line| reading.line(line)).collect::<Result<_, _>>()?;
    reading.finish()?;
    Ok(Export { digest, manifest, entries })
}
