//! What a host answers.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use super::{Host, Session, Stream, World};
use crate::record::{What, now};

pub(super) fn reply(code: StatusCode, kind: &'static str, body: impl Into<Bytes>) -> Response<Stream> {
    let mut reply = Response::new(Stream::Whole(Some(body.into())));
    *reply.status_mut() = code;
    reply.headers_mut().insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static(kind));
    let any = http::HeaderValue::from_static("*");
    reply.headers_mut().insert(http::header::ACCESS_CONTROL_ALLOW_ORIGIN, any);
    reply
}

const CMSD: http::HeaderName = http::HeaderName::from_static("cmsd-dynamic");

const PLAYLIST: &str = "application/vnd.apple.mpegurl";

struct Done {
    pub(super) world: Rc<World>,
    pub(super) host: Rc<Host>,
    pub(super) session: String,
    how: &'static str,
}

impl Drop for Done {
    fn drop(&mut self) {
        let (host, session) = (self.host.id.clone(), self.session.clone());
        self.world.record.add(What::SetUpDone { host, session, how: self.how.to_owned() });
    }
}

impl World {
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

    pub(super) async fn answer(
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
}
