//! Packets as bytes, by section 3 of the draft. Reading never trusts a length and never allocates more than what came.

use std::fmt;

use crate::seq::Seq;

/// Largest datagram that is read or written: an Ethernet frame's, less IP and UDP headers.
pub const MOST: usize = 1456;
/// Header of every packet.
pub const HEADER: usize = 16;
/// Most bytes of payload in one data packet.
pub const MOST_PAYLOAD: usize = MOST - HEADER;

/// Why bytes are no packet.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Malformed {
    Short,
    Long,
    /// A field that has no such value.
    Field(&'static str),
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Malformed::Short => f.write_str("the packet ends too early"),
            Malformed::Long => f.write_str("the packet is too long"),
            Malformed::Field(name) => write!(f, "{name}: there is no such value"),
        }
    }
}

/// Which key a payload is encrypted by: the field KK of data packets, section 3.1.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Key {
    None,
    Even,
    Odd,
}

/// A data packet, section 3.1. Live mode sends each message in one packet.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Data<'a> {
    pub seq: Seq,
    pub key: Key,
    /// Sent again.
    pub again: bool,
    /// 26 bits.
    pub message: u32,
    pub stamp: u32,
    pub to: u32,
    pub payload: &'a [u8],
}

/// What a handshake packet is, section 3.2.1.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Shake {
    Induction,
    Conclusion,
    /// Any other type, as those of rendezvous, or a rejection's reason from 1000 on.
    Other(u32),
}

/// Reasons of a rejection: those of the draft, and of the access-control codes those that are used here.
pub mod reason {
    pub const PEER: u32 = 1002;
    pub const RESOURCE: u32 = 1003;
    pub const ROGUE: u32 = 1004;
    pub const BACKLOG: u32 = 1005;
    pub const VERSION: u32 = 1008;
    pub const BAD_SECRET: u32 = 1010;
    pub const UNSECURE: u32 = 1011;
    pub const BAD_REQUEST: u32 = 1400;
    pub const UNAUTHORIZED: u32 = 1401;
    pub const OVERLOAD: u32 = 1402;
    pub const FORBIDDEN: u32 = 1403;
    pub const NOT_FOUND: u32 = 1404;
    pub const GATEWAY: u32 = 1502;
    pub const DOWN: u32 = 1503;
}

/// HSREQ and HSRSP, section 3.2.1.1.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Extension {
    pub version: u32,
    pub flags: u32,
    /// Milliseconds.
    pub receive_delay: u16,
    pub send_delay: u16,
}

/// Flags of [`Extension`].
pub mod flag {
    pub const TSBPD_SEND: u32 = 0x1;
    pub const TSBPD_RECEIVE: u32 = 0x2;
    pub const CRYPT: u32 = 0x4;
    pub const DROP: u32 = 0x8;
    pub const PERIODIC_NAK: u32 = 0x10;
    pub const REXMIT: u32 = 0x20;
    pub const STREAM: u32 = 0x40;
}

/// A handshake, section 3.2.1, with the extensions that live mode has.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Handshake {
    pub version: u32,
    /// Key length over 8 as advertised: 0, 2, 3 or 4.
    pub encryption: u16,
    /// The field of extensions; in an induction's answer the magic number.
    pub field: u16,
    pub seq: Seq,
    pub mtu: u32,
    pub window: u32,
    pub shake: Shake,
    pub socket: u32,
    pub cookie: u32,
    /// The peer's address, four little-endian words as the draft has it.
    pub address: [u32; 4],
    /// HSREQ or HSRSP, and which of them.
    pub extension: Option<(bool, Extension)>,
    /// KMREQ or KMRSP: its content, of which [`crate::keys`] knows.
    pub keys: Option<Vec<u8>>,
    pub stream_id: Option<String>,
}

/// In the field of extensions of an induction's answer.
pub const MAGIC: u16 = 0x4a17;
/// Longest stream id.
pub const MOST_STREAM_ID: usize = 512;

/// A control packet's content, section 3.2.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Control {
    Handshake(Box<Handshake>),
    KeepAlive,
    /// All before `seq` has come. A light one has nothing else, and the number 0.
    Ack {
        number: u32,
        seq: Seq,
        full: Option<Told>,
    },
    /// Numbers that are missing: first and last of each gap.
    Nak(Vec<(Seq, Seq)>),
    Shutdown,
    AckAck {
        number: u32,
    },
    DropRequest {
        message: u32,
        first: Seq,
        last: Seq,
    },
    /// Key material sent while a session goes on: KMREQ or KMRSP, section 3.2.2.
    Keys {
        answer: bool,
        content: Vec<u8>,
    },
}

/// What a full ACK tells, section 3.2.4.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Told {
    /// Microseconds.
    pub rtt: u32,
    pub variance: u32,
    /// Packets that find room.
    pub room: u32,
    pub packets_a_second: u32,
    pub capacity: u32,
    pub bytes_a_second: u32,
}

/// Any packet.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Packet<'a> {
    Data(Data<'a>),
    Control { control: Control, stamp: u32, to: u32 },
}

struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn bytes(&mut self, count: usize) -> Result<&'a [u8], Malformed> {
        let (head, rest) = self.0.split_at_checked(count).ok_or(Malformed::Short)?;
        self.0 = rest;
        Ok(head)
    }

    fn u32(&mut self) -> Result<u32, Malformed> {
        let bytes = self.bytes(4)?;
        Ok(u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]))
    }

    fn u16(&mut self) -> Result<u16, Malformed> {
        let bytes = self.bytes(2)?;
        Ok(u16::from_be_bytes([bytes[0], bytes[1]]))
    }
}

/// The socket that a packet is for, without reading the rest; 0 is the listener.
pub fn destination(datagram: &[u8]) -> Option<u32> {
    let word = datagram.get(12..16)?;
    Some(u32::from_be_bytes([word[0], word[1], word[2], word[3]]))
}

/// Reads one datagram.
pub fn read(datagram: &[u8]) -> Result<Packet<'_>, Malformed> {
    if datagram.len() > MOST {
        return Err(Malformed::Long);
    }
    let mut reader = Reader(datagram);
    let (first, second, stamp, to) = (reader.u32()?, reader.u32()?, reader.u32()?, reader.u32()?);
    if first >> 31 == 0 {
        if second >> 30 != 0b11 {
            return Err(Malformed::Field("PP"));
        }
        let key = match second >> 27 & 3 {
            0 => Key::None,
            1 => Key::Even,
            2 => Key::Odd,
            _ => return Err(Malformed::Field("KK")),
        };
        let (again, message) = (second >> 26 & 1 == 1, second & 0x3ff_ffff);
        let seq = Seq::new(first);
        return Ok(Packet::Data(Data { seq, key, again, message, stamp, to, payload: reader.0 }));
    }
    let (kind, subtype) = ((first >> 16) & 0x7fff, first & 0xffff);
    let control = match kind {
        0 => Control::Handshake(Box::new(handshake(&mut reader)?)),
        1 => Control::KeepAlive,
        2 => {
            let seq = Seq::new(reader.u32()?);
            let mut next = || reader.u32();
            // Shorter ones leave out the last fields.
            let full = match (next(), next(), next()) {
                (Ok(rtt), Ok(variance), Ok(room)) => {
                    let mut more = || next().unwrap_or(0);
                    let (packets_a_second, capacity, bytes_a_second) = (more(), more(), more());
                    Some(Told { rtt, variance, room, packets_a_second, capacity, bytes_a_second })
                }
                _ => None,
            };
            Control::Ack { number: second, seq, full }
        }
        3 => Control::Nak(losses(&mut reader)?),
        5 => Control::Shutdown,
        6 => Control::AckAck { number: second },
        7 => {
            let (first, last) = (Seq::new(reader.u32()?), Seq::new(reader.u32()?));
            Control::DropRequest { message: second, first, last }
        }
        0x7fff if subtype == KMREQ || subtype == KMRSP => {
            Control::Keys { answer: subtype == KMRSP, content: reader.0.to_vec() }
        }
        _ => return Err(Malformed::Field("control type")),
    };
    Ok(Packet::Control { control, stamp, to })
}

const HSREQ: u32 = 1;
const HSRSP: u32 = 2;
const KMREQ: u32 = 3;
const KMRSP: u32 = 4;
const SID: u32 = 5;

fn handshake(reader: &mut Reader<'_>) -> Result<Handshake, Malformed> {
    let mut hs = Handshake {
        version: reader.u32()?,
        encryption: reader.u16()?,
        field: reader.u16()?,
        seq: Seq::new(reader.u32()?),
        mtu: reader.u32()?,
        window: reader.u32()?,
        shake: match reader.u32()? {
            1 => Shake::Induction,
            0xffff_ffff => Shake::Conclusion,
            other => Shake::Other(other),
        },
        socket: reader.u32()?,
        cookie: reader.u32()?,
        address: [reader.u32()?, reader.u32()?, reader.u32()?, reader.u32()?],
        extension: None,
        keys: None,
        stream_id: None,
    };
    while hs.version == 5 && !reader.0.is_empty() {
        let (kind, words) = (u32::from(reader.u16()?), usize::from(reader.u16()?));
        let mut content = Reader(reader.bytes(words * 4)?);
        match kind {
            HSREQ | HSRSP => {
                let (version, flags) = (content.u32()?, content.u32()?);
                let (receive_delay, send_delay) = (content.u16()?, content.u16()?);
                hs.extension = Some((kind == HSRSP, Extension { version, flags, receive_delay, send_delay }));
            }
            KMREQ | KMRSP => hs.keys = Some(content.0.to_vec()),
            SID => {
                if content.0.len() > MOST_STREAM_ID {
                    return Err(Malformed::Field("stream id"));
                }
                // Each word of it stands turned round, and zeros fill the last.
                let mut text: Vec<u8> =
                    content.0.chunks_exact(4).flat_map(|w| w.iter().rev().copied()).collect();
                let end = text.iter().position(|&b| b == 0).unwrap_or(text.len());
                text.truncate(end);
                let text = String::from_utf8(text).map_err(|_| Malformed::Field("stream id"))?;
                hs.stream_id = Some(text);
            }
            // Congestion control, filters and groups: live mode needs none of them.
            _ => {}
        }
    }
    Ok(hs)
}

/// Gaps that one NAK may tell of.
const MOST_GAPS: usize = (MOST - HEADER) / 4;

/// A list of losses, appendix A: a single number, or a first one with the highest bit and a last one.
fn losses(reader: &mut Reader<'_>) -> Result<Vec<(Seq, Seq)>, Malformed> {
    let mut gaps = Vec::with_capacity((reader.0.len() / 4).min(MOST_GAPS));
    while !reader.0.is_empty() {
        let word = reader.u32()?;
        let first = Seq::new(word);
        let last = if word >> 31 == 1 { Seq::new(reader.u32()?) } else { first };
        if last.is_before(first) {
            return Err(Malformed::Field("loss list"));
        }
        gaps.push((first, last));
    }
    Ok(gaps)
}

fn put(to: &mut Vec<u8>, words: &[u32]) {
    words.iter().for_each(|word| to.extend_from_slice(&word.to_be_bytes()));
}

/// Appends a data packet.
pub fn write_data(to: &mut Vec<u8>, data: &Data<'_>) {
    let key = match data.key {
        Key::None => 0,
        Key::Even => 1,
        Key::Odd => 2,
    };
    let second = 0b11 << 30 | key << 27 | u32::from(data.again) << 26 | data.message & 0x3ff_ffff;
    put(to, &[data.seq.number(), second, data.stamp, data.to]);
    to.extend_from_slice(data.payload);
}

/// Appends a control packet.
pub fn write_control(to: &mut Vec<u8>, control: &Control, stamp: u32, socket: u32) {
    let (kind, subtype, second) = match control {
        Control::Handshake(_) => (0, 0, 0),
        Control::KeepAlive => (1, 0, 0),
        Control::Ack { number, .. } => (2, 0, *number),
        Control::Nak(_) => (3, 0, 0),
        Control::Shutdown => (5, 0, 0),
        Control::AckAck { number } => (6, 0, *number),
        Control::DropRequest { message, .. } => (7, 0, *message),
        Control::Keys { answer, .. } => (0x7fff, if *answer { KMRSP } else { KMREQ }, 0),
    };
    put(to, &[1 << 31 | kind << 16 | subtype, second, stamp, socket]);
    match control {
        Control::Handshake(hs) => write_handshake(to, hs),
        Control::Ack { seq, full, .. } => {
            put(to, &[seq.number()]);
            if let Some(t) = full {
                put(to, &[t.rtt, t.variance, t.room, t.packets_a_second, t.capacity, t.bytes_a_second]);
            }
        }
        Control::Nak(gaps) => {
            for (first, last) in gaps.iter().take(MOST_GAPS / 2) {
                match first == last {
                    true => put(to, &[first.number()]),
                    false => put(to, &[1 << 31 | first.number(), last.number()]),
                }
            }
        }
        Control::DropRequest { first, last, .. } => put(to, &[first.number(), last.number()]),
        Control::Keys { content, .. } => to.extend_from_slice(content),
        Control::KeepAlive | Control::Shutdown | Control::AckAck { .. } => {}
    }
}

fn write_handshake(to: &mut Vec<u8>, hs: &Handshake) {
    let shake = match hs.shake {
        Shake::Induction => 1,
        Shake::Conclusion => 0xffff_ffff,
        Shake::Other(other) => other,
    };
    put(to, &[hs.version, u32::from(hs.encryption) << 16 | u32::from(hs.field)]);
    put(to, &[hs.seq.number(), hs.mtu, hs.window, shake, hs.socket, hs.cookie]);
    put(to, &hs.address);
    if let Some((answer, e)) = &hs.extension {
        let kind = if *answer { HSRSP } else { HSREQ };
        let delays = u32::from(e.receive_delay) << 16 | u32::from(e.send_delay);
        put(to, &[kind << 16 | 3, e.version, e.flags, delays]);
    }
    if let Some(keys) = &hs.keys {
        let kind = if hs.extension.is_some_and(|(answer, _)| answer) { KMRSP } else { KMREQ };
        put(to, &[kind << 16 | keys.len().div_ceil(4) as u32]);
        to.extend_from_slice(keys);
        to.resize(to.len() + keys.len().next_multiple_of(4) - keys.len(), 0);
    }
    if let Some(id) = &hs.stream_id {
        let mut text = id.as_bytes().to_vec();
        text.resize(text.len().next_multiple_of(4), 0);
        put(to, &[SID << 16 | (text.len() / 4) as u32]);
        to.extend(text.chunks_exact(4).flat_map(|w| w.iter().rev()));
    }
}

#[cfg(test)]
#[path = "../tests/unit/packet.rs"]
mod tests;
