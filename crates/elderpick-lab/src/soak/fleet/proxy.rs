//! What lies between a gateway and a machine: connections that are passed on, reset, closed, stalled and cut off.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{AbortHandle, spawn_local};

use super::plan::ProxyShares;
use crate::soak::reserved::ReservedAddress;

/// Connections that the system takes before the proxy does.
const BACKLOG: u32 = 256;
/// Most that is passed on at a time.
const CHUNK: usize = 4_096;
/// Bytes behind which a connection breaks: within the first few messages.
const BREAKS_BEHIND: std::ops::Range<usize> = 20..900;
/// When a connection breaks that does so by time, in milliseconds.
const BREAKS_WITHIN_MS: std::ops::Range<u64> = 20..3_000;
/// How long a connection stalls, in milliseconds.
const STALLS_FOR_MS: std::ops::Range<u64> = 10..300;

/// How a connection is treated.
#[derive(Clone, Copy, Debug)]
enum Treatment {
    PassedOn,
    ResetNew,
    ResetBehindRequest(usize),
    ResetBehindAnswer(usize),
    ResetAfter(Duration),
    ClosedAfter(Duration),
    Stalls { behind: usize, lasts: Duration },
}

/// What the network does now.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Network {
    Passes,
    /// Nothing is passed on.
    Holds,
}

struct Inside {
    target: Cell<SocketAddr>,
    shares: ProxyShares,
    random: RefCell<ChaCha8Rng>,
    network: watch::Sender<Network>,
    tasks: RefCell<Vec<AbortHandle>>,
}

/// The way of one gateway to one machine.
pub(super) struct Proxy {
    /// Where the gateway finds the machine.
    reserved: ReservedAddress,
    inside: Rc<Inside>,
    accepting: RefCell<Option<AbortHandle>>,
    /// Listens without taking any connection, and the connection that fills its queue.
    held: RefCell<Option<(TcpListener, TcpStream)>>,
}

impl Proxy {
    /// Passes on to `target`.
    pub async fn start(
        target: SocketAddr,
        shares: ProxyShares,
        random: ChaCha8Rng,
    ) -> std::io::Result<Proxy> {
        let reserved = ReservedAddress::take()?;
        let listener = reserved.listen(BACKLOG).await?;
        let inside = Inside {
            target: Cell::new(target),
            shares,
            random: RefCell::new(random),
            network: watch::Sender::new(Network::Passes),
            tasks: RefCell::default(),
        };
        let proxy = Proxy {
            reserved,
            inside: Rc::new(inside),
            accepting: RefCell::default(),
            held: RefCell::default(),
        };
        proxy.accept(listener);
        Ok(proxy)
    }

    fn accept(&self, listener: TcpListener) {
        let inside = self.inside.clone();
        let accepting = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let passing = spawn_local(inside.clone().pass(stream));
                let mut tasks = inside.tasks.borrow_mut();
                tasks.retain(|task| !task.is_finished());
                tasks.push(passing.abort_handle());
            }
        });
        *self.accepting.borrow_mut() = Some(accepting.abort_handle());
    }

    fn stop_listening(&self) {
        if let Some(accepting) = self.accepting.borrow_mut().take() {
            accepting.abort();
        }
        self.held.borrow_mut().take();
    }

    /// The machine's process dies: its connections are reset, and new ones refused.
    pub fn die(&self) {
        self.stop_listening();
        self.inside.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
        self.inside.network.send_replace(Network::Passes);
    }

    /// Listens again, and passes on to `target`.
    pub async fn come_back(&self, target: SocketAddr) -> std::io::Result<()> {
        self.inside.target.set(target);
        let listener = self.reserved.listen(BACKLOG).await?;
        self.accept(listener);
        Ok(())
    }

    /// Where the gateway finds the machine.
    pub fn address(&self) -> SocketAddr {
        self.reserved.address
    }

    /// Nothing is passed on any more; connections still come up, as with a process that hangs.
    pub fn hang(&self) {
        self.inside.network.send_replace(Network::Holds);
    }

    /// Nothing is passed on any more, and no connection comes up.
    pub async fn cut_off(&self) -> std::io::Result<()> {
        self.hang();
        self.stop_listening();
        // One connection fits that is not taken.
        let listener = self.reserved.listen(0).await?;
        let filler = TcpStream::connect(self.reserved.address).await?;
        *self.held.borrow_mut() = Some((listener, filler));
        Ok(())
    }

    /// Passes on again, first what was held.
    pub fn heal(&self) {
        if let Some((listener, filler)) = self.held.borrow_mut().take() {
            drop(filler);
            self.accept(listener);
        }
        self.inside.network.send_replace(Network::Passes);
    }
}

impl Inside {
    fn draw(&self) -> Treatment {
        let (shares, mut random) = (self.shares, self.random.borrow_mut());
        let draw: f64 = random.random();
        let behind = random.random_range(BREAKS_BEHIND);
        let after = Duration::from_millis(random.random_range(BREAKS_WITHIN_MS));
        let lasts = Duration::from_millis(random.random_range(STALLS_FOR_MS));
        let treatments = [
            (shares.reset_new, Treatment::ResetNew),
            (shares.reset_request, Treatment::ResetBehindRequest(behind)),
            (shares.reset_answer, Treatment::ResetBehindAnswer(behind)),
            (shares.reset_later, Treatment::ResetAfter(after)),
            (shares.closed_later, Treatment::ClosedAfter(after)),
            (shares.stalls, Treatment::Stalls { behind, lasts }),
        ];
        let mut bound = 0.0;
        for (share, treatment) in treatments {
            bound += share;
            if draw < bound {
                return treatment;
            }
        }
        Treatment::PassedOn
    }

    async fn pass(self: Rc<Self>, near: TcpStream) {
        let _ = near.set_nodelay(true);
        // Whatever drops it resets it, unless it is ended in order.
        let _ = socket2::SockRef::from(&near).set_linger(Some(Duration::ZERO));
        let treatment = self.draw();
        if matches!(treatment, Treatment::ResetNew) {
            return;
        }
        let mut network = self.network.subscribe();
        passes(&mut network).await;
        let Ok(far) = TcpStream::connect(self.target.get()).await else { return };
        let _ = far.set_nodelay(true);
        let copying = copy(&near, far, treatment, network);
        let in_order = match treatment {
            Treatment::ResetAfter(after) => {
                let _ = tokio::time::timeout(after, copying).await;
                false
            }
            Treatment::ClosedAfter(after) => tokio::time::timeout(after, copying).await.unwrap_or(true),
            _ => copying.await,
        };
        if in_order {
            let _ = socket2::SockRef::from(&near).set_linger(None);
        }
    }
}

/// Waits until the network passes on.
async fn passes(network: &mut watch::Receiver<Network>) {
    let _ = network.wait_for(|now| *now == Network::Passes).await;
}

/// Passes on what either side sends until one of them ends it; `true` if that was in order.
async fn copy(
    near: &TcpStream,
    mut far: TcpStream,
    treatment: Treatment,
    mut network: watch::Receiver<Network>,
) -> bool {
    let (mut requested, mut answered) = (0, 0);
    let (mut from_near, mut from_far) = (vec![0; CHUNK], vec![0; CHUNK]);
    loop {
        if *network.borrow_and_update() == Network::Holds {
            passes(&mut network).await;
            // What was aborted meanwhile never came out of the network.
            if !matches!(near.take_error(), Ok(None)) {
                return false;
            }
        }
        tokio::select! {
            _ = network.changed() => {}
            ready = near.readable() => {
                let read = ready.and_then(|()| near.try_read(&mut from_near));
                let read = match read {
                    Ok(0) => return far.shutdown().await.is_ok(),
                    Ok(read) => read,
                    Err(why) if why.kind() == std::io::ErrorKind::WouldBlock => continue,
                    Err(_) => return false,
                };
                requested += read;
                if let Treatment::ResetBehindRequest(most) = treatment
                    && requested >= most
                {
                    let whole = most.saturating_sub(requested - read).min(read);
                    let _ = far.write_all(&from_near[..whole]).await;
                    return false;
                }
                if far.write_all(&from_near[..read]).await.is_err() {
                    return false;
                }
            }
            read = far.read(&mut from_far) => {
                let read = match read {
                    Ok(0) => return true,
                    Ok(read) => read,
                    Err(_) => return false,
                };
                let before = answered;
                answered += read;
                if let Treatment::ResetBehindAnswer(most) = treatment
                    && answered >= most
                {
                    let whole = most.saturating_sub(before).min(read);
                    let _ = write_all(near, &from_far[..whole]).await;
                    return false;
                }
                if let Treatment::Stalls { behind, lasts } = treatment
                    && before < behind
                    && answered >= behind
                {
                    tokio::time::sleep(lasts).await;
                }
                if write_all(near, &from_far[..read]).await.is_err() {
                    return false;
                }
            }
        }
    }
}

async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> std::io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(written) => bytes = &bytes[written..],
            Err(why) if why.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(why) => return Err(why),
        }
    }
    Ok(())
}
