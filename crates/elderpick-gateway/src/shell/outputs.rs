//! What the engine asks for is carried out.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use elderpick_core::api::{Micros, RequestId, ServerId, Status};
use http::Method;
use tokio::task::spawn_local;

use super::{Shell, span};
use crate::config::Config;
use crate::engine::{Decide, Input, Output, SetUp, Use, Via, Word};
use crate::host::{self, Lost};

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

impl<D: Decide + 'static> Shell<D> {
    pub(super) fn carry_out(self: &Rc<Self>, output: Output) {
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
                self.with_registry(|registry, t| registry.over(t, seat, plays, willing));
            }
            Output::Follow { server } => self.follow(server),
            Output::Subscribe | Output::Fetch => self.subscribe(),
        }
    }

    pub(super) fn limit(&self, f: impl Fn(&Config) -> Micros) -> Duration {
        span(f(&self.engine.borrow().config))
    }

    pub(super) fn reach(&self, server: &ServerId) -> Option<(SocketAddr, String)> {
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
}
