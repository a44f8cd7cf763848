//! Messages between gateways and media hosts: RTSP/1.0 (RFC 2326) as far as the platform uses it.
//!
//! The registry's `rtsp-types` was weighed: it parses the whole of RTSP into allocated tables and leaves bounds to the
//! caller, who would have to find a message's end before it. What is used here is a first line, five headers and a body.

use std::fmt::Write;
use std::ops::Range;

use bytes::{Bytes, BytesMut};

use crate::{DecodeError, MOST_MESSAGE, session_id};

/// `CSeq` of each exchange.
pub mod cseq {
    /// Of a set-up.
    pub const SET_UP: u32 = 1;
    /// Of a withdrawal or a release.
    pub const TEARDOWN: u32 = 2;
    /// Of a call for load or a test.
    pub const OPTIONS: u32 = 3;
    /// Any other may have any value.
    pub const OTHER: u32 = 4;
}

/// The first line.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Start {
    /// A message that wants an answer.
    Request {
        /// What it wants.
        method: String,
    },
    /// An answer.
    Response {
        /// What it says of the request.
        status: u16,
    },
}

/// One message as it came.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Message {
    /// The first line.
    pub start: Start,
    /// The sequence number, which tells what is answered.
    pub cseq: u32,
    /// The session's number.
    pub session: u64,
    /// What follows the head.
    pub body: Bytes,
    head: Bytes,
    headers: Vec<(Range<usize>, Range<usize>)>,
}

impl Message {
    /// The value of a header, the first of that name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let (_, value) = self
            .headers
            .iter()
            .find(|(key, _)| self.head[key.clone()].eq_ignore_ascii_case(name.as_bytes()))?;
        std::str::from_utf8(&self.head[value.clone()]).ok()
    }

    /// How many bytes the whole message has.
    pub fn length(&self) -> usize {
        self.head.len() + self.body.len()
    }

    /// The cause that a `Reason` header names, as in `cause=16`.
    pub fn cause(&self) -> Option<u8> {
        self.header("Reason")?
            .split([';', ',', ' '])
            .find_map(|part| part.strip_prefix("cause=")?.parse().ok())
    }

    /// The figures of an `X-State` header, as in `x0:12;x1:40`.
    pub fn state(&self) -> Vec<(&str, f64)> {
        let figures = self.header("X-State").unwrap_or_default().split(';');
        let read = figures.filter_map(|figure| {
            let (key, value) = figure.split_once(':')?;
            Some((key.trim(), value.trim().parse::<f64>().ok().filter(|n| n.is_finite())?))
        });
        read.take(16).collect()
    }
}

/// Reads messages from bytes as they come. Holds at most one message and what was read behind it.
#[derive(Default, Debug)]
pub struct Decoder {
    held: BytesMut,
    /// So much of what is held has no end of a head.
    looked: usize,
}

impl Decoder {
    /// Adds bytes that were read.
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// Whether part of a message is held.
    pub fn partial(&self) -> bool {
        !self.held.is_empty()
    }

    /// The next whole message; `None` until there is one. After an error nothing more can be read.
    pub fn message(&mut self) -> Result<Option<Message>, DecodeError> {
        let from = self.looked.saturating_sub(3);
        let most = self.held.len().min(MOST_MESSAGE);
        let Some(end) = self.held[from..most].windows(4).position(|w| w == b"\r\n\r\n").map(|k| from + k + 4)
        else {
            if self.held.len() >= MOST_MESSAGE {
                return Err(DecodeError("a head does not end"));
            }
            self.looked = self.held.len();
            // Noise is told by its first line, which comes long before a head's bound.
            if !may_begin(&self.held) {
                return Err(DecodeError("what begins is no request and no answer"));
            }
            return plausible(&self.held[from..]).map(|()| None);
        };
        self.looked = end - 4;
        let head = Head::parse(&self.held[..end])?;
        if head.length > MOST_MESSAGE - end {
            return Err(DecodeError("a message is longer than any may be"));
        }
        if self.held.len() < end + head.length {
            return Ok(None);
        }
        self.looked = 0;
        let text = self.held.split_to(end).freeze();
        let body = self.held.split_to(head.length).freeze();
        let Head { start, cseq, session, headers, .. } = head;
        Ok(Some(Message { start, cseq, session, body, head: text, headers }))
    }
}

/// The methods of the platform's protocol.
const METHODS: [&str; 6] = ["SETUP", "TEARDOWN", "OPTIONS", "ANNOUNCE", "REDIRECT", "SET_PARAMETER"];

/// Whether the protocol has this method. What is left of a message whose first bytes went to an answer that overstated
/// its length begins with none of them.
pub fn is_known_method(method: &str) -> bool {
    METHODS.contains(&method)
}

/// Whether a body holds the first line of a message and the header behind it: the answer that it belongs to overstated
/// its length.
pub fn holds_a_message(body: &[u8]) -> bool {
    let begins = |at: usize| {
        let line = body[at..].split(|byte| *byte == b'\r').next().unwrap_or_default();
        let rest = body[at + line.len()..].strip_prefix(b"\r\n").unwrap_or_default();
        let name = rest.iter().take_while(|byte| byte.is_ascii_alphanumeric() || **byte == b'-').count();
        name > 1 && rest.get(name) == Some(&b':')
    };
    body.windows(RTSP_VERSION.len()).enumerate().any(|(at, window)| window == RTSP_VERSION && begins(at))
}

/// What each first line holds.
const RTSP_VERSION: &[u8] = b"RTSP/1.0";

/// Longest name of a method.
const MOST_METHOD: usize = 32;

/// Whether bytes can be the beginning of a message. What a head that understates its length leaves behind, can hardly be.
fn may_begin(held: &[u8]) -> bool {
    let agree = |whole: &[u8], part: &[u8]| whole.iter().zip(part).all(|(a, b)| a == b);
    if agree(b"RTSP/1.0 ", held) {
        return true;
    }
    let method = held.iter().take_while(|b| is_of_method(b)).count();
    (1..=MOST_METHOD).contains(&method) && agree(b" rtsp://", &held[method..])
}

fn is_of_method(byte: &u8) -> bool {
    byte.is_ascii_uppercase() || *byte == b'_'
}

/// What has come of a head so far holds nothing but lines of text.
fn plausible(held: &[u8]) -> Result<(), DecodeError> {
    let text = |b: &u8| !b.is_ascii_control() || matches!(b, b'\r' | b'\n' | b'\t');
    if held.iter().all(text) { Ok(()) } else { Err(DecodeError("a head holds what is no text")) }
}

struct Head {
    start: Start,
    cseq: u32,
    session: u64,
    length: usize,
    headers: Vec<(Range<usize>, Range<usize>)>,
}

impl Head {
    /// Reads a head up to and with its empty line.
    fn parse(head: &[u8]) -> Result<Head, DecodeError> {
        plausible(head)?;
        let text = std::str::from_utf8(head).map_err(|_| DecodeError("a head is not text"))?;
        let mut lines = text[..text.len() - 4].split("\r\n");
        let start = first_line(lines.next().unwrap_or_default())?;
        let mut headers = Vec::new();
        let offset = |part: &str| {
            let from = part.as_ptr() as usize - text.as_ptr() as usize;
            from..from + part.len()
        };
        let (mut cseq, mut session, mut length) = (None, None, None);
        for line in lines {
            let (name, value) = line.split_once(':').ok_or(DecodeError("a header has no colon"))?;
            let token = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
            if name.is_empty() || !name.bytes().all(token) {
                return Err(DecodeError("a header has no name"));
            }
            let value = value.trim();
            let twice = match name.to_ascii_lowercase().as_str() {
                "cseq" => cseq.replace(sequence_number(value)?).is_some(),
                "session" => session
                    .replace(session_id(value).ok_or(DecodeError("Session is no session's name"))?)
                    .is_some(),
                "content-length" => {
                    let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
                    let told = digits.then(|| value.parse::<usize>().unwrap_or(usize::MAX));
                    length.replace(told.ok_or(DecodeError("Content-Length is no number"))?).is_some()
                }
                _ => false,
            };
            if twice {
                return Err(DecodeError("a header stands twice"));
            }
            headers.push((offset(name), offset(value)));
        }
        Ok(Head {
            start,
            cseq: cseq.ok_or(DecodeError("no CSeq"))?,
            session: session.ok_or(DecodeError("no Session"))?,
            length: length.ok_or(DecodeError("no Content-Length"))?,
            headers,
        })
    }
}

/// The number of a `CSeq` header, which may have any value: what is larger than a number that means anything is as large
/// as any.
fn sequence_number(value: &str) -> Result<u32, DecodeError> {
    let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
    if digits { Ok(value.parse().unwrap_or(u32::MAX)) } else { Err(DecodeError("CSeq is no number")) }
}

fn first_line(line: &str) -> Result<Start, DecodeError> {
    let mut words = line.split(' ');
    let (first, second, third) = (words.next(), words.next(), words.next());
    match (first, second, third) {
        (Some("RTSP/1.0"), Some(status), _) if status.len() == 3 => {
            let status = status.parse().ok().filter(|s| (100..600).contains(s));
            Ok(Start::Response { status: status.ok_or(DecodeError("no status"))? })
        }
        (Some(method), Some(uri), Some("RTSP/1.0"))
            if uri.starts_with("rtsp://") && method.bytes().all(|b| is_of_method(&b)) =>
        {
            Ok(Start::Request { method: method.to_owned() })
        }
        _ => Err(DecodeError("the first line is no request and no answer")),
    }
}

/// Most bytes of a set-up's head beside its class and its title.
pub const SET_UP_HEAD: usize = 160;

/// A set-up as it goes to a media host.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct SetUp<'a> {
    /// The session's number.
    pub session: u64,
    /// The name of its class.
    pub class: &'a str,
    /// The title.
    pub title: &'a str,
    /// How long its viewer waits at most, in milliseconds.
    pub patience_ms: u64,
    /// The rung to serve it at.
    pub rung: usize,
    /// The viewer's description of what it can play.
    pub description: &'a [u8],
}

fn head(to: &mut String, method: &str, address: &str, cseq: u32, session: u64) {
    let _ =
        write!(to, "{method} rtsp://media/{address} RTSP/1.0\r\nCSeq: {cseq}\r\nSession: {session:016x}\r\n");
}

/// Writes a set-up.
pub fn set_up(s: &SetUp<'_>) -> Vec<u8> {
    let mut text = String::with_capacity(256 + s.description.len());
    head(&mut text, "SETUP", s.title, cseq::SET_UP, s.session);
    let _ = write!(
        text,
        "Subject: {}\r\nX-Patience: {}\r\nP-Level: {}\r\nContent-Length: {}\r\n\r\n",
        s.class,
        s.patience_ms,
        s.rung,
        s.description.len()
    );
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(s.description);
    bytes
}

/// Writes that a set-up is given up, or with a cause that a session is released.
pub fn teardown(session: u64, cause: Option<u8>) -> Vec<u8> {
    let mut text = String::new();
    head(&mut text, "TEARDOWN", "session", cseq::TEARDOWN, session);
    if let Some(cause) = cause {
        let _ = write!(text, "Reason: cause={cause}\r\n");
    }
    text.push_str("Content-Length: 0\r\n\r\n");
    text.into_bytes()
}

/// Writes a new rung.
pub fn rung(session: u64, rung: usize) -> Vec<u8> {
    let mut text = String::new();
    head(&mut text, "SET_PARAMETER", "session", cseq::OTHER, session);
    let _ = write!(text, "P-Level: {rung}\r\nContent-Length: 0\r\n\r\n");
    text.into_bytes()
}

/// Writes a test, or a call for a load report.
pub fn options(session: u64, load: bool) -> Vec<u8> {
    let mut text = String::new();
    head(&mut text, "OPTIONS", if load { "load" } else { "ping" }, cseq::OPTIONS, session);
    text.push_str("Content-Length: 0\r\n\r\n");
    text.into_bytes()
}

/// Writes an answer with nothing in it.
pub fn response(status: u16, cseq: u32, session: u64) -> Vec<u8> {
    let word = if status == 200 { "OK" } else { "Not Understood" };
    format!(
        "RTSP/1.0 {status} {word}\r\nCSeq: {cseq}\r\nSession: {session:016x}\r\nContent-Length: 0\r\n\r\n"
    )
    .into_bytes()
}
