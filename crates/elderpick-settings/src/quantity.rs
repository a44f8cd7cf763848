//! Strings that stand for a quantity.

use std::net::SocketAddr;

/// What a string must be.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Unit {
    Duration,
    Size,
    Rate,
    Address,
}

impl Unit {
    pub fn named(name: &str) -> Option<Unit> {
        Some(match name {
            "duration" => Unit::Duration,
            "size" => Unit::Size,
            "rate" => Unit::Rate,
            "address" => Unit::Address,
            _ => return None,
        })
    }

    pub fn says(self) -> &'static str {
        match self {
            Unit::Duration => "a duration such as \"1.5s\"",
            Unit::Size => "a size such as \"64KiB\"",
            Unit::Rate => "a rate such as \"800kB/s\"",
            Unit::Address => "an address such as \"127.0.0.1:8080\"",
        }
    }

    /// Microseconds, bytes, or bytes a second; 0 for an address.
    pub fn value(self, text: &str) -> Option<i64> {
        match self {
            Unit::Duration => {
                let span: jiff::SignedDuration = text.trim().parse().ok()?;
                i64::try_from(span.as_micros()).ok()
            }
            Unit::Size => bytes(text),
            Unit::Rate => bytes(text.trim().strip_suffix("/s")?),
            Unit::Address => text.parse::<SocketAddr>().ok().map(|_| 0),
        }
    }
}

fn bytes(text: &str) -> Option<i64> {
    let text = text.trim();
    let at = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (number, unit) = (&text[..at], text[at..].trim_start());
    let times = match unit {
        "B" => 1.0,
        "kB" => 1e3,
        "MB" => 1e6,
        "GB" => 1e9,
        "KiB" => 1024.0,
        "MiB" => 1048576.0,
        "GiB" => 1073741824.0,
        _ => return None,
    };
    let value = number.parse::<f64>().ok()? * times;
    (value < 9e15).then_some(value.round() as i64)
}
