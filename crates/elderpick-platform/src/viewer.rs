//! Binary messages between viewers and gateways: `length:2 type:1 session:8`, then parameters `code:1 length:2 value`.

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::{DecodeError, MOST_MESSAGE, rtsp};

/// Types of messages, as the platform numbers them.
pub mod kind {
    /// A viewer asks for a session, or hands one over that plays.
    pub const SET_UP: u8 = 1;
    /// Progress of a session; nothing depends on it.
    pub const PROGRESS: u8 = 6;
    /// The final answer to a set-up: it plays.
    pub const ANSWER: u8 = 9;
    /// A set-up is given up, a session is over, or the final answer that there is none.
    pub const RELEASE: u8 = 12;
    /// A release was received.
    pub const RELEASE_HEARD: u8 = 16;
    /// A viewer asks whether the gateway takes new viewers.
    pub const TEST: u8 = 52;
    /// The answer to that.
    pub const TESTED: u8 = 53;
}

/// Codes of parameters.
pub mod code {
    /// The name of the class.
    pub const CLASS: u8 = 180;
    /// How long the viewer waits, in milliseconds.
    pub const PATIENCE: u8 = 183;
    /// The title.
    pub const TITLE: u8 = 192;
    /// What the deployment knows of title and viewer, as `name:value` pairs.
    pub const FIGURES: u8 = 195;
    /// When to come back, in milliseconds.
    pub const STAY_AWAY: u8 = 198;
    /// The cause of a release or of a test's answer.
    pub const CAUSE: u8 = 222;
    /// A description, the viewer's or the host's.
    pub const DESCRIPTION: u8 = 225;
}

/// Causes of releases, as the platform numbers them.
pub mod cause {
    /// The viewer has given up, or the session came to its usual end.
    pub const GIVEN_UP: u8 = 16;
    /// The viewer ended the session, or was moved.
    pub const ENDED_BY_VIEWER: u8 = 31;
    /// It failed, or was cut.
    pub const FAILED: u8 = 41;
    /// Refused: nothing ran, and asking again is harmless.
    pub const REFUSED: u8 = 42;
    /// What was asked cannot be read.
    pub const UNREADABLE: u8 = 111;
}

/// Bytes of a message before its parameters, its length's own two left out.
const HEAD: usize = 9;

/// One message as it came; its parameters are read by [`Message::parameters`].
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Message {
    /// Its type, one of [`kind`].
    pub kind: u8,
    /// The session's number.
    pub session: u64,
    /// The parameters as they came.
    pub body: Bytes,
}

impl Message {
    /// The parameters, in order.
    pub fn parameters(&self) -> impl Iterator<Item = Result<(u8, &[u8]), DecodeError>> {
        let mut rest = &self.body[..];
        std::iter::from_fn(move || {
            if rest.is_empty() {
                return None;
            }
            let length = rest.get(1..3).map(|l| usize::from(u16::from_be_bytes([l[0], l[1]])));
            let Some(value) = length.and_then(|length| rest.get(3..3 + length)) else {
                rest = &[];
                return Some(Err(DecodeError("a parameter is longer than its message")));
            };
            let code = rest[0];
            rest = &rest[3 + value.len()..];
            Some(Ok((code, value)))
        })
    }

    /// The cause of a release or of a test's answer.
    pub fn cause(&self) -> Result<u8, DecodeError> {
        for parameter in self.parameters() {
            if let (code::CAUSE, value) = parameter? {
                return match value {
                    [cause] => Ok(*cause),
                    _ => Err(DecodeError("a cause has not one byte")),
                };
            }
        }
        Err(DecodeError("a release names no cause"))
    }
}

/// Reads messages from bytes as they come. Holds at most one message and what was read behind it.
#[derive(Default, Debug)]
pub struct Decoder {
    held: BytesMut,
}

impl Decoder {
    /// Adds bytes that were read.
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// The next whole message; `None` until there is one. After an error nothing more can be read.
    pub fn message(&mut self) -> Result<Option<Message>, DecodeError> {
        let Some(length) = self.held.get(..2).map(|l| usize::from(u16::from_be_bytes([l[0], l[1]]))) else {
            return Ok(None);
        };
        if length < HEAD {
            return Err(DecodeError("a message is shorter than its head"));
        }
        if length + 2 > MOST_MESSAGE {
            return Err(DecodeError("a message is longer than any may be"));
        }
        if self.held.len() < length + 2 {
            return Ok(None);
        }
        self.held.advance(2);
        let mut message = self.held.split_to(length).freeze();
        let (kind, session) = (message.get_u8(), message.get_u64());
        Ok(Some(Message { kind, session, body: message }))
    }

    /// Whether part of a message is held.
    pub fn partial(&self) -> bool {
        !self.held.is_empty()
    }
}

/// Writes a message. What does not fit into one is an error: nothing is written then.
pub fn encode(
    to: &mut Vec<u8>,
    kind: u8,
    session: u64,
    parameters: &[(u8, &[u8])],
) -> Result<(), DecodeError> {
    let length = HEAD + parameters.iter().map(|(_, value)| 3 + value.len()).sum::<usize>();
    if length + 2 > MOST_MESSAGE {
        return Err(DecodeError("a message would be longer than any may be"));
    }
    to.put_u16(length as u16);
    to.put_u8(kind);
    to.put_u64(session);
    for (code, value) in parameters {
        to.put_u8(*code);
        to.put_u16(value.len() as u16);
        to.put_slice(value);
    }
    Ok(())
}

/// A set-up, as far as its form tells.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct SetUp {
    /// The session's number.
    pub session: u64,
    /// The name of the class.
    pub class: String,
    /// How long the viewer waits, in milliseconds.
    pub patience_ms: u64,
    /// The title.
    pub title: String,
    /// What the deployment knows of title and viewer.
    pub figures: Figures,
    /// The viewer's description of what it can play.
    pub description: Bytes,
}

/// The figures of parameter 195.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct Figures {
    /// First cell that holds the title.
    pub home: usize,
    /// How many cells hold it, from `home` on.
    pub copies: usize,
    /// The viewer's best rung.
    pub top: Option<usize>,
    /// The media host where the session plays already.
    pub at: Option<String>,
}

/// Most milliseconds that a viewer may say to wait: an hour.
const MOST_PATIENCE: u64 = 3_600_000;
/// Longest name. What a message to a media host can hold is the bound that counts.
const MOST_NAME: usize = 1_024;

fn text(value: &[u8]) -> Result<&str, DecodeError> {
    std::str::from_utf8(value).map_err(|_| DecodeError("a parameter is not text"))
}

/// A name that can stand in an address on the hosts' wire: in any script, without spaces.
fn name(value: &[u8]) -> Result<String, DecodeError> {
    let name = label(value)?;
    if name.contains(char::is_whitespace) { Err(DecodeError("a name holds spaces")) } else { Ok(name) }
}

/// A label that can be the value of a header on the hosts' wire: classes are named as the settings name them.
fn label(value: &[u8]) -> Result<String, DecodeError> {
    let label = text(value)?;
    let fits = !label.is_empty() && label.len() <= MOST_NAME;
    let one_line = label.trim() == label && !label.contains(char::is_control);
    if fits && one_line {
        Ok(label.to_owned())
    } else {
        Err(DecodeError("a name is empty, too long or not plain"))
    }
}

fn number(value: &str) -> Result<u64, DecodeError> {
    let plain = !value.is_empty() && value.len() <= 9 && value.bytes().all(|b| b.is_ascii_digit());
    if plain {
        value.parse().map_err(|_| DecodeError("not a number"))
    } else {
        Err(DecodeError("a figure is no plain number"))
    }
}

impl Figures {
    fn parse(value: &[u8]) -> Result<Figures, DecodeError> {
        let (mut home, mut copies, mut figures) = (None, None, Figures::default());
        for item in text(value)?.split(';').filter(|item| !item.is_empty()) {
            let (key, value) = item.split_once(':').ok_or(DecodeError("a figure has no value"))?;
            match key {
                "home" => home = Some(number(value)? as usize),
                "copies" => copies = Some(number(value)? as usize),
                "top" => figures.top = Some(number(value)? as usize),
                "at" => figures.at = Some(name(value.as_bytes())?),
                _ => {}
            }
        }
        let missing = DecodeError("the figures lack home or copies");
        Ok(Figures { home: home.ok_or(missing)?, copies: copies.ok_or(missing)?, ..figures })
    }
}

impl SetUp {
    /// Reads a set-up. Anything out of its form is an error, parameters that are not known are passed over.
    pub fn parse(message: &Message) -> Result<SetUp, DecodeError> {
        if message.session == 0 {
            return Err(DecodeError("a set-up names no session"));
        }
        let (mut class, mut patience, mut title, mut figures, mut description) =
            (None, None, None, None, None);
        for parameter in message.parameters() {
            let (code, value) = parameter?;
            let twice = match code {
                code::CLASS => class.replace(label(value)?).is_some(),
                code::PATIENCE => patience.replace(number(text(value)?)?).is_some(),
                code::TITLE => title.replace(name(value)?).is_some(),
                code::FIGURES => figures.replace(Figures::parse(value)?).is_some(),
                code::DESCRIPTION => description.replace(message.body.slice_ref(value)).is_some(),
                _ => false,
            };
            if twice {
                return Err(DecodeError("a parameter stands twice"));
            }
        }
        let figures: Figures = figures.ok_or(DecodeError("a set-up has no figures"))?;
        // What plays already waits for no answer, whatever it says.
        let plays = figures.at.is_some();
        let patience_ms =
            patience.or(plays.then_some(0)).ok_or(DecodeError("a set-up does not say how long it waits"))?;
        if !plays && !(1..=MOST_PATIENCE).contains(&patience_ms) {
            return Err(DecodeError("a set-up waits no time or over an hour"));
        }
        let description = description.or(plays.then(Bytes::new));
        let set_up = SetUp {
            session: message.session,
            class: class.ok_or(DecodeError("a set-up names no class"))?,
            patience_ms,
            title: title.ok_or(DecodeError("a set-up names no title"))?,
            figures,
            description: description.ok_or(DecodeError("a set-up has no description"))?,
        };
        if set_up.fits_a_host() {
            Ok(set_up)
        } else {
            Err(DecodeError("a set-up is too long for a media host"))
        }
    }

    /// Whether it fits into a message to a media host, whose head is longer than that of viewers' messages.
    fn fits_a_host(&self) -> bool {
        rtsp::SET_UP_HEAD + self.class.len() + self.title.len() + self.description.len() <= MOST_MESSAGE
    }
}

/// The answer that a session stands, with the description that its media host gave.
pub fn answer(to: &mut Vec<u8>, session: u64, description: &[u8]) -> Result<(), DecodeError> {
    encode(to, kind::ANSWER, session, &[(code::DESCRIPTION, description)])
}

/// A release, a refusal or a failure. `stay_away_ms` is how long the viewer should stay away.
pub fn release(to: &mut Vec<u8>, session: u64, cause: u8, stay_away_ms: Option<u64>) {
    let cause = [cause];
    let away = stay_away_ms.map(|ms| ms.to_string());
    let away = away.as_ref().map(|text| (code::STAY_AWAY, text.as_bytes()));
    let parameters: Vec<_> = [(code::CAUSE, &cause[..])].into_iter().chain(away).collect();
    // A few bytes always fit.
    let _ = encode(to, kind::RELEASE, session, &parameters);
}

/// The answer to a test.
pub fn tested(to: &mut Vec<u8>, session: u64, passed: bool) {
    let _ = encode(to, kind::TESTED, session, &[(code::CAUSE, &[u8::from(passed)])]);
}
