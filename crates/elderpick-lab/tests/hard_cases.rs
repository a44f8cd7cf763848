//! What a gateway must survive, caused on sockets: real gateway processes against stand-ins and scripted peers.
//!
//! Times are asked for only as bounds that the rules set: an answer comes before the viewer's time is up.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use elderpick_lab::fleet::Fleet;
use elderpick_lab::hosts::Model;
use elderpick_lab::record::{Line, What};
use elderpick_lab::viewers::{call, play};
use http::Method;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::task::{LocalSet, spawn_local};

const WATCH: &str = "/watch/label-clip/carex-nigra/index.m3u8";
const PAID: &str = "/watch/exam-sheet/carex-nigra/index.m3u8";
/// Longer than any class waits.
const PATIENCE: Duration = Duration::from_secs(3);

fn program() -> PathBuf {
    env!("CARGO_BIN_EXE_elderpick-lab").into()
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

async fn fleet(model: Model, hosts: usize) -> (Rc<Fleet>, SocketAddr) {
    let fleet = Fleet::start(model, (hosts, 2.min(hosts), 1), 1, None, program(), false).await.unwrap();
    let gateway = fleet.gateways[0].address.get().unwrap();
    (fleet, gateway)
}

/// A request's status, within the viewer's patience.
async fn ask(
    to: SocketAddr,
    path: &str,
    headers: &[(&'static str, String)],
) -> (u16, http::HeaderMap, bytes::Bytes) {
    tokio::time::timeout(PATIENCE, call(Method::GET, to, path, headers))
        .await
        .expect("in time")
        .expect("an answer")
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

fn set_ups(fleet: &Fleet) -> usize {
    fleet.world.record.lines().iter().filter(|l| matches!(l.what, What::SetUp { .. })).count()
}

fn main_playlist(manifest: &[u8]) -> String {
    let text = String::from_utf8(manifest.to_vec()).unwrap();
    text.lines().find(|l| l.starts_with("/s/")).expect("the session's own playlist").to_owned()
}

#[test]
fn an_ordinary_player_plays_a_title_to_its_end_and_segments_come_from_the_host() {
    run(async {
        let (fleet, to) = fleet(Model::default(), 3).await;
        let (code, headers, manifest) = ask(to, WATCH, &[]).await;
        assert_eq!((code, headers["content-type"].to_str().unwrap()), (200, "application/vnd.apple.mpegurl"));
        let text = String::from_utf8(manifest.to_vec()).unwrap();
        assert_eq!(text.matches("#EXT-X-STREAM-INF").count(), 1, "one rung: {text}");
        let (_, _, media) = ask(to, &main_playlist(&manifest), &[]).await;
        let hosts: Vec<String> =
            fleet.world.hosts.iter().map(|h| format!("http://{}/", h.address.get())).collect();
        let media = String::from_utf8(media.to_vec()).unwrap();
        let mut segments = media.lines().filter(|l| l.starts_with("http")).peekable();
        assert!(segments.peek().is_some());
        assert!(segments.all(|uri| hosts.iter().any(|host| uri.starts_with(host))), "{media}");
        let at = url::Url::parse(&format!("http://{to}{WATCH}")).unwrap();
        let played = play(&at, &manifest, usize::MAX).await;
        assert!(played.whole && played.segments == 6, "{played:?}");
        // A live title goes on.
        let (code, _, manifest) = ask(to, "/watch/label-clip/live-heath/index.m3u8", &[]).await;
        assert_eq!((code, play(&at, &manifest, 8).await.segments), (200, 8));
        assert!(fleet.end().await.iter().all(|code| *code == Some(0)));
    });
}

#[test]
fn a_host_that_dies_after_the_manifest_was_issued_ends_the_session_and_the_next_try_is_answered() {
    run(async {
        let (fleet, to) = fleet(Model::default(), 2).await;
        let (code, _, manifest) = ask(to, WATCH, &[]).await;
        assert_eq!(code, 200);
        fleet.world.hosts.iter().for_each(|h| fleet.world.crash(h, false));
        let playlist = main_playlist(&manifest);
        let mut last = 0;
        for _ in 0..100 {
            last = ask(to, &playlist, &[]).await.0;
            if last == 410 {
                break;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(last, 410, "the session is over");
        let (code, headers, _) = ask(to, WATCH, &[]).await;
        assert!([502, 503, 504].contains(&code));
        assert!(code != 503 || headers.contains_key("retry-after"));
    });
}

#[test]
fn a_retry_while_the_first_attempt_is_out_joins_it() {
    run(async {
        let (fleet, to) = fleet(Model { set_up: 300_000, ..Model::default() }, 3).await;
        let sid = [("cmcd-session", "sid=\"5f0c\"".to_owned())];
        let (a, b) = tokio::join!(ask(to, WATCH, &sid), async {
            tokio::time::sleep(Duration::from_millis(30)).await;
            ask(to, &format!("{WATCH}?CMCD=sid%3D%225f0c%22"), &[]).await
        });
        assert_eq!((a.0, b.0, set_ups(&fleet)), (200, 200, 1));
        assert_eq!(a.1["content-location"], b.1["content-location"]);
        // Another viewer's request does not join.
        let other = ask(to, WATCH, &[("cmcd-session", "sid=\"77\"".to_owned())]).await;
        assert_ne!(a.1["content-location"], other.1["content-location"]);
        // Leaving frees the session at the host.
        let place = a.1["content-location"].to_str().unwrap().to_owned();
        assert_eq!(call(Method::DELETE, to, &place, &[]).await.unwrap().0, 200);
        until("the host lets the session go", || fleet.world.playing() == 1).await;
        assert_eq!(ask(to, &main_playlist(&a.2), &[]).await.0, 410);
    });
}

#[test]
fn a_viewer_that_closes_while_the_set_up_is_out_leaves_nothing_behind() {
    run(async {
        let (fleet, to) = fleet(Model::default(), 2).await;
        fleet.world.hosts.iter().for_each(|h| h.trouble.borrow_mut().hangs = true);
        let closed =
            tokio::time::timeout(Duration::from_millis(150), call(Method::GET, to, WATCH, &[])).await;
        assert!(closed.is_err(), "nothing can answer yet");
        let cut =
            |l: &elderpick_lab::record::Line| matches!(&l.what, What::SetUpDone { how, .. } if how == "cut");
        until("the set-up is closed", || fleet.world.record.lines().iter().any(cut)).await;
        assert_eq!((set_ups(&fleet), fleet.world.playing()), (1, 0));
    });
}

#[test]
fn hosts_that_hang_and_a_gateway_that_stands_still_cost_no_answer() {
    run(async {
        let (fleet, to) = fleet(Model::default(), 2).await;
        fleet.world.hosts.iter().for_each(|h| h.trouble.borrow_mut().hangs = true);
        let (code, ..) = ask(to, WATCH, &[]).await;
        assert!([502, 503, 504].contains(&code), "{code}");
        fleet.world.hosts.iter().for_each(|h| h.trouble.borrow_mut().hangs = false);
        // Twenty requests while it stands still: all are taken at once when it goes on.
        let asking: Vec<_> =
            (0..20).map(|_| spawn_local(async move { ask(to, WATCH, &[]).await.0 })).collect();
        fleet.stall(0, Duration::from_secs(1)).await;
        for one in asking {
            let code = one.await.unwrap();
            assert!([200, 502, 503, 504].contains(&code), "{code}");
        }
    });
}

#[test]
fn a_lost_answer_of_a_paid_class_is_failed_and_not_sent_again() {
    run(async {
        let (fleet, to) = fleet(Model::default(), 3).await;
        fleet.world.hosts.iter().for_each(|h| h.trouble.borrow_mut().loses_answers = 1.0);
        assert_eq!((ask(to, PAID, &[]).await.0, set_ups(&fleet)), (502, 1));
        until("what may play is released", || fleet.world.playing() == 0).await;
        // A class that may be set up again is.
        let before = set_ups(&fleet);
        let _ = ask(to, WATCH, &[]).await;
        assert!(set_ups(&fleet) > before + 1);
    });
}

#[test]
fn rungs_go_down_while_it_plays_when_links_give_less() {
    run(async {
        let (fleet, to) = fleet(Model { segments: 20, ..Model::default() }, 1).await;
        let at = url::Url::parse(&format!("http://{to}{WATCH}")).unwrap();
        let mut viewers = Vec::new();
        for _ in 0..4 {
            let (code, _, manifest) = ask(to, WATCH, &[]).await;
            assert_eq!(code, 200);
            let at = at.clone();
            viewers.push(spawn_local(async move { play(&at, &manifest, 14).await }));
        }
        fleet.world.hosts[0].trouble.borrow_mut().link = 0.2;
        let mut changes = 0;
        for viewer in viewers {
            changes += viewer.await.unwrap().rung_changes;
        }
        assert!(changes > 0, "players fetched segments of another rung");
    });
}

#[test]
fn a_term_signal_refuses_the_new_lets_play_what_plays_and_ends_with_0() {
    run(async {
        let (fleet, to) = fleet(Model::default(), 2).await;
        let (_, _, manifest) = ask(to, WATCH, &[]).await;
        let ended = {
            let fleet = fleet.clone();
            spawn_local(async move { fleet.end_gently().await })
        };
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(ask(to, WATCH, &[]).await.0, 503);
        assert_eq!(ask(to, &main_playlist(&manifest), &[]).await.0, 200);
        assert_eq!(ended.await.unwrap(), [Some(0)]);
        until("nothing plays", || fleet.world.playing() == 0).await;
    });
}

#[test]
fn a_host_that_came_back_cold_is_not_pushed_over_though_the_list_is_late() {
    run(async {
        let (fleet, to) = fleet(Model::default(), 2).await;
        fleet.world.list.late.set(Duration::from_secs(60));
        for host in &fleet.world.hosts {
            fleet.world.crash(host, false);
            fleet.world.restart(host).await;
        }
        let asked: Vec<_> = (0..40)
            .map(|k| {
                let path = format!("/watch/label-clip/carex-{k}/index.m3u8");
                spawn_local(async move { ask(to, &path, &[]).await.0 })
            })
            .collect();
        for code in asked {
            assert!([200, 503].contains(&code.await.unwrap()));
        }
        let pushed = |l: &Line| matches!(l.what, What::Down { pushed: true, .. });
        assert!(!fleet.world.record.lines().iter().any(pushed));
        assert_eq!(fleet.world.running(), 2);
    });
}

// ---- Scripted peers ----

/// A gateway before hosts that are scripted byte by byte. The list service is gone from the start.
struct Scripted {
    _child: Child,
    to: SocketAddr,
    folder: PathBuf,
}

impl Drop for Scripted {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

async fn scripted(name: &str, hosts: &[SocketAddr], limits: &str) -> Scripted {
    let folder = std::env::temp_dir().join(format!("elderpick-peer-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut inventory = String::from("id,address,zone,kind,cell\n");
    hosts.iter().enumerate().for_each(|(k, a)| inventory += &format!("box-{k},{a},z,std,0\n"));
    std::fs::write(folder.join("inventory.csv"), inventory).unwrap();
    let settings = format!(
        "me: 0, gateways: 1, listen: \"127.0.0.1:0\", zone: \"z\", zones: [\"z\"]\n\
         kinds: [{{name: \"std\", places: 50}}]\nladder: [{{rate: \"20kB/s\", worth: 0.5}}, {{rate: \"40kB/s\", worth: 1}}]\n\
         classes: [{{name: \"label-clip\", aim: \"800ms\", patience: \"2s\"}}, \
         {{name: \"exam-sheet\", aim: \"800ms\", patience: \"2s\", effect: \"paid\"}}]\n\
         inventory: \"inventory.csv\", list: address: \"127.0.0.1:1\"\nlinks: \"2MB/s\"\nlimits: {{{limits}}}\n"
    );
    std::fs::write(folder.join("settings.cue"), settings).unwrap();
    let mut child = Command::new(program())
        .args(["gateway", "--settings"])
        .arg(folder.join("settings.cue"))
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let line = lines.next_line().await.unwrap().unwrap();
    Scripted { _child: child, to: line.strip_prefix("listening ").unwrap().parse().unwrap(), folder }
}

const HELLO: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nevent: hello\ndata: {\"started_us\":7}\n\n";

/// A peer that reads a request and then says these bytes; with `hold` it keeps the connection open after them. To
/// gateways that listen it tells which process it is, unless it is `deaf`. Set-ups that reached it are counted.
async fn peer(says: Vec<u8>, hold: bool, deaf: bool) -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, reached) = (listener.local_addr().unwrap(), Rc::new(Cell::new(0)));
    let count = reached.clone();
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (says, count) = (says.clone(), count.clone());
            spawn_local(async move {
                let mut got = vec![0; 4096];
                let read = stream.read(&mut got).await.unwrap_or(0);
                count.set(count.get() + usize::from(got[..read].starts_with(b"POST")));
                let listens = got[..read].starts_with(b"GET /events") && !deaf;
                let _ = stream.write_all(if listens { HELLO } else { &says }).await;
                if hold || listens {
                    std::future::pending::<()>().await;
                }
            });
        }
    });
    (address, reached)
}

#[test]
fn a_host_that_does_not_say_which_process_it_is_gets_no_set_up() {
    run(async {
        for (name, says, hold) in
            [("deaf", &b"HTTP/1.1 404 Not Found\r\n\r\n"[..], false), ("mute", b"", true)]
        {
            let (host, reached) = peer(says.to_vec(), hold, true).await;
            let gateway = scripted(name, &[host], "").await;
            for path in [WATCH, PAID] {
                // It never ran: also a paid class may be refused, and is, in time.
                assert!([503, 504].contains(&ask(gateway.to, path, &[]).await.0), "{name} {path}");
            }
            assert_eq!(reached.get(), 0, "{name}");
        }
    });
}

#[test]
fn hosts_that_answer_nonsense_cost_one_failed_answer_in_time() {
    run(async {
        let head = "HTTP/1.1 201 Created\r\nContent-Type: application/vnd.apple.mpegurl\r\n";
        let endless = format!("{head}Transfer-Encoding: chunked\r\n\r\n10000\r\n{}\r\n", "#".repeat(0x10000))
            .repeat(1)
            + &format!("10000\r\n{}\r\n", "#".repeat(0x10000)).repeat(20);
        let page = "<html>busy</html>";
        let cases: Vec<(&str, Vec<u8>, bool)> = vec![
            ("half-a-header", b"HTTP/1.1 201 Crea".to_vec(), true),
            ("half-a-header-closed", b"HTTP/1.1 201 Crea".to_vec(), false),
            ("half-a-body", format!("{head}Content-Length: 500\r\n\r\n#EXTM3U\n").into_bytes(), true),
            ("endless", endless.into_bytes(), true),
            (
                "no-playlist",
                format!("{head}Content-Length: {}\r\n\r\n{page}", page.len()).into_bytes(),
                false,
            ),
            ("not-http", vec![0x16, 3, 1, 2, 0, 1, 0, 1, 0xfc], true),
            ("silent", Vec::new(), true),
        ];
        for (name, says, hold) in cases {
            let (host, _) = peer(says, hold, false).await;
            for path in [WATCH, PAID] {
                let gateway = scripted(name, &[host], "").await;
                let (code, ..) = ask(gateway.to, path, &[]).await;
                // One host, which may have run it: a class that may be repeated is refused, a paid one has failed.
                let wanted: &[u16] = if path == PAID { &[502, 504] } else { &[502, 503, 504] };
                assert!(wanted.contains(&code), "{name} {path}: {code}");
            }
        }
    });
}

#[test]
fn an_answer_after_the_time_out_changes_nothing() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let host = listener.local_addr().unwrap();
        spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                spawn_local(async move {
                    let mut got = vec![0; 4096];
                    let read = stream.read(&mut got).await.unwrap_or(0);
                    if got[..read].starts_with(b"GET /events") {
                        let _ = stream.write_all(HELLO).await;
                        return std::future::pending::<()>().await;
                    }
                    tokio::time::sleep(Duration::from_millis(2_100)).await;
                    let _ = stream.write_all(b"HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n").await;
                });
            }
        });
        let gateway = scripted("late", &[host], "").await;
        assert_eq!(ask(gateway.to, PAID, &[]).await.0, 504);
        tokio::time::sleep(Duration::from_millis(400)).await;
        assert_eq!(ask(gateway.to, "/watch/label-clip/x", &[]).await.0, 404, "it goes on");
    });
}

#[test]
fn hostile_viewers_are_turned_away_and_the_others_are_served() {
    run(async {
        let gateway = scripted("hostile", &[], "header: \"300ms\", connections: 6, per_address: 5").await;
        let say = |bytes: Vec<u8>| async move {
            let mut stream = TcpStream::connect(gateway.to).await.unwrap();
            let _ = stream.write_all(&bytes).await;
            let mut got = Vec::new();
            let _ = tokio::time::timeout(PATIENCE, stream.read_to_end(&mut got)).await.expect("it is closed");
            String::from_utf8_lossy(&got).lines().next().unwrap_or_default().to_owned()
        };
        let get =
            |path: &str| format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").into_bytes();
        for (path, code) in [
            ("/../../etc/passwd", "404"),
            ("/watch/label-clip/..%2f..%2fetc/index.m3u8", "400"),
            ("/watch/label-clip/%ff/index.m3u8", "400"),
            ("/watch/label-clip/%00/index.m3u8", "400"),
            ("/watch/no-such/x/index.m3u8", "404"),
            ("/s/0123/main.m3u8", "404"),
            ("/s/00000000000000000000000000000000/main.m3u8", "410"),
            ("//", "404"),
        ] {
            let line = say(get(path)).await;
            assert!(line.contains(code), "{path}: {line:?}");
        }
        let long = format!("/watch/label-clip/{}/index.m3u8", "a".repeat(5000));
        assert!(say(get(&long)).await.contains("400"));
        let huge = format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "a".repeat(100_000)).into_bytes();
        assert!(say(huge).await.contains("431"), "a header beyond all bounds");
        assert!(say(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n".to_vec()).await.contains("400"));
        // Slow headers are closed, not waited for.
        assert_eq!(say(b"GET / HTTP/1.1\r\nHost: x\r\nX-Slow:".to_vec()).await, "");
        // So is a body that trickles: nothing here takes one, and the answer does not wait for it.
        let slow =
            b"POST /watch/label-clip/x/index.m3u8 HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\nab";
        assert!(say(slow.to_vec()).await.contains("405"));
        // Connections over the bound of one address are told so at once.
        let mut held = Vec::new();
        for _ in 0..5 {
            held.push(TcpStream::connect(gateway.to).await.unwrap());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(say(get("/")).await.contains("503"));
        drop(held);
        let mut code = String::new();
        for _ in 0..50 {
            code = say(get("/")).await;
            if code.contains("404") {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert!(code.contains("404"), "{code}");
    });
}
