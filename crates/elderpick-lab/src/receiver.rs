//! A stand-in for an office's receiver of exports: HTTP, by idempotency key, with troubles.
//!
//! kind: stand-in
//!
//! By draft-ietf-httpapi-idempotency-key-header: a request without a key is 400, one whose key is being worked on 409, one
//! whose key came with other content 422, and one that was done already gets the answer that it got. Content is checked
//! by RFC 9530.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

use base64::Engine as _;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// What the receiver does wrong to a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Trouble {
    /// Takes it, and closes the connection in the place of an answer.
    LosesAnswer,
    /// Closes the connection in the middle of the content.
    Cuts,
    Busy,
    /// Still takes an earlier sending.
    InFlight,
}

#[derive(Default)]
pub struct Receiver {
    address: Cell<Option<SocketAddr>>,
    /// Files by path, and how often each was stored.
    stored: RefCell<BTreeMap<String, (Bytes, usize)>>,
    /// Content digests by key.
    keys: RefCell<BTreeMap<String, String>>,
    at_work: RefCell<BTreeSet<String>>,
    /// For each request in turn what is done to it; then nothing.
    pub troubles: RefCell<Vec<Option<Trouble>>>,
    pub requests: Cell<usize>,
}

/// A key that is being worked on, until its request is over or its sender gone.
struct Working {
    of: Rc<Receiver>,
    key: String,
}

impl Drop for Working {
    fn drop(&mut self) {
        self.of.at_work.borrow_mut().remove(&self.key);
    }
}

impl Receiver {
    pub async fn start() -> Rc<Receiver> {
        let receiver = Rc::new(Receiver::default());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
        receiver.address.set(listener.local_addr().ok());
        let of = receiver.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let of = of.clone();
                spawn_local(async move {
                    let service = service_fn(move |request| of.clone().answer(request));
                    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        receiver
    }

    /// Where exports are sent to.
    pub fn uri(&self) -> String {
        self.address.get().map_or_else(String::new, |a| format!("http://{a}/use"))
    }

    /// Files by name, and how often each was stored.
    pub fn files(&self) -> BTreeMap<String, (Bytes, usize)> {
        self.stored.borrow().clone()
    }

    async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, std::io::Error> {
        let number = self.requests.replace(self.requests.get() + 1);
        let trouble = self.troubles.borrow().get(number).copied().flatten();
        let reply = |code| {
            let mut reply = Response::new(Full::default());
            *reply.status_mut() = code;
            Ok::<_, Infallible>(reply)
        };
        let header =
            |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
        let (key, told) = (header("idempotency-key"), header("content-digest").unwrap_or_default());
        let Some(key) = key.filter(|key| key.len() > 2 && key.starts_with('"') && key.ends_with('"')) else {
            return reply(StatusCode::BAD_REQUEST).map_err(std::io::Error::other);
        };
        let name = request.uri().path().trim_start_matches("/use/").to_owned();
        let code = match trouble {
            Some(Trouble::Busy) => StatusCode::SERVICE_UNAVAILABLE,
            Some(Trouble::InFlight) => StatusCode::CONFLICT,
            Some(Trouble::Cuts) => {
                let _ = request.into_body().frame().await;
                return Err(std::io::Error::other("cut"));
            }
            _ if !self.at_work.borrow_mut().insert(key.clone()) => StatusCode::CONFLICT,
            _ => {
                let working = Working { of: self.clone(), key: key.clone() };
                let body = request.into_body().collect().await.map_err(std::io::Error::other)?.to_bytes();
                drop(working);
                let hash = elderpick_ledger::chain::digest(&body);
                let bytes: Vec<u8> =
                    (0..64).step_by(2).filter_map(|k| u8::from_str_radix(&hash[k..k + 2], 16).ok()).collect();
                let sum = base64::engine::general_purpose::STANDARD.encode(bytes);
                let known = self.keys.borrow().get(&key).cloned();
                let there = self.stored.borrow().get(&name).is_some_and(|(there, _)| *there != body);
                match known {
                    _ if told != format!("sha-256=:{sum}:") => StatusCode::BAD_REQUEST,
                    Some(known) if known != hash => StatusCode::UNPROCESSABLE_ENTITY,
                    Some(_) => StatusCode::CREATED,
                    // The same name by another key: a gateway that went on from an old copy.
                    None if there => StatusCode::UNPROCESSABLE_ENTITY,
                    None => {
                        self.keys.borrow_mut().insert(key, hash);
                        self.stored.borrow_mut().entry(name).or_insert((body, 0)).1 += 1;
                        StatusCode::CREATED
                    }
                }
            }
        };
        if trouble == Some(Trouble::LosesAnswer) {
            return Err(std::io::Error::other("the answer is lost"));
        }
        reply(code).map_err(std::io::Error::other)
    }
}
