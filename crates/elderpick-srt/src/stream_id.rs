//! Stream ids by the access-control syntax: `#!::r=title,m=request,u=user` and further keys.

use percent_encoding::{AsciiSet, CONTROLS, percent_decode_str, utf8_percent_encode};

/// What a caller asks for.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct StreamId {
    /// `r`: the title.
    pub resource: String,
    /// `u`: the user.
    pub user: String,
    /// `s`: the player's own id of the session, the same for all its tries.
    pub session: String,
    /// `m`: `request` if it is not told; `publish` and `bidirectional` are the others.
    pub mode: String,
    /// Keys that are not of the standard ones, as `class` and `token`.
    pub others: Vec<(String, String)>,
}

/// Why a stream id is none.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Bad {
    /// It does not begin with `#!::`.
    Form,
    /// A part has no `=`, or a key is there twice.
    Part,
    /// A value's escapes are broken or it is no text.
    Value,
}

/// What values cannot hold as it is. The syntax itself has no escapes; percent-encoding is agreed on here.
const ESCAPED: &AsciiSet = &CONTROLS.add(b',').add(b'=').add(b'%').add(b'#');

impl StreamId {
    pub fn read(text: &str) -> Result<StreamId, Bad> {
        let list = text.strip_prefix("#!::").ok_or(Bad::Form)?;
        let mut id = StreamId { mode: "request".into(), ..StreamId::default() };
        let mut seen: Vec<&str> = Vec::new();
        for part in list.split(',').filter(|part| !part.is_empty()) {
            let (key, value) = part.split_once('=').ok_or(Bad::Part)?;
            if key.is_empty() || seen.contains(&key) {
                return Err(Bad::Part);
            }
            seen.push(key);
            let value = percent_decode_str(value).decode_utf8().map_err(|_| Bad::Value)?.into_owned();
            if value.contains(char::is_control) {
                return Err(Bad::Value);
            }
            match key {
                "r" => id.resource = value,
                "u" => id.user = value,
                "s" => id.session = value,
                "m" => id.mode = value,
                // Whom it is for and of what type it is: there is one kind of each.
                "h" | "t" => {}
                other => id.others.push((other.into(), value)),
            }
        }
        Ok(id)
    }

    pub fn get(&self, key: &str) -> Option<&str> {
        self.others.iter().find(|(k, _)| k == key).map(|(_, v)| &**v)
    }

    pub fn write(&self) -> String {
        let standard = [("r", &self.resource), ("u", &self.user), ("s", &self.session), ("m", &self.mode)];
        let others = self.others.iter().map(|(key, value)| (&**key, value));
        let parts = standard.into_iter().chain(others).filter(|(_, value)| !value.is_empty());
        let parts = parts.map(|(key, value)| format!("{key}={}", utf8_percent_encode(value, ESCAPED)));
        format!("#!::{}", parts.collect::<Vec<_>>().join(","))
    }
}

#[cfg(test)]
#[path = "../tests/unit/stream_id.rs"]
mod tests;
