//! The form in which taken seats outlive a gateway's process: a log of records with checksums.
//!
//! A log begins with a line that names the form and the machine's boot. Each record is a frame: length and a check of
//! it, a checksum of the content, the content as JSON. Checksums take in the frame's place in the log, so that a frame
//! which is missing or moved shows. What a write left unfinished can be told from damage: an unfinished frame is
//! shorter than its own checked length, and was never acknowledged; anything else that does not fit is damage.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One change of what is taken.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    Taken {
        seat: u64,
        licence: String,
        holder: String,
    },
    Freed {
        seat: u64,
    },
    /// Names of seats go on after this one.
    Last {
        seat: u64,
    },
    /// Seats may be taken that the log does not tell, until [`Record::Sure`].
    Unsure,
    Sure,
}

const FORM: &str = "elderpick seats 1 ";
const HEAD: usize = 16;
/// Longest content of a frame, in bytes.
const MOST: u32 = 4096;

/// The first line of a log. `boot` names the time since the machine was started, as the system tells it.
pub fn begin(boot: &str) -> Vec<u8> {
    let boot: String = boot.chars().filter(char::is_ascii_graphic).take(64).collect();
    format!("{FORM}{boot}\n").into_bytes()
}

/// Appends one record to a log that is `at` bytes long so far.
pub fn append(to: &mut Vec<u8>, at: u64, record: &Record) {
    let place = at + to.len() as u64;
    let content = serde_json::to_vec(record).unwrap_or_default();
    let length = (content.len() as u32).to_le_bytes();
    to.extend(length);
    to.extend((xxh3_64_with_seed(&length, place) as u32).to_le_bytes());
    to.extend(xxh3_64_with_seed(&content, place).to_le_bytes());
    to.extend(content);
}

/// How a log ends.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum End {
    Whole,
    /// A write was not finished: what it was to tell was never acknowledged.
    Torn,
    /// It is not what was written.
    Damaged(String),
}

/// What a log tells.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Replayed {
    pub boot: String,
    /// Seats that are taken: name, licence, holder.
    pub taken: Vec<(u64, String, String)>,
    /// Last name that was given.
    pub last: u64,
    /// Seats may be taken that it does not tell.
    pub unsure: bool,
    pub records: usize,
    /// Bytes that are good.
    pub good: u64,
    pub end: End,
}

/// Reads a log as far as it is good.
pub fn replay(log: &[u8]) -> Replayed {
    let mut all = std::collections::BTreeMap::new();
    let mut out = Replayed {
        boot: String::new(),
        taken: Vec::new(),
        last: 0,
        unsure: false,
        records: 0,
        good: 0,
        end: End::Whole,
    };
    let line = log.iter().position(|&b| b == b'\n').filter(|&at| at < 128);
    let first = line.and_then(|at| std::str::from_utf8(&log[..at]).ok()).and_then(|l| l.strip_prefix(FORM));
    let Some(boot) = first else {
        out.end = End::Damaged("it does not begin as such a log does".into());
        return out;
    };
    out.boot = boot.to_owned();
    let mut at = boot.len() + FORM.len() + 1;
    while at < log.len() {
        out.good = at as u64;
        let Some(head) = log[at..].first_chunk::<HEAD>() else {
            out.end = End::Torn;
            break;
        };
        let [l0, l1, l2, l3, c0, c1, c2, c3, sum @ ..] = *head;
        let (length, check) = ([l0, l1, l2, l3], u32::from_le_bytes([c0, c1, c2, c3]));
        let long = u32::from_le_bytes(length);
        if xxh3_64_with_seed(&length, at as u64) as u32 != check || long > MOST {
            out.end = End::Damaged(format!("no frame begins at byte {at}"));
            break;
        }
        let Some(content) = log.get(at + HEAD..at + HEAD + long as usize) else {
            out.end = End::Torn;
            break;
        };
        let good = xxh3_64_with_seed(content, at as u64) == u64::from_le_bytes(sum);
        match serde_json::from_slice(content) {
            Ok(record) if good => match record {
                Record::Taken { seat, licence, holder } => {
                    out.last = out.last.max(seat);
                    all.insert(seat, (licence, holder));
                }
                Record::Freed { seat } => {
                    all.remove(&seat);
                }
                Record::Last { seat } => out.last = out.last.max(seat),
                Record::Unsure => out.unsure = true,
                Record::Sure => out.unsure = false,
            },
            _ => {
                out.end = End::Damaged(format!("the frame at byte {at} does not match its checksum"));
                break;
            }
        }
        out.records += 1;
        at += HEAD + long as usize;
    }
    if out.end == End::Whole {
        out.good = at as u64;
    }
    out.taken = all.into_iter().map(|(seat, (licence, holder))| (seat, licence, holder)).collect();
    out
}

/// Smallest log that is worth writing anew, in bytes.
const SMALL: u64 = 1 << 20;

/// Whether a log should be written anew, with what is taken only: it holds over four times what that needs.
pub fn should_compact(length: u64, taken: usize, bytes_each: u64) -> bool {
    length > SMALL && length > 4 * taken as u64 * bytes_each.max(64)
}

#[cfg(test)]
#[path = "../tests/unit/log.rs"]
mod tests;
