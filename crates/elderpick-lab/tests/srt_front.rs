//! SRT sessions through a gateway, over UDP: the same decisions as for HLS, one answer to each call.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use elderpick_lab::fleet::Fleet;
use elderpick_lab::hosts::Model;
use elderpick_lab::record::What;
use elderpick_lab::srt::{Ended, play};
use elderpick_srt::packet::reason;
use tokio::net::UdpSocket;
use tokio::task::{LocalSet, spawn_local};

const CLIP: &str = "#!::r=carex-nigra,class=label-clip,m=request";
const ZOOM: &str = "#!::r=carex-nigra,class=sheet-zoom";

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

async fn fleet(model: Model, hosts: usize) -> (Rc<Fleet>, SocketAddr) {
    let program = env!("CARGO_BIN_EXE_elderpick-lab").into();
    let fleet = Fleet::start(model, (hosts, 1, 1), 1, None, program, false).await.unwrap();
    let at = fleet.srt(0).await.unwrap();
    (fleet, at)
}

async fn until(what: &str, holds: impl Fn() -> bool) {
    for _ in 0..400 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("never came: {what}");
}

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_caller_plays_in_order_is_billed_and_leaves_nothing_behind() {
    run(async {
        let (fleet, at) = fleet(Model::default(), 3).await;
        let players: Vec<_> =
            (0..6).map(|k| spawn_local(play(at, CLIP.into(), k % 2 == 0, 3 * SECOND))).collect();
        for (k, player) in players.into_iter().enumerate() {
            let played = player.await.unwrap().unwrap();
            assert_eq!((&played.ended, played.wrong), (&Ended::Left, 0), "{played:?}");
            assert!(played.packets > 50, "{played:?}");
            // Keys pass through: the gateway has none of them.
            assert_eq!(played.keys > 0, k % 2 == 0, "{played:?}");
        }
        until("hosts let go", || fleet.world.playing() == 0).await;
        let shown = fleet.ask(0, "/ledger", Some("\"show\"".into())).await.unwrap();
        let uses: i64 = shown["totals"].as_array().unwrap().iter().map(|t| t["uses"].as_i64().unwrap()).sum();
        let bytes: i64 =
            shown["totals"].as_array().unwrap().iter().map(|t| t["bytes"].as_i64().unwrap()).sum();
        assert!(uses == 6 && bytes > 0, "{shown}");
        let floors = fleet.world.record.lines();
        let set_ups = floors.iter().filter(|l| matches!(l.what, What::SetUp { .. })).count();
        assert_eq!(set_ups, 6, "each call is one session with one attempt");
    });
}

#[test]
fn each_no_has_its_reason_and_comes_in_time() {
    run(async {
        let (fleet, at) = fleet(Model::default(), 2).await;
        for (id, why) in [
            ("carex", reason::BAD_REQUEST),
            ("#!::r=,class=label-clip", reason::BAD_REQUEST),
            ("#!::r=carex,class=label-clip,m=publish", reason::BAD_REQUEST),
            ("#!::r=carex,class=unknown", reason::NOT_FOUND),
            ("#!::r=carex,class=course-clip", reason::UNAUTHORIZED),
            ("#!::r=carex,class=course-clip,token=a.b.c", reason::UNAUTHORIZED),
        ] {
            let played = play(at, id.into(), false, SECOND).await.unwrap();
            assert_eq!(played.ended, Ended::Rejected(why), "{id}");
        }
        for host in &fleet.world.hosts {
            fleet.world.crash(host, false);
        }
        until("hosts are gone", || fleet.world.running() == 0).await;
        let played = play(at, CLIP.into(), false, SECOND).await.unwrap();
        assert!(matches!(played.ended, Ended::Rejected(reason::OVERLOAD | reason::GATEWAY)), "{played:?}");
        assert!(played.answered < 2_000_000, "before a viewer's patience is over: {played:?}");
    });
}

#[test]
fn seats_of_a_title_are_one_count_for_both_fronts() {
    run(async {
        let (_fleet, at) = fleet(Model::default(), 3).await;
        // A class of three seats a title.
        let exam = "#!::r=carex,class=exam-sheet";
        let players: Vec<_> = (0..5).map(|_| spawn_local(play(at, exam.into(), false, 2 * SECOND))).collect();
        let mut ends = [0, 0];
        for player in players {
            match player.await.unwrap().unwrap().ended {
                Ended::Left => ends[0] += 1,
                Ended::Rejected(reason::OVERLOAD) => ends[1] += 1,
                other => panic!("{other:?}"),
            }
        }
        assert_eq!(ends, [3, 2]);
    });
}

#[test]
fn rungs_go_down_in_mid_session_and_a_host_that_dies_ends_it() {
    run(async {
        let (fleet, at) = fleet(Model::default(), 1).await;
        let players: Vec<_> =
            (0..4).map(|_| spawn_local(play(at, ZOOM.into(), false, 30 * SECOND))).collect();
        until("all play", || fleet.world.playing() == 4).await;
        fleet.world.hosts[0].trouble.borrow_mut().link = 0.3;
        let lowered = || fleet.world.record.lines().iter().any(|l| matches!(l.what, What::RungSet { .. }));
        until("a rung is lowered", lowered).await;
        tokio::time::sleep(SECOND).await;
        fleet.world.crash(&fleet.world.hosts[0].clone(), false);
        let mut changes = 0;
        for player in players {
            let played = player.await.unwrap().unwrap();
            assert_eq!((&played.ended, played.wrong), (&Ended::Cut, 0), "{played:?}");
            assert!(played.rungs.iter().all(|rung| *rung >= 1), "never under the floor: {played:?}");
            changes += played.rungs.len() - 1;
        }
        assert!(changes > 0, "players got packets of another rung");
    });
}

#[test]
fn strangers_and_nonsense_change_nothing_for_those_who_play() {
    run(async {
        let (fleet, at) = fleet(Model::default(), 2).await;
        let player = spawn_local(play(at, CLIP.into(), false, 3 * SECOND));
        until("it plays", || fleet.world.playing() == 1).await;
        let stranger = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        for k in 0..20_000u32 {
            // Shutdowns and other packets to sockets that might be there, and short ones.
            let mut datagram = vec![0x80, (k % 9) as u8, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
            datagram.extend((k.wrapping_mul(2_654_435_761)).to_be_bytes());
            datagram.truncate(if k % 5 == 0 { k as usize % 17 } else { 16 });
            let _ = stranger.send_to(&datagram, at).await;
            if k % 500 == 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
        let played = player.await.unwrap().unwrap();
        assert_eq!(played.ended, Ended::Left, "{played:?}");
        assert!(played.packets > 80, "{played:?}");
    });
}
