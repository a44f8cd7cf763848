//! Stand-ins for media hosts and for the list service.
//!
//! Hosts share links and rack uplinks as the brief says: where more is asked than there is, all sessions there get the
//! same share. A host that has just started takes set-ups at a rising pace and falls over beyond it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};

use crate::record::{Record, What, now};

/// What the stand-ins are like.
#[derive(Clone, Debug)]
pub struct Model {
    /// Bytes a second of each rung.
    pub ladder: Vec<f64>,
    pub link: f64,
    pub uplink: f64,
    pub places: usize,
    pub warm_up: i64,
    pub least: f64,
    pub multiple: f64,
    pub window: i64,
    /// Seconds of a segment, and segments of a recorded title.
    pub segment: u64,
    pub segments: usize,
    /// Microseconds of one set-up.
    pub set_up: u64,
    /// Seconds after which gateways count a silent viewer as gone; hosts wait a little longer.
    pub silence: u64,
}

impl Default for Model {
    fn default() -> Self {
        Model {
            ladder: vec![12e3, 24e3, 48e3, 72e3],
            link: 400e3,
            uplink: 1_200e3,
            places: 24,
            warm_up: 6_000_000,
            least: 0.1,
            multiple: 3.0,
            window: 1_000_000,
            segment: 1,
            segments: 6,
            set_up: 3_000,
            silence: 5,
        }
    }
}

/// Troubles of one host at the moment.
#[derive(Clone, Debug)]
pub struct Trouble {
    /// Part of its link that is left.
    pub link: f64,
    /// Times that a set-up takes longer.
    pub slow: f64,
    pub fails: f64,
    pub hangs: bool,
    pub loses_answers: f64,
    /// Says of its load this times the truth.
    pub lies: f64,
    /// Gives a playlist that is none.
    pub garbles: bool,
    pub late_reports: Duration,
    pub origin: Duration,
}

impl Default for Trouble {
    fn default() -> Self {
        Trouble {
            link: 1.0,
            slow: 1.0,
            fails: 0.0,
            hangs: false,
            loses_answers: 0.0,
            lies: 1.0,
            garbles: false,
            late_reports: Duration::ZERO,
            origin: Duration::ZERO,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum State {
    Up,
    Draining,
    Gone,
}

impl State {
    fn name(self) -> &'static str {
        match self {
            State::Up => "up",
            State::Draining => "draining",
            State::Gone => "gone",
        }
    }
}

pub(crate) struct Session {
    pub(crate) rung: usize,
    /// Of the last change of rung.
    order: u64,
    /// Its true rate over the ladder's.
    rate: f64,
    title: String,
    gateway: String,
    pub(crate) seen: i64,
    /// Bytes of segments that went out.
    pub(crate) sent: Rc<Cell<u64>>,
}

pub struct Host {
    pub id: String,
    pub rack: usize,
    pub address: Cell<SocketAddr>,
    pub trouble: RefCell<Trouble>,
    state: Cell<State>,
    started: Cell<i64>,
    running: Cell<bool>,
    pub(crate) sessions: RefCell<BTreeMap<String, Session>>,
    /// Where it waits for SRT calls.
    pub(crate) srt: Cell<Option<SocketAddr>>,
    /// Sessions that were released, perhaps before their set-up came.
    over: RefCell<BTreeMap<String, i64>>,
    arrivals: RefCell<Vec<i64>>,
    listeners: RefCell<Vec<(String, mpsc::Sender<Bytes>)>>,
    tasks: RefCell<Vec<AbortHandle>>,
}

/// All hosts with their racks, and the list of them.
pub struct World {
    pub model: Model,
    pub hosts: Vec<Rc<Host>>,
    /// Part of each rack's uplink that is left.
    pub uplinks: RefCell<Vec<f64>>,
    pub record: Record,
    pub list: List,
    rng: RefCell<ChaCha8Rng>,
}

/// The list service: pushes changes, late.
pub struct List {
    pub address: Cell<Option<SocketAddr>>,
    pub late: Cell<Duration>,
    pub down: Cell<bool>,
    listeners: RefCell<Vec<(String, mpsc::Sender<Bytes>)>>,
    known: RefCell<BTreeMap<String, (State, i64)>>,
}

/// A body that comes at once, at a pace, or as events.
pub enum Stream {
    Whole(Option<Bytes>),
    Paced {
        sent: Rc<Cell<u64>>,
        left: usize,
        chunk: usize,
        pause: Duration,
        sleep: Pin<Box<tokio::time::Sleep>>,
    },
    Events(mpsc::Receiver<Bytes>),
    /// Never ends and never says a thing.
    Stuck,
}

impl Body for Stream {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match &mut *self {
            Stream::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Stream::Events(events) => events.poll_recv(context).map(|e| e.map(|b| Ok(Frame::data(b)))),
            Stream::Stuck => Poll::Pending,
            Stream::Paced { sent, left, chunk, pause, sleep } => {
                if *left == 0 {
                    return Poll::Ready(None);
                }
                if sleep.as_mut().poll(context).is_pending() {
                    return Poll::Pending;
                }
                let next = tokio::time::Instant::now() + *pause;
                sleep.as_mut().reset(next);
                let size = (*left).min(*chunk);
                *left -= size;
                sent.set(sent.get() + size as u64);
                Poll::Ready(Some(Ok(Frame::data(Bytes::from(vec![0x47; size])))))
            }
        }
    }
}

fn reply(code: StatusCode, kind: &'static str, body: impl Into<Bytes>) -> Response<Stream> {
    let mut reply = Response::new(Stream::Whole(Some(body.into())));
    *reply.status_mut() = code;
    reply.headers_mut().insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static(kind));
    let any = http::HeaderValue::from_static("*");
    reply.headers_mut().insert(http::header::ACCESS_CONTROL_ALLOW_ORIGIN, any);
    reply
}

const CMSD: http::HeaderName = http::HeaderName::from_static("cmsd-dynamic");
const PLAYLIST: &str = "application/vnd.apple.mpegurl";

impl World {
    /// Starts hosts in racks and the list, on ports that the system chooses.
    pub async fn start(model: Model, hosts: usize, racks: usize, seed: u64, record: Record) -> Rc<World> {
        let began = now() - 2 * model.warm_up;
        let hosts = (0..hosts).map(|k| {
            Rc::new(Host {
                id: format!("box-{:02}", k + 1),
                rack: k % racks,
                address: Cell::new(SocketAddr::from(([127, 0, 0, 1], 0))),
                trouble: RefCell::default(),
                state: Cell::new(State::Up),
                started: Cell::new(began),
                running: Cell::new(false),
                sessions: RefCell::default(),
                srt: Cell::new(None),
                over: RefCell::default(),
                arrivals: RefCell::default(),
                listeners: RefCell::default(),
                tasks: RefCell::default(),
            })
        });
        let list = List {
            address: Cell::new(None),
            late: Cell::new(Duration::from_millis(300)),
            down: Cell::new(false),
            listeners: RefCell::default(),
            known: RefCell::default(),
        };
        let world = Rc::new(World {
            hosts: hosts.collect(),
            uplinks: RefCell::new(vec![1.0; racks]),
            record,
            list,
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            model,
        });
        for host in &world.hosts {
            world.clone().run(host.clone()).await;
            world.list.known.borrow_mut().insert(host.id.clone(), (State::Up, host.started.get()));
        }
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
        world.list.address.set(listener.local_addr().ok());
        spawn_local(world.clone().serve_list(listener));
        spawn_local(world.clone().tell());
        world
    }

    pub fn unit(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    async fn run(self: Rc<Self>, host: Rc<Host>) {
        let mut listener = None;
        for _ in 0..50 {
            match TcpListener::bind(host.address.get()).await {
                Ok(bound) => {
                    listener = Some(bound);
                    break;
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
        let Some(listener) = listener else { return };
        host.address.set(listener.local_addr().unwrap_or(host.address.get()));
        host.running.set(true);
        let (world, of) = (self.clone(), host.clone());
        let accepting = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let (world, host) = (world.clone(), of.clone());
                let served = {
                    let host = host.clone();
                    let service = service_fn(move |request| world.clone().answer(host.clone(), request));
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service)
                };
                let task = spawn_local(async move {
                    let _ = served.await;
                });
                let mut tasks = host.tasks.borrow_mut();
                tasks.retain(|t| !t.is_finished());
                tasks.push(task.abort_handle());
            }
        });
        host.tasks.borrow_mut().push(accepting.abort_handle());
        let flowing = spawn_local(crate::srt::host(self, host.clone()));
        host.tasks.borrow_mut().push(flowing.abort_handle());
    }

    /// The host's process ends: its connections break and its port is closed.
    pub fn crash(&self, host: &Rc<Host>, pushed: bool) {
        if !host.running.replace(false) {
            return;
        }
        self.record.add(What::Down { host: host.id.clone(), pushed });
        host.tasks.borrow_mut().drain(..).for_each(|t| t.abort());
        host.sessions.borrow_mut().clear();
        host.listeners.borrow_mut().clear();
    }

    /// It comes back, cold.
    pub async fn restart(self: &Rc<Self>, host: &Rc<Host>) {
        if host.running.get() {
            return;
        }
        host.started.set(now());
        host.arrivals.borrow_mut().clear();
        *host.trouble.borrow_mut() = Trouble::default();
        self.clone().run(host.clone()).await;
        self.record.add(What::Up { host: host.id.clone() });
        self.announce(host, State::Up);
    }

    pub fn running(&self) -> usize {
        self.hosts.iter().filter(|h| h.running.get()).count()
    }

    pub fn playing(&self) -> usize {
        self.hosts.iter().map(|h| h.sessions.borrow().len()).sum()
    }

    fn asked(&self, host: &Host) -> f64 {
        let ladder = &self.model.ladder;
        host.sessions.borrow().values().map(|s| ladder[s.rung.min(ladder.len() - 1)] * s.rate).sum()
    }

    /// What is asked of a host's link and of its rack's uplink over what these give.
    pub fn loads(&self, host: &Host) -> (f64, f64) {
        let link = self.asked(host) / (self.model.link * host.trouble.borrow().link).max(1.0);
        let behind = self.hosts.iter().filter(|h| h.rack == host.rack).map(|h| self.asked(h)).sum::<f64>();
        (link, behind / (self.model.uplink * self.uplinks.borrow()[host.rack]).max(1.0))
    }

    fn share(&self, host: &Host) -> f64 {
        let (link, uplink) = self.loads(host);
        1.0 / link.max(uplink).max(1.0)
    }

    fn with_load(&self, host: &Host, mut reply: Response<Stream>) -> Response<Stream> {
        let ((link, uplink), lies) = (self.loads(host), host.trouble.borrow().lies);
        let streams = host.sessions.borrow().len();
        let text = format!(
            "\"{}\";elderpick-link={:.3};elderpick-uplink={:.3};elderpick-streams={streams}",
            host.id,
            link * lies,
            uplink * lies
        );
        let value = http::HeaderValue::from_str(&text).expect("plain text");
        reply.headers_mut().insert(CMSD, value);
        reply
    }

    /// Whether one more set-up pushes a host over that has not warmed up.
    fn pushed_over(&self, host: &Host) -> bool {
        let (model, now) = (&self.model, now());
        let age = now - host.started.get();
        if age >= model.warm_up {
            return false;
        }
        let mut arrivals = host.arrivals.borrow_mut();
        arrivals.retain(|&at| at > now - model.window);
        arrivals.push(now);
        let warmth = model.least + (1.0 - model.least) * age as f64 / model.warm_up as f64;
        let pace = model.places as f64 / model.warm_up as f64 * warmth;
        arrivals.len() as f64 > (pace * model.multiple * model.window as f64).max(1.0) + 1.0
    }

    async fn answer(
        self: Rc<Self>,
        host: Rc<Host>,
        request: Request<Incoming>,
    ) -> Result<Response<Stream>, std::io::Error> {
        let path = request.uri().path().to_owned();
        let gateway = request.headers().get("elderpick-gateway").and_then(|g| g.to_str().ok()).unwrap_or("");
        let gateway = gateway.to_owned();
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let unknown = || Ok(reply(StatusCode::NOT_FOUND, "text/plain", "not here\n"));
        match (request.method(), &parts[..]) {
            (&Method::POST, ["sessions"]) => self.set_up(host, gateway, request).await,
            (&Method::DELETE, ["sessions", session]) => {
                let held = host.sessions.borrow_mut().remove(*session);
                host.over.borrow_mut().insert((*session).to_owned(), now());
                let mut reply = self.with_load(&host, reply(StatusCode::OK, "text/plain", "over\n"));
                if let Some(held) = held {
                    let (host, session, bytes) = (host.id.clone(), (*session).to_owned(), held.sent.get());
                    let value = http::HeaderValue::from_str(&format!("\"{host}\";elderpick-bytes={bytes}"));
                    reply.headers_mut().extend(value.ok().map(|v| (CMSD, v)));
                    self.record.add(What::Over { host, session, bytes });
                }
                Ok(reply)
            }
            (&Method::POST, ["sessions", session, "rung"]) => {
                let session = (*session).to_owned();
                let body = request.into_body().collect().await.map_err(std::io::Error::other)?.to_bytes();
                let wanted: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
                let rung = wanted["rung"].as_u64().unwrap_or(0) as usize;
                let order = wanted["order"].as_u64().unwrap_or(0);
                match host.sessions.borrow_mut().get_mut(&session) {
                    Some(held) if order < held.order => {}
                    Some(held) => (held.rung, held.order) = (rung.min(self.model.ladder.len() - 1), order),
                    None => return unknown(),
                }
                self.record.add(What::RungSet { host: host.id.clone(), session, rung });
                Ok(reply(StatusCode::OK, "text/plain", "set\n"))
            }
            (&Method::GET, ["load"]) => {
                if host.trouble.borrow().hangs {
                    std::future::pending::<()>().await;
                }
                Ok(self.with_load(&host, reply(StatusCode::OK, "text/plain", "")))
            }
            (&Method::GET, ["events"]) => {
                let (sender, receiver) = mpsc::channel(64);
                let hello = format!("event: hello\ndata: {{\"started_us\":{}}}\n\n", host.started.get());
                let _ = sender.try_send(Bytes::from(hello));
                host.listeners.borrow_mut().push((gateway, sender));
                let mut reply = reply(StatusCode::OK, "text/event-stream", "");
                *reply.body_mut() = Stream::Events(receiver);
                Ok(reply)
            }
            (&Method::GET, ["s", session, rest @ ..]) => {
                let (title, sent) = match host.sessions.borrow_mut().get_mut(*session) {
                    Some(held) => {
                        held.seen = now();
                        (held.title.clone(), held.sent.clone())
                    }
                    None => return unknown(),
                };
                if host.trouble.borrow().hangs {
                    std::future::pending::<()>().await;
                }
                let origin = host.trouble.borrow().origin;
                match rest {
                    ["main.m3u8"] => Ok(reply(StatusCode::OK, PLAYLIST, self.multivariant())),
                    [name] if host.trouble.borrow().garbles => {
                        Ok(reply(StatusCode::OK, PLAYLIST, format!("<html>{name}</html>")))
                    }
                    [name] => {
                        tokio::time::sleep(origin).await;
                        let rung = name.strip_prefix('r').and_then(|n| n.strip_suffix(".m3u8"));
                        match rung.and_then(|r| r.parse().ok()).filter(|&r| r < self.model.ladder.len()) {
                            Some(rung) => Ok(reply(StatusCode::OK, PLAYLIST, self.media(&title, rung))),
                            None => unknown(),
                        }
                    }
                    [rung, _segment] => {
                        tokio::time::sleep(origin).await;
                        let rung = rung.strip_prefix('r').and_then(|r| r.parse::<usize>().ok());
                        let Some(rung) = rung.filter(|&r| r < self.model.ladder.len()) else {
                            return unknown();
                        };
                        // At twice the rate where there is room, at the thinned share where there is none.
                        let rate = self.model.ladder[rung] * 2.0 * self.share(&host);
                        let (left, chunk) =
                            ((self.model.ladder[rung] * self.model.segment as f64) as usize, 4096);
                        let pause = Duration::from_secs_f64(chunk as f64 / rate.max(1.0));
                        let mut reply = reply(StatusCode::OK, "video/mp2t", "");
                        let sleep = Box::pin(tokio::time::sleep(Duration::ZERO));
                        *reply.body_mut() = Stream::Paced { sent, left, chunk, pause, sleep };
                        Ok(reply)
                    }
                    _ => unknown(),
                }
            }
            _ => unknown(),
        }
    }

    async fn set_up(
        self: Rc<Self>,
        host: Rc<Host>,
        gateway: String,
        request: Request<Incoming>,
    ) -> Result<Response<Stream>, std::io::Error> {
        let trace =
            request.headers().get("traceparent").and_then(|t| t.to_str().ok()).unwrap_or("").to_owned();
        let body = request.into_body().collect().await.map_err(std::io::Error::other)?.to_bytes();
        let wanted: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        let text = |name: &str| wanted[name].as_str().unwrap_or_default().to_owned();
        let (session, title, rung) =
            (text("session"), text("title"), wanted["rung"].as_u64().unwrap_or(0) as usize);
        self.record.add(What::SetUp {
            host: host.id.clone(),
            gateway: gateway.clone(),
            session: session.clone(),
            class: text("class"),
            title: title.clone(),
            rung,
            trace,
        });
        // Dropped with the connection when the gateway closes it first.
        let mut done = Done { world: self.clone(), host: host.clone(), session: session.clone(), how: "cut" };
        if self.pushed_over(&host) {
            self.crash(&host, true);
            return Err(std::io::Error::other("pushed over"));
        }
        let trouble = host.trouble.borrow().clone();
        if trouble.hangs {
            std::future::pending::<()>().await;
        }
        let spread = 0.5 + self.unit();
        let time = Duration::from_micros((self.model.set_up as f64 * trouble.slow * spread) as u64);
        if !(time + trouble.origin).is_zero() {
            tokio::time::sleep(time + trouble.origin).await;
        }
        let refused = host.sessions.borrow().len() >= self.model.places;
        if refused || host.over.borrow().contains_key(&session) {
            done.how = "full";
            return Ok(self.with_load(&host, reply(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "full\n")));
        }
        if self.unit() < trouble.fails {
            done.how = "failed";
            return Ok(
                self.with_load(&host, reply(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "failed\n"))
            );
        }
        let rate = 0.9 + 0.2 * self.unit();
        let rung = rung.min(self.model.ladder.len() - 1);
        let held = Session { rung, order: 0, rate, title, gateway, seen: now(), sent: Rc::default() };
        host.sessions.borrow_mut().insert(session.clone(), held);
        if self.unit() < trouble.loses_answers {
            done.how = "lost";
            return Err(std::io::Error::other("the answer is lost"));
        }
        done.how = "plays";
        let mut reply = self.with_load(&host, reply(StatusCode::CREATED, PLAYLIST, self.multivariant()));
        let place = match host.srt.get().filter(|_| wanted["via"] == "srt") {
            Some(at) => format!("srt://{at}?streamid={session}"),
            None => format!("/s/{session}/main.m3u8"),
        };
        let place = http::HeaderValue::from_str(&place);
        reply.headers_mut().extend(place.ok().map(|p| (http::header::LOCATION, p)));
        Ok(reply)
    }

    fn multivariant(&self) -> String {
        let mut text = String::from("#EXTM3U\n#EXT-X-VERSION:6\n#EXT-X-INDEPENDENT-SEGMENTS\n");
        for (k, rate) in self.model.ladder.iter().enumerate() {
            text += &format!("#EXT-X-STREAM-INF:BANDWIDTH={},CODECS=\"avc1.64001f,mp4a.40.2\"\n", rate * 8.0);
            text += &format!("r{k}.m3u8\n");
        }
        text
    }

    fn media(&self, title: &str, rung: usize) -> String {
        let (length, count) = (self.model.segment, self.model.segments as u64);
        let mut text = format!("#EXTM3U\n#EXT-X-VERSION:6\n#EXT-X-TARGETDURATION:{length}\n");
        let live = title.starts_with("live-");
        // A live list slides with the time; numbers agree over the rungs.
        let first = if live { now() as u64 / 1_000_000 / length - count } else { 0 };
        text += &format!("#EXT-X-MEDIA-SEQUENCE:{first}\n");
        for k in first..first + count {
            text += &format!("#EXTINF:{length}.0,\nr{rung}/{k}.ts\n");
        }
        if !live {
            text += "#EXT-X-ENDLIST\n";
        }
        text
    }

    /// Hosts tell their gateways how full they are and what they deliver; sessions that nobody fetches end.
    async fn tell(self: Rc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_millis(500)).await;
            for host in self.hosts.iter().filter(|h| h.running.get()) {
                let unseen = now() - (self.model.silence as i64 + 3) * 1_000_000;
                let stale: Vec<String> = host
                    .sessions
                    .borrow()
                    .iter()
                    .filter(|(_, s)| s.seen < unseen)
                    .map(|(name, _)| name.clone())
                    .collect();
                for session in stale {
                    let held = host.sessions.borrow_mut().remove(&session);
                    let bytes = held.map_or(0, |held| held.sent.get());
                    let ended =
                        format!("event: ended\ndata: {{\"session\":\"{session}\",\"bytes\":{bytes}}}\n\n");
                    host.listeners
                        .borrow_mut()
                        .retain(|(_, to)| to.try_send(Bytes::from(ended.clone())).is_ok());
                    self.record.add(What::Over { host: host.id.clone(), session, bytes });
                }
                host.over.borrow_mut().retain(|_, at| *at > now() - 60_000_000);
                let ((link, uplink), share, lies) =
                    (self.loads(host), self.share(host), host.trouble.borrow().lies);
                let mut text = format!(
                    "event: link\ndata: {{\"asked\":{:.4}}}\n\nevent: uplink\ndata: {{\"asked\":{:.4}}}\n\n",
                    link * lies,
                    uplink * lies
                );
                if share < 0.98 {
                    text += &format!("event: delivered\ndata: {{\"share\":{share:.4}}}\n\n");
                }
                let (late, of) = (host.trouble.borrow().late_reports, host.clone());
                spawn_local(async move {
                    tokio::time::sleep(late).await;
                    // Only gateways with sessions here are told; the others are kept awake.
                    let sessions = of.sessions.borrow();
                    let with: Vec<&str> = sessions.values().map(|s| s.gateway.as_str()).collect();
                    of.listeners.borrow_mut().retain(|(gateway, to)| {
                        let told =
                            if with.contains(&gateway.as_str()) { text.clone() } else { ":\n\n".into() };
                        to.try_send(Bytes::from(told)).is_ok()
                    });
                });
            }
        }
    }

    /// Puts a state into the list; gateways hear of it late.
    pub fn announce(self: &Rc<Self>, host: &Rc<Host>, state: State) {
        host.state.set(state);
        let (world, host) = (self.clone(), host.clone());
        let (started, late) = (host.started.get(), self.list.late.get());
        spawn_local(async move {
            tokio::time::sleep(late).await;
            world.list.known.borrow_mut().insert(host.id.clone(), (state, started));
            if world.list.down.get() {
                return;
            }
            let text =
                format!("event: changes\ndata: {{\"servers\":[{}]}}\n\n", told(&host.id, state, started));
            let record = world.record.clone();
            world.list.listeners.borrow_mut().retain(|(gateway, to)| {
                let reached = to.try_send(Bytes::from(text.clone())).is_ok();
                if reached {
                    let (gateway, host) = (gateway.clone(), host.id.clone());
                    record.add(What::Told { gateway, host, state: state.name().into() });
                }
                reached
            });
        });
    }

    /// The list is out of reach, or again in it.
    pub fn list_down(&self, down: bool) {
        self.list.down.set(down);
        if down {
            self.list.listeners.borrow_mut().clear();
        }
    }

    async fn serve_list(self: Rc<Self>, listener: TcpListener) {
        let world = self.clone();
        spawn_local(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(500)).await;
                let mut listeners = world.list.listeners.borrow_mut();
                listeners.retain(|(_, to)| to.try_send(Bytes::from_static(b":\n\n")).is_ok());
            }
        });
        while let Ok((stream, _)) = listener.accept().await {
            if self.list.down.get() {
                continue;
            }
            let world = self.clone();
            let service = service_fn(move |request: Request<Incoming>| {
                let world = world.clone();
                async move {
                    let gateway = request.headers().get("elderpick-gateway").and_then(|g| g.to_str().ok());
                    let gateway = gateway.unwrap_or("").to_owned();
                    let (sender, receiver) = mpsc::channel(256);
                    let known = world.list.known.borrow();
                    let servers = known.iter().map(|(id, (state, started))| told(id, *state, *started));
                    let servers = servers.collect::<Vec<_>>().join(",");
                    let _ = sender
                        .try_send(Bytes::from(format!("event: full\ndata: {{\"servers\":[{servers}]}}\n\n")));
                    for (host, (state, _)) in known.iter() {
                        let (gateway, host) = (gateway.clone(), host.clone());
                        world.record.add(What::Told { gateway, host, state: state.name().into() });
                    }
                    world.list.listeners.borrow_mut().push((gateway, sender));
                    let mut reply = reply(StatusCode::OK, "text/event-stream", "");
                    *reply.body_mut() = Stream::Events(receiver);
                    Ok::<_, Infallible>(reply)
                }
            });
            spawn_local(async move {
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    }

    /// The inventory of the hosts, as CSV.
    pub fn inventory(&self) -> String {
        let mut text = String::from("id,address,zone,kind,cell\n");
        for host in &self.hosts {
            text += &format!("{},{},galway,std,{}\n", host.id, host.address.get(), host.rack);
        }
        text
    }
}

fn told(id: &str, state: State, started: i64) -> String {
    format!("{{\"id\":\"{id}\",\"state\":\"{}\",\"started_us\":{started}}}", state.name())
}

struct Done {
    world: Rc<World>,
    host: Rc<Host>,
    session: String,
    how: &'static str,
}

impl Drop for Done {
    fn drop(&mut self) {
        let (host, session) = (self.host.id.clone(), self.session.clone());
        self.world.record.add(What::SetUpDone { host, session, how: self.how.to_owned() });
    }
}
