//! Unit tests of `packet.rs`.

use proptest::prelude::*;

use super::*;

fn control(control: Control) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_control(&mut bytes, &control, 0x0102_0304, 0x0a0b_0c0d);
    let read = read(&bytes).unwrap();
    assert_eq!(read, Packet::Control { control, stamp: 0x0102_0304, to: 0x0a0b_0c0d });
    bytes
}

#[test]
fn data_is_laid_out_as_figure_3() {
    let mut bytes = Vec::new();
    let data = Data {
        seq: Seq::new(0x7fff_fffe),
        key: Key::Odd,
        again: true,
        message: 0x123_4567,
        stamp: 9,
        to: 0x0a0b_0c0d,
        payload: b"ts",
    };
    write_data(&mut bytes, &data);
    let second = 0b11 << 30 | 0b10 << 27 | 1 << 26 | 0x123_4567u32;
    let mut wanted = vec![0x7f, 0xff, 0xff, 0xfe];
    wanted.extend(second.to_be_bytes());
    wanted.extend([0, 0, 0, 9, 0x0a, 0x0b, 0x0c, 0x0d, b't', b's']);
    assert_eq!((&bytes, read(&bytes)), (&wanted, Ok(Packet::Data(data))));
    assert_eq!(destination(&bytes), Some(0x0a0b_0c0d));
    // In the middle of a message, which live mode has none of; a key of both kinds.
    bytes[4] &= 0x3f;
    assert_eq!(read(&bytes), Err(Malformed::Field("PP")));
    bytes[4] |= 0xd8;
    assert_eq!(read(&bytes), Err(Malformed::Field("KK")));
}

#[test]
fn control_packets_are_laid_out_as_figures_5_and_12_to_19() {
    let head = |kind: u16, second: u32| {
        let mut head = vec![0x80 | (kind >> 8) as u8, kind as u8, 0, 0];
        head.extend(second.to_be_bytes());
        head.extend([1, 2, 3, 4, 0x0a, 0x0b, 0x0c, 0x0d]);
        head
    };
    assert_eq!(control(Control::KeepAlive), head(1, 0));
    assert_eq!(control(Control::Shutdown), head(5, 0));
    assert_eq!(control(Control::AckAck { number: 77 }), head(6, 77));
    let light = control(Control::Ack { number: 0, seq: Seq::new(5), full: None });
    assert_eq!(light, [head(2, 0), vec![0, 0, 0, 5]].concat());
    let told = Told { rtt: 1, variance: 2, room: 3, packets_a_second: 4, capacity: 5, bytes_a_second: 6 };
    let full = control(Control::Ack { number: 9, seq: Seq::new(5), full: Some(told) });
    let fields = [5u32, 1, 2, 3, 4, 5, 6].map(u32::to_be_bytes).concat();
    assert_eq!(full, [head(2, 9), fields].concat());
    let gaps = vec![(Seq::new(3), Seq::new(3)), (Seq::new(0x7fff_ffff), Seq::new(1))];
    let fields = [3u32, 0xffff_ffff, 1].map(u32::to_be_bytes).concat();
    assert_eq!(control(Control::Nak(gaps)), [head(3, 0), fields].concat());
    let drop = Control::DropRequest { message: 4, first: Seq::new(8), last: Seq::new(9) };
    assert_eq!(control(drop), [head(7, 4), [8u32, 9].map(u32::to_be_bytes).concat()].concat());
    let keys = control(Control::Keys { answer: true, content: vec![1, 2, 3, 4] });
    assert_eq!(&keys[..4], [0xff, 0xff, 0, 4]);
}

fn conclusion() -> Handshake {
    let extension = Extension { version: 0x10401, flags: 0xbf, receive_delay: 120, send_delay: 80 };
    Handshake {
        version: 5,
        encryption: 2,
        field: 7,
        seq: Seq::new(99),
        mtu: 1500,
        window: 8192,
        shake: Shake::Conclusion,
        socket: 0x1122_3344,
        cookie: 0x5566_7788,
        address: [0x0100_007f, 0, 0, 0],
        extension: Some((false, extension)),
        keys: Some(vec![0x12, 0x20, 0x29, 1]),
        stream_id: Some("#!::r=carex".into()),
    }
}

#[test]
fn a_handshake_is_laid_out_as_figures_6_to_10() {
    let bytes = control(Control::Handshake(Box::new(conclusion())));
    let words =
        [5u32, 0x0002_0007, 99, 1500, 8192, 0xffff_ffff, 0x1122_3344, 0x5566_7788, 0x0100_007f, 0, 0, 0];
    let extension = [0x0001_0003u32, 0x10401, 0xbf, 0x0078_0050, 0x0003_0001, 0x1220_2901, 0x0005_0003];
    let fixed = [&words[..], &extension].concat().iter().flat_map(|w| w.to_be_bytes()).collect::<Vec<_>>();
    // Words of the id are turned round.
    assert_eq!(bytes[HEADER..], [&fixed[..], b"::!#ac=r\0xer"].concat());
    let lots = Handshake { stream_id: Some("x".repeat(MOST_STREAM_ID)), ..conclusion() };
    control(Control::Handshake(Box::new(lots)));
}

#[test]
fn what_is_cut_anywhere_is_refused_or_shorter_and_never_panics() {
    let mut bytes = Vec::new();
    write_control(&mut bytes, &Control::Handshake(Box::new(conclusion())), 1, 2);
    for cut in 0..bytes.len() {
        let whole = matches!(read(&bytes[..cut]), Ok(Packet::Control { .. }));
        assert_eq!(whole, [64, 80, 88].contains(&cut), "cut at {cut}");
    }
    assert_eq!(read(&[0; MOST + 1]), Err(Malformed::Long));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3000, rng_seed: proptest::test_runner::RngSeed::Fixed(41), ..Default::default() })]
    #[test]
    fn whatever_is_read_is_written_back_the_same(
        kind in 0u8..9, mut bytes in proptest::collection::vec(any::<u8>(), 16..200),
    ) {
        (bytes[0], bytes[1]) = (if kind == 8 { 0x7f & bytes[0] } else { 0x80 }, kind);
        match read(&bytes) {
            Ok(Packet::Data(data)) => {
                let mut again = Vec::new();
                write_data(&mut again, &data);
                prop_assert_eq!(read(&again), Ok(Packet::Data(data)));
            }
            Ok(Packet::Control { control, stamp, to }) => {
                let mut again = Vec::new();
                write_control(&mut again, &control, stamp, to);
                prop_assert_eq!(read(&again), Ok(Packet::Control { control, stamp, to }));
            }
            Err(_) => {}
        }
    }
}
