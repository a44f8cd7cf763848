//! A stand-in for who sells licences: it writes the sheet that gateways count seats by, and signs viewers' tokens.

use std::cell::RefCell;

use elderpick_entitle::keys::{Algorithm, Key, KeySet};
use elderpick_entitle::token::{self, Claims};

use crate::record::now;

/// A licence as it was granted: name, seats, and whether a second device takes over.
pub type Granted = (&'static str, u32, bool);

pub const AUDIENCE: &str = "elderpick-lab";
pub const TENANT: &str = "botany";
/// The class of sessions that takes seats.
pub const CLASS: &str = "course-clip";

/// A span of time and the gateways that count seats in it; microseconds since 1970.
#[derive(Clone, Debug)]
pub struct Term {
    pub from: i64,
    pub until: i64,
    pub gateways: Vec<usize>,
}

pub struct Issuer {
    pub keys: RefCell<KeySet>,
    pub granted: Vec<Granted>,
    pub block: u32,
    pub terms: RefCell<Vec<Term>>,
    /// Times more seats than were granted stand in the sheet: for doubles.
    pub over: u32,
}

fn time(micros: i64) -> String {
    jiff::Timestamp::from_microsecond(micros).map_or_else(|_| String::new(), |t| t.to_string())
}

impl Issuer {
    pub fn new(granted: Vec<Granted>, block: u32, gateways: usize) -> Issuer {
        let mut keys = KeySet::default();
        if let Ok(key) = Key::new("lab-1", Algorithm::EdDsa, rand::random()) {
            let _ = keys.add(key);
        }
        let from = now() - 3_600_000_000;
        let term = Term { from, until: from + 24 * 3_600_000_000, gateways: (0..gateways).collect() };
        Issuer { keys: RefCell::new(keys), granted, block, terms: RefCell::new(vec![term]), over: 1 }
    }

    /// From a moment on, so far from now, other gateways count: a second term.
    pub fn turns(self, after: i64, gateways: Vec<usize>) -> Issuer {
        let turn = (now() + after) / 1_000_000 * 1_000_000;
        let mut terms = self.terms.borrow_mut();
        if let Some(last) = terms.last_mut() {
            let until = std::mem::replace(&mut last.until, turn);
            terms.push(Term { from: turn, until, gateways });
        }
        drop(terms);
        self
    }

    /// What gateways verify with.
    pub fn public_keys(&self) -> String {
        self.keys.borrow().write(false)
    }

    /// The sheet as a settings text; `at` says where gateways are reached.
    pub fn sheet(&self, at: &[(usize, String)]) -> String {
        let at = at.iter().map(|(k, uri)| format!("    {{gateway: {k}, uri: {uri:?}}},\n"));
        let licence = |(name, seats, takes_over): &Granted| {
            let devices = if *takes_over { "take_over" } else { "refuse" };
            let seats = seats * self.over;
            format!(
                "        {{name: {name:?}, tenant: {TENANT:?}, classes: [{CLASS:?}], seats: {seats}, \
                 devices: {devices:?}}},\n"
            )
        };
        let licences: String = self.granted.iter().map(licence).collect();
        let terms = self.terms.borrow();
        let terms = terms.iter().map(|t| {
            let (from, until, gateways) = (time(t.from), time(t.until), &t.gateways);
            format!(
                "    {{from: {from:?}, until: {until:?}, gateways: {gateways:?}, block: {},\n     licences: [\n{licences}    ]}},\n",
                self.block
            )
        });
        format!(
            "// Written by elderpick-lab.\nat: [\n{}]\nterms: [\n{}]\n",
            at.collect::<String>(),
            terms.collect::<String>()
        )
    }

    /// A token for a holder, good for so many microseconds from now, by whole seconds.
    pub fn token(&self, licence: &str, holder: &str, lasts: i64) -> (String, i64) {
        let now = now();
        let expires = (now + lasts) / 1_000_000 * 1_000_000;
        let claims = Claims {
            issuer: Some("lab".into()),
            audience: vec![AUDIENCE.into()],
            holder: holder.into(),
            id: format!("{:016x}", rand::random::<u64>()),
            not_before: None,
            expires,
            tenant: TENANT.into(),
            licence: licence.into(),
            classes: vec![CLASS.into()],
            titles: vec![],
        };
        (token::issue(&claims, &self.keys.borrow()).unwrap_or_default(), expires)
    }
}
