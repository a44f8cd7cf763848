//! Entitlement on sockets: what viewers, issuers, disks and kills do to seats, and that none is given twice or lost.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use elderpick_entitle::keys::{Algorithm, Key};
use elderpick_lab::fleet::Fleet;
use elderpick_lab::hosts::Model;
use elderpick_lab::issuer::Issuer;
use elderpick_lab::viewers::call;
use http::{HeaderMap, Method};
use tokio::task::LocalSet;

const WATCH: &str = "/watch/course-clip/carex-nigra/index.m3u8";
const HOUR: i64 = 3_600_000_000;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// One licence that refuses a second device and one that is taken over, two seats each.
async fn fleet(model: Model, hosts: usize, gateways: usize) -> Rc<Fleet> {
    let issuer = Issuer::new(vec![("course", 2, false), ("moves", 2, true)], 64, gateways);
    let program = env!("CARGO_BIN_EXE_elderpick-lab").into();
    Fleet::start_with(model, (hosts, 2.min(hosts), gateways), 1, None, issuer, program, false).await.unwrap()
}

fn address(fleet: &Fleet, k: usize) -> SocketAddr {
    fleet.gateways[k].address.get().unwrap()
}

type Reply = (u16, HeaderMap, String);

async fn get(to: SocketAddr, path: &str, headers: &[(&'static str, String)]) -> Reply {
    let answer = tokio::time::timeout(Duration::from_secs(4), call(Method::GET, to, path, headers)).await;
    let (code, headers, body) = answer.expect("in time").expect("an answer");
    (code, headers, String::from_utf8_lossy(&body).into_owned())
}

/// Asks with a token in the header, as the player `sid`.
async fn watch(to: SocketAddr, token: &str, sid: &str) -> Reply {
    let headers = [("authorization", format!("Bearer {token}")), ("cmcd-session", format!("sid=\"{sid}\""))];
    get(to, WATCH, &headers).await
}

fn session(reply: &Reply) -> String {
    assert_eq!(reply.0, 200, "{}", reply.2);
    reply.1["content-location"].to_str().unwrap().to_owned()
}

async fn taken(fleet: &Fleet, k: usize) -> usize {
    fleet.seats(k).await.unwrap()["seats"].as_array().unwrap().len()
}

async fn until_taken(fleet: &Fleet, k: usize, seats: usize) {
    for _ in 0..600 {
        if taken(fleet, k).await == seats {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{} seats are taken, not {seats}", taken(fleet, k).await);
}

/// Puts a watched file and waits until the gateway has looked at it, taken or not.
async fn put(fleet: &Fleet, name: &str, text: &str, taken: bool) {
    let count = if taken { "reloads" } else { "bad_reloads" };
    let read = async || fleet.seats(0).await.unwrap()["counts"][count].as_u64().unwrap();
    let before = read().await;
    fleet.put(name, text).unwrap();
    for _ in 0..600 {
        if read().await > before {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{name} was not looked at");
}

#[test]
fn a_licensed_class_asks_for_a_token_and_the_token_shows_nowhere() {
    run(async {
        let fleet = fleet(Model::default(), 3, 1).await;
        let to = address(&fleet, 0);
        let (code, headers, _) = get(to, WATCH, &[]).await;
        assert_eq!((code, headers["www-authenticate"].to_str().unwrap()), (401, "Bearer"));
        let (token, _) = fleet.issuer.token("course", "ann", HOUR);
        let forged = format!("{}AAAA", &token[..token.len() - 4]);
        let (code, headers, text) = watch(to, &forged, "1").await;
        assert_eq!(
            (code, headers["www-authenticate"].to_str().unwrap()),
            (401, "Bearer error=\"invalid_token\"")
        );
        assert_eq!(text, "the token is not valid\n");
        let (other, _) = fleet.issuer.token("no-such", "ann", HOUR);
        assert_eq!(watch(to, &other, "1").await.0, 403);
        // A player that knows nothing but the manifest's URI.
        let reply = get(to, &format!("{WATCH}?token={token}&CMCD=sid%3D%222%22"), &[]).await;
        let playlist = reply.2.lines().find(|l| l.starts_with("/s/")).unwrap().to_owned();
        let media = get(to, &playlist, &[]).await;
        assert_eq!(media.0, 200);
        let broken = get(to, &format!("/watch/course-clip/%2F/index.m3u8?token={token}"), &[]).await;
        let log = fleet.log_of(0);
        assert!(log.contains("seat taken"), "{log}");
        let signature = token.rsplit('.').next().unwrap();
        for text in [&reply.2, &media.2, &broken.2, &log, &format!("{:?}{:?}", reply.1, media.1)] {
            assert!(!text.contains(signature), "{text}");
        }
        // Licensed or not, other classes need none.
        assert_eq!(get(to, "/watch/label-clip/carex/index.m3u8", &[]).await.0, 200);
    });
}

#[test]
fn seats_are_counted_once_for_retries_devices_and_set_ups_that_fail() {
    run(async {
        let fleet = fleet(Model::default(), 3, 1).await;
        let to = address(&fleet, 0);
        let token = |licence, holder| fleet.issuer.token(licence, holder, HOUR).0;
        let ann = token("course", "ann");
        let first = watch(to, &ann, "a1").await;
        assert_eq!(session(&first), session(&watch(to, &ann, "a1").await), "a retry joins");
        assert_eq!(watch(to, &ann, "a2").await.0, 403, "a second device");
        let bob = watch(to, &token("course", "bob"), "b1").await;
        let (code, headers, text) = watch(to, &token("course", "cyd"), "c1").await;
        assert_eq!((code, &*text), (503, "all seats of the licence are taken\n"));
        assert!(headers.contains_key("retry-after"));
        assert_eq!(taken(&fleet, 0).await, 2);
        // The seat is free when its viewer leaves.
        assert_eq!(call(Method::DELETE, to, &session(&bob), &[]).await.unwrap().0, 200);
        until_taken(&fleet, 0, 1).await;
        session(&watch(to, &token("course", "cyd"), "c1").await);
        // The other licence lets a second device take over: the first one's session ends, the seat stays one.
        let dan = token("moves", "dan");
        let on_first = session(&watch(to, &dan, "d1").await);
        let on_second = session(&watch(to, &dan, "d2").await);
        assert_ne!(on_first, on_second);
        assert_eq!(get(to, &format!("{on_first}/main.m3u8"), &[]).await.0, 410);
        assert_eq!(get(to, &format!("{on_second}/main.m3u8"), &[]).await.0, 200);
        assert_eq!(taken(&fleet, 0).await, 3);
        // No host plays: the seat that was taken for it comes back, also for a viewer that does not wait.
        fleet.world.hosts.iter().for_each(|h| h.trouble.borrow_mut().fails = 1.0);
        let eve = token("moves", "eve");
        assert!([502, 503].contains(&watch(to, &eve, "e1").await.0));
        assert_eq!(taken(&fleet, 0).await, 3);
        fleet
            .world
            .hosts
            .iter()
            .for_each(|h| (h.trouble.borrow_mut().fails, h.trouble.borrow_mut().hangs) = (0.0, true));
        let left = tokio::time::timeout(Duration::from_millis(200), watch(to, &eve, "e1")).await;
        assert!(left.is_err());
        until_taken(&fleet, 0, 3).await;
    });
}

#[test]
fn a_right_ends_with_its_token_unless_another_is_brought() {
    run(async {
        let fleet = fleet(Model { segments: 60, ..Model::default() }, 3, 1).await;
        let to = address(&fleet, 0);
        let short = |holder| fleet.issuer.token("course", holder, 2_000_000).0;
        let ends = session(&watch(to, &short("ann"), "a").await);
        let by_playlist = session(&watch(to, &short("bob"), "b").await);
        // The other licence, so that there are seats for all three.
        let moves = fleet.issuer.token("moves", "dan", 2_000_000).0;
        let by_watch = session(&watch(to, &moves, "d").await);
        let playlist = |session: &str| format!("{session}/main.m3u8");
        let fresh = |licence, holder| {
            [("authorization", format!("Bearer {}", fleet.issuer.token(licence, holder, HOUR).0))]
        };
        assert_eq!(get(to, &playlist(&by_playlist), &fresh("course", "bob")).await.0, 200);
        assert_eq!(session(&watch(to, &fleet.issuer.token("moves", "dan", HOUR).0, "d").await), by_watch);
        // Another holder's token renews nothing.
        assert_eq!(get(to, &playlist(&ends), &fresh("course", "bob")).await.0, 403);
        let mut last = 0;
        for _ in 0..300 {
            last = get(to, &playlist(&ends), &[]).await.0;
            if last != 200 {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(last, 403, "the right is over");
        until_taken(&fleet, 0, 2).await;
        for session in [by_playlist, by_watch] {
            assert_eq!(get(to, &playlist(&session), &[]).await.0, 200);
        }
    });
}

#[test]
fn one_gateway_counts_a_seat_and_the_others_send_its_viewers_there() {
    run(async {
        let fleet = fleet(Model::default(), 3, 3).await;
        let (token, _) = fleet.issuer.token("course", "ann", HOUR);
        let mut homes = Vec::new();
        for k in 0..3 {
            let reply = get(address(&fleet, k), &format!("{WATCH}?token={token}"), &[]).await;
            match reply.0 {
                200 => homes.push(k),
                307 => {
                    let place = url::Url::parse(reply.1["location"].to_str().unwrap()).unwrap();
                    let to = SocketAddr::new([127, 0, 0, 1].into(), place.port().unwrap());
                    let path = format!("{}?{}", place.path(), place.query().unwrap());
                    session(&get(to, &path, &[]).await);
                    // Sent on once, a viewer is not sent on again.
                    let again = get(address(&fleet, k), &path, &[]).await;
                    assert_eq!(again.0, 503);
                }
                code => panic!("{code}"),
            }
        }
        assert_eq!(homes.len(), 1);
        let mut all = 0;
        for k in 0..3 {
            all += taken(&fleet, k).await;
        }
        assert_eq!(all, 1, "one seat, however many gateways were asked");
    });
}

#[test]
fn seats_outlive_a_kill_and_a_damaged_log_closes_them() {
    run(async {
        let fleet = fleet(Model::default(), 3, 1).await;
        let token = |holder| fleet.issuer.token("course", holder, HOUR).0;
        for (holder, sid) in [("ann", "a"), ("bob", "b")] {
            session(&watch(address(&fleet, 0), &token(holder), sid).await);
        }
        fleet.kill(0).await;
        fleet.start_gateway(0).await.unwrap();
        let to = address(&fleet, 0);
        assert_eq!(taken(&fleet, 0).await, 2);
        assert_eq!(watch(to, &token("cyd"), "c").await.0, 503, "both seats count as taken");
        session(&watch(to, &token("ann"), "another device").await);
        assert_eq!(taken(&fleet, 0).await, 2, "and are their holders'");
        fleet.kill(0).await;
        // What the power left unfinished is no harm, a flipped bit is.
        let log = std::fs::read(fleet.path("seats-0.log")).unwrap();
        std::fs::write(fleet.path("seats-0.log"), &log[..log.len() - 1]).unwrap();
        fleet.start_gateway(0).await.unwrap();
        assert!(fleet.seats(0).await.unwrap()["closed_ms"].is_null());
        fleet.kill(0).await;
        let mut log = std::fs::read(fleet.path("seats-0.log")).unwrap();
        let at = log.len() - 5;
        log[at] ^= 1;
        std::fs::write(fleet.path("seats-0.log"), &log).unwrap();
        fleet.start_gateway(0).await.unwrap();
        let (code, _, text) = watch(address(&fleet, 0), &token("eve"), "e").await;
        assert_eq!((code, &*text), (503, "seats are closed after a loss of state\n"));
        assert!(fleet.path("seats-0.log.damaged").exists());
        // A second kill does not end the doubt.
        fleet.kill(0).await;
        fleet.start_gateway(0).await.unwrap();
        assert!(fleet.seats(0).await.unwrap()["closed_ms"].as_i64().unwrap() > 5_000);
    });
}

#[test]
fn while_the_state_cannot_be_kept_nothing_new_is_seated_and_what_plays_goes_on() {
    run(async {
        let fleet = fleet(Model::default(), 3, 1).await;
        let token = |holder| fleet.issuer.token("course", holder, HOUR).0;
        fleet.kill(0).await;
        // The log is written anew at each start: a folder in the way of that stands for a disk that takes nothing.
        std::fs::create_dir(fleet.path("seats-0.log.new")).unwrap();
        fleet.start_gateway(0).await.unwrap();
        let to = address(&fleet, 0);
        let (code, headers, text) = watch(to, &token("ann"), "a").await;
        assert_eq!((code, &*text), (503, "seats cannot be kept now\n"));
        assert!(headers.contains_key("retry-after"));
        assert_eq!(fleet.seats(0).await.unwrap()["state"]["kept"], false);
        assert_eq!(
            get(to, "/watch/label-clip/carex/index.m3u8", &[]).await.0,
            200,
            "other classes are not met"
        );
        std::fs::remove_dir(fleet.path("seats-0.log.new")).unwrap();
        let mut code = 0;
        for _ in 0..300 {
            code = watch(to, &token("ann"), "a").await.0;
            if code == 200 {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(code, 200, "it is kept again");
    });
}

#[test]
fn a_seat_whose_host_died_is_kept_for_its_holder() {
    run(async {
        let fleet = fleet(Model { segments: 60, ..Model::default() }, 2, 1).await;
        let to = address(&fleet, 0);
        let token = |holder| fleet.issuer.token("course", holder, HOUR).0;
        let ann = watch(to, &token("ann"), "a").await;
        session(&watch(to, &token("bob"), "b").await);
        let media = get(to, &format!("{}/main.m3u8", session(&ann)), &[]).await;
        let port = |h: &Rc<elderpick_lab::hosts::Host>| format!("http://{}/", h.address.get());
        let host = fleet.world.hosts.iter().find(|h| media.2.contains(&port(h))).unwrap();
        fleet.world.crash(host, false);
        let kept = async || {
            let shown = fleet.seats(0).await.unwrap();
            shown["seats"].as_array().unwrap().iter().any(|s| s["state"] == "kept for its holder")
        };
        for k in 0..300 {
            if kept().await {
                break;
            }
            assert!(k < 299, "never kept");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(watch(to, &token("cyd"), "c").await.0, 503, "it is not another's");
        // The holder is back at once and may have it, if a host plays.
        let back = watch(to, &token("ann"), "a").await.0;
        assert!([200, 502, 503].contains(&back) && taken(&fleet, 0).await <= 2);
    });
}

#[test]
fn keys_sheets_and_lists_change_in_service_whole_or_not_at_all() {
    run(async {
        let fleet = fleet(Model { segments: 60, ..Model::default() }, 3, 1).await;
        let to = address(&fleet, 0);
        let (old, _) = fleet.issuer.token("course", "ann", HOUR);
        let ann = session(&watch(to, &old, "a").await);
        // A new key signs, the old one verifies until it is retired.
        fleet.issuer.keys.borrow_mut().add(Key::new("lab-2", Algorithm::Hs256, [3; 32]).unwrap()).unwrap();
        let (new, _) = fleet.issuer.token("course", "ann", HOUR);
        assert_eq!(watch(to, &new, "a").await.0, 401, "not known yet");
        put(&fleet, "keys.json", &fleet.issuer.public_keys(), true).await;
        assert_eq!((watch(to, &new, "a").await.0, watch(to, &old, "a").await.0), (200, 200));
        fleet.issuer.keys.borrow_mut().retire("lab-1", None).unwrap();
        put(&fleet, "keys.json", &fleet.issuer.public_keys(), true).await;
        assert_eq!((watch(to, &new, "a").await.0, watch(to, &old, "a").await.0), (200, 401));
        // What is broken or half written leaves what was.
        let keys = fleet.issuer.public_keys();
        put(&fleet, "keys.json", &keys[..keys.len() / 2], false).await;
        put(&fleet, "sheet.cue", "terms: [", false).await;
        let richer = fleet.issuer.sheet(&[]).replace("seats: 2", "seats: 200");
        put(&fleet, "sheet.cue", &richer, false).await;
        put(&fleet, "revoked.txt", "holder ann\nwhat", false).await;
        assert_eq!(
            (watch(to, &new, "a").await.0, get(to, &format!("{ann}/main.m3u8"), &[]).await.0),
            (200, 200)
        );
        put(&fleet, "revoked.txt", "holder ann\n", true).await;
        assert_eq!(get(to, &format!("{ann}/main.m3u8"), &[]).await.0, 403);
        assert_eq!(watch(to, &new, "a").await.0, 403);
        until_taken(&fleet, 0, 0).await;
        assert!(fleet.end().await.iter().all(|code| *code == Some(0)));
    });
}

#[test]
fn many_renewals_retries_and_expiries_with_kills_give_no_seat_twice_and_lose_none() {
    run(async {
        let program = env!("CARGO_BIN_EXE_elderpick-lab").into();
        let seen =
            elderpick_lab::seats::run(3_000, Duration::from_secs(3), 3, program, (false, 1)).await.unwrap();
        assert!(seen.good() && seen.kills > 0, "{}", seen.table());
        assert!(seen.counts["renewals"] > 100, "{}", seen.table());
    });
}
