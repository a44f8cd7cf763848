//! The runtime of a gateway: one thread, its clock, its tasks.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use elderpick_core::api::{ListKind, Micros, RequestId, ServerId, ServerState, Status};
use elderpick_entitle::Times;
use http::Method;
use rand::Rng;
use serde::Deserialize;
use tokio::sync::{Notify, oneshot};
use tokio::task::{AbortHandle, spawn_local};

use crate::config::Config;
use crate::door::Door;
use crate::engine::{Answer, Ask, Decide, Engine, Input, Output, Said, SetUp, Token, Use, Via, Word};
use crate::entitle::{self, Seats};
use crate::host::{self, Events, Lost, Pool};
use crate::ledger::Uses;
use crate::liveness::{Listening, Next};
use crate::{control, front, srt};

/// Time for the engine: microseconds since 1970, never running backwards.
pub trait Clock {
    fn now(&self) -> Micros;

    /// Wall time as the machine believes now, with its steps.
    fn wall(&self) -> Micros {
        self.now()
    }
}

/// Wall time as it was at the start, going on by the monotonic clock: what gateways agree on as closely as their
/// clocks do, without its steps.
pub struct WallClock {
    began: Instant,
    wall: Micros,
}

impl WallClock {
    pub fn start() -> WallClock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros);
        WallClock { began: Instant::now(), wall }
    }
}

impl Clock for WallClock {
    fn now(&self) -> Micros {
        self.wall + self.began.elapsed().as_micros() as Micros
    }

    fn wall(&self) -> Micros {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros)
    }
}

pub(crate) fn span(micros: Micros) -> Duration {
    Duration::from_micros(micros.max(0) as u64)
}

/// All that the tasks of a gateway share.
pub(crate) struct Shell<D> {
    engine: RefCell<Engine<D>>,
    clock: Box<dyn Clock>,
    pub pool: Pool,
    waiting: RefCell<HashMap<Ask, oneshot::Sender<Answer>>>,
    attempts: RefCell<BTreeMap<(RequestId, usize), AbortHandle>>,
    following: RefCell<BTreeMap<ServerId, AbortHandle>>,
    list: RefCell<Option<AbortHandle>>,
    timer: Notify,
    /// News of which process a host is.
    heard: Notify,
    next_ask: Cell<Ask>,
    pub door: RefCell<Door>,
    pub seats: entitle::Cell,
    pub uses: RefCell<Option<Uses>>,
    /// Where viewers are listened for.
    pub listening: Cell<Option<SocketAddr>>,
    pub srt: Cell<Option<SocketAddr>>,
}

impl<D: Decide + 'static> Shell<D> {
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    pub fn times(&self) -> Times {
        Times { mono: self.clock.now(), wall: self.clock.wall() }
    }

    /// Tells the ledger from time to time how far what plays has come.
    fn mark_uses(self: &Rc<Self>) {
        let Some(every) = self.uses.borrow().as_ref().map(|u| span(u.settings.mark)) else { return };
        let shell = self.clone();
        spawn_local(async move {
            loop {
                tokio::time::sleep(every).await;
                if let Some(uses) = shell.uses.borrow().as_ref() {
                    uses.mark(shell.times());
                }
            }
        });
    }

    /// What is due next may have changed.
    pub fn wake(&self) {
        self.timer.notify_one();
    }

    fn next_timer(&self) -> Option<Micros> {
        let seats = self.seats.borrow().as_ref().and_then(Seats::next_end);
        self.engine.borrow().next_timer().into_iter().chain(seats).min()
    }

    pub fn with_engine<T>(&self, f: impl FnOnce(&mut Engine<D>) -> T) -> T {
        f(&mut self.engine.borrow_mut())
    }

    /// Feeds the engine and carries out what it says.
    pub fn feed(self: &Rc<Self>, input: Input) {
        let (mut out, now) = (Vec::new(), self.now());
        let before = self.engine.borrow().next_timer();
        let news =
            matches!(input, Input::Said { said: Said::Began(_) | Said::Lost, .. } | Input::List { .. });
        self.engine.borrow_mut().handle(now, input, &mut out);
        for output in out {
            self.carry_out(output);
        }
        if news {
            self.heard.notify_waiters();
        }
        if self.engine.borrow().next_timer() != before {
            self.timer.notify_one();
        }
    }

    /// A new request: what its final answer comes by.
    pub fn ask(self: &Rc<Self>, wanted: crate::engine::Wanted) -> (Ask, oneshot::Receiver<Answer>) {
        let ask = self.next_ask.replace(self.next_ask.get() + 1);
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(ask, sender);
        let mut names = rand::rng();
        let (token, alias) = (Token(names.random()), Token(names.random()));
        self.feed(Input::Ask { ask, wanted, token, alias });
        (ask, receiver)
    }

    /// The viewer of a request is gone.
    pub fn dropped(self: &Rc<Self>, ask: Ask) {
        if self.waiting.borrow_mut().remove(&ask).is_some() {
            self.feed(Input::AskDropped { ask });
        }
    }

    fn carry_out(self: &Rc<Self>, output: Output) {
        match output {
            Output::Answer { ask, answer } => {
                if let Some(waits) = self.waiting.borrow_mut().remove(&ask) {
                    let _ = waits.send(answer);
                }
            }
            Output::SetUp { id, attempt, server, alias, via, class, title, rung, trace } => {
                let Some((to, gateway)) = self.reach(&server) else { return };
                let class = self.engine.borrow().config.classes[class].name.clone();
                tracing::debug!(session = id.0, server = host::name(&server), attempt, rung, "set-up");
                let mut body = serde_json::json!({ "session": alias.to_string(), "class": class, "title": title,
                    "rung": rung, "attempt": attempt });
                if via == Via::Srt {
                    body["via"] = "srt".into();
                }
                let mut request = host::request(Method::POST, "/sessions", to, &gateway, body.to_string());
                let trace = trace.and_then(|t| http::HeaderValue::from_str(&t).ok());
                request
                    .headers_mut()
                    .extend(trace.map(|t| (http::HeaderName::from_static("traceparent"), t)));
                let shell = self.clone();
                let falls = self.engine.borrow().falls(&server);
                let task = spawn_local(async move {
                    let word = || shell.engine.borrow().word(&server, falls);
                    while word() == Word::Wait {
                        shell.heard.notified().await;
                    }
                    let answer = match word() {
                        Word::Lost => Err(Lost::NotSent),
                        Word::Withdrawn => Err(Lost::Withdrawn),
                        _ => shell.pool.call(to, request, || word() == Word::Write).await,
                    };
                    shell.attempts.borrow_mut().remove(&(id, attempt));
                    let (result, report) = match answer {
                        Ok(answer) => {
                            let report = host::load(answer.headers());
                            let result = match host::status(answer.status()) {
                                Status::Ok => {
                                    let place = answer.headers().get(http::header::LOCATION);
                                    let place = place.and_then(|p| p.to_str().ok()).unwrap_or("/");
                                    let root = url::Url::parse(&format!("http://{to}/"));
                                    match root.and_then(|root| root.join(place)) {
                                        Ok(at) if via == Via::Srt => flows(&at),
                                        Ok(base) => SetUp::Plays { base, manifest: answer.into_body() },
                                        Err(_) => SetUp::Failed(Status::Failed),
                                    }
                                }
                                status => SetUp::Failed(status),
                            };
                            (result, report)
                        }
                        Err(lost) => (SetUp::Failed(lost.status()), Default::default()),
                    };
                    if let SetUp::Failed(status) = &result {
                        let server = host::name(&server);
                        tracing::info!(session = id.0, server, attempt, ?status, "set-up failed");
                    }
                    shell.feed(Input::SetUp { id, attempt, result, report });
                });
                self.attempts.borrow_mut().insert((id, attempt), task.abort_handle());
            }
            Output::Cancel { id, attempt } => {
                tracing::info!(session = id.0, attempt, "set-up given up");
                if let Some(task) = self.attempts.borrow_mut().remove(&(id, attempt)) {
                    task.abort();
                }
            }
            Output::Rung { server, alias, rung, order } => {
                let body = serde_json::json!({ "rung": rung, "order": order }).to_string();
                self.tell_host(None, server, Method::POST, format!("/sessions/{alias}/rung"), body);
            }
            Output::Release { id, server, alias } => {
                self.tell_host(id, server, Method::DELETE, format!("/sessions/{alias}"), String::new());
            }
            Output::Probe { server } => {
                let Some((to, gateway)) = self.reach(&server) else { return };
                let (shell, within) = (self.clone(), self.limit(|c| c.limits.connect * 2));
                spawn_local(async move {
                    let request = host::request(Method::GET, "/load", to, &gateway, String::new());
                    let answer = tokio::time::timeout(within, shell.pool.call(to, request, || true)).await;
                    let (status, report) = match answer {
                        Err(_) => (Status::TimedOut, Default::default()),
                        Ok(Err(lost)) => (lost.status(), Default::default()),
                        Ok(Ok(answer)) if answer.status().is_success() => {
                            (Status::Ok, host::load(answer.headers()))
                        }
                        Ok(Ok(_)) => (Status::Failed, Default::default()),
                    };
                    shell.feed(Input::Probed { server, status, report });
                });
            }
            Output::Use(what) => {
                let t = self.times();
                let class = match &what {
                    Use::Began { class, .. } => self.engine.borrow().config.classes[*class].name.clone(),
                    _ => String::new(),
                };
                if let Some(uses) = self.uses.borrow_mut().as_mut() {
                    uses.told(t, &class, what);
                }
            }
            Output::Left { seat, willing } => {
                let plays = self.engine.borrow().has_session(seat);
                self.with_desk(|desk, t| desk.over(t, seat, plays, willing));
            }
            Output::Follow { server } => self.follow(server),
            Output::Subscribe | Output::Fetch => self.subscribe(),
        }
    }

    fn limit(&self, f: impl Fn(&Config) -> Micros) -> Duration {
        span(f(&self.engine.borrow().config))
    }

    fn reach(&self, server: &ServerId) -> Option<(SocketAddr, String)> {
        let engine = self.engine.borrow();
        engine.members.get(server).map(|s| (s.address, engine.config.name.clone()))
    }

    /// A word to a host that changes nothing for the viewer: tried twice, then given up and logged.
    fn tell_host(
        self: &Rc<Self>,
        id: Option<RequestId>,
        server: ServerId,
        method: Method,
        path: String,
        body: String,
    ) {
        let Some((to, gateway)) = self.reach(&server) else { return };
        let (shell, within) = (self.clone(), self.limit(|c| c.limits.connect * 2));
        spawn_local(async move {
            let (mut told, mut bytes) = (false, None);
            for _ in 0..2 {
                let request = host::request(method.clone(), &path, to, &gateway, body.clone());
                let answer = tokio::time::timeout(within, shell.pool.call(to, request, || true)).await;
                if let Ok(Ok(answer)) = answer {
                    (told, bytes) = (true, host::delivered(answer.headers()));
                    break;
                }
            }
            if !told {
                tracing::info!(server = host::name(&server), %method, path, "the host was not told");
            }
            if let Some(id) = id {
                shell.feed(Input::Released { id, bytes });
            }
        });
    }

    /// Listens to what a host tells, until it is lost.
    fn follow(self: &Rc<Self>, server: ServerId) {
        let Some((to, gateway)) = self.reach(&server) else { return };
        let (shell, followed) = (self.clone(), server.clone());
        let (connect, mute) = (self.limit(|c| c.limits.connect), self.limit(|c| c.limits.mute));
        let task = spawn_local(async move {
            let mut listening = Listening::default();
            loop {
                let mut next = Next::Listen;
                if let Ok(mut events) = Events::open(to, "/events", &gateway, connect).await {
                    while let Some(message) = events.next(mute).await {
                        match said(&message) {
                            Some(Heard::Began(at)) => {
                                next = listening.began(at);
                                if next != Next::Lost {
                                    shell.feed(Input::Said { server: server.clone(), said: Said::Began(at) });
                                }
                            }
                            Some(Heard::Said(said)) => {
                                listening.heard();
                                shell.feed(Input::Said { server: server.clone(), said });
                            }
                            None => {}
                        }
                        if next == Next::Lost {
                            break;
                        }
                    }
                }
                if next != Next::Lost {
                    next = listening.broke();
                }
                match next {
                    Next::Open { after } => {
                        shell.feed(Input::Said { server: server.clone(), said: Said::Broke });
                        tokio::time::sleep(span(after)).await;
                    }
                    Next::Listen => {}
                    Next::Lost => break,
                }
            }
            tracing::warn!(server = host::name(&server), "lost");
            shell.pool.forget(to);
            shell.following.borrow_mut().remove(&server);
            shell.feed(Input::Said { server, said: Said::Lost });
        });
        if let Some(old) = self.following.borrow_mut().insert(followed, task.abort_handle()) {
            old.abort();
        }
    }

    /// Follows the list service. When it cannot be reached or breaks off the engine is told, and asks again.
    fn subscribe(self: &Rc<Self>) {
        let (to, name, connect) = {
            let engine = self.engine.borrow();
            (engine.config.list.address, engine.config.name.clone(), span(engine.config.limits.connect))
        };
        let (shell, mute) = (self.clone(), self.limit(|c| c.limits.mute));
        let task = spawn_local(async move {
            if let Ok(mut events) = Events::open(to, "/list", &name, connect).await {
                while let Some(message) = events.next(mute).await {
                    match list(&message) {
                        Ok(Some(input)) => shell.feed(input),
                        Ok(None) => {}
                        Err(why) => tracing::warn!(%why, "the list service sent what cannot be read"),
                    }
                }
            }
            tracing::warn!(%to, "the list service is out of reach; the list stands as it is");
            shell.feed(Input::List { kind: ListKind::Failed, servers: Vec::new() });
        });
        if let Some(old) = self.list.borrow_mut().replace(task.abort_handle()) {
            old.abort();
        }
    }
}

enum Heard {
    Began(i64),
    Said(Said),
}

fn said(message: &host::Message) -> Option<Heard> {
    #[derive(Deserialize)]
    struct Data {
        share: Option<f64>,
        asked: Option<f64>,
        session: Option<String>,
        bytes: Option<u64>,
        started_us: Option<i64>,
    }
    let data: Data = serde_json::from_str(&message.data).ok()?;
    let sane = |n: f64| (0.0..1e6).contains(&n).then_some(n);
    Some(Heard::Said(match message.event.as_str() {
        "hello" => return data.started_us.map(Heard::Began),
        "delivered" => Said::Delivered(sane(data.share?)?),
        "link" => Said::Link(sane(data.asked?)?),
        "uplink" => Said::Uplink(sane(data.asked?)?),
        "ended" => Said::Ended(Token::parse(&data.session?)?, data.bytes),
        _ => return None,
    }))
}

fn list(message: &host::Message) -> Result<Option<Input>, serde_json::Error> {
    #[derive(Deserialize)]
    #[serde(rename_all = "lowercase")]
    enum State {
        Up,
        Draining,
        Gone,
    }
    #[derive(Deserialize)]
    struct Server {
        id: String,
        state: State,
        started_us: Option<i64>,
    }
    #[derive(Deserialize)]
    struct Data {
        servers: Vec<Server>,
    }
    let kind = match message.event.as_str() {
        "full" => ListKind::Full,
        "changes" => ListKind::Changes,
        _ => return Ok(None),
    };
    let data: Data = serde_json::from_str(&message.data)?;
    let servers = data.servers.into_iter().map(|s| {
        let state = match s.state {
            State::Up => ServerState::Up,
            State::Draining => ServerState::Draining,
            State::Gone => ServerState::Gone,
        };
        (s.id, state, s.started_us)
    });
    Ok(Some(Input::List { kind, servers: servers.collect() }))
}

/// Where packets of a session are, as a host tells: `srt://ADDRESS:PORT?streamid=…`.
fn flows(at: &url::Url) -> SetUp {
    let host = at.host_str().and_then(|h| h.trim_matches(['[', ']']).parse().ok());
    let id = at.query_pairs().find(|(key, _)| key == "streamid").map(|(_, id)| id.into_owned());
    match (at.scheme(), host, at.port(), id) {
        ("srt", Some(host), Some(port), Some(stream_id)) => {
            SetUp::Flows { at: SocketAddr::new(host, port), stream_id }
        }
        _ => SetUp::Failed(Status::Failed),
    }
}

/// A stall is when a timer is so late; then what arrived meanwhile is handled first.
const STALL: Micros = 20_000;

async fn tick<D: Decide + 'static>(shell: Rc<Shell<D>>) {
    loop {
        let due = shell.next_timer();
        let Some(due) = due else {
            shell.timer.notified().await;
            continue;
        };
        let now = shell.now();
        if due > now {
            tokio::select! {
                () = tokio::time::sleep(span(due - now)) => {}
                () = shell.timer.notified() => {}
            }
            continue;
        }
        if now - due > STALL {
            tracing::warn!(late_ms = (now - due) / 1000, "the gateway stood still");
            for _ in 0..64 {
                tokio::task::yield_now().await;
            }
        }
        shell.with_desk(|desk, t| desk.advance(t));
        shell.feed(Input::Tick);
    }
}

/// Runs a gateway on this thread's local set until it is told to end. `ready` gets the address that it listens on.
pub async fn serve<D: Decide + 'static>(
    engine: Engine<D>,
    clock: impl Clock + 'static,
    ready: impl FnOnce(SocketAddr),
) -> Result<(), String> {
    use tokio::signal::unix::{SignalKind, signal};
    let config = engine.config.clone();
    let listener = tokio::net::TcpListener::bind(config.listen).await;
    let listener = listener.map_err(|why| format!("cannot listen on {}: {why}", config.listen))?;
    let address = listener.local_addr().map_err(|why| format!("{}: {why}", config.listen))?;
    let pool = Pool::new(config.limits.idle_per_host, span(config.limits.connect), config.limits.playlist);
    let shell = Rc::new(Shell {
        engine: RefCell::new(engine),
        clock: Box::new(clock),
        pool,
        waiting: RefCell::default(),
        attempts: RefCell::default(),
        following: RefCell::default(),
        list: RefCell::default(),
        timer: Notify::new(),
        heard: Notify::new(),
        next_ask: Cell::new(0),
        door: RefCell::new(Door::new(config.limits.connections, config.limits.per_address)),
        seats: RefCell::default(),
        uses: RefCell::new(Uses::open(&config)?),
        listening: Cell::new(Some(address)),
        srt: Cell::new(None),
    });
    *shell.seats.borrow_mut() = Seats::open(&config, shell.times())?;
    shell.watch_files();
    shell.mark_uses();
    if let Some(path) = &config.control {
        control::listen(path, shell.clone())?;
    }
    shell.feed(Input::Tick);
    spawn_local(tick(shell.clone()));
    // Without the list all servers pass for cold: who connects meanwhile waits in the listener's queue.
    let until = tokio::time::Instant::now() + span(config.list.wait);
    let told = || shell.with_engine(|e| e.members.heard() && e.hears_all());
    while !told() && tokio::time::Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let accepting = spawn_local(front::accept(listener, shell.clone()));
    let passing = match config.srt.clone() {
        Some(settings) => Some(srt::listen(settings, shell.clone()).await?),
        None => None,
    };
    tracing::info!(%address, gateway = config.name, me = config.me, "listening");
    ready(address);
    let signals = |why: std::io::Error| format!("no signals: {why}");
    let mut term = signal(SignalKind::terminate()).map_err(signals)?;
    let mut int = signal(SignalKind::interrupt()).map_err(signals)?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    let playing = shell.engine.borrow().sessions();
    tracing::info!(playing, "draining: no new session");
    shell.feed(Input::Drain);
    let until = tokio::time::Instant::now() + span(config.drain);
    while shell.engine.borrow().sessions() > 0 && tokio::time::Instant::now() < until {
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(50)) => {}
            // A second signal is meant.
            _ = term.recv() => break,
            _ = int.recv() => break,
        }
    }
    shell.feed(Input::End);
    accepting.abort();
    if let Some(passing) = passing {
        passing.abort();
    }
    let released = tokio::time::Instant::now() + Duration::from_secs(1);
    while shell.engine.borrow().sessions() > 0 && tokio::time::Instant::now() < released {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // What was used is written down before the end.
    drop(shell.uses.borrow_mut().take());
    let counts = shell.engine.borrow().counts;
    tracing::info!(?counts, "ended");
    Ok(())
}

/// Fetches a playlist from a host, at an absolute URI that the host gave.
pub(crate) async fn fetch<D: Decide + 'static>(
    shell: &Rc<Shell<D>>,
    uri: &url::Url,
    within: Duration,
) -> Result<bytes::Bytes, Lost> {
    let host = uri.host_str().and_then(|h| h.trim_matches(['[', ']']).parse().ok()).ok_or(Lost::NotSent)?;
    let to = SocketAddr::new(host, uri.port_or_known_default().unwrap_or(80));
    let path = match uri.query() {
        Some(query) => format!("{}?{query}", uri.path()),
        None => uri.path().to_owned(),
    };
    let gateway = shell.with_engine(|e| e.config.name.clone());
    let request = host::request(Method::GET, &path, to, &gateway, String::new());
    let answer = tokio::time::timeout(within, shell.pool.call(to, request, || true)).await;
    let answer = answer.map_err(|_| Lost::Cut)??;
    if answer.status().is_success() { Ok(answer.into_body()) } else { Err(Lost::Cut) }
}
