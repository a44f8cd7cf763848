//! What hosts and the list tell.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use elderpick_core::api::{ListKind, ServerId, ServerState};
use http::Method;
use serde::Deserialize;
use tokio::task::spawn_local;

use super::{Shell, span};
use crate::engine::{Decide, Input, Said, Token};
use crate::host::{self, Events, Lost};
use crate::liveness::{Listening, Next};

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

pub(super) fn list(message: &host::Message) -> Result<Option<Input>, serde_json::Error> {
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

impl<D: Decide + 'static> Shell<D> {
    /// Listens to what a host tells, until it is lost.
    pub(super) fn follow(self: &Rc<Self>, server: ServerId) {
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
    pub(super) fn subscribe(self: &Rc<Self>) {
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
