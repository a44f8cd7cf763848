//! What descriptions of sessions show of being whole.

use std::collections::BTreeMap;

/// The beginning of a line that describes one medium.
const MEDIA_LINE: &[u8] = b"m=";

/// The types of an offer's lines: an answer has at least as many of each type (RFC 3264).
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct LineTypes {
    counts: BTreeMap<Option<u8>, usize>,
    /// The last line is ended, as it is in its answers then.
    is_ended: bool,
}

impl LineTypes {
    /// The types of a description's lines.
    pub fn of(description: &[u8]) -> LineTypes {
        let text = description.strip_suffix(b"\n").unwrap_or(description);
        let mut counts = BTreeMap::new();
        for line in text.split(|byte| *byte == b'\n') {
            *counts.entry(line_type(line)).or_default() += 1;
        }
        LineTypes { counts, is_ended: text.len() < description.len() }
    }

    /// Whether a description has all that an offer of these lines has, and ends its last line. An offer that does not
    /// end its own tells of nothing but its like.
    pub fn are_answered_by(&self, answer: &[u8]) -> bool {
        let answer = LineTypes::of(answer);
        if !self.is_ended {
            return answer.is_ended && answer.counts == self.counts;
        }
        let has_as_many = |(of_type, count): (&Option<u8>, &usize)| {
            answer.counts.get(of_type).is_some_and(|answered| answered >= count)
        };
        answer.is_ended && self.counts.iter().all(has_as_many)
    }
}

/// The type of a line, as in `a=sendonly`, if it has one.
fn line_type(line: &[u8]) -> Option<u8> {
    line.first().copied().filter(|_| line.get(1) == Some(&b'='))
}

/// The outline of a description: what whole descriptions of one host have in common, and one that lost its end lacks.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Outline {
    lines: usize,
    /// Lines that describe media.
    media_lines: usize,
    /// The type of the last line, as in `a=sendonly`, if it has one.
    last_type: Option<u8>,
    /// Bytes of the last line, if it is not ended.
    unended: Option<usize>,
}

impl Outline {
    /// The outline of a description.
    pub fn of(description: &[u8]) -> Outline {
        let text = description.strip_suffix(b"\n").unwrap_or(description);
        let is_ended = text.len() < description.len();
        let lines = || text.split(|byte| *byte == b'\n');
        let last = lines().next_back().unwrap_or_default();
        Outline {
            lines: lines().count(),
            media_lines: lines().filter(|line| line.starts_with(MEDIA_LINE)).count(),
            last_type: line_type(last),
            unended: (!is_ended).then_some(last.len()),
        }
    }
}
