//! A connection, on loopback. Compiled into `src/link.rs`, whose figures it knows.

use std::io::Read;

use super::*;

#[tokio::test]
async fn what_has_come_is_seen_before_the_runtime_reads_it() {
    use std::io::Write;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let stream = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("up");
    let (mut peer, _) = listener.accept().expect("a connection");
    let link = Link::new(stream);
    assert!(link.quiet());
    peer.write_all(b"x").expect("written");
    // Over loopback it has come when the write returns.
    assert!(!link.quiet() && !link.ended());
    drop(peer);
    let mut one = [0];
    link.stream.readable().await.expect("a byte");
    assert_eq!(link.stream.try_read(&mut one).expect("a byte"), 1);
    assert!(link.ended() && link.quiet());
}

#[tokio::test]
async fn what_is_ended_at_once_is_over_for_the_peer_whoever_holds_it() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let stream = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("up");
    let (mut peer, _) = listener.accept().expect("a connection");
    let held = std::rc::Rc::new(Link::new(stream));
    assert!(held.clone().send_now(b"all"));
    held.end(true);
    let mut all = Vec::new();
    assert_eq!((peer.read_to_end(&mut all).expect("an end"), held.send_now(b"more")), (3, false));
}

/// A connection, and its other end.
async fn pair() -> (Link, std::net::TcpStream) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let stream = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("up");
    (Link::new(stream), listener.accept().expect("a connection").0)
}

/// Both have happened when its task comes to run; the runtime picks by chance which it sees first, so many times.
#[tokio::test]
async fn what_comes_behind_our_end_is_not_heard() {
    use std::io::Write;
    for _ in 0..64 {
        let (link, mut peer) = pair().await;
        let (buffer, mut heard) = (RefCell::new(vec![0; CHUNK]), 0);
        let mut run = Box::pin(link.run(&buffer, |chunk| {
            heard += chunk.len();
            true
        }));
        // It waits for either.
        assert!(poll_once(run.as_mut()).await.is_none());
        peer.write_all(b"late").expect("written");
        link.stream.readable().await.expect("the runtime knows of it");
        link.end(true);
        assert!(!run.await, "not all was heard");
        assert_eq!(heard, 0);
    }
}

#[tokio::test]
async fn who_leaves_hears_the_last_words_of_the_other_side() {
    use std::io::Write;
    let (link, mut peer) = pair().await;
    let (buffer, mut heard) = (RefCell::new(vec![0; CHUNK]), Vec::new());
    link.leave();
    let mut all = Vec::new();
    // It has seen the end before it says its last words.
    assert_eq!(peer.read_to_end(&mut all).expect("an end"), 0);
    peer.write_all(b"over").expect("written");
    drop(peer);
    let whole = link.run(&buffer, |chunk| {
        heard.extend_from_slice(chunk);
        true
    });
    assert!(whole.await);
    assert_eq!(heard, b"over");
    assert!(!link.send_now(b"more"));
}

#[tokio::test]
async fn a_look_takes_what_has_come_before_the_runtime_knows_of_it() {
    use std::io::Write;
    let (link, mut peer) = pair().await;
    let mut heard = Vec::new();
    assert_eq!(link.look(|_| true), Look::Nothing);
    peer.write_all(b"x").expect("written");
    drop(peer);
    let look = link.look(|chunk| {
        heard.extend_from_slice(chunk);
        true
    });
    assert!(look == Look::All && heard == b"x" && link.ended());
    assert_eq!(link.look(|_| true), Look::Nothing);
}

/// Polls once.
async fn poll_once<T>(mut future: std::pin::Pin<&mut impl Future<Output = T>>) -> Option<T> {
    std::future::poll_fn(|context| {
        std::task::Poll::Ready(match future.as_mut().poll(context) {
            std::task::Poll::Ready(done) => Some(done),
            std::task::Poll::Pending => None,
        })
    })
    .await
}
