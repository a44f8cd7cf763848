//! Key material and encryption of payloads, section 6 of the draft: AES in counter mode, keys wrapped by RFC 3394 under one
//! that PBKDF2 makes of a passphrase.

use aes::cipher::{KeyIvInit, StreamCipher};
use aes_kw::Kek;
use zeroize::Zeroizing;

use crate::packet::Key;
use crate::seq::Seq;

/// Why key material cannot be used.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Unusable {
    /// It is no key material of a kind that is known here.
    Form,
    /// It was wrapped under another passphrase.
    Secret,
}

/// What both sides know beforehand. 10 to 79 bytes.
#[derive(Clone)]
pub struct Passphrase(Zeroizing<Vec<u8>>);

impl Passphrase {
    pub fn new(text: &str) -> Option<Passphrase> {
        (10..=79).contains(&text.len()).then(|| Passphrase(Zeroizing::new(text.as_bytes().to_vec())))
    }

    fn kek(&self, salt: &[u8; SALT], length: usize) -> Zeroizing<Vec<u8>> {
        let mut kek = Zeroizing::new(vec![0; length]);
        pbkdf2::pbkdf2_hmac::<sha1::Sha1>(&self.0, &salt[SALT - 8..], 2048, &mut kek);
        kek
    }
}

impl std::fmt::Debug for Passphrase {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Passphrase(..)")
    }
}

const SALT: usize = 16;
const FIXED: usize = 16;

/// The keys of one direction: an even and an odd one, so that the next can be known before the last is out of use.
#[derive(Clone)]
pub struct Keys {
    salt: [u8; SALT],
    length: usize,
    even: Option<Zeroizing<Vec<u8>>>,
    odd: Option<Zeroizing<Vec<u8>>>,
}

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (even, odd) = (self.even.is_some(), self.odd.is_some());
        write!(f, "Keys {{ bits: {}, even: {even}, odd: {odd} }}", self.length * 8)
    }
}

fn wrapped(kek: &[u8], key: &[u8]) -> Option<Vec<u8>> {
    let mut out = vec![0; key.len() + 8];
    match kek.len() {
        16 => Kek::from(<[u8; 16]>::try_from(kek).ok()?).wrap(key, &mut out).ok()?,
        24 => Kek::from(<[u8; 24]>::try_from(kek).ok()?).wrap(key, &mut out).ok()?,
        _ => Kek::from(<[u8; 32]>::try_from(kek).ok()?).wrap(key, &mut out).ok()?,
    };
    Some(out)
}

fn unwrapped(kek: &[u8], text: &[u8]) -> Option<Zeroizing<Vec<u8>>> {
    let mut out = Zeroizing::new(vec![0; text.len().checked_sub(8)?]);
    match kek.len() {
        16 => Kek::from(<[u8; 16]>::try_from(kek).ok()?).unwrap(text, &mut out).ok()?,
        24 => Kek::from(<[u8; 24]>::try_from(kek).ok()?).unwrap(text, &mut out).ok()?,
        _ => Kek::from(<[u8; 32]>::try_from(kek).ok()?).unwrap(text, &mut out).ok()?,
    };
    Some(out)
}

impl Keys {
    /// Keys of 16, 24 or 32 bytes; `random` gives salt and key and must not be guessable.
    pub fn new(salt: [u8; SALT], even: &[u8]) -> Option<Keys> {
        let length = even.len();
        let even = Some(Zeroizing::new(even.to_vec()));
        [16, 24, 32].contains(&length).then_some(Keys { salt, length, even, odd: None })
    }

    /// Puts a new key in the place of the one of that kind.
    pub fn renew(&mut self, which: Key, key: &[u8]) -> bool {
        let place = match which {
            Key::Even => &mut self.even,
            Key::Odd => &mut self.odd,
            Key::None => return false,
        };
        let fits = key.len() == self.length;
        if fits {
            *place = Some(Zeroizing::new(key.to_vec()));
        }
        fits
    }

    /// Bytes of a key.
    pub fn length(&self) -> usize {
        self.length
    }

    /// The key material message with all keys there are, section 3.2.2.
    pub fn wrap(&self, secret: &Passphrase) -> Option<Vec<u8>> {
        let which = u8::from(self.even.is_some()) | u8::from(self.odd.is_some()) << 1;
        let mut out = vec![0x12, 0x20, 0x29, which, 0, 0, 0, 0, 2, 0, 2, 0, 0, 0];
        out.extend([(SALT / 4) as u8, (self.length / 4) as u8]);
        out.extend(self.salt);
        let keys = self.even.iter().chain(&self.odd).flat_map(|k| k.iter().copied());
        let keys = Zeroizing::new(keys.collect::<Vec<u8>>());
        out.extend(wrapped(&secret.kek(&self.salt, self.length), &keys)?);
        Some(out)
    }

    /// Reads a key material message.
    pub fn unwrap(secret: &Passphrase, content: &[u8]) -> Result<Keys, Unusable> {
        let (fixed, rest) = content.split_at_checked(FIXED).ok_or(Unusable::Form)?;
        let (which, length) = (fixed[3] & 3, usize::from(fixed[15]) * 4);
        let known = fixed[..3] == [0x12, 0x20, 0x29]
            && fixed[4..8] == [0; 4]
            && fixed[8] == 2
            && usize::from(fixed[14]) * 4 == SALT
            && [16, 24, 32].contains(&length)
            && which != 0;
        let (salt, text) = rest.split_at_checked(SALT).filter(|_| known).ok_or(Unusable::Form)?;
        let count = which.count_ones() as usize;
        if text.len() != count * length + 8 {
            return Err(Unusable::Form);
        }
        let salt: [u8; SALT] = salt.try_into().map_err(|_| Unusable::Form)?;
        let keys = unwrapped(&secret.kek(&salt, length), text).ok_or(Unusable::Secret)?;
        let mut keys = keys.chunks_exact(length).map(|key| Zeroizing::new(key.to_vec()));
        let even = if which & 1 != 0 { keys.next() } else { None };
        let odd = if which & 2 != 0 { keys.next() } else { None };
        Ok(Keys { salt, length, even, odd })
    }

    /// Encrypts or decrypts a payload; the same does both. Whether there is such a key.
    pub fn apply(&self, which: Key, seq: Seq, payload: &mut [u8]) -> bool {
        let key = match which {
            Key::None => return false,
            Key::Even => &self.even,
            Key::Odd => &self.odd,
        };
        let Some(key) = key else { return false };
        // The salt's first 112 bits, with the packet's number over the last 32 of them, and a counter of 16 bits.
        let mut iv = [0; 16];
        iv[..14].copy_from_slice(&self.salt[..14]);
        iv[10..14].iter_mut().zip(seq.number().to_be_bytes()).for_each(|(a, b)| *a ^= b);
        let iv = (&iv).into();
        match self.length {
            16 => ctr::Ctr128BE::<aes::Aes128>::new(key.as_slice().into(), iv).apply_keystream(payload),
            24 => ctr::Ctr128BE::<aes::Aes192>::new(key.as_slice().into(), iv).apply_keystream(payload),
            _ => ctr::Ctr128BE::<aes::Aes256>::new(key.as_slice().into(), iv).apply_keystream(payload),
        }
        true
    }
}

#[cfg(test)]
#[path = "../tests/unit/keys.rs"]
mod tests;
