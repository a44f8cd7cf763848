//! Playlists as media hosts write them, and what a session's viewer gets.

use std::collections::BTreeMap;

use elderpick_hls::{Limits, Media, Multivariant, Part, Reveal, Timeline, Variables};
use url::Url;

fn base() -> Url {
    Url::parse("http://127.0.0.1:9000/s/abc/index.m3u8?pass=k1").unwrap()
}

fn media(text: &str) -> Media {
    Media::parse(text.as_bytes(), &base(), &Variables::default(), Limits::default()).unwrap()
}

fn path(part: Part) -> String {
    match part {
        Part::Main => "/s/T/v.m3u8".into(),
        Part::Rendition(k) => format!("/s/T/r{k}.m3u8"),
    }
}

const MULTI: &str = "\u{feff}#EXTM3U\r\n#EXT-X-VERSION:12\r\n#EXT-X-DEFINE:QUERYPARAM=\"pass\"\r\n\
#EXT-X-VENDOR-THING:a=\"b,c\"\r\n\
#EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID=\"low\",NAME=\"en\",URI=\"audio/low.m3u8\"\r\n\
#EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID=\"high\",NAME=\"en, fr\",URI=\"audio/high.m3u8?p={$pass}\"\r\n\
#EXT-X-STREAM-INF:BANDWIDTH=2000000,CODECS=\"avc1,mp4a\",AUDIO=\"high\"\r\nr1/index.m3u8\r\n\
#EXT-X-STREAM-INF:BANDWIDTH=800000,AUDIO=\"low\"\r\n/abs/r0.m3u8\r\n\
#EXT-X-I-FRAME-STREAM-INF:BANDWIDTH=90000,URI=\"iframes.m3u8\"\r\n\
#EXT-X-SESSION-KEY:METHOD=AES-128,URI=\"key\"\r\n#EXT-X-CONTENT-STEERING:SERVER-URI=\"/steer\"\r\n";

#[test]
fn a_multivariant_playlist_becomes_one_with_the_rung_in_force() {
    let multi = Multivariant::parse(MULTI.as_bytes(), &base(), Limits::default()).unwrap();
    assert_eq!(multi.variants[0].uri.as_str(), "http://127.0.0.1:9000/s/abc/r1/index.m3u8");
    assert_eq!(multi.renditions[1].uri.as_str(), "http://127.0.0.1:9000/s/abc/audio/high.m3u8?p=k1");
    let ladder = [800_000, 2_000_000];
    assert_eq!([multi.variant_for(0, &ladder), multi.variant_for(1, &ladder)], [1, 0]);
    assert_eq!(multi.variant_for(1, &[1, 900_000, 5_000_000]), 1);
    let text = multi.for_session(0, path);
    assert_eq!(
        text,
        "#EXTM3U\n#EXT-X-VERSION:12\n#EXT-X-DEFINE:NAME=\"pass\",VALUE=\"k1\"\n#EXT-X-VENDOR-THING:a=\"b,c\"\n\
         #EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID=\"high\",NAME=\"en, fr\",URI=\"/s/T/r1.m3u8\"\n\
         #EXT-X-STREAM-INF:BANDWIDTH=2000000,CODECS=\"avc1,mp4a\",AUDIO=\"high\"\n/s/T/v.m3u8\n\
         #EXT-X-I-FRAME-STREAM-INF:BANDWIDTH=90000,URI=\"/s/T/r2.m3u8\"\n\
         #EXT-X-SESSION-KEY:METHOD=AES-128,URI=\"http://127.0.0.1:9000/s/abc/key\"\n"
    );
    // What was rewritten can be read again and is the same thing.
    let again = Multivariant::parse(text.as_bytes(), &base(), Limits::default()).unwrap();
    assert_eq!((again.variants.len(), again.renditions.len()), (1, 2));
    assert_eq!(again.for_session(0, path).lines().count(), text.lines().count());
}

fn vod(rung: usize, count: usize) -> String {
    let mut text = String::from("#EXTM3U\n#EXT-X-TARGETDURATION:2\n#EXT-X-PLAYLIST-TYPE:VOD\n");
    text += &format!("#EXT-X-MAP:URI=\"r{rung}/init.mp4\"\n");
    for k in 0..count {
        text += &format!("#EXTINF:2.0,\nr{rung}/{k}.m4s\n");
    }
    text + "#EXT-X-ENDLIST\n"
}

#[test]
fn a_change_of_rung_takes_the_segments_not_yet_listed_with_their_own_map() {
    let (low, high) = (media(&vod(0, 5)), media(&vod(1, 5)));
    let of = BTreeMap::from([(0, &low), (1, &high)]);
    let mut timeline = Timeline::new(1);
    let first = timeline.shape(&of, Reveal::Until(2_000_000)).unwrap();
    assert!(first.text.contains("PLAYLIST-TYPE:EVENT") && !first.text.contains("ENDLIST") && !first.ended);
    assert_eq!(first.text.matches("r1/").count(), 3, "map and two segments: {}", first.text);
    timeline.change(0);
    let second = timeline.shape(&of, Reveal::Until(100_000_000)).unwrap();
    let listed = first.text.lines().filter(|l| l.starts_with("http")).collect::<Vec<_>>();
    assert!(second.text.contains(&listed.join("\n#EXTINF:2.0,\n")), "a list only grows");
    let tail = &second.text[second.text.find("#EXT-X-DISCONTINUITY").unwrap()..];
    assert_eq!(
        tail,
        "#EXT-X-DISCONTINUITY\n#EXT-X-MAP:URI=\"http://127.0.0.1:9000/s/abc/r0/init.mp4\"\n\
         #EXTINF:2.0,\nhttp://127.0.0.1:9000/s/abc/r0/2.m4s\n#EXTINF:2.0,\nhttp://127.0.0.1:9000/s/abc/r0/3.m4s\n\
         #EXTINF:2.0,\nhttp://127.0.0.1:9000/s/abc/r0/4.m4s\n#EXT-X-ENDLIST\n"
    );
    assert!(second.ended);
}

#[test]
fn discontinuities_put_into_a_live_list_are_counted_when_they_leave_it() {
    let live = |rung: usize, first: usize| {
        let mut text = format!("#EXTM3U\n#EXT-X-TARGETDURATION:2\n#EXT-X-MEDIA-SEQUENCE:{first}\n");
        (first..first + 3).for_each(|k| text += &format!("#EXTINF:2,\nr{rung}/{k}.ts\n"));
        media(&text)
    };
    let mut timeline = Timeline::new(0);
    let mut sequences = Vec::new();
    for first in 10..17 {
        let (a, b) = (live(0, first), live(1, first));
        let shaped = timeline.shape(&BTreeMap::from([(0, &a), (1, &b)]), Reveal::All).unwrap();
        let sequence =
            shaped.text.split("DISCONTINUITY-SEQUENCE:").nth(1).map_or("0", |t| t.lines().next().unwrap());
        let inside = shaped.text.matches("#EXT-X-DISCONTINUITY\n").count();
        sequences.push((sequence.parse::<usize>().unwrap(), inside));
        if first == 10 {
            timeline.change(1);
        }
    }
    // Segment 13 is the first at rung 1: it leaves the inner part of the list when it is first, at 13.
    assert_eq!(sequences, [(0, 0), (0, 1), (0, 1), (1, 0), (1, 0), (1, 0), (1, 0)]);
    assert_eq!(timeline.rungs_from(16), [1]);
}

#[test]
fn ranges_keys_parts_and_strange_lines_survive() {
    let text = "#EXTM3U\n#EXT-X-TARGETDURATION:4\n#EXT-X-SERVER-CONTROL:CAN-BLOCK-RELOAD=YES,CAN-SKIP-UNTIL=24.0\n\
                #EXT-X-PART-INF:PART-TARGET=1\n#EXT-X-ODD\n#EXT-X-KEY:METHOD=AES-128,URI=\"k1?METHOD=NONE\"\n\
                #EXT-X-KEY:METHOD=SAMPLE-AES,URI=\"skd://x\",KEYFORMAT=\"com.apple\"\n#EXTINF:4,\n\
                #EXT-X-BYTERANGE:100@0\nall.ts\n#EXTINF:4,\n#EXT-X-BYTERANGE:50\nall.ts\n#EXT-X-KEY:METHOD=NONE\n\
                #EXT-X-PROGRAM-DATE-TIME:2026-01-01T00:00:00Z\n#EXT-X-PART:DURATION=1,URI=\"p1\"\n#EXTINF:4,title\n\
                s2.ts\n#EXT-X-PART:DURATION=1,URI=\"p2\"\n#EXT-X-PRELOAD-HINT:TYPE=PART,URI=\"p3\"\n";
    let one = media(text);
    let shaped = Timeline::new(0).shape(&BTreeMap::from([(0, &one)]), Reveal::All).unwrap().text;
    for wanted in [
        "#EXT-X-SERVER-CONTROL:CAN-BLOCK-RELOAD=YES\n",
        "#EXT-X-ODD\n",
        "#EXT-X-KEY:METHOD=SAMPLE-AES,URI=\"skd://x\",KEYFORMAT=\"com.apple\"\n",
        "#EXT-X-KEY:METHOD=AES-128,URI=\"http://127.0.0.1:9000/s/abc/k1?METHOD=NONE\"\n",
        "#EXT-X-BYTERANGE:50@100\n",
        "#EXT-X-KEY:METHOD=NONE\n#EXT-X-PROGRAM-DATE-TIME:2026",
        "#EXT-X-PART:DURATION=1,URI=\"http://127.0.0.1:9000/s/abc/p2\"\n#EXT-X-PRELOAD-HINT",
    ] {
        assert!(shaped.contains(wanted), "{wanted} in\n{shaped}");
    }
    let again = media(&shaped);
    let twice = Timeline::new(0).shape(&BTreeMap::from([(0, &again)]), Reveal::All).unwrap().text;
    assert_eq!(shaped, twice);
}

#[test]
fn what_is_no_playlist_is_refused_with_its_line() {
    let line = |text: &str| {
        Media::parse(
            text.as_bytes(),
            &base(),
            &Variables::default(),
            Limits { line: 40, ..Limits::default() },
        )
        .map(|_| 0)
        .unwrap_or_else(|fault| fault.line + 100)
    };
    assert_eq!(line("<html>"), 101);
    assert_eq!(line("#EXTM3U\n#EXT-X-TARGETDURATION:2\ns.ts\n"), 103);
    assert_eq!(line("#EXTM3U\n#EXT-X-TARGETDURATION:2\n#EXTINF:2,\nfile:///etc/x\n"), 104);
    assert_eq!(line("#EXTM3U\n#EXT-X-TARGETDURATION:2\n#EXTINF:2,\n{$x}\n"), 104);
    assert_eq!(line("#EXTM3U\n#EXTINF:2,\na.ts\n"), 100);
    assert_eq!(line(&format!("#EXTM3U\n#{}\n", "x".repeat(50))), 102);
    assert_eq!(line(""), 100);
    assert!(
        Multivariant::parse(b"#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=1\n", &base(), Limits::default()).is_err()
    );
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig { cases: 400, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..Default::default() })]
    /// Lines of playlists in any order are read or refused, and what was written is read again as the same.
    #[test]
    fn any_lines_are_read_or_refused(picks in proptest::collection::vec(0..24usize, 0..20), rung in 0..3usize) {
        let lines = ["#EXTINF:2,", "a.ts", "#EXT-X-TARGETDURATION:2", "#EXT-X-ENDLIST", "#EXT-X-BYTERANGE:5@1",
            "#EXT-X-BYTERANGE:18446744073709551615", "#EXT-X-KEY:METHOD=NONE", "#EXT-X-KEY:METHOD=X,URI=\"k\"",
            "#EXT-X-MAP:URI=\"m\"", "#EXT-X-DISCONTINUITY", "#EXT-X-MEDIA-SEQUENCE:18446744073709551615",
            "#EXT-X-DEFINE:NAME=\"a\",VALUE=\"{$b}\"", "{$a}/x", "#EXT-X-MEDIA-SEQUENCE:7", "#", "#EXT-X-PART:URI=\"",
            "#EXT-X-STREAM-INF:BANDWIDTH=1", "#EXT-X-GAP", "#X=,,==\"", "#EXTINF:NaN,", "//x", "#EXT-X-SKIP:A=1",
            "#EXT-X-START:TIME-OFFSET=1", "http://[::1"];
        let body = picks.iter().map(|&k| lines[k]).collect::<Vec<_>>().join("\r\n");
        let text = format!("#EXTM3U\n{body}");
        let _ = Multivariant::parse(text.as_bytes(), &base(), Limits::default()).map(|m| m.for_session(rung, path));
        if let Ok(one) = Media::parse(text.as_bytes(), &base(), &Variables::default(), Limits::default()) {
            let of = BTreeMap::from([(0, &one)]);
            let shaped = Timeline::new(0).shape(&of, Reveal::All).unwrap().text;
            let again = Media::parse(shaped.as_bytes(), &base(), &Variables::default(), Limits::default());
            let again = again.expect("what was written can be read");
            proptest::prop_assert_eq!(again.segments.len(), one.segments.len());
        }
    }
}
