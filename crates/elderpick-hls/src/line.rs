//! Lines, attribute lists and variables of a playlist.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt;

use url::Url;

/// How much a playlist may hold; what is larger is refused before it is read.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of the whole text.
    pub bytes: usize,
    /// Bytes of one line.
    pub line: usize,
    /// Lines.
    pub lines: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { bytes: 4 << 20, line: 16 << 10, lines: 100_000 }
    }
}

/// Why a text is no usable playlist. `line` counts from 1; 0 concerns the whole text.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Fault {
    /// The line, counted from 1.
    pub line: usize,
    /// What is wrong with it.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "playlist: {}", self.what),
            n => write!(f, "playlist line {n}: {}", self.what),
        }
    }
}

impl std::error::Error for Fault {}

pub(crate) fn fault<T>(line: usize, what: impl Into<String>) -> Result<T, Fault> {
    Err(Fault { line, what: what.into() })
}

/// The lines of a playlist without their ends, numbered from 1, blank lines left out. The first is `#EXTM3U`.
pub(crate) fn lines(text: &[u8], limits: Limits) -> Result<Vec<(usize, &str)>, Fault> {
    if text.len() > limits.bytes {
        return fault(0, format!("{} bytes, {} at most", text.len(), limits.bytes));
    }
    let text = text.strip_prefix(b"\xef\xbb\xbf").unwrap_or(text);
    let text = match std::str::from_utf8(text) {
        Ok(text) => text,
        Err(at) => {
            let upto = &text[..at.valid_up_to()];
            return fault(1 + upto.iter().filter(|&&b| b == b'\n').count(), "not UTF-8");
        }
    };
    let mut lines = Vec::new();
    for (k, line) in text.split('\n').enumerate() {
        let line = line.strip_suffix('\r').unwrap_or(line);
        if line.len() > limits.line {
            return fault(k + 1, format!("{} bytes in one line, {} at most", line.len(), limits.line));
        }
        if line.chars().any(|c| c.is_control() && c != '\t') {
            return fault(k + 1, "a control character");
        }
        if !line.trim().is_empty() {
            lines.push((k + 1, line));
        }
        if lines.len() > limits.lines {
            return fault(k + 1, format!("more than {} lines", limits.lines));
        }
    }
    match lines.first() {
        Some((_, first)) if first.trim_end() == "#EXTM3U" => Ok(lines),
        Some((n, _)) => fault(*n, "does not begin with #EXTM3U"),
        None => fault(0, "empty"),
    }
}

/// The tag's value, where the line is that tag.
pub(crate) fn tag<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let rest = line.strip_prefix(name)?;
    if rest.is_empty() { Some("") } else { rest.strip_prefix(':') }
}

/// One attribute: its name, and where its value stands in the list, quotes included.
struct Attribute<'a> {
    name: &'a str,
    value: std::ops::Range<usize>,
}

fn attributes(list: &str) -> Vec<Attribute<'_>> {
    let bytes = list.as_bytes();
    let (mut found, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let Some(eq) = list[at..].find('=').map(|k| at + k) else { break };
        let mut end = eq + 1;
        if bytes.get(end) == Some(&b'"') {
            end = list[end + 1..].find('"').map_or(bytes.len(), |k| end + 1 + k + 1);
        }
        end = list[end..].find(',').map_or(bytes.len(), |k| end + k);
        found.push(Attribute { name: list[at..eq].trim(), value: eq + 1..end });
        at = end + 1;
    }
    found
}

/// An attribute's value without its quotes.
pub(crate) fn attribute<'a>(list: &'a str, name: &str) -> Option<&'a str> {
    let value = &list[attributes(list).into_iter().find(|a| a.name == name)?.value];
    let value = value.trim();
    Some(value.strip_prefix('"').and_then(|v| v.strip_suffix('"')).unwrap_or(value))
}

/// The list with the quoted value of an attribute replaced, all else as it was.
pub(crate) fn with_attribute(list: &str, name: &str, value: &str) -> String {
    match attributes(list).into_iter().find(|a| a.name == name) {
        Some(a) => format!("{}\"{value}\"{}", &list[..a.value.start], &list[a.value.end..]),
        None => list.to_owned(),
    }
}

/// What EXT-X-DEFINE sets, and what stands for `{$name}`.
#[derive(Clone, Default, PartialEq, Eq, Debug)]
pub struct Variables(BTreeMap<String, String>);

impl Variables {
    /// Takes one EXT-X-DEFINE and gives the line that says the same without the place it was imported from: the
    /// viewer loads the rewritten playlist from another URI and need not know the query of the first.
    pub(crate) fn define(
        &mut self,
        number: usize,
        list: &str,
        imported: &Variables,
        base: &Url,
    ) -> Result<String, Fault> {
        let (name, value) = if let Some(name) = attribute(list, "NAME") {
            let Some(value) = attribute(list, "VALUE") else {
                return fault(number, "EXT-X-DEFINE: NAME without VALUE");
            };
            (name, self.expand(number, value)?.into_owned())
        } else if let Some(name) = attribute(list, "IMPORT") {
            match imported.0.get(name) {
                Some(value) => (name, value.clone()),
                None => return fault(number, format!("EXT-X-DEFINE: nothing to import for {name:?}")),
            }
        } else if let Some(name) = attribute(list, "QUERYPARAM") {
            match base.query_pairs().find(|(key, _)| key == name) {
                Some((_, value)) if !value.is_empty() => (name, value.into_owned()),
                _ => return fault(number, format!("EXT-X-DEFINE: the URI has no parameter {name:?}")),
            }
        } else {
            return fault(number, "EXT-X-DEFINE: none of NAME, IMPORT, QUERYPARAM");
        };
        if value.contains(['"', '\n', '\r']) {
            return fault(number, format!("EXT-X-DEFINE: {name:?} cannot stand in a quoted string"));
        }
        if self.0.insert(name.to_owned(), value.clone()).is_some() {
            return fault(number, format!("EXT-X-DEFINE: {name:?} is defined twice"));
        }
        Ok(format!("#EXT-X-DEFINE:NAME=\"{name}\",VALUE=\"{value}\""))
    }

    /// The text with its variables replaced.
    pub(crate) fn expand<'a>(&self, number: usize, text: &'a str) -> Result<Cow<'a, str>, Fault> {
        if !text.contains("{$") {
            return Ok(Cow::Borrowed(text));
        }
        let (mut out, mut rest) = (String::new(), text);
        while let Some(at) = rest.find("{$") {
            let Some(end) = rest[at..].find('}').map(|k| at + k) else {
                return fault(number, "a variable without its end");
            };
            let name = &rest[at + 2..end];
            let Some(value) = self.0.get(name) else {
                return fault(number, format!("variable {name:?} is not defined"));
            };
            out.push_str(&rest[..at]);
            out.push_str(value);
            rest = &rest[end + 1..];
            if out.len() > 1 << 16 {
                return fault(number, "grows beyond all bounds by its variables");
            }
        }
        Ok(Cow::Owned(out + rest))
    }

    /// The absolute URI of a reference. Segments and playlists must come over HTTP.
    pub(crate) fn resolve(&self, number: usize, base: &Url, reference: &str) -> Result<Url, Fault> {
        let reference = self.expand(number, reference.trim())?;
        match base.join(&reference) {
            Ok(url) if matches!(url.scheme(), "http" | "https") => Ok(url),
            Ok(url) => fault(number, format!("scheme {:?} is not followed", url.scheme())),
            Err(why) => fault(number, format!("no URI: {why}")),
        }
    }

    /// The list with its URI made absolute. Keys may name schemes of their own (`skd:`, `data:`): these stay.
    pub(crate) fn absolute(&self, number: usize, base: &Url, list: &str) -> Result<String, Fault> {
        let Some(old) = attribute(list, "URI") else { return Ok(list.to_owned()) };
        let old = self.expand(number, old)?;
        match base.join(&old) {
            Ok(url) => Ok(with_attribute(list, "URI", url.as_str())),
            Err(why) => fault(number, format!("no URI: {why}")),
        }
    }
}
