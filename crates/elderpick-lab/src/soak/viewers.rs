//! Viewers on one connection after another: they ask, give up, end sessions, and confirm what they are told.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use elderpick_platform::viewer::{self, Decoder, Message, cause, code, kind};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{Notify, mpsc};
use tokio::task::spawn_local;

use super::pieces;
use super::plan::Plan;
use super::record::{Connection, Record, What};

/// What a viewer offers, in the platform's lines.
const OFFER_IN_LINES: &[u8] = b"9d41c07a5be2f318\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n";
/// The titles that are asked for.
const TITLE: &[u8] = b"7f3a9c21e0b4d655";
/// How many times the usual rate a crowd asks, and for how long.
const CROWD: f64 = 10.0;
const CROWD_LASTS: Duration = Duration::from_millis(300);
/// Pause before a viewer connects again.
const RECONNECT: Duration = Duration::from_millis(5);
/// Share of sessions that their viewers end, soon.
const ENDED_BY_VIEWER: f64 = 0.3;
const LONGEST_SESSION: Duration = Duration::from_millis(800);
/// Longer than any trial.
const LONGEST_STAY: Duration = Duration::from_secs(3_600);
/// Viewers whose numbers set the part of the trial's random numbers apart from hosts'.
const FIRST_PART: u64 = 1_000;
const HAND_OVER_PART: u64 = 2_000;

/// What all connections of a trial share.
pub struct Shared {
    /// The trial.
    pub plan: Plan,
    /// Its record.
    pub record: Record,
    /// Where the gateway listens.
    pub address: SocketAddr,
    /// Whether new connections still come.
    pub connects: Cell<bool>,
    /// Whether set-ups still come, on any connection.
    pub asks: Cell<bool>,
    /// Whether no new connection will ever come.
    pub finished: Cell<bool>,
    next_session: Cell<u64>,
    next_connection: Cell<Connection>,
}

impl Shared {
    /// Viewers of a gateway at this address.
    pub fn new(plan: &Plan, record: &Record, address: SocketAddr) -> Rc<Shared> {
        Shared::numbered_from(1, plan, record, address)
    }

    /// Viewers of a gateway at this address, whose sessions are numbered from `first` on.
    pub fn numbered_from(first: u64, plan: &Plan, record: &Record, address: SocketAddr) -> Rc<Shared> {
        Rc::new(Shared {
            plan: plan.clone(),
            record: record.clone(),
            address,
            connects: Cell::new(true),
            asks: Cell::new(true),
            finished: Cell::new(false),
            next_session: Cell::new(first),
            next_connection: Cell::new(0),
        })
    }

    fn next_connection(&self) -> Connection {
        let connection = self.next_connection.get();
        self.next_connection.set(connection + 1);
        connection
    }

    fn next_session(&self) -> u64 {
        let session = self.next_session.get();
        self.next_session.set(session + 1);
        session
    }

    /// How long viewers stay on a connection before they reset it.
    fn stays(&self, random: &mut ChaCha8Rng) -> Duration {
        if self.plan.client_resets == 0.0 {
            return LONGEST_STAY;
        }
        let mean = self.plan.client_resets.recip();
        Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() * mean).min(LONGEST_STAY)
    }

    /// How long a viewer waits before the next set-up on one of the connections.
    fn pause(&self, random: &mut ChaCha8Rng) -> Duration {
        let now = self.record.now();
        let crowd = self.plan.crowd_at.is_some_and(|at| now >= at && now < at + CROWD_LASTS);
        let rate = self.plan.rate / self.plan.connections as f64 * if crowd { CROWD } else { 1.0 };
        // Exponential, as independent viewers come.
        Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / rate)
    }
}

/// Keeps one connection up, a new one after each that ends, whenever new ones come.
pub async fn keep(shared: Rc<Shared>, number: usize) {
    let random = Rc::new(RefCell::new(shared.plan.random(FIRST_PART + number as u64)));
    while !shared.finished.get() {
        let connected =
            if shared.connects.get() { TcpStream::connect(shared.address).await.ok() } else { None };
        let Some(stream) = connected else {
            tokio::time::sleep(RECONNECT).await;
            continue;
        };
        let connection = shared.next_connection();
        use_connection(&shared, &random, stream, connection, Vec::new()).await;
        shared.record.add(What::Closed { connection });
    }
}

/// Hands sessions over, each with the name of its host, on a connection that then is used as any other.
pub async fn hand_over(shared: Rc<Shared>, sessions: Vec<(u64, String)>) {
    let random = Rc::new(RefCell::new(shared.plan.random(HAND_OVER_PART)));
    let Ok(stream) = TcpStream::connect(shared.address).await else { return };
    let outputs = sessions.into_iter().map(|(session, host)| Output::HandOver {
        session,
        bytes: set_up(session, false, &shared.plan, Some(&host)),
    });
    let connection = shared.next_connection();
    use_connection(&shared, &random, stream, connection, outputs.collect()).await;
    shared.record.add(What::Closed { connection });
}

/// What a viewers' connection writes, in order.
enum Output {
    SetUp { session: u64, bytes: Vec<u8>, paid: bool },
    HandOver { session: u64, bytes: Vec<u8> },
    GiveUp { session: u64 },
    End { session: u64 },
    Confirm { session: u64 },
}

async fn use_connection(
    shared: &Rc<Shared>,
    random: &Rc<RefCell<ChaCha8Rng>>,
    stream: TcpStream,
    connection: Connection,
    first: Vec<Output>,
) {
    let _ = stream.set_nodelay(true);
    let (mut reads, writes) = stream.into_split();
    let (outputs, queue) = mpsc::unbounded_channel();
    // The platform hands over all that plays: it does not leave in the middle.
    let stays = if first.is_empty() { shared.stays(&mut random.borrow_mut()) } else { LONGEST_STAY };
    first.into_iter().for_each(|output| drop(outputs.send(output)));
    let resets = Rc::new(Notify::new());
    let queue = Queue { queue, connection, resets: resets.clone() };
    let writing = spawn_local(write(shared.clone(), random.clone(), writes, queue));
    let asking = spawn_local(ask(shared.clone(), random.clone(), outputs.clone()));
    let (mut decoder, mut chunk) = (Decoder::default(), vec![0; 4096]);
    let reading = async {
        while let Ok(read @ 1..) = reads.read(&mut chunk).await {
            decoder.push(&chunk[..read]);
            while let Ok(Some(message)) = decoder.message() {
                heard(shared, random, &message, &outputs);
            }
        }
    };
    if tokio::time::timeout(stays, reading).await.is_err() {
        shared.record.add(What::LeftConnection { connection });
        let _ = socket2::SockRef::from(reads.as_ref()).set_linger(Some(Duration::ZERO));
        resets.notify_one();
        let _ = writing.await;
    } else {
        writing.abort();
    }
    asking.abort();
}

/// Takes one message of the gateway's.
fn heard(
    shared: &Rc<Shared>,
    random: &Rc<RefCell<ChaCha8Rng>>,
    message: &Message,
    outputs: &mpsc::UnboundedSender<Output>,
) {
    let session = message.session;
    match message.kind {
        kind::ANSWER => {
            let description = message.parameters().flatten().find(|(code, _)| *code == code::DESCRIPTION);
            let description =
                description.map(|(_, value)| String::from_utf8_lossy(value).into_owned()).unwrap_or_default();
            shared.record.add(What::Served { session, description });
            let ends = {
                let mut random = random.borrow_mut();
                random
                    .random_bool(ENDED_BY_VIEWER)
                    .then(|| random.random_range(Duration::ZERO..LONGEST_SESSION))
            };
            if let Some(ends) = ends {
                let outputs = outputs.clone();
                spawn_local(async move {
                    tokio::time::sleep(ends).await;
                    let _ = outputs.send(Output::End { session });
                });
            }
        }
        kind::RELEASE => {
            shared.record.add(What::Released { session, cause: message.cause().unwrap_or_default() });
            let _ = outputs.send(Output::Confirm { session });
        }
        _ => {}
    }
}

/// Asks for sessions at the trial's rate; some are given up.
async fn ask(shared: Rc<Shared>, random: Rc<RefCell<ChaCha8Rng>>, outputs: mpsc::UnboundedSender<Output>) {
    let patience = shared.plan.deadline;
    while shared.asks.get() {
        let pause = shared.pause(&mut random.borrow_mut());
        tokio::time::sleep(pause).await;
        let session = shared.next_session();
        let (paid, gives_up) = {
            let mut random = random.borrow_mut();
            let after = random.random_range(Duration::ZERO..=patience);
            (random.random_bool(0.4), random.random_bool(shared.plan.gives_up).then_some(after))
        };
        let bytes = set_up(session, paid, &shared.plan, None);
        if outputs.send(Output::SetUp { session, bytes, paid }).is_err() {
            return;
        }
        if let Some(after) = gives_up {
            let outputs = outputs.clone();
            spawn_local(async move {
                tokio::time::sleep(after).await;
                let _ = outputs.send(Output::GiveUp { session });
            });
        }
    }
}

/// A set-up as viewers send it, or the hand-over of a session that plays at a host.
fn set_up(session: u64, paid: bool, plan: &Plan, at: Option<&str>) -> Vec<u8> {
    let (patience, in_lines) = (plan.deadline, plan.described_in_lines);
    let class: &[u8] = if paid { b"paid" } else { b"free" };
    let patience = patience.as_millis().to_string();
    let at = at.map(|host| format!(";at:{host}")).unwrap_or_default();
    let figures = format!("home:0;copies:1;top:1;viewer:{session:016x}{at}");
    let parameters: [(u8, &[u8]); 5] = [
        (code::CLASS, class),
        (code::PATIENCE, patience.as_bytes()),
        (code::TITLE, TITLE),
        (code::FIGURES, figures.as_bytes()),
        (code::DESCRIPTION, if in_lines { OFFER_IN_LINES } else { b"offer" }),
    ];
    let mut bytes = Vec::new();
    // It always fits.
    let _ = viewer::encode(&mut bytes, kind::SET_UP, session, &parameters);
    bytes
}

fn release(session: u64, cause: u8) -> Vec<u8> {
    let mut bytes = Vec::new();
    viewer::release(&mut bytes, session, cause, None);
    bytes
}

/// What a connection is to write.
struct Queue {
    queue: mpsc::UnboundedReceiver<Output>,
    connection: Connection,
    /// The connection is to be reset, whatever is still to be written.
    resets: Rc<Notify>,
}

/// Writes what is queued until the connection ends or is reset.
async fn write(
    shared: Rc<Shared>,
    random: Rc<RefCell<ChaCha8Rng>>,
    mut writes: OwnedWriteHalf,
    mut queue: Queue,
) {
    let resets = queue.resets.clone();
    tokio::select! {
        () = write_queue(&shared, &random, &mut writes, &mut queue) => {}
        // Dropped, the half would say in order that nothing more comes.
        () = resets.notified() => writes.forget(),
    }
}

/// Writes what is queued, and what was written to the record once its last byte is.
async fn write_queue(
    shared: &Rc<Shared>,
    random: &Rc<RefCell<ChaCha8Rng>>,
    writes: &mut OwnedWriteHalf,
    queue: &mut Queue,
) {
    let connection = queue.connection;
    while let Some(output) = queue.queue.recv().await {
        let (bytes, what) = match output {
            Output::SetUp { session, bytes, paid } => {
                let patience = shared.plan.deadline;
                (bytes, Some(What::SetUpWritten { session, connection, paid, patience }))
            }
            Output::HandOver { session, bytes } => (bytes, Some(What::HandedOver { session })),
            Output::GiveUp { session } => {
                (release(session, cause::GIVEN_UP), Some(What::GivenUp { session }))
            }
            Output::End { session } => {
                (release(session, cause::ENDED_BY_VIEWER), Some(What::EndedByViewer { session }))
            }
            Output::Confirm { session } => {
                let mut bytes = Vec::new();
                // It always fits.
                let _ = viewer::encode(&mut bytes, kind::RELEASE_HEARD, session, &[]);
                (bytes, None)
            }
        };
        if pieces::write(writes, random, shared.plan.pieces, &bytes).await.is_err() {
            return;
        }
        if let Some(what) = what {
            shared.record.add(what);
        }
    }
}
