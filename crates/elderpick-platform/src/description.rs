//! What descriptions of sessions show of being whole.

/// The beginning of a line that describes one medium.
const MEDIA_LINE: &[u8] = b"m=";

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
            last_type: last.first().copied().filter(|_| last.get(1) == Some(&b'=')),
            unended: (!is_ended).then_some(last.len()),
        }
    }
}
