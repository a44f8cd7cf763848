//! Unit tests of `keys.rs`.

use super::*;

#[test]
fn keys_go_to_the_other_side_and_only_with_the_passphrase() {
    let (good, other) =
        (Passphrase::new("ten letters").unwrap(), Passphrase::new("others, also ten").unwrap());
    assert!(Passphrase::new("short").is_none() && !format!("{good:?}").contains("letters"));
    for length in [16, 24, 32] {
        let mut keys = Keys::new([7; 16], &vec![3; length]).unwrap();
        for both in [false, true] {
            if both {
                assert!(keys.renew(Key::Odd, &vec![4; length]) && !keys.renew(Key::Odd, &[1]));
            }
            let message = keys.wrap(&good).unwrap();
            assert_eq!(message.len(), 16 + 16 + 8 + length * if both { 2 } else { 1 });
            assert_eq!(message[..4], [0x12, 0x20, 0x29, if both { 3 } else { 1 }]);
            let there = Keys::unwrap(&good, &message).unwrap();
            let mut payload = *b"a transport stream packet, or so";
            assert!(keys.apply(Key::Even, Seq::new(9), &mut payload));
            assert_ne!(&payload, b"a transport stream packet, or so");
            assert!(there.apply(Key::Even, Seq::new(9), &mut payload));
            assert_eq!(&payload, b"a transport stream packet, or so");
            assert_eq!(there.apply(Key::Odd, Seq::new(9), &mut payload), both);
            assert!(matches!(Keys::unwrap(&other, &message), Err(Unusable::Secret)));
            for k in 0..message.len() {
                assert!(Keys::unwrap(&good, &message[..k]).is_err(), "cut at {k}");
                let mut bad = message.clone();
                bad[k] ^= 0x10;
                // Reserved fields say nothing, and of the salt the wrapping takes in the last half alone.
                let free = (3..14).contains(&k) || (16..24).contains(&k);
                assert!(Keys::unwrap(&good, &bad).is_err() || free, "byte {k}");
            }
        }
    }
}

#[test]
fn each_packet_has_a_stream_of_its_own() {
    let keys = Keys::new([7; 16], &[3; 16]).unwrap();
    let stream = |seq| {
        let mut zeros = [0; 64];
        keys.apply(Key::Even, Seq::new(seq), &mut zeros);
        zeros
    };
    assert_eq!(stream(5), stream(5));
    for seq in 1..2000u32 {
        assert_ne!(stream(0), stream(seq));
    }
}
