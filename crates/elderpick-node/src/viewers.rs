//! Connections of viewers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use elderpick_core::api::Micros;
use elderpick_platform::MOST_MESSAGE;
use elderpick_platform::viewer::{self, Decoder, Message, SetUp, cause, kind};
use elderpick_sessions::admission::AdmissionDecision;
use elderpick_sessions::lifecycle::{Conn, Input, MOST_OPEN_PER_CONNECTION};
use elderpick_sessions::pending::PendingQueue;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

mod trust;

pub(crate) use self::trust::Trust;
use crate::buffered_stream::{BufferedStream, CloseReason, PollResult};
use crate::node::Node;
use crate::turns::Turn;

/// Messages that cannot be read, until nothing more is read on a connection on which nothing else ever came. One that
/// has carried a set-up carries others' too: what can be told apart there costs nothing but its own answer.
const MOST_UNREADABLE: u32 = 8;
/// An answer crosses the end of its connection within this time, as the platform says of what crosses a close.
const CROSSES_END: Duration = Duration::from_millis(50);
/// Answers on one connection that may cross its end.
const MOST_CROSSING: usize = 1_024;
/// How soon it is looked again whether there is room for another connection.
const ROOM_AGAIN: Duration = Duration::from_millis(5);
/// A connection that is not admitted has so long to ask, and to be told so.
const REFUSES_FOR: Micros = 1_000_000;
/// What is read from one connection before others have their turn: it bounds what the others wait for it.
const READ_IN_ONE_TURN: usize = 4 << 10;
/// What is read of what a viewer that waits has said, before it is answered or a host is asked.
const POLLED_CHUNKS: usize = 1;
/// The same before the last answers are given.
const LAST_POLLED_CHUNKS: usize = 16;
/// Connections that are taken at the end, before the listener is dropped.
const MOST_ACCEPTED: usize = 1_024;

/// One viewers' connection.
pub(crate) struct Client {
    pub conn: Conn,
    pub stream: BufferedStream,
    accepted_at: Micros,
    decoder: RefCell<Decoder>,
    trust: Cell<Trust>,
    /// Something has come on it that no viewer of ours sends.
    is_faulty: Cell<bool>,
    /// Messages that cannot be read, or ask for what does not exist.
    unreadable: Cell<u32>,
    /// What comes is not read any more; it is ended once all that is open on it is answered.
    reading_stopped: Cell<bool>,
    /// It was not admitted at this time: its set-ups are refused.
    refused: Option<Micros>,
    /// Sessions that were answered on it of late.
    pub answers: RefCell<PendingQueue<u64>>,
}

/// Most that may be owed to one connection's viewers: an answer for each set-up that is open.
const MOST_OWED: usize = MOST_OPEN_PER_CONNECTION * MOST_MESSAGE;

/// All viewers' connections.
pub(crate) type Clients = BTreeMap<Conn, Rc<Client>>;

/// Takes connections until it is told to stop, and then all that the system has accepted by that time: what is dropped
/// with the listener is reset, also with a whole set-up on it.
pub(crate) async fn accept(listener: TcpListener, node: Rc<Node>) {
    loop {
        let accepted = tokio::select! {
            biased;
            () = node.stop_accepting.notified() => break,
            accepted = accept_one(&listener, &node) => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                if node.accept_client(stream) {
                    // The one that made room has its descriptor still, until its task has run.
                    tokio::task::yield_now().await;
                }
            }
            Err(why) => {
                // Out of descriptors or memory: what is idle goes, and nothing spins.
                node.warn_seldom(&format!("cannot accept: {why}"));
                node.close_overdue(true);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    let Ok(listener) = listener.into_std() else { return };
    // Bounded by what the system keeps, and against those that come meanwhile.
    for _ in 0..MOST_ACCEPTED {
        wait_for_room(&node).await;
        let Ok((stream, _)) = listener.accept() else { return };
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        let Ok(stream) = stream else { return };
        node.accept_client(stream);
    }
}

/// Takes the next connection once there is room for it, or at least to tell its viewer that there is none.
async fn accept_one(listener: &TcpListener, node: &Rc<Node>) -> std::io::Result<(TcpStream, SocketAddr)> {
    wait_for_room(node).await;
    listener.accept().await
}

async fn wait_for_room(node: &Rc<Node>) {
    while !node.can_answer_one_more() {
        tokio::time::sleep(ROOM_AGAIN).await;
    }
}

impl Node {
    fn can_answer_one_more(&self) -> bool {
        self.refusing.get() < self.most_refusing || self.admission.borrow().has_room(self.now(), self)
    }

    /// Takes a connection; `true` if another is closed for it.
    fn accept_client(self: &Rc<Self>, stream: TcpStream) -> bool {
        let conn = self.next_conn.replace(self.next_conn.get() + 1);
        let decision = self.admission.borrow_mut().accept(self.now(), conn, &**self);
        let mut refused = None;
        match decision {
            AdmissionDecision::Admitted => {}
            AdmissionDecision::InsteadOf(other) => self.close_client(other, CloseReason::MakesRoom),
            AdmissionDecision::Full => {
                self.turned_away.set(self.turned_away.get() + 1);
                if self.refusing.get() >= self.most_refusing {
                    return false;
                }
                self.refusing.set(self.refusing.get() + 1);
                refused = Some(self.now());
            }
        }
        let client = Rc::new(Client {
            conn,
            stream: BufferedStream::new(stream, MOST_OWED, READ_IN_ONE_TURN),
            accepted_at: self.now(),
            decoder: RefCell::default(),
            trust: Cell::new(Trust::New),
            is_faulty: Cell::new(false),
            unreadable: Cell::new(0),
            reading_stopped: Cell::new(false),
            refused,
            answers: RefCell::new(PendingQueue::new(MOST_CROSSING, CROSSES_END.as_micros() as Micros)),
        });
        self.clients.borrow_mut().insert(conn, client.clone());
        let node = self.clone();
        spawn_local(async move {
            tracing::trace!(conn, "client connected");
            let heard =
                |chunk: &[u8]| node.in_turn(Turn::Viewers, || node.client_bytes(conn, &client, chunk));
            let whole = client.stream.run(&node.buffer, heard).await;
            let reason = client.stream.close_reason();
            tracing::debug!(conn, whole, ?reason, "viewers' connection closed");
            node.client_disconnected(&client);
            node.release_unheard(&client, whole).await;
        });
        matches!(decision, AdmissionDecision::InsteadOf(_))
    }

    /// A viewers' connection has ended.
    fn client_disconnected(self: &Rc<Self>, client: &Client) {
        let conn = client.conn;
        self.clients.borrow_mut().remove(&conn);
        self.admission.borrow_mut().remove(conn);
        self.refusing.set(self.refusing.get() - usize::from(client.refused.is_some()));
        self.releases.borrow_mut().connection_ended(self.now(), conn);
        self.feed(Input::ClientDisconnected { conn });
        self.send_releases();
    }

    /// Ends the sessions whose answers crossed the end of their connection, which was reset, or whose peer's system
    /// says that it took nothing more: their viewers have not heard, and nobody would ever end them. `whole` tells
    /// that the connection ended in order.
    async fn release_unheard(self: &Rc<Self>, client: &Client, whole: bool) {
        let crossing: Vec<_> = client.answers.borrow_mut().take(self.arrival_time()).collect();
        let ended_by_peer = client.stream.goes_on();
        if crossing.is_empty() || !ended_by_peer || (whole && !client.stream.breaks_within(CROSSES_END).await)
        {
            return;
        }
        for session in crossing {
            if self.lifecycle.borrow().asked_on(session) != Some(client.conn) {
                continue;
            }
            self.undelivered.set(self.undelivered.get() + 1);
            self.feed(Input::Release { conn: client.conn, session, cause: cause::ENDED_BY_VIEWER });
            // Whoever has heard the answer after all hears of its end.
            self.releases.borrow_mut().add(self.now(), session, cause::FAILED);
        }
        self.send_releases();
    }

    /// Ends connections on which nothing more is read, and those that were not admitted and have not asked in time.
    pub(crate) fn end_done(&self) {
        let now = self.now();
        let clients: Vec<_> = self.clients.borrow().values().cloned().collect();
        for client in clients {
            self.end_if_done(&client);
            if client.refused.is_some_and(|at| now - at >= REFUSES_FOR) {
                client.stream.set_close_reason(CloseReason::NotAdmitted);
                client.stream.end(false);
            }
        }
    }

    /// Ends a connection on which nothing more is read, once all that was open on it is answered. What is open is known
    /// only when all that has happened was told.
    fn end_if_done(&self, client: &Client) {
        let told = !self.feeding.get();
        let answered = told && self.lifecycle.borrow().open_on(client.conn) == 0;
        if answered && client.reading_stopped.get() && client.stream.written() {
            let refused = client.refused.is_some();
            let reason = if refused { CloseReason::NotAdmitted } else { CloseReason::Unreadable };
            client.stream.set_close_reason(reason);
            client.stream.end(false);
        }
    }

    /// Takes what came on a connection. All that came is told before anything is sent on: who gives up right behind a
    /// set-up has asked for nothing. What cannot be read ends the connection, once what is open on it is answered.
    fn client_bytes(self: &Rc<Self>, conn: Conn, client: &Rc<Client>, chunk: &[u8]) -> bool {
        if client.reading_stopped.get() {
            return true;
        }
        let corked = client.stream.cork();
        self.batch(|| {
            let mut decoder = client.decoder.borrow_mut();
            decoder.push(chunk);
            while !client.reading_stopped.get() {
                match decoder.message() {
                    Ok(Some(message)) => {
                        self.admission.borrow_mut().message_received(self.now(), conn);
                        self.client_message(conn, client, &message);
                    }
                    Ok(None) => break,
                    Err(why) => {
                        self.bad(client, 0, why);
                        client.reading_stopped.set(true);
                    }
                }
            }
            let partial = !client.reading_stopped.get() && decoder.partial();
            self.admission.borrow_mut().read_finished(self.now(), conn, partial);
            // Who was not admitted has been told so by now.
            client
                .reading_stopped
                .set(client.reading_stopped.get() || (client.refused.is_some() && !partial));
        });
        if corked {
            client.stream.uncork();
        }
        self.end_if_done(client);
        true
    }

    /// Looks whether a viewer that waits for an answer has said anything, or has left, that its connection's task has
    /// not come to: after a standstill of this gateway, or behind a line that came up late. The session lifecycle is
    /// told of it.
    pub(crate) fn poll_client(self: &Rc<Self>, conn: Conn) -> PollResult {
        self.poll_client_chunks(conn, POLLED_CHUNKS)
    }

    fn poll_client_chunks(self: &Rc<Self>, conn: Conn, most_chunks: usize) -> PollResult {
        let client = self.clients.borrow().get(&conn).cloned();
        let found = client.as_ref().map_or(PollResult::Nothing, |client| {
            client.stream.poll_input(most_chunks, |chunk| self.client_bytes(conn, client, chunk))
        });
        let there = client.is_some_and(|client| client.stream.goes_on() && !client.stream.ended());
        if there {
            return found;
        }
        self.feed(Input::ClientDisconnected { conn });
        PollResult::All
    }

    fn close_client(&self, conn: Conn, reason: CloseReason) {
        if let Some(client) = self.clients.borrow().get(&conn) {
            client.stream.set_close_reason(reason);
            // At once if nothing waits to be written: what comes after that is seen by its sender to be too late.
            client.stream.end(client.stream.goes_on() && client.stream.written());
        }
    }

    /// Whether anything has come on a connection that goes on and was not read yet.
    pub(crate) fn has_unread(&self, conn: Conn) -> bool {
        let client = self.clients.borrow().get(&conn).cloned();
        client.is_some_and(|client| client.stream.goes_on() && !client.stream.quiet())
    }

    /// Whether nothing has come on a connection that was not read yet.
    pub(crate) fn quiet(&self, conn: Conn) -> bool {
        let quiet = self.clients.borrow().get(&conn).is_none_or(|client| client.stream.quiet());
        self.spared.set(self.spared.get() + u64::from(!quiet));
        quiet
    }

    /// Closes what is overdue, or at the end all on which nothing is open.
    pub(crate) fn close_overdue(&self, all_idle: bool) {
        let overdue = self.admission.borrow_mut().overdue(self.now(), all_idle, self);
        overdue.into_iter().for_each(|conn| self.close_client(conn, CloseReason::Overdue));
    }

    /// Reads all that has come from viewers, whatever the runtime knows of it.
    pub(crate) fn poll_clients(self: &Rc<Self>) {
        let connections: Vec<_> = self.clients.borrow().keys().copied().collect();
        for conn in connections {
            self.poll_client_chunks(conn, LAST_POLLED_CHUNKS);
        }
    }

    /// Closes all connections, each once all that was sent on it is delivered. Nothing more is heard on them.
    pub(crate) fn close_all(&self) {
        for client in self.clients.borrow().values() {
            client.reading_stopped.set(true);
            client.stream.deliver_and_end();
        }
    }

    /// What cannot be read gets an error. Behind too many of them nothing more is read from who sends nothing else.
    fn bad(&self, client: &Client, session: u64, why: elderpick_platform::DecodeError) {
        self.unreadable.set(self.unreadable.get() + 1);
        tracing::debug!(%why, "a viewer sent what cannot be read");
        let mut text = Vec::new();
        viewer::release(&mut text, session, cause::UNREADABLE, None);
        client.stream.send(&text);
        self.count_fault(client);
    }

    /// Something has come that no viewer of ours sends. Behind too much of it nothing more is read from who sends
    /// nothing else.
    fn count_fault(&self, client: &Client) {
        self.distrust(client);
        let is_worthless = client.trust.get() < Trust::Asked;
        self.admission.borrow_mut().set_worthless(client.conn, is_worthless);
        client.unreadable.set(client.unreadable.get() + 1);
        let nothing_else = client.trust.get() < Trust::Asked && client.unreadable.get() >= MOST_UNREADABLE;
        client.reading_stopped.set(client.reading_stopped.get() || nothing_else);
    }

    /// Takes one message.
    fn client_message(self: &Rc<Self>, conn: Conn, client: &Rc<Client>, message: &Message) {
        let session = message.session;
        tracing::trace!(conn, ?message, "message from a viewer");
        match message.kind {
            kind::SET_UP => match SetUp::parse(message) {
                Ok(set_up) => self.client_set_up(conn, client, set_up),
                Err(why) => self.bad(client, session, why),
            },
            kind::RELEASE => match message.cause() {
                Ok(cause) => {
                    self.raise_trust(client, Trust::Known);
                    self.feed(Input::Release { conn, session, cause });
                    let mut text = Vec::new();
                    let _ = viewer::encode(&mut text, kind::RELEASE_HEARD, session, &[]);
                    client.stream.send(&text);
                }
                Err(why) => self.bad(client, session, why),
            },
            kind::TEST => {
                self.raise_trust(client, Trust::Known);
                let mut text = Vec::new();
                viewer::tested(&mut text, session, !self.shutting_down.get());
                client.stream.send(&text);
            }
            kind::RELEASE_HEARD => {
                self.raise_trust(client, Trust::Known);
                self.releases.borrow_mut().confirmed(session, conn);
            }
            kind::PROGRESS => self.raise_trust(client, Trust::Known),
            _ => self.bad(client, session, elderpick_platform::DecodeError("a message of an unknown type")),
        }
    }

    /// Takes a set-up that can be read.
    fn client_set_up(self: &Rc<Self>, conn: Conn, client: &Client, set_up: SetUp) {
        if self.lifecycle.borrow().knows_what_is_asked(&set_up) {
            self.raise_trust(client, Trust::Asked);
        } else {
            self.raise_trust(client, Trust::Known);
            self.count_fault(client);
        }
        if client.refused.is_some() && set_up.figures.at.is_none() {
            return self.refuse(client, set_up.session);
        }
        self.feed(Input::SetUp { conn, received_at: self.arrival_time(), set_up });
    }

    /// Refuses a set-up on a connection that was not admitted: nothing of it was ever sent on.
    fn refuse(&self, client: &Client, session: u64) {
        let mut text = Vec::new();
        viewer::release(&mut text, session, cause::REFUSED, None);
        client.stream.send(&text);
    }
}
