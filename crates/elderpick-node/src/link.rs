//! A connection with a bounded queue of what could not be written yet.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Most bytes that wait to be written; a peer that reads so little is cut off.
const MOST_WAITING: usize = 64 << 10;
/// What is read at a time.
pub(crate) const CHUNK: usize = 16 << 10;
/// The last words are given so long to be written.
const LAST_WORDS: Duration = Duration::from_millis(300);

/// One connection. Its task reads and writes what waits; anyone may send.
pub(crate) struct Link {
    stream: TcpStream,
    waiting: RefCell<VecDeque<u8>>,
    wake: Notify,
    ending: Cell<Ending>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Ending {
    No,
    /// Once all that waits is written.
    Flushed,
    Now,
}

impl Link {
    pub fn new(stream: TcpStream) -> Link {
        let _ = stream.set_nodelay(true);
        Link { stream, waiting: RefCell::default(), wake: Notify::new(), ending: Cell::new(Ending::No) }
    }

    /// Writes what can be written now and keeps the rest. A peer that reads too little is cut off.
    pub fn send(&self, bytes: &[u8]) {
        if self.ending.get() != Ending::No {
            return;
        }
        let mut waiting = self.waiting.borrow_mut();
        let written = if waiting.is_empty() { self.stream.try_write(bytes).unwrap_or(0) } else { 0 };
        if waiting.len() + bytes.len() - written > MOST_WAITING {
            self.ending.set(Ending::Now);
        } else {
            waiting.extend(&bytes[written..]);
        }
        if written < bytes.len() {
            self.wake.notify_one();
        }
    }

    /// Writes if at least the first byte can be written now; else nothing of it ever is.
    pub fn send_now(&self, bytes: &[u8]) -> bool {
        if self.ending.get() != Ending::No || !self.waiting.borrow().is_empty() {
            return false;
        }
        match self.stream.try_write(bytes) {
            Ok(written) if written > 0 => {
                if written < bytes.len() {
                    self.waiting.borrow_mut().extend(&bytes[written..]);
                    self.wake.notify_one();
                }
                true
            }
            _ => false,
        }
    }

    /// What would be read first. Asks the system, which may know more than the runtime does.
    fn peek(&self) -> io::Result<usize> {
        socket2::SockRef::from(&self.stream).peek(&mut [std::mem::MaybeUninit::uninit()])
    }

    /// Whether nothing has come that was not read yet.
    pub fn quiet(&self) -> bool {
        self.peek().map_or(true, |read| read == 0)
    }

    /// Whether the peer has ended it: what is written now is lost.
    pub fn ended(&self) -> bool {
        match self.peek() {
            Ok(read) => read == 0,
            Err(why) => why.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Whether it goes on: what was said on it goes out.
    pub fn goes_on(&self) -> bool {
        self.ending.get() == Ending::No
    }

    /// Whether nothing waits and it is not ending.
    pub fn free(&self) -> bool {
        self.ending.get() == Ending::No && self.waiting.borrow().is_empty()
    }

    /// Ends it: at once, or when all that waits is written. At once means that the peer is told before this returns,
    /// whoever still holds on to it: what was out on it is given up before the next thing is said elsewhere.
    pub fn end(&self, at_once: bool) {
        if self.ending.get() != Ending::Now {
            self.ending.set(if at_once { Ending::Now } else { Ending::Flushed });
        }
        if at_once {
            // It fails where the peer has ended it already.
            let _ = socket2::SockRef::from(&self.stream).shutdown(std::net::Shutdown::Both);
        }
        self.wake.notify_one();
    }

    /// Reads into a buffer, once there is something; 0 at the end.
    async fn read(&self, buffer: &RefCell<Vec<u8>>) -> io::Result<usize> {
        loop {
            self.stream.readable().await?;
            match self.stream.try_read(&mut buffer.borrow_mut()) {
                Err(why) if why.kind() == io::ErrorKind::WouldBlock => {}
                other => return other,
            }
        }
    }

    fn flush(&self) -> io::Result<()> {
        let mut waiting = self.waiting.borrow_mut();
        while !waiting.is_empty() {
            match self.stream.try_write(waiting.as_slices().0) {
                Ok(written) => drop(waiting.drain(..written)),
                Err(why) if why.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(why) => return Err(why),
            }
        }
        if waiting.capacity() > CHUNK {
            waiting.shrink_to_fit();
        }
        Ok(())
    }

    /// Reads and writes until either side ends it. `heard` gets each chunk that came and says whether to go on.
    pub async fn run(&self, buffer: &RefCell<Vec<u8>>, mut heard: impl FnMut(&[u8]) -> bool) {
        loop {
            let wants_write = !self.waiting.borrow().is_empty();
            match self.ending.get() {
                Ending::Now => return,
                Ending::Flushed if !wants_write => return,
                Ending::Flushed => {
                    let last = async {
                        while !self.waiting.borrow().is_empty() {
                            if self.stream.writable().await.is_err() || self.flush().is_err() {
                                return;
                            }
                        }
                    };
                    let _ = tokio::time::timeout(LAST_WORDS, last).await;
                    return;
                }
                Ending::No => {}
            }
            tokio::select! {
                read = self.read(buffer) => match read {
                    Ok(0) | Err(_) => return,
                    Ok(read) => {
                        let chunk = buffer.borrow();
                        if !heard(&chunk[..read]) {
                            drop(chunk);
                            self.end(false);
                        }
                    }
                },
                ready = self.stream.writable(), if wants_write => {
                    if ready.is_err() || self.flush().is_err() {
                        return;
                    }
                }
                () = self.wake.notified() => {}
            }
        }
    }
}

#[cfg(test)]
mod tests {
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
}
