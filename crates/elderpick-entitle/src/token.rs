//! Entitlement tokens: JWS compact serialization (RFC 7515) of JWT claims (RFC 7519), read strictly (RFC 8725).
//!
//! The header holds `alg`, `kid` and perhaps `typ`, nothing else: a token cannot bring its own key, nor ask for a
//! critical extension. The algorithm is the key's; the header may only agree.

use std::fmt;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD as BASE64;
use serde_json::{Map, Value, json};

use crate::Micros;
use crate::json::object;
use crate::keys::KeySet;

/// Longest token that is looked at, in bytes.
pub const MOST: usize = 4096;
/// Longest name in a claim, in bytes.
const MOST_NAME: usize = 128;
const MOST_LIST: usize = 32;
/// Where seconds since 1970 stop to make sense: the year 9999.
const LAST: i64 = 253_402_300_799;

/// What a token says.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Claims {
    /// `iss`, if told.
    pub issuer: Option<String>,
    /// `aud`: for whom the token is.
    pub audience: Vec<String>,
    /// `sub`: who holds it. A holder has one seat of a licence, with however many tokens.
    pub holder: String,
    /// `jti`: the token's own id, by which it is revoked and named in logs.
    pub id: String,
    /// `nbf` and `exp`, as wall time in microseconds.
    pub not_before: Option<Micros>,
    pub expires: Micros,
    pub tenant: String,
    pub licence: String,
    /// Classes of sessions; none named means all of the licence's.
    pub classes: Vec<String>,
    /// Patterns of titles, `*` for any run of characters; none named means all.
    pub titles: Vec<String>,
}

/// Why a token is not taken. No text of the token is in it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Flaw {
    TooLong,
    /// Not three parts of base64url.
    Form,
    /// The header is no record of `alg`, `kid` and `typ`.
    Header,
    /// A name stands twice in the header or the claims.
    Twice,
    /// `none`, an algorithm that is not known, or not that of the key.
    Algorithm,
    UnknownKey,
    Signature,
    /// A claim is missing, or is not what it must be.
    Claims,
    Audience,
    Issuer,
    NotYet,
    Expired,
}

impl Flaw {
    /// What the viewer may know: nothing that helps to make a token.
    pub fn to_viewer(self) -> &'static str {
        match self {
            Flaw::Expired => "the token has expired",
            Flaw::NotYet => "the token is not valid yet",
            Flaw::Audience => "the token is for another service",
            _ => "the token is not valid",
        }
    }
}

impl fmt::Display for Flaw {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Flaw::TooLong => "longer than 4096 bytes",
            Flaw::Form => "not three parts of base64url",
            Flaw::Header => "the header must hold alg and kid, perhaps typ, and nothing else",
            Flaw::Twice => "a name stands twice",
            Flaw::Algorithm => "the algorithm is not that of the key",
            Flaw::UnknownKey => "no such key, or retired",
            Flaw::Signature => "the signature does not match",
            Flaw::Claims => "a claim is missing or not what it must be",
            Flaw::Audience => "for another audience",
            Flaw::Issuer => "from another issuer",
            Flaw::NotYet => "not valid yet",
            Flaw::Expired => "expired",
        })
    }
}

impl std::error::Error for Flaw {}

/// What a verifier asks of tokens.
#[derive(Clone, Debug)]
pub struct Asked {
    pub audience: String,
    pub issuer: Option<String>,
    /// By how much the issuer's clock may differ.
    pub skew: Micros,
}

/// Writes a token with the key of the set that signs.
pub fn issue(claims: &Claims, keys: &KeySet) -> Result<String, String> {
    let key = keys.signer().ok_or("no key of the set signs")?;
    let seconds = |at: Micros| at.div_euclid(1_000_000);
    let mut body = json!({ "aud": claims.audience, "sub": claims.holder, "jti": claims.id,
        "exp": seconds(claims.expires), "tenant": claims.tenant, "licence": claims.licence });
    if let Some(issuer) = &claims.issuer {
        body["iss"] = issuer.clone().into();
    }
    if let Some(at) = claims.not_before {
        body["nbf"] = seconds(at).into();
    }
    for (name, list) in [("classes", &claims.classes), ("titles", &claims.titles)] {
        if !list.is_empty() {
            body[name] = list.clone().into();
        }
    }
    read_claims(body.as_object().unwrap_or(&Map::new()))
        .map_err(|_| "a claim is empty, too long or out of range")?;
    let header = json!({ "alg": key.algorithm().name(), "kid": key.id, "typ": "JWT" });
    let mut text = BASE64.encode(header.to_string()) + "." + &BASE64.encode(body.to_string());
    let signature = key.sign(text.as_bytes());
    let signature = signature.ok_or_else(|| format!("the part of {:?} that signs is not here", key.id))?;
    text = text + "." + &BASE64.encode(signature);
    if text.len() > MOST { Err(format!("the token would be longer than {MOST} bytes")) } else { Ok(text) }
}

/// Reads a token that must be good now.
pub fn verify(text: &str, keys: &KeySet, asked: &Asked, wall: Micros) -> Result<Claims, Flaw> {
    let (parts, head) = open(text)?;
    let [header, body, signature] = parts;
    let told = head.get("alg").and_then(Value::as_str).ok_or(Flaw::Header)?;
    let id = head.get("kid").and_then(Value::as_str).ok_or(Flaw::Header)?;
    let key = keys.verifier(id, wall).ok_or(Flaw::UnknownKey)?;
    if told != key.algorithm().name() {
        return Err(Flaw::Algorithm);
    }
    let signature = BASE64.decode(signature).map_err(|_| Flaw::Form)?;
    if !key.verifies(&text.as_bytes()[..header.len() + 1 + body.len()], &signature) {
        return Err(Flaw::Signature);
    }
    // Only now is what it says of any interest.
    let claims = claims(body)?;
    if !claims.audience.contains(&asked.audience) {
        return Err(Flaw::Audience);
    }
    if asked.issuer.is_some() && asked.issuer != claims.issuer {
        return Err(Flaw::Issuer);
    }
    if claims.not_before.is_some_and(|at| wall + asked.skew < at) {
        return Err(Flaw::NotYet);
    }
    if wall >= claims.expires + asked.skew {
        return Err(Flaw::Expired);
    }
    Ok(claims)
}

/// What a token says and which key it names, not verified: for people who look into one.
pub fn inspect(text: &str) -> Result<(String, String, Claims), Flaw> {
    let ([_, body, _], head) = open(text)?;
    let text = |name: &str| head.get(name).and_then(Value::as_str).unwrap_or_default().to_owned();
    Ok((text("alg"), text("kid"), claims(body)?))
}

fn open(text: &str) -> Result<([&str; 3], Map<String, Value>), Flaw> {
    if text.len() > MOST {
        return Err(Flaw::TooLong);
    }
    let mut parts = text.split('.');
    let (Some(header), Some(body), Some(signature), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(Flaw::Form);
    };
    let head = decode(header)?;
    if head.keys().any(|name| !matches!(name.as_str(), "alg" | "kid" | "typ")) {
        return Err(Flaw::Header);
    }
    let typ = head.get("typ").map(|t| t.as_str().is_some_and(|t| t.eq_ignore_ascii_case("JWT")));
    if typ == Some(false) {
        return Err(Flaw::Header);
    }
    if head.get("alg").and_then(Value::as_str).is_some_and(|a| crate::keys::Algorithm::named(a).is_none()) {
        return Err(Flaw::Algorithm);
    }
    Ok(([header, body, signature], head))
}

fn decode(part: &str) -> Result<Map<String, Value>, Flaw> {
    let bytes = BASE64.decode(part).map_err(|_| Flaw::Form)?;
    object(&bytes).map_err(|twice| if twice { Flaw::Twice } else { Flaw::Form })
}

fn claims(body: &str) -> Result<Claims, Flaw> {
    read_claims(&decode(body)?)
}

fn read_claims(body: &Map<String, Value>) -> Result<Claims, Flaw> {
    let sane = |s: &&str| (1..=MOST_NAME).contains(&s.len()) && !s.chars().any(char::is_control);
    let name = |key: &str| body.get(key).and_then(Value::as_str).filter(sane).map(str::to_owned);
    let list = |key: &str, alone: bool| match body.get(key) {
        None => Ok(Vec::new()),
        Some(Value::String(one)) if alone && sane(&&**one) => Ok(vec![one.clone()]),
        Some(Value::Array(all)) if all.len() <= MOST_LIST => {
            let all = all.iter().map(|v| v.as_str().filter(sane).map(str::to_owned));
            all.collect::<Option<Vec<_>>>().ok_or(Flaw::Claims)
        }
        Some(_) => Err(Flaw::Claims),
    };
    // Seconds may have a fraction (RFC 7519, 2); it is cut off.
    let seconds = |key: &str| {
        let told = body.get(key)?;
        let whole = told.as_i64().or_else(|| told.as_f64().map(|s| s as i64));
        Some(whole.filter(|s| (0..=LAST).contains(s)).map(|s| s * 1_000_000).ok_or(Flaw::Claims))
    };
    Ok(Claims {
        issuer: match body.get("iss") {
            None => None,
            Some(_) => Some(name("iss").ok_or(Flaw::Claims)?),
        },
        audience: list("aud", true)?,
        holder: name("sub").ok_or(Flaw::Claims)?,
        id: name("jti").ok_or(Flaw::Claims)?,
        not_before: seconds("nbf").transpose()?,
        expires: seconds("exp").ok_or(Flaw::Claims)??,
        tenant: name("tenant").ok_or(Flaw::Claims)?,
        licence: name("licence").ok_or(Flaw::Claims)?,
        classes: list("classes", true)?,
        titles: list("titles", true)?,
    })
}

impl Claims {
    pub fn allows_class(&self, class: &str) -> bool {
        self.classes.is_empty() || self.classes.iter().any(|c| c == class)
    }

    pub fn allows_title(&self, title: &str) -> bool {
        self.titles.is_empty() || self.titles.iter().any(|p| matches(p.as_bytes(), title.as_bytes()))
    }
}

/// Whether a title fits a pattern, in time of their lengths multiplied at worst.
fn matches(pattern: &[u8], title: &[u8]) -> bool {
    let (mut p, mut t) = (0, 0);
    let mut star: Option<(usize, usize)> = None;
    while t < title.len() {
        if pattern.get(p) == Some(&b'*') {
            star = Some((p, t));
            p += 1;
        } else if pattern.get(p) == Some(&title[t]) {
            (p, t) = (p + 1, t + 1);
        } else if let Some((at, from)) = star {
            // The last star takes one more.
            star = Some((at, from + 1));
            (p, t) = (at + 1, from + 1);
        } else {
            return false;
        }
    }
    pattern[p..].iter().all(|&b| b == b'*')
}

#[cfg(test)]
#[path = "../tests/unit/token.rs"]
mod tests;
