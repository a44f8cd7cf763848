//! Unit tests of `token.rs`.

use super::*;
use crate::keys::{Algorithm, Key};

const NOW: Micros = 1_700_000_000_000_000;

fn keys(algorithm: Algorithm) -> KeySet {
    let mut keys = KeySet::default();
    keys.add(Key::new("k1", algorithm, [9; 32]).unwrap()).unwrap();
    keys
}

fn asked() -> Asked {
    Asked { audience: "front".into(), issuer: Some("desk".into()), skew: 2_000_000 }
}

fn claims() -> Claims {
    Claims {
        issuer: Some("desk".into()),
        audience: vec!["front".into()],
        holder: "viewer-7".into(),
        id: "t-1".into(),
        not_before: Some(NOW),
        expires: NOW + 60_000_000,
        tenant: "botany".into(),
        licence: "course-101".into(),
        classes: vec!["exam-sheet".into()],
        titles: vec!["carex-*".into(), "*-2026".into()],
    }
}

fn forged(header: &str, body: &str, key: &KeySet) -> String {
    let text = BASE64.encode(header) + "." + &BASE64.encode(body);
    let signature = key.signer().unwrap().sign(text.as_bytes()).unwrap();
    text + "." + &BASE64.encode(signature)
}

const BODY: &str =
    r#"{"aud":"front","iss":"desk","sub":"v","jti":"t","exp":1700000060,"tenant":"b","licence":"c"}"#;

#[test]
fn what_is_issued_is_verified_with_either_algorithm_and_public_keys_are_enough() {
    for algorithm in [Algorithm::Hs256, Algorithm::EdDsa] {
        let keys = keys(algorithm);
        let text = issue(&claims(), &keys).unwrap();
        let public = KeySet::read(keys.write(false).as_bytes()).unwrap();
        assert_eq!(verify(&text, &public, &asked(), NOW), Ok(claims()));
        assert_eq!(inspect(&text).unwrap().2, claims());
    }
    let good = forged(r#"{"alg":"HS256","kid":"k1"}"#, BODY, &keys(Algorithm::Hs256));
    assert!(verify(&good, &keys(Algorithm::Hs256), &asked(), NOW).is_ok());
}

#[test]
fn times_are_kept_with_the_skew_to_the_microsecond() {
    let keys = keys(Algorithm::Hs256);
    let text = issue(&claims(), &keys).unwrap();
    let at = |wall| verify(&text, &keys, &asked(), wall).err();
    assert_eq!(at(NOW - 2_000_001), Some(Flaw::NotYet));
    assert_eq!(at(NOW - 2_000_000), None);
    assert_eq!(at(NOW + 61_999_999), None);
    assert_eq!(at(NOW + 62_000_000), Some(Flaw::Expired));
}

#[test]
fn forgeries_are_refused_each_for_its_reason() {
    let (hmac, pair) = (keys(Algorithm::Hs256), keys(Algorithm::EdDsa));
    let (h, e) = (r#"{"alg":"HS256","kid":"k1"}"#, r#"{"alg":"EdDSA","kid":"k1"}"#);
    // The public key of Ed25519 used as a secret of HMAC: the classic confusion.
    let public: Value = serde_json::from_str(&pair.write(false)).unwrap();
    let x = BASE64.decode(public["keys"][0]["x"].as_str().unwrap()).unwrap();
    let mut confused = KeySet::default();
    confused.add(Key::new("k1", Algorithm::Hs256, x.try_into().unwrap()).unwrap()).unwrap();
    let none = BASE64.encode(r#"{"alg":"none","kid":"k1"}"#) + "." + &BASE64.encode(BODY) + ".";
    let twice = BODY.replace("\"sub\":\"v\"", "\"sub\":\"v\",\"sub\":\"w\"");
    let cases = [
        (forged(h, BODY, &confused), &pair, Flaw::Algorithm),
        (forged(e, BODY, &confused), &pair, Flaw::Signature),
        (none, &hmac, Flaw::Algorithm),
        (forged(r#"{"alg":"HS256","kid":"k2"}"#, BODY, &hmac), &hmac, Flaw::UnknownKey),
        (forged(r#"{"alg":"HS256"}"#, BODY, &hmac), &hmac, Flaw::Header),
        (forged(r#"{"alg":"HS256","kid":"k1","crit":["exp"]}"#, BODY, &hmac), &hmac, Flaw::Header),
        (forged(r#"{"alg":"HS256","kid":"k1","jwk":{}}"#, BODY, &hmac), &hmac, Flaw::Header),
        (forged(r#"{"alg":"HS256","alg":"HS256","kid":"k1"}"#, BODY, &hmac), &hmac, Flaw::Twice),
        (forged(h, &twice, &hmac), &hmac, Flaw::Twice),
        (forged(h, &BODY.replace("front", "back"), &hmac), &hmac, Flaw::Audience),
        (forged(h, &BODY.replace("desk", "desc"), &hmac), &hmac, Flaw::Issuer),
        (forged(h, &BODY.replace("\"jti\":\"t\",", ""), &hmac), &hmac, Flaw::Claims),
        (forged(h, &BODY.replace("1700000060", "1e300"), &hmac), &hmac, Flaw::Claims),
        (forged(h, &BODY.replace("\"v\"", "\"\""), &hmac), &hmac, Flaw::Claims),
        (forged(h, "[]", &hmac), &hmac, Flaw::Form),
        ("x".repeat(MOST + 1), &hmac, Flaw::TooLong),
        (String::new(), &hmac, Flaw::Form),
        ("a.b.c.d".into(), &hmac, Flaw::Form),
    ];
    for (text, keys, flaw) in cases {
        assert_eq!(verify(&text, keys, &asked(), NOW), Err(flaw), "{text}");
        assert!(!flaw.to_viewer().contains("key") && !flaw.to_viewer().contains("signature"));
    }
}

#[test]
fn no_cut_and_no_flipped_bit_passes() {
    for algorithm in [Algorithm::Hs256, Algorithm::EdDsa] {
        let keys = keys(algorithm);
        let good = issue(&claims(), &keys).unwrap();
        for cut in 0..good.len() {
            assert!(verify(&good[..cut], &keys, &asked(), NOW).is_err(), "cut at {cut}");
        }
        for at in 0..good.len() {
            let mut bytes = good.clone().into_bytes();
            bytes[at] ^= 1;
            let Ok(text) = String::from_utf8(bytes) else { continue };
            assert!(verify(&text, &keys, &asked(), NOW).is_err(), "flipped at {at}");
        }
    }
}

#[test]
fn titles_fit_patterns() {
    let fits = |p: &str, t: &str| matches(p.as_bytes(), t.as_bytes());
    assert!(fits("*", "") && fits("a*c*e", "abcde") && fits("a", "a") && fits("a**", "a"));
    assert!(!fits("", "a") && !fits("a*c", "ab") && !fits("a", "ab") && !fits("*b", "ab-"));
    let claims = claims();
    assert!(claims.allows_title("carex-nigra") && claims.allows_title("exam-2026"));
    assert!(!claims.allows_title("poa") && !claims.allows_class("sheet-zoom"));
}
