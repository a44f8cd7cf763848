//! What is handed over: entries as JSON lines and as CSV, and a manifest that says what they must be.
//!
//! The bytes are a function of the entries, so that an export that was interrupted, or is asked for again, is the same.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::book::{Entry, Total};
use crate::chain::digest;

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

pub fn sums<'a>(entries: impl IntoIterator<Item = &'a Entry>) -> Vec<Sum> {
    let mut sums: BTreeMap<(String, String), Total> = BTreeMap::new();
    for entry in entries {
        sums.entry((entry.period.clone(), entry.tenant.clone())).or_default().add(entry);
    }
    sums.into_iter().map(|((period, tenant), total)| Sum { period, tenant, total }).collect()
}

/// Writes an export. `before` is the digest of the manifest before it.
pub fn write(gateway: &str, export: u64, before: &str, entries: &[Entry]) -> Result<Files, String> {
    let mut jsonl = Vec::new();
    for entry in entries {
        serde_json::to_writer(&mut jsonl, entry).map_err(|why| why.to_string())?;
        jsonl.push(b'\n');
    }
    let mut table = csv::Writer::from_writer(Vec::new());
    let head = [
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
        "outcome",
        "corrects",
        "why",
    ];
    table.write_record(head).map_err(|why| why.to_string())?;
    for e in entries {
        let word = |value: serde_json::Result<serde_json::Value>| {
            value.ok().and_then(|v| v.as_str().map(str::to_owned)).unwrap_or_default()
        };
        let rungs: Vec<String> = e.at_rung.iter().map(i64::to_string).collect();
        let row = [
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
            word(serde_json::to_value(e.outcome)),
            e.corrects.map_or(String::new(), |c| c.to_string()),
            e.why.clone(),
        ];
        table.write_record(row).map_err(|why| why.to_string())?;
    }
    let csv = table.into_inner().map_err(|why| why.to_string())?;
    let manifest = Manifest {
        form: 1,
        gateway: gateway.into(),
        export,
        first: entries.first().map_or(0, |e| e.number),
        last: entries.last().map_or(0, |e| e.number),
        sums: sums(entries),
        jsonl: digest(&jsonl),
        csv: digest(&csv),
        before: before.into(),
    };
    let mut text = serde_json::to_vec_pretty(&manifest).map_err(|why| why.to_string())?;
    text.push(b'\n');
    Ok(Files { manifest: text, jsonl, csv })
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
    let manifest: Manifest =
        serde_json::from_slice(&files.manifest).map_err(|why| format!("manifest: {why}"))?;
    if manifest.form != 1 {
        return Err(format!("manifest: form must be 1, found {}", manifest.form));
    }
    for (what, told, bytes) in [("jsonl", &manifest.jsonl, &files.jsonl), ("csv", &manifest.csv, &files.csv)]
    {
        if *told != digest(bytes) {
            return Err(format!("{what}: it is not the file that the manifest tells of"));
        }
    }
    let mut entries = Vec::new();
    for (k, line) in files.jsonl.split(|&b| b == b'\n').enumerate().filter(|(_, line)| !line.is_empty()) {
        let entry: Entry = serde_json::from_slice(line).map_err(|why| format!("jsonl:{}: {why}", k + 1))?;
        if entry.number != manifest.first.saturating_add(k as u64) {
            return Err(format!("jsonl:{}: entry {} is out of order", k + 1, entry.number));
        }
        entries.push(entry);
    }
    let last = entries.last().map_or(0, |e: &Entry| e.number);
    if last != manifest.last || sums(&entries) != manifest.sums {
        return Err("manifest: its numbers and sums are not those of its entries".into());
    }
    Ok(Export { digest: digest(&files.manifest), manifest, entries })
}
