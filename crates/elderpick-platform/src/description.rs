//! What descriptions of sessions show of being whole.

/// The beginning of a line that describes one medium.
const MEDIA_LINE: &[u8] = b"m=";

/// What an answer has where its offer has it: as many lines that describe media (RFC 3264), and an end of its last line.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct Shape {
    media_lines: usize,
    ends_a_line: bool,
}

impl Shape {
    /// The shape of a description.
    pub fn of(description: &[u8]) -> Shape {
        let lines = description.split(|byte| *byte == b'\n');
        Shape {
            media_lines: lines.filter(|line| line.starts_with(MEDIA_LINE)).count(),
            ends_a_line: description.ends_with(b"\n"),
        }
    }

    /// Whether an answer to an offer of this shape has all that the offer has; one that has not may be cut.
    pub fn is_answered_by(&self, answer: &[u8]) -> bool {
        let answer = Shape::of(answer);
        answer.media_lines >= self.media_lines && (answer.ends_a_line || !self.ends_a_line)
    }
}
