//! The form of records on disk: one line each, `HASH JSON`, where the hash takes in the line before.
//!
//! A line that was removed, edited or moved shows, and all after it. A line without its end is a write that was not
//! finished; it was never acknowledged.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The hash of a chain up to a line: the first half of SHA-256, as hex.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
pub struct Link(String);

/// Longest line, in bytes: that of a state with many tenants and sessions.
const MOST: usize = 64 << 20;
const HASH: usize = 32;

impl Link {
    /// Where a chain begins: a name makes chains differ.
    pub fn first(name: &str) -> Link {
        Link::of(&[b"elderpick ledger 1 ", name.as_bytes()])
    }

    pub fn parse(text: &str) -> Option<Link> {
        let plain =
            text.len() == HASH && text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
        plain.then(|| Link(text.into()))
    }

    pub fn text(&self) -> &str {
        &self.0
    }

    fn of(pieces: &[&[u8]]) -> Link {
        let mut hash = Sha256::new();
        pieces.iter().for_each(|piece| hash.update(piece));
        Link(hash.finalize()[..HASH / 2].iter().map(|byte| format!("{byte:02x}")).collect())
    }

    fn next(&self, content: &[u8]) -> Link {
        Link::of(&[self.0.as_bytes(), b"\n", content])
    }
}

/// SHA-256 of a text that comes piece by piece.
#[derive(Clone, Default)]
pub struct Hash(Sha256);

impl Hash {
    pub fn take(&mut self, bytes: &[u8]) {
        self.0.update(bytes);
    }

    pub fn bytes(self) -> [u8; 32] {
        self.0.finalize().into()
    }

    /// As hex.
    pub fn digest(self) -> String {
        self.bytes().iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

/// SHA-256 of a text, as hex.
pub fn digest(text: &[u8]) -> String {
    let mut hash = Hash::default();
    hash.take(text);
    hash.digest()
}

/// Appends a record to a text and gives the link after it.
pub fn append<R: Serialize>(to: &mut Vec<u8>, last: &Link, record: &R) -> Link {
    let content = serde_json::to_vec(record).unwrap_or_default();
    let link = last.next(&content);
    to.extend_from_slice(link.0.as_bytes());
    to.push(b' ');
    to.extend_from_slice(&content);
    to.push(b'\n');
    link
}

/// How a text of records ends.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum End {
    Whole,
    /// The last line is not finished.
    Torn,
    /// A line is not what was written; counted from 1.
    Damaged {
        line: usize,
    },
}

/// Reads records as far as the chain holds. Gives the last link, the bytes that are good, and the end.
pub fn read<R: DeserializeOwned>(text: &[u8], first: &Link, mut take: impl FnMut(R)) -> (Link, usize, End) {
    let (mut link, mut good) = (first.clone(), 0);
    for (k, line) in text.split_inclusive(|&b| b == b'\n').enumerate() {
        let Some(line) = line.strip_suffix(b"\n") else { return (link, good, End::Torn) };
        let damaged = End::Damaged { line: k + 1 };
        let content = line.get(HASH + 1..).filter(|_| line[HASH] == b' ' && line.len() <= MOST);
        let Some(content) = content else { return (link, good, damaged) };
        let next = link.next(content);
        let record = serde_json::from_slice(content).ok().filter(|_| next.0.as_bytes() == &line[..HASH]);
        let Some(record) = record else { return (link, good, damaged) };
        take(record);
        (link, good) = (next, good + line.len() + 1);
    }
    (link, good, End::Whole)
}

#[cfg(test)]
#[path = "../tests/unit/chain.rs"]
mod tests;
