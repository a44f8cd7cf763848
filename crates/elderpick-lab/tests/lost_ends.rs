//! Ends of sessions that no viewer would hear of, on real sockets, in the order that a test forces.

use std::time::Duration;

use elderpick_lab::platform::{Host, Listing, Viewers};
use elderpick_platform::viewer::kind;

mod common;

use common::{World, run, until, world};

async fn connect(world: &World) -> Viewers {
    Viewers::connect(world.gateway.address).await.unwrap()
}

/// Waits for the next message on a session, and gives its kind.
async fn next_kind(viewers: &mut Viewers, session: u64) -> u8 {
    let message = viewers.next().await.unwrap().expect("a message");
    assert_eq!(message.session, session);
    message.kind
}

async fn is_served(viewers: &mut Viewers, session: u64) {
    viewers.ask(session, "free", None).await.unwrap();
    assert_eq!(next_kind(viewers, session).await, kind::ANSWER);
}

fn listing(host: &Host, health: &str, born_ms: u64) -> Listing {
    Listing { name: host.name.clone(), address: host.address, health: health.to_owned(), born_ms }
}

fn unix_ms() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A host dies, and before two connections to it were refused another one listens at its address.
#[test]
fn sessions_of_a_host_whose_address_another_one_took_stand_for_nobody() {
    run(async {
        let world = world("address-taken", 1, 256).await;
        let mut viewers = connect(&world).await;
        is_served(&mut viewers, 1).await;
        world.gateway.pause().await.unwrap();
        world.hosts[0].die();
        // What listened before is gone once its tasks have run.
        tokio::time::sleep(Duration::from_millis(20)).await;
        let successor = world.hosts[0].succeeded_by("s-1").await.unwrap();
        world.gateway.resume().unwrap();
        until("a connection leads to the successor", || successor.taken() > 0).await;
        world.journal.tell_listings(false, &[listing(&world.hosts[0], "Gone", 0)]);
        world.journal.tell_listings(false, &[listing(&successor, "Ready", unix_ms())]);
        let released = tokio::time::timeout(Duration::from_secs(8), next_kind(&mut viewers, 1)).await;
        assert_eq!(released.ok(), Some(kind::RELEASE), "its viewer is told within 8 s");
    });
}
