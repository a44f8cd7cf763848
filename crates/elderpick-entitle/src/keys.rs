//! Keys that sign and verify tokens, kept as a JWK set (RFC 7517; RFC 8037 for Ed25519) with their state.
//!
//! A set changes in service with overlap: a new key signs, the old one goes on verifying what it signed until it is
//! retired or its time is over.

use std::collections::BTreeMap;
use std::fmt;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD as BASE64;
use ed25519_dalek::{Signer, SigningKey, VerifyingKey};
use hmac::{Hmac, Mac};
use serde_json::{Map, Value, json};
use sha2::Sha256;
use zeroize::Zeroizing;

use crate::Micros;
use crate::json;

/// Which algorithm a key is for; a key is never used with another (RFC 8725, 3.1).
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Algorithm {
    /// HMAC with SHA-256. Whoever verifies can also sign.
    Hs256,
    /// Ed25519 (RFC 8037). Gateways hold the public half only.
    EdDsa,
}

impl Algorithm {
    pub fn name(self) -> &'static str {
        match self {
            Algorithm::Hs256 => "HS256",
            Algorithm::EdDsa => "EdDSA",
        }
    }

    pub fn named(name: &str) -> Option<Algorithm> {
        [Algorithm::Hs256, Algorithm::EdDsa].into_iter().find(|a| a.name() == name)
    }
}

/// What a key may be used for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum State {
    /// Signs new tokens and verifies. One key of a set at most.
    Signs,
    Verifies,
    /// Nothing that it signed is taken any more.
    Retired,
}

impl State {
    pub fn name(self) -> &'static str {
        match self {
            State::Signs => "signs",
            State::Verifies => "verifies",
            State::Retired => "retired",
        }
    }

    fn named(name: &str) -> Option<State> {
        [State::Signs, State::Verifies, State::Retired].into_iter().find(|s| s.name() == name)
    }
}

enum Material {
    Secret(Zeroizing<Vec<u8>>),
    Pair { public: Box<VerifyingKey>, private: Option<Box<SigningKey>> },
}

/// One key. What it is made of shows in no message.
pub struct Key {
    pub id: String,
    pub state: State,
    /// It verifies nothing after this, by wall time.
    pub until: Option<Micros>,
    material: Material,
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({}, {}, {})", self.id, self.algorithm().name(), self.state.name())
    }
}

/// Shortest secret of HMAC (RFC 7518, 3.2), in bytes.
const SHORTEST: usize = 32;
const MOST_KEYS: usize = 64;
const MOST_ID: usize = 64;

fn sane_id(id: &str) -> bool {
    (1..=MOST_ID).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}

impl Key {
    /// A key of 32 bytes that the caller drew from a good source.
    pub fn new(id: &str, algorithm: Algorithm, drawn: [u8; 32]) -> Result<Key, String> {
        if !sane_id(id) {
            return Err(format!(
                "a key's id must be 1 to {MOST_ID} letters, digits, '-', '_', '.', found {id:?}"
            ));
        }
        let material = match algorithm {
            Algorithm::Hs256 => Material::Secret(Zeroizing::new(drawn.to_vec())),
            Algorithm::EdDsa => {
                let private = SigningKey::from_bytes(&drawn);
                Material::Pair { public: Box::new(private.verifying_key()), private: Some(Box::new(private)) }
            }
        };
        Ok(Key { id: id.into(), state: State::Signs, until: None, material })
    }

    pub fn algorithm(&self) -> Algorithm {
        match self.material {
            Material::Secret(_) => Algorithm::Hs256,
            Material::Pair { .. } => Algorithm::EdDsa,
        }
    }

    /// Whether the part that signs is here.
    pub fn can_sign(&self) -> bool {
        !matches!(self.material, Material::Pair { private: None, .. })
    }

    pub(crate) fn sign(&self, message: &[u8]) -> Option<Vec<u8>> {
        match &self.material {
            Material::Secret(secret) => {
                let mut mac = Hmac::<Sha256>::new_from_slice(secret).ok()?;
                mac.update(message);
                Some(mac.finalize().into_bytes().to_vec())
            }
            Material::Pair { private, .. } => Some(private.as_ref()?.sign(message).to_bytes().to_vec()),
        }
    }

    /// In constant time for a given length.
    pub(crate) fn verifies(&self, message: &[u8], signature: &[u8]) -> bool {
        match &self.material {
            Material::Secret(secret) => Hmac::<Sha256>::new_from_slice(secret).is_ok_and(|mut mac| {
                mac.update(message);
                mac.verify_slice(signature).is_ok()
            }),
            Material::Pair { public, .. } => ed25519_dalek::Signature::from_slice(signature)
                .is_ok_and(|signature| public.verify_strict(message, &signature).is_ok()),
        }
    }

    fn read(entry: &Map<String, Value>) -> Result<Key, String> {
        let text = |name: &str| entry.get(name).and_then(Value::as_str);
        let id = text("kid").filter(|id| sane_id(id)).ok_or("kid: must name the key")?;
        let bytes = |name: &str| {
            let read = text(name).and_then(|t| BASE64.decode(t).ok()).map(Zeroizing::new);
            read.ok_or_else(|| format!("{name}: must be base64url without padding"))
        };
        let half = |name: &str| -> Result<[u8; 32], String> {
            bytes(name)?.as_slice().try_into().map_err(|_| format!("{name}: must be 32 bytes"))
        };
        let material = match (text("kty"), text("alg")) {
            (Some("oct"), Some("HS256")) => {
                let secret = bytes("k")?;
                if secret.len() < SHORTEST {
                    return Err(format!("k: must be at least {SHORTEST} bytes"));
                }
                Material::Secret(secret)
            }
            (Some("OKP"), Some("EdDSA")) if text("crv") == Some("Ed25519") => {
                let public = VerifyingKey::from_bytes(&half("x")?).map_err(|_| "x: is no key of Ed25519")?;
                let private = match entry.contains_key("d") {
                    true => Some(Box::new(SigningKey::from_bytes(&half("d")?))),
                    false => None,
                };
                if private.as_ref().is_some_and(|p| p.verifying_key() != public) {
                    return Err("d: does not belong to x".into());
                }
                Material::Pair { public: Box::new(public), private }
            }
            _ => return Err("kty, alg: must be oct with HS256, or OKP with EdDSA and Ed25519".into()),
        };
        let state = State::named(text("status").unwrap_or("verifies"))
            .ok_or("status: must be \"signs\", \"verifies\" or \"retired\"")?;
        let until = match entry.get("verifies_until") {
            None => None,
            Some(until) => Some(
                until
                    .as_i64()
                    .and_then(|s| s.checked_mul(1_000_000))
                    .ok_or("verifies_until: must be seconds since 1970")?,
            ),
        };
        Ok(Key { id: id.into(), state, until, material })
    }

    fn write(&self, private: bool) -> Value {
        let mut entry = match &self.material {
            Material::Secret(secret) => json!({ "kty": "oct", "k": BASE64.encode(secret) }),
            Material::Pair { public, private: half } => {
                let mut entry =
                    json!({ "kty": "OKP", "crv": "Ed25519", "x": BASE64.encode(public.as_bytes()) });
                if let Some(half) = half.as_ref().filter(|_| private) {
                    entry["d"] = BASE64.encode(half.to_bytes()).into();
                }
                entry
            }
        };
        entry["kid"] = self.id.clone().into();
        entry["alg"] = self.algorithm().name().into();
        entry["use"] = "sig".into();
        entry["status"] = self.state.name().into();
        if let Some(until) = self.until {
            entry["verifies_until"] = (until / 1_000_000).into();
        }
        entry
    }
}

/// The keys that are known, by id.
#[derive(Default, Debug)]
pub struct KeySet {
    keys: BTreeMap<String, Key>,
}

impl KeySet {
    /// Reads a JWK set whole, or tells what is wrong and where; a key's content is never told.
    pub fn read(text: &[u8]) -> Result<KeySet, String> {
        let set = json::object(text).map_err(|twice| match twice {
            true => "a name stands twice".to_owned(),
            false => "must be a JWK set: {\"keys\": […]}".to_owned(),
        })?;
        let list = set.get("keys").and_then(Value::as_array).ok_or("keys: must be a list")?;
        if list.len() > MOST_KEYS {
            return Err(format!("keys: at most {MOST_KEYS}, found {}", list.len()));
        }
        let mut keys = KeySet::default();
        for (k, entry) in list.iter().enumerate() {
            let entry = entry.as_object().ok_or_else(|| format!("keys[{k}]: must be a record"))?;
            let key = Key::read(entry).map_err(|why| format!("keys[{k}].{why}"))?;
            if key.state == State::Signs && keys.signer().is_some() {
                return Err(format!("keys[{k}].status: one key signs at a time, {} is a second", key.id));
            }
            if let Some(twice) = keys.keys.insert(key.id.clone(), key) {
                return Err(format!("keys[{k}].kid: {:?} stands twice", twice.id));
            }
        }
        Ok(keys)
    }

    /// The set as a file. Without `private` only what verifies is written: for gateways. A secret of HMAC is both.
    pub fn write(&self, private: bool) -> String {
        let keys: Vec<Value> = self.keys.values().map(|k| k.write(private)).collect();
        let text = serde_json::to_string_pretty(&json!({ "keys": keys }));
        text.map_or_else(|_| String::new(), |text| text + "\n")
    }

    /// Adds a key that signs from now on; the one before goes on verifying.
    pub fn add(&mut self, key: Key) -> Result<(), String> {
        if self.keys.contains_key(&key.id) {
            return Err(format!("a key {:?} is there already", key.id));
        }
        if self.keys.len() >= MOST_KEYS {
            return Err(format!("at most {MOST_KEYS} keys: remove retired ones first"));
        }
        for old in self.keys.values_mut().filter(|old| old.state == State::Signs) {
            old.state = State::Verifies;
        }
        self.keys.insert(key.id.clone(), key);
        Ok(())
    }

    /// From `at` on nothing is taken that the key signed; without it from now on.
    pub fn retire(&mut self, id: &str, at: Option<Micros>) -> Result<(), String> {
        let key = self.keys.get_mut(id).ok_or_else(|| format!("there is no key {id:?}"))?;
        if key.state == State::Signs {
            return Err(format!("{id:?} signs: add a new key first, so that tokens can be renewed"));
        }
        match at {
            None => key.state = State::Retired,
            Some(_) => key.until = at,
        }
        Ok(())
    }

    pub fn signer(&self) -> Option<&Key> {
        self.keys.values().find(|k| k.state == State::Signs)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Key> {
        self.keys.values()
    }

    /// The key of a token, if it verifies at this moment.
    pub(crate) fn verifier(&self, id: &str, wall: Micros) -> Option<&Key> {
        self.keys.get(id).filter(|k| k.state != State::Retired && k.until.is_none_or(|until| wall < until))
    }
}

#[cfg(test)]
#[path = "../tests/unit/keys.rs"]
mod tests;
