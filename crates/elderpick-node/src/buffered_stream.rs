//! A connection with a bounded queue of what could not be written yet.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, Read};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Nothing more is read from a peer while more bytes than this wait to be written to it: who does not read what it is
/// owed cannot ask for more.
pub(crate) const READS_UP_TO: usize = 64 << 10;
/// The buffer that connections are read into.
pub(crate) const CHUNK: usize = 16 << 10;
/// What still waits at the end is given so long to be written: they may be answers that are owed, to a peer that
/// reads slowly.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);
/// A peer that was told that nothing more comes has so long to send the last of what it has and to end the connection.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// How often it is looked whether a connection breaks behind its end.
const BREAK_POLLS: u32 = 10;
/// What a look reads at a time.
const POLL_CHUNK: usize = 4 << 10;

/// What a look at a connection found.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum PollResult {
    Nothing,
    /// All that had come was taken.
    All,
    /// More than one look takes.
    More,
}

/// Why this side ends a connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum CloseReason {
    /// It was silent, unfinished or idle for too long.
    Overdue,
    /// Another connection needs its descriptor.
    MakesRoom,
    /// What came on it cannot be read.
    Unreadable,
    /// It was not admitted.
    NotAdmitted,
    /// Its peer reads too little of what it is owed.
    Overflow,
    /// Its host is lost, or another process.
    HostLost,
    /// A withdrawal on it was not confirmed in time.
    Unconfirmed,
    /// It was retired and nothing is out on it.
    Retired,
    /// It is not needed.
    Spare,
    /// The gateway ends.
    Shutdown,
}

/// One connection. Its task reads and writes what waits; anyone may send.
pub(crate) struct BufferedStream {
    stream: TcpStream,
    waiting: RefCell<VecDeque<u8>>,
    /// Most bytes that may wait; a peer that reads so little is cut off.
    most_waiting: usize,
    /// Most bytes that are read before others have their turn.
    most_read: usize,
    /// What is sent is kept until it is uncorked.
    corked: Cell<bool>,
    wake: Notify,
    ending: Cell<Ending>,
    /// The system told an error of it. It tells each once, to whichever call comes first.
    broken: Cell<bool>,
    /// Why this side ends it, if it does; the first reason stays.
    close_reason: Cell<Option<CloseReason>>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Ending {
    No,
    /// The peer was told that nothing more comes; what it still says is read.
    Leaving,
    /// Once all that waits is written.
    Flushed,
    /// Once all that waits is written and the peer has ended it as well; what it still says is dropped.
    Delivered,
    Now,
}

impl BufferedStream {
    /// `most_owed` is what may be owed to the peer by the time that nothing more is read from it, `most_read` what is
    /// read before other connections have their turn.
    pub fn new(stream: TcpStream, most_owed: usize, most_read: usize) -> BufferedStream {
        let _ = stream.set_nodelay(true);
        BufferedStream {
            stream,
            waiting: RefCell::default(),
            most_waiting: READS_UP_TO + most_owed,
            most_read,
            corked: Cell::default(),
            wake: Notify::new(),
            ending: Cell::new(Ending::No),
            broken: Cell::new(false),
            close_reason: Cell::default(),
        }
    }

    /// Notes for the log why this side ends it.
    pub fn set_close_reason(&self, reason: CloseReason) {
        self.close_reason.set(self.close_reason.get().or(Some(reason)));
    }

    /// Why this side ended it; `None` if the peer or the network did.
    pub fn close_reason(&self) -> Option<CloseReason> {
        self.close_reason.get()
    }

    /// Remembers an error that the system tells of it.
    fn note_error<T>(&self, result: io::Result<T>) -> io::Result<T> {
        let passing =
            |why: &io::Error| matches!(why.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted);
        if result.as_ref().is_err_and(|why| !passing(why)) {
            self.broken.set(true);
        }
        result
    }

    fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        self.note_error(self.stream.try_write(bytes))
    }

    /// Writes what can be written now and keeps the rest. A peer that reads too little is cut off.
    pub fn send(&self, bytes: &[u8]) {
        if self.ending.get() != Ending::No {
            return;
        }
        let mut waiting = self.waiting.borrow_mut();
        let at_once = waiting.is_empty() && !self.corked.get();
        let written = if at_once { self.try_write(bytes).unwrap_or(0) } else { 0 };
        if waiting.len() + bytes.len() - written > self.most_waiting {
            self.set_close_reason(CloseReason::Overflow);
            self.ending.set(Ending::Now);
        } else {
            waiting.extend(&bytes[written..]);
        }
        if written < bytes.len() && !self.corked.get() {
            self.wake.notify_one();
        }
    }

    /// Keeps what is sent until [`BufferedStream::uncork`], so that many small messages are written together; `false`
    /// if it is corked already, or something waits to be written.
    pub fn cork(&self) -> bool {
        let corks = !self.corked.get() && self.waiting.borrow().is_empty();
        self.corked.set(self.corked.get() || corks);
        corks
    }

    /// Writes what was sent while it was corked.
    pub fn uncork(&self) {
        self.corked.set(false);
        if self.ending.get() != Ending::Now {
            let _ = self.flush();
        }
        if !self.written() {
            self.wake.notify_one();
        }
    }

    /// Writes if at least the first byte can be written now; else nothing of it ever is.
    pub fn send_now(&self, bytes: &[u8]) -> bool {
        if self.ending.get() != Ending::No || !self.waiting.borrow().is_empty() {
            return false;
        }
        match self.try_write(bytes) {
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
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut [std::mem::MaybeUninit::uninit()]);
        self.note_error(peeked)
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

    /// Whether it goes on: what was sent on it goes out.
    pub fn goes_on(&self) -> bool {
        self.ending.get() == Ending::No
    }

    /// Whether all that was sent on it is written, or never will be.
    pub fn written(&self) -> bool {
        self.ending.get() == Ending::Now || self.waiting.borrow().is_empty()
    }

    /// Whether it takes what is sent at once, and is not ending.
    pub fn free(&self) -> bool {
        self.ending.get() == Ending::No && (self.corked.get() || self.waiting.borrow().is_empty())
    }

    /// Reads at once what has come, whatever the runtime knows of it, up to so many chunks. The connection's own task
    /// reads what is more, and sees how it ends.
    pub fn poll_input(&self, most_chunks: usize, mut heard: impl FnMut(&[u8]) -> bool) -> PollResult {
        let mut found = PollResult::Nothing;
        for _ in 0..most_chunks {
            let mut chunk = [0; POLL_CHUNK];
            let read = match self.ending.get() {
                Ending::No => self.note_error((&*socket2::SockRef::from(&self.stream)).read(&mut chunk)),
                _ => return found,
            };
            let Ok(read @ 1..) = read else { return found };
            found = PollResult::All;
            if !heard(&chunk[..read]) {
                self.set_close_reason(CloseReason::Unreadable);
                self.end(false);
            }
            if read < POLL_CHUNK {
                return found;
            }
        }
        PollResult::More
    }

    /// Ends it without losing what the peer may be saying: nothing more is written, and what comes is read until the
    /// peer ends it as well. For a connection on which nothing is out.
    pub fn leave(&self) {
        if !self.free() {
            return self.end(false);
        }
        self.ending.set(Ending::Leaving);
        let _ = socket2::SockRef::from(&self.stream).shutdown(std::net::Shutdown::Write);
        self.wake.notify_one();
    }

    /// Ends it: at once, or when all that waits is written. At once means that the peer is told before this returns,
    /// whoever still holds on to it: what was out on it is given up before the next thing is said elsewhere.
    pub fn end(&self, at_once: bool) {
        match self.ending.get() {
            Ending::Now => {}
            Ending::Delivered if !at_once => {}
            _ => self.ending.set(if at_once { Ending::Now } else { Ending::Flushed }),
        }
        if at_once {
            // It fails where the peer has ended it already.
            let _ = socket2::SockRef::from(&self.stream).shutdown(std::net::Shutdown::Both);
        }
        self.wake.notify_one();
    }

    /// Ends it so that all that was sent arrives: a system that drops a connection with something unread on it takes
    /// back what it has not sent yet, so that what the peer still says is read, and dropped.
    pub fn deliver_and_end(&self) {
        self.set_close_reason(CloseReason::Shutdown);
        if self.ending.get() != Ending::Now {
            self.ending.set(Ending::Delivered);
        }
        self.wake.notify_one();
    }

    /// Ends it so that what the peer's system has not confirmed never arrives: a network that is cut would carry it,
    /// and the end behind it, once it is whole again. The system drops it when the connection's task does.
    pub fn abort(&self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        self.end(true);
    }

    /// Whether the peer's system tells within this time, behind an end in order, that it does not take what was sent.
    pub async fn breaks_within(&self, time: Duration) -> bool {
        for _ in 0..BREAK_POLLS {
            if self.broken.get() || !matches!(self.stream.take_error(), Ok(None)) {
                return true;
            }
            tokio::time::sleep(time / BREAK_POLLS).await;
        }
        false
    }

    /// Reads into a buffer, once there is something; 0 at the end.
    async fn read(&self, buffer: &RefCell<Vec<u8>>) -> io::Result<usize> {
        loop {
            self.stream.readable().await?;
            let mut buffer = buffer.borrow_mut();
            let most = self.most_read.min(buffer.len());
            match self.note_error(self.stream.try_read(&mut buffer[..most])) {
                Err(why) if why.kind() == io::ErrorKind::WouldBlock => {}
                other => return other,
            }
        }
    }

    fn flush(&self) -> io::Result<()> {
        let mut waiting = self.waiting.borrow_mut();
        while !waiting.is_empty() {
            match self.try_write(waiting.as_slices().0) {
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

    /// Reads what the peer still sends until it ends the connection; `true` if it did and all was heard.
    async fn read_to_end(&self, buffer: &RefCell<Vec<u8>>, mut heard: impl FnMut(&[u8]) -> bool) -> bool {
        let last = async {
            loop {
                let read = self.read(buffer).await;
                let leaving = self.ending.get() == Ending::Leaving;
                match read {
                    Ok(0) => return leaving && !self.broken.get(),
                    Ok(read) if leaving && heard(&buffer.borrow()[..read]) => {}
                    _ => return false,
                }
            }
        };
        tokio::time::timeout(CLOSE_TIMEOUT, last).await.unwrap_or(false)
    }

    /// Reads what the peer still sends until it ends the connection, and drops it.
    async fn discard(&self, buffer: &RefCell<Vec<u8>>) {
        while let Ok(1..) = self.read(buffer).await {}
    }

    /// Writes all that waits, as fast as the peer takes it.
    async fn flush_all(&self) {
        while !self.waiting.borrow().is_empty() {
            if self.stream.writable().await.is_err() || self.flush().is_err() {
                return;
            }
        }
    }

    /// Reads and writes until either side ends it. `heard` gets each chunk that came and says whether to go on. What
    /// comes behind an end of ours is not heard: whoever sent it sees that it was too late. `true` if the peer ended it
    /// and all that it said was heard.
    pub async fn run(&self, buffer: &RefCell<Vec<u8>>, mut heard: impl FnMut(&[u8]) -> bool) -> bool {
        loop {
            let waiting = self.waiting.borrow().len();
            let (wants_write, reads) = (waiting > 0, waiting <= READS_UP_TO);
            match self.ending.get() {
                Ending::Now => return false,
                Ending::Leaving => return self.read_to_end(buffer, heard).await,
                Ending::Flushed if !wants_write => return false,
                Ending::Flushed => {
                    let _ = tokio::time::timeout(FLUSH_TIMEOUT, self.flush_all()).await;
                    return false;
                }
                Ending::Delivered => {
                    let _ = tokio::time::timeout(FLUSH_TIMEOUT, self.flush_all()).await;
                    let _ = socket2::SockRef::from(&self.stream).shutdown(std::net::Shutdown::Write);
                    let _ = tokio::time::timeout(CLOSE_TIMEOUT, self.discard(buffer)).await;
                    return false;
                }
                Ending::No => {}
            }
            tokio::select! {
                read = self.read(buffer), if reads => match read {
                    Ok(0) => {
                        let heard_to_the_end = matches!(self.ending.get(), Ending::No | Ending::Leaving);
                        return heard_to_the_end && !self.broken.get();
                    }
                    Err(_) => return false,
                    Ok(read) if matches!(self.ending.get(), Ending::No | Ending::Leaving) => {
                        let goes_on = heard(&buffer.borrow()[..read]);
                        if !goes_on {
                            self.set_close_reason(CloseReason::Unreadable);
                            self.end(false);
                        }
                        // A peer that sends without a pause would hold up all others.
                        tokio::task::yield_now().await;
                    }
                    Ok(_) => {}
                },
                ready = self.stream.writable(), if wants_write => {
                    if ready.is_err() || self.flush().is_err() {
                        return false;
                    }
                }
                () = self.wake.notified() => {}
            }
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/buffered_stream.rs"]
mod tests;
