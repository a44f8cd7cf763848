//! What a player sees of a change of rung.

use elderpick_gateway::config::Limits;
use elderpick_gateway::play::Play;
use elderpick_hls::Part;
use url::Url;

const TARGET: i64 = 2_000_000;

fn limits(lead: i64) -> Limits {
    Limits {
        connect: 1,
        margin: 1,
        silence: 12_000_000,
        mute: 1,
        lead,
        sessions: 1,
        connections: 1,
        per_address: 1,
        header: 1,
        playlist: 1 << 20,
        idle_per_host: 1,
    }
}

fn play(lead: i64) -> Play {
    let base = Url::parse("http://127.0.0.1:9/s/x/main.m3u8").unwrap();
    let text =
        "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=100\nr0.m3u8\n#EXT-X-STREAM-INF:BANDWIDTH=200\nr1.m3u8\n";
    Play::new(&base, text.as_bytes(), 1, vec![100, 200], &limits(lead), 0).unwrap()
}

/// The playlist as it is at a time, fetched from a host that has `count` segments of two seconds.
fn load(play: &mut Play, now: i64, count: usize) -> String {
    let fetched = play.wanted(Part::Main, None).into_iter().map(|wanted| {
        let rung = wanted.uri.path().trim_end_matches(".m3u8").rsplit('r').next().unwrap().to_owned();
        let mut text = String::from("#EXTM3U\n#EXT-X-TARGETDURATION:2\n");
        (0..count).for_each(|k| text += &format!("#EXTINF:2,\nr{rung}/{k}.ts\n"));
        (wanted, bytes::Bytes::from(text + "#EXT-X-ENDLIST\n"))
    });
    let fetched = fetched.collect();
    play.shape(now, Part::Main, fetched).unwrap().text
}

#[test]
fn a_change_of_rung_is_listed_within_two_target_durations() {
    for lead in [2_000_000, 8_000_000] {
        for changed in (0..20).map(|k| 300_000 * k + 100_000) {
            let mut one = play(lead);
            let (mut reload, mut told, mut seen) = (0, false, None);
            // A player loads the list anew each target duration, or after half of it when nothing was new.
            while seen.is_none() && reload < 40_000_000 {
                if !told && reload >= changed {
                    one.change(0);
                    told = true;
                }
                let text = load(&mut one, reload, 60);
                if told && text.contains("/r0/") {
                    seen = Some(reload);
                }
                reload += TARGET;
            }
            let late = seen.expect("the change is listed") - changed;
            assert!(late <= 2 * TARGET, "lead {lead}, changed at {changed}: seen {late} later");
        }
    }
}

#[test]
fn a_list_only_grows_over_any_changes_and_is_held_until_it_was_played() {
    let mut one = play(4_000_000);
    let mut before: Vec<String> = Vec::new();
    let limits = limits(4_000_000);
    for step in 0..40 {
        let now = step * 500_000;
        if step % 3 == 0 {
            one.change((step as usize / 3) % 2);
        }
        let text = load(&mut one, now, 10);
        let segments: Vec<String> =
            text.lines().filter(|l| l.starts_with("http")).map(str::to_owned).collect();
        assert!(segments.starts_with(&before), "{text}");
        before = segments;
        if text.contains("ENDLIST") {
            assert_eq!(before.len(), 10);
            // Ten segments of two seconds from 0, and the silence after them.
            assert_eq!(one.wanted_until(now, &limits), 20_000_000 + limits.silence);
            return;
        }
    }
    panic!("it never ended");
}

#[test]
fn playlists_at_another_host_are_not_fetched() {
    let base = Url::parse("http://127.0.0.1:9/s/x/main.m3u8").unwrap();
    for uri in ["http://127.0.0.1:10/r0.m3u8", "//10.0.0.1/r0.m3u8", "https://127.0.0.1:9/r0.m3u8"] {
        let text = format!("#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=100\n{uri}\n");
        assert!(Play::new(&base, text.as_bytes(), 0, vec![100], &limits(1), 0).is_err(), "{uri}");
    }
}
