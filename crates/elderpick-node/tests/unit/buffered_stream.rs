//! A connection, on loopback. Compiled into `src/link.rs`, whose figures it knows.

use std::io::Read;

use super::*;

/// What may be owed to a peer that these tests are of.
const MOST_OWED: usize = 1 << 20;
/// What a look at it reads.
const MOST_POLLED: usize = 16;

#[tokio::test]
async fn what_has_come_is_seen_before_the_runtime_reads_it() {
    use std::io::Write;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let stream = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("up");
    let (mut peer, _) = listener.accept().expect("a connection");
    let link = BufferedStream::new(stream, MOST_OWED, CHUNK);
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
    let held = std::rc::Rc::new(BufferedStream::new(stream, MOST_OWED, CHUNK));
    assert!(held.clone().send_now(b"all"));
    held.end(true);
    let mut all = Vec::new();
    assert_eq!((peer.read_to_end(&mut all).expect("an end"), held.send_now(b"more")), (3, false));
}

/// A connection, and its other end.
async fn pair() -> (BufferedStream, std::net::TcpStream) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let stream = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("up");
    (BufferedStream::new(stream, MOST_OWED, CHUNK), listener.accept().expect("a connection").0)
}

/// More than a system sends before it hears of the peer, which goes on talking.
#[tokio::test]
async fn answers_on_a_busy_connection_that_is_ended_are_all_delivered() {
    use std::io::Write;
    let (link, mut peer) = pair().await;
    let answers = vec![b'a'; MOST_OWED];
    link.send(&answers);
    peer.write_all(&[b'x'; 64]).expect("written");
    let reading = std::thread::spawn(move || {
        let (mut all, mut chunk) = (0, [0; 4_096]);
        while let Ok(read @ 1..) = peer.read(&mut chunk) {
            all += read;
            if peer.write_all(b"x").is_err() {
                break;
            }
        }
        all
    });
    link.deliver_and_end();
    assert!(!link.run(&RefCell::new(vec![0; CHUNK]), |_| panic!("nothing is heard")).await);
    drop(link);
    assert_eq!(reading.join().expect("read"), answers.len());
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
    assert_eq!(link.poll_input(MOST_POLLED, |_| true), PollResult::Nothing);
    peer.write_all(b"x").expect("written");
    drop(peer);
    let look = link.poll_input(MOST_POLLED, |chunk| {
        heard.extend_from_slice(chunk);
        true
    });
    assert!(look == PollResult::All && heard == b"x" && link.ended());
    assert_eq!(link.poll_input(MOST_POLLED, |_| true), PollResult::Nothing);
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

/// A peer whose system takes little, and which reads nothing until all has been sent.
#[tokio::test]
async fn what_is_owed_to_a_peer_that_reads_late_is_kept_and_nothing_more_is_read_from_it() {
    use std::io::Write;
    let (link, mut peer) = pair().await;
    socket2::SockRef::from(&link.stream).set_send_buffer_size(4_096).expect("small");
    let (answer, answers) = (vec![b'a'; 16 << 10], 64);
    (0..answers).for_each(|_| link.send(&answer));
    assert!(link.goes_on(), "what is owed is no overflow");
    assert!(link.waiting.borrow().len() > READS_UP_TO);
    peer.write_all(b"more").expect("written");
    let (buffer, heard) = (RefCell::new(vec![0; CHUNK]), Cell::new(0));
    let (read, whole) = (Cell::new(0), answer.len() * answers);
    let run = link.run(&buffer, |chunk| {
        assert!(link.waiting.borrow().len() <= READS_UP_TO, "it is read once little is owed");
        heard.set(heard.get() + chunk.len());
        true
    });
    let reads = async {
        peer.set_nonblocking(true).expect("it is set");
        let mut chunk = vec![0; 64 << 10];
        while read.get() < whole || heard.get() < 4 {
            tokio::task::yield_now().await;
            read.set(read.get() + peer.read(&mut chunk).unwrap_or(0));
        }
    };
    tokio::select! {
        _ = run => panic!("it goes on"),
        () = reads => {}
    }
    assert_eq!((read.get(), heard.get()), (whole, 4));
}

#[tokio::test]
async fn who_never_reads_is_cut_off_at_the_bound() {
    let (link, _peer) = pair().await;
    socket2::SockRef::from(&link.stream).set_send_buffer_size(4_096).expect("small");
    let piece = vec![b'a'; 16 << 10];
    let sent = (0..10_000).take_while(|_| {
        link.send(&piece);
        link.goes_on()
    });
    let sent = sent.count() * piece.len();
    assert!(sent >= MOST_OWED && !link.goes_on(), "{sent}");
    assert!(link.waiting.borrow().len() <= MOST_OWED + READS_UP_TO);
}

/// The peer has closed in order before what was sent came to it, or after it read all of that.
#[tokio::test]
async fn what_crosses_the_peers_end_is_told_from_what_it_has_read() {
    for crosses in [true, false] {
        let (link, mut peer) = pair().await;
        if crosses {
            drop(peer);
            link.send(b"answer");
        } else {
            link.send(b"answer");
            let mut all = [0; 6];
            peer.read_exact(&mut all).expect("all");
            drop(peer);
        }
        assert!(link.run(&RefCell::new(vec![0; CHUNK]), |_| true).await || crosses);
        assert_eq!(link.breaks_within(Duration::from_millis(50)).await, crosses);
    }
}

/// The system tells of a reset once, to whoever asks first.
#[tokio::test]
async fn a_reset_that_was_noticed_before_the_task_reads_passes_for_an_orderly_end() {
    type Notice = fn(&BufferedStream);
    let notices: [(&str, Notice); 4] = [
        ("ended", |link| assert!(link.ended())),
        ("quiet", |link| assert!(link.quiet())),
        ("poll_input", |link| assert_eq!(link.poll_input(MOST_POLLED, |_| true), PollResult::Nothing)),
        ("send", |link| link.send(b"release")),
    ];
    for (name, notice) in notices {
        let (link, peer) = pair().await;
        socket2::SockRef::from(&peer).set_linger(Some(Duration::ZERO)).expect("it is set");
        drop(peer);
        notice(&link);
        assert!(!link.run(&RefCell::new(vec![0; CHUNK]), |_| true).await, "behind {name}");
        assert!(link.breaks_within(Duration::from_millis(50)).await, "behind {name}");
    }
}
