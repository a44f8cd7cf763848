//! The list of what is revoked.

use std::collections::BTreeSet;

/// What is withdrawn, by name.
#[derive(Clone, PartialEq, Eq, Default, Hash, Debug)]
pub struct Revoked {
    pub tokens: BTreeSet<String>,
    pub holders: BTreeSet<String>,
    pub licences: BTreeSet<String>,
}

/// Most lines of a list of what is revoked.
const MOST_REVOKED: usize = 1_000_000;

impl Revoked {
    /// Reads a list whole: a line each of `token ID`, `holder NAME` or `licence NAME`; `#` begins a comment.
    pub fn read(file: &str, text: &str) -> Result<Revoked, String> {
        let mut list = Revoked::default();
        for (k, line) in text.lines().enumerate().map(|(k, l)| (k + 1, l.trim())) {
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let (what, name) = line.split_once(char::is_whitespace).unwrap_or((line, ""));
            let to = match what {
                "token" => &mut list.tokens,
                "holder" => &mut list.holders,
                "licence" => &mut list.licences,
                _ => {
                    return Err(format!(
                        "{file}:{k}: must begin with token, holder or licence, found {what:?}"
                    ));
                }
            };
            let name = name.trim();
            if name.is_empty() {
                return Err(format!("{file}:{k}: {what}: must be followed by a name"));
            }
            to.insert(name.to_owned());
            if k > MOST_REVOKED {
                return Err(format!("{file}: at most {MOST_REVOKED} lines"));
            }
        }
        Ok(list)
    }

    pub(super) fn names(&self, token: &str, holder: &str, licence: &str) -> bool {
        self.tokens.contains(token) || self.holders.contains(holder) || self.licences.contains(licence)
    }
}
