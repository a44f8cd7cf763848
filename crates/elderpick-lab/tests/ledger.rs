//! Use handed over to a receiver over HTTP, on sockets: lost answers, cuts, a receiver that is busy, a gateway that is killed
//! while it exports, and one that goes on from an old copy.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use elderpick_lab::fleet::Fleet;
use elderpick_lab::hosts::Model;
use elderpick_lab::receiver::{Receiver, Trouble};
use elderpick_lab::viewers::call;
use elderpick_ledger::export::{Export, Files, read};
use elderpick_ledger::reconcile::reconcile;
use http::Method;
use tokio::task::LocalSet;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

async fn fleet() -> Rc<Fleet> {
    let program = env!("CARGO_BIN_EXE_elderpick-lab").into();
    Fleet::start(Model::default(), (3, 1, 1), 1, None, program, false).await.unwrap()
}

fn gateway(fleet: &Fleet) -> SocketAddr {
    fleet.gateways[0].address.get().unwrap()
}

/// Sessions that begin and end at once; so many are played.
async fn play(fleet: &Fleet, count: usize) -> usize {
    let (to, mut played) = (gateway(fleet), 0);
    for k in 0..count {
        let path = format!("/watch/label-clip/carex-{k}/index.m3u8");
        let (code, headers, _) = call(Method::GET, to, &path, &[]).await.unwrap();
        if code == 200 {
            let place = headers[http::header::CONTENT_LOCATION].to_str().unwrap().to_owned();
            assert!(call(Method::DELETE, to, &place, &[]).await.unwrap().0 < 300);
            played += 1;
        }
    }
    // The gateway bills a session when its host has let it go.
    for _ in 0..200 {
        let shown = fleet.ask(0, "/ledger", Some("\"show\"".into())).await.unwrap();
        if shown["open"] == 0 {
            return played;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("sessions stay open");
}

/// What the receiver has, read as an office reads it. Each file was stored once.
fn received(receiver: &Receiver) -> Vec<Export> {
    let files = receiver.files();
    assert!(files.values().all(|(_, times)| *times == 1), "each once: {:?}", files.keys());
    let names = files.keys().filter_map(|name| name.strip_suffix(".manifest.json"));
    let of = |name: &str, ending: &str| files[&format!("{name}.{ending}")].0.to_vec();
    let read = |name: &str| {
        let (manifest, jsonl, csv) = (of(name, "manifest.json"), of(name, "jsonl"), of(name, "csv"));
        read(&Files { manifest, jsonl, csv }).unwrap()
    };
    names.map(read).collect()
}

#[test]
fn a_receiver_in_trouble_gets_each_file_once_and_a_killed_gateway_goes_on_with_the_same_bytes() {
    run(async {
        let (fleet, receiver) = (fleet().await, Receiver::start().await);
        let first = play(&fleet, 12).await;
        assert!(first > 0);
        *receiver.troubles.borrow_mut() = [
            Some(Trouble::Busy),
            Some(Trouble::LosesAnswer),
            None,
            Some(Trouble::Cuts),
            Some(Trouble::InFlight),
            Some(Trouble::LosesAnswer),
            None,
            Some(Trouble::LosesAnswer),
        ]
        .to_vec();
        fleet.export_ledger_to(0, receiver.uri()).await.unwrap();
        assert_eq!(received(&receiver).iter().map(|e| e.entries.len()).sum::<usize>(), first);
        assert_eq!(receiver.requests.get(), 9, "each trouble cost one sending");
        // The manifest of the next one is not taken before the gateway is killed.
        let more = play(&fleet, 5).await;
        *receiver.troubles.borrow_mut() = vec![None; 11];
        receiver.troubles.borrow_mut().resize(40, Some(Trouble::Busy));
        let (office, to) = (fleet.clone(), receiver.uri());
        let asked = tokio::task::spawn_local(async move { office.export_ledger_to(0, to).await });
        while receiver.requests.get() < 13 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let half = receiver.files();
        assert_eq!((half.len(), received(&receiver).len()), (5, 1), "two tables without their manifest");
        fleet.kill(0).await;
        assert!(asked.await.unwrap().is_err());
        fleet.start_gateway(0).await.unwrap();
        receiver.troubles.borrow_mut().clear();
        let last = play(&fleet, 3).await;
        fleet.export_ledger_to(0, receiver.uri()).await.unwrap();
        assert!(half.iter().all(|(name, file)| receiver.files()[name] == *file), "the same bytes");
        assert_eq!(received(&receiver)[1].entries.len(), more, "what came later is not in it");
        fleet.export_ledger_to(0, receiver.uri()).await.unwrap();
        let report = reconcile(&received(&receiver), 0);
        assert_eq!((report.exports, report.entries, report.clean()), (3, (first + more + last) as u64, true));
        assert!(
            fleet.export_ledger_to(0, receiver.uri()).await.is_err_and(|why| why.contains("nothing new"))
        );
    });
}

#[test]
fn what_a_receiver_has_is_not_replaced_by_a_gateway_that_goes_on_from_an_old_copy() {
    run(async {
        let (one, other, receiver) = (fleet().await, fleet().await, Receiver::start().await);
        play(&one, 4).await;
        play(&other, 3).await;
        one.export_ledger_to(0, receiver.uri()).await.unwrap();
        let before = receiver.files();
        // Another ledger under the same gateway's name, as a restored disk would be.
        let why = other.export_ledger_to(0, receiver.uri()).await.unwrap_err();
        assert!(why.contains("it has another gateway-0-00000001 already"), "{why}");
        assert_eq!(receiver.files(), before);
        // An address that nobody listens at costs no more than its tries, and the export stays the next one.
        let why = other.export_ledger_to(0, "http://receiver.example/use".into()).await.unwrap_err();
        assert!(why.contains("must be an IP address"), "{why}");
        let folder = other.path("by-hand");
        other.export_ledger_to(0, folder.display().to_string()).await.unwrap();
        assert!(folder.join("gateway-0-00000001.manifest.json").exists());
    });
}
