//! Stand-ins for media hosts and for the list service.
//!
//! Hosts share links and rack uplinks as the brief says: where more is asked than there is, all sessions there get the
//! same share. A host that has just started takes set-ups at a rising pace and falls over beyond it.

mod list;
mod model;
mod service;
mod stream;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};

use self::model::Session;
pub use self::model::{Model, State, Trouble};
use self::service::reply;
pub use self::stream::Stream;
use crate::record::{Record, What, now};

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
}
