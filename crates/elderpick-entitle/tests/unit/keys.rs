//! Unit tests of `keys.rs`.

use super::*;

fn set(ids: &[&str]) -> KeySet {
    let mut keys = KeySet::default();
    for (k, id) in ids.iter().enumerate() {
        let algorithm = [Algorithm::Hs256, Algorithm::EdDsa][k % 2];
        keys.add(Key::new(id, algorithm, [k as u8 + 1; 32]).unwrap()).unwrap();
    }
    keys
}

#[test]
fn a_set_is_written_and_read_and_its_public_form_cannot_sign() {
    let keys = set(&["a", "b"]);
    let back = KeySet::read(keys.write(true).as_bytes()).unwrap();
    assert_eq!(back.signer().map(|k| (&*k.id, k.can_sign())), Some(("b", true)));
    let public = KeySet::read(keys.write(false).as_bytes()).unwrap();
    assert_eq!(public.signer().map(|k| (&*k.id, k.can_sign())), Some(("b", false)));
    assert!(!keys.write(false).contains("\"d\""));
    assert!(!format!("{keys:?}").contains(&BASE64.encode([1; 32])), "no secret in messages");
}

#[test]
fn the_old_key_verifies_until_it_is_retired_and_the_signer_cannot_be() {
    let mut keys = set(&["a", "b"]);
    assert!(keys.verifier("a", 5).is_some());
    assert!(keys.retire("b", None).is_err());
    keys.retire("a", Some(10)).unwrap();
    assert!(keys.verifier("a", 9).is_some() && keys.verifier("a", 10).is_none());
    keys.retire("a", None).unwrap();
    assert!(keys.verifier("a", 0).is_none());
    assert!(keys.retire("c", None).is_err());
}

#[test]
fn what_is_wrong_with_a_set_is_told_without_its_secrets() {
    let secret = BASE64.encode([7; 31]);
    let cases = [
        ("[]", "JWK set"),
        ("{\"keys\":[],\"keys\":[]}", "twice"),
        ("{\"keys\":[{\"kid\":\"a\",\"kty\":\"RSA\",\"alg\":\"RS256\"}]}", "keys[0].kty"),
        ("{\"keys\":[{\"kid\":\"\",\"kty\":\"oct\",\"alg\":\"HS256\"}]}", "keys[0].kid"),
    ];
    for (text, told) in cases {
        let why = KeySet::read(text.as_bytes()).unwrap_err();
        assert!(why.contains(told), "{text}: {why}");
    }
    let short = json!({ "keys": [{ "kid": "a", "kty": "oct", "alg": "HS256", "k": secret }] }).to_string();
    let why = KeySet::read(short.as_bytes()).unwrap_err();
    assert!(why.contains("32 bytes") && !why.contains(&secret), "{why}");
    let two = set(&["a", "c"]).write(true).replace("verifies", "signs");
    assert!(KeySet::read(two.as_bytes()).unwrap_err().contains("one key signs"));
}
