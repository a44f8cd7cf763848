//! Viewers, as the gateway speaks to them: HLS over HTTP/1.1.
//!
//! `GET /watch/CLASS/TITLE/index.m3u8` asks for a session; its answer is the final one. `GET /s/TOKEN/…` are the
//! session's media playlists, `DELETE /s/TOKEN` ends it. Of a licensed class the first brings an entitlement token; a
//! later one that is brought to any of these renews the right.

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use elderpick_entitle::registry::Denied;

use crate::door::Entry;
use crate::engine::{Answer, Ask, Decide, Input, Payer, Token, Via, Viewer, Wanted};
use crate::entitle::Barred;
use crate::shell::{Shell, fetch, span};

type Reply = Response<Full<Bytes>>;

/// Counts a viewer's connection as long as it is held.
struct Held<D: Decide + 'static>(Rc<Shell<D>>, IpAddr);

impl<D: Decide + 'static> Drop for Held<D> {
    fn drop(&mut self) {
        self.0.door.borrow_mut().leave(self.1);
    }
}

/// Takes connections up to the bounds; what is over them is told so at once and closed.
pub(crate) async fn accept<D: Decide + 'static>(listener: TcpListener, shell: Rc<Shell<D>>) {
    let header = shell.with_engine(|e| span(e.config.limits.header));
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(taken) => taken,
            Err(why) => {
                // Out of descriptors, most likely: those that are held go on, and some will be free soon.
                tracing::warn!(%why, "cannot accept");
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        if shell.door.borrow_mut().come(from.ip()) != Entry::Admitted {
            shell.with_engine(|e| e.counts.over_bound += 1);
            spawn_local(turn_away(stream));
            continue;
        }
        let held = Held(shell.clone(), from.ip());
        let _ = stream.set_nodelay(true);
        spawn_local(async move {
            let shell = held.0.clone();
            let service = service_fn(move |request| {
                let shell = shell.clone();
                async move { Ok::<_, Infallible>(answer(shell, from, request).await) }
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(header)
                .max_buf_size(16 << 10)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(why) = served.await {
                tracing::debug!(%from, %why, "viewer's connection");
            }
            drop(held);
        });
    }
}

async fn turn_away(stream: TcpStream) {
    let text = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    let _ = tokio::time::timeout(Duration::from_millis(200), async {
        stream.writable().await?;
        stream.try_write(text)
    })
    .await;
}

fn reply(status: StatusCode, kind: &'static str, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    let headers = reply.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    headers.insert(header::ACCESS_CONTROL_ALLOW_ORIGIN, HeaderValue::from_static("*"));
    reply
}

fn plain(status: StatusCode, text: &str) -> Reply {
    reply(status, "text/plain; charset=utf-8", format!("{text}\n"))
}

fn playlist(text: String) -> Reply {
    reply(StatusCode::OK, "application/vnd.apple.mpegurl", text)
}

async fn answer<D: Decide + 'static>(
    shell: Rc<Shell<D>>,
    from: SocketAddr,
    request: Request<Incoming>,
) -> Reply {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let get = request.method() == Method::GET;
    match parts[..] {
        ["watch", class, title, "index.m3u8"] if get => watch(shell, from, class, title, &request).await,
        ["s", session, name] if get => {
            let query = request.uri().query();
            part(shell, session, name, query, token(request.headers(), query)).await
        }
        ["s", token] if request.method() == Method::DELETE => match Token::parse(token) {
            Some(token) => {
                shell.feed(Input::Leave { token });
                plain(StatusCode::OK, "ended")
            }
            None => plain(StatusCode::NOT_FOUND, "no such session"),
        },
        ["watch", ..] | ["s", ..] if !get => {
            plain(StatusCode::METHOD_NOT_ALLOWED, "GET, or DELETE of a session")
        }
        _ => plain(StatusCode::NOT_FOUND, "try /watch/CLASS/TITLE/index.m3u8"),
    }
}

/// What players tell by CMCD (CTA-5004), in headers or in the query.
fn cmcd(headers: &HeaderMap, query: Option<&str>) -> Vec<sfv::Dictionary> {
    let told = ["cmcd-session", "cmcd-object", "cmcd-request", "cmcd-status"];
    let of_headers = told.iter().filter_map(|name| headers.get(*name)).map(|v| v.as_bytes().to_vec());
    let of_query = query.unwrap_or_default().split('&').filter_map(|pair| pair.strip_prefix("CMCD="));
    let of_query = of_query.map(|v| percent_encoding::percent_decode_str(v).collect::<Vec<u8>>());
    of_headers.chain(of_query).filter_map(|text| sfv::Parser::parse_dictionary(&text).ok()).collect()
}

/// The entitlement token that a request brings: `Authorization: Bearer …` (RFC 6750), or `token=` in the query.
fn token(headers: &HeaderMap, query: Option<&str>) -> Option<String> {
    let header = headers.get(header::AUTHORIZATION).and_then(|v| v.to_str().ok());
    let bearer =
        header.and_then(|v| v.split_once(' ')).filter(|(kind, _)| kind.eq_ignore_ascii_case("bearer"));
    let of_query = query.unwrap_or_default().split('&').find_map(|pair| pair.strip_prefix("token="));
    bearer.map(|(_, token)| token.trim()).or(of_query).map(str::to_owned)
}

/// What tells one player from another: its session id if it tells one, or else its address and what it calls itself.
fn device(from: SocketAddr, sid: Option<&str>, headers: &HeaderMap) -> u64 {
    let agent = headers.get(header::USER_AGENT).map_or(&b""[..], |v| v.as_bytes());
    let of_address = [from.ip().to_string().as_bytes(), b" ", agent].concat();
    xxhash_rust::xxh3::xxh3_64(sid.map_or(&of_address[..], str::as_bytes))
}

/// Why there is no seat, or where it is.
fn barred<D: Decide + 'static>(shell: &Rc<Shell<D>>, why: &Barred, uri: &http::Uri) -> Reply {
    let query = uri.query().unwrap_or_default();
    if let Barred::Denied(Denied::Elsewhere { at: Some(at), gateway }) = why {
        if query.split('&').any(|pair| pair == SENT_ON) {
            tracing::error!(gateway, "a viewer was sent here by a gateway whose sheet differs");
        } else {
            let query = if query.is_empty() { SENT_ON.to_owned() } else { format!("{query}&{SENT_ON}") };
            let place = HeaderValue::from_str(&format!("{at}{}?{query}", uri.path()));
            let mut reply = plain(StatusCode::TEMPORARY_REDIRECT, "another gateway counts this seat");
            reply.headers_mut().extend(place.ok().map(|p| (header::LOCATION, p)));
            return reply;
        }
    }
    let (status, text, again) = why.reply(shell.times());
    let mut reply = plain(StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE), text);
    let headers = reply.headers_mut();
    if status == 401 {
        let asks = if matches!(why, Barred::NoToken) { "Bearer" } else { "Bearer error=\"invalid_token\"" };
        headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static(asks));
    }
    if let Some(again) = again {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(again.as_secs().max(1)));
    }
    reply
}

/// Stands in the query of a request that was sent on: it is not sent on again.
const SENT_ON: &str = "sent=1";

/// Tells the engine when a request's connection closes before the answer.
pub(crate) struct Asking<D: Decide + 'static>(pub Rc<Shell<D>>, pub Ask);

impl<D: Decide + 'static> Drop for Asking<D> {
    fn drop(&mut self) {
        self.0.dropped(self.1);
    }
}

async fn watch<D: Decide + 'static>(
    shell: Rc<Shell<D>>,
    from: SocketAddr,
    class: &str,
    title: &str,
    request: &Request<Incoming>,
) -> Reply {
    let came = shell.now();
    let classes = shell.with_engine(|e| e.config.classes.iter().position(|c| c.name == class));
    let Some(class) = classes else { return plain(StatusCode::NOT_FOUND, "no such class") };
    let title = percent_encoding::percent_decode_str(title).decode_utf8();
    let sane = |t: &str| {
        !t.is_empty() && t.len() <= 256 && !t.chars().any(|c| c.is_control() || c == '/' || c == '\\')
    };
    let Some(title) = title.ok().filter(|t| sane(t) && t != "." && t != "..") else {
        return plain(
            StatusCode::BAD_REQUEST,
            "no title: 1 to 256 bytes of UTF-8 without '/' and control characters",
        );
    };
    let told = cmcd(request.headers(), request.uri().query());
    let item = |key: &str| {
        told.iter().find_map(|d| match d.get(key) {
            Some(sfv::ListEntry::Item(item)) => Some(item.bare_item.clone()),
            _ => None,
        })
    };
    let sid =
        item("sid").and_then(|v| v.as_str().map(str::to_owned)).filter(|s| !s.is_empty() && s.len() <= 64);
    let licensed = shell.with_engine(|e| e.config.classes[class].licensed);
    let seating = match licensed {
        false => None,
        true => {
            let brought = token(request.headers(), request.uri().query());
            match shell
                .seat(brought.as_deref(), device(from, sid.as_deref(), request.headers()), class, &title)
                .await
            {
                Ok(seating) => Some(seating),
                Err(why) => return barred(&shell, &why, request.uri()),
            }
        }
    };
    let trace = request.headers().get("traceparent").and_then(|t| t.to_str().ok());
    let payer = match &seating {
        Some(seating) => seating.payer.clone(),
        None => Payer {
            tenant: shell.with_engine(|e| e.config.classes[class].tenant.clone()),
            licence: String::new(),
            viewer: sid.clone().unwrap_or_default(),
        },
    };
    let wanted = Wanted {
        via: Via::Hls,
        class,
        title: title.into_owned(),
        viewer: sid.map(|sid| Viewer { from: from.ip(), sid }),
        seated: seating.as_ref().map(|s| s.seated),
        payer,
        came,
        top_bits: item("tb")
            .and_then(|v| v.as_int())
            .and_then(|kb| u64::try_from(kb).ok())
            .map(|kb| kb * 1000),
        trace: trace.filter(|t| t.len() <= 128).map(str::to_owned),
    };
    let (ask, answer) = shell.ask(wanted);
    let asking = Asking(shell, ask);
    let answer = answer.await;
    drop(asking);
    drop(seating);
    match answer {
        Ok(Answer::Plays { token, manifest }) => {
            tracing::debug!(%from, "plays");
            let mut reply = playlist(manifest);
            // For viewers that end their session; players need it not.
            let place = HeaderValue::from_str(&format!("/s/{token}"));
            reply.headers_mut().extend(place.ok().map(|p| (header::CONTENT_LOCATION, p)));
            reply
        }
        Ok(Answer::Refused { retry_after }) => {
            let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, "no room now");
            let seconds = retry_after.map_or(1, |us| (us + 999_999) / 1_000_000);
            reply.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
            reply
        }
        Ok(Answer::Failed { late: true }) => {
            plain(StatusCode::GATEWAY_TIMEOUT, "no media host answered in time")
        }
        Ok(Answer::Failed { late: false } | Answer::Flows { .. }) | Err(_) => {
            plain(StatusCode::BAD_GATEWAY, "no media host plays it")
        }
    }
}

/// Time for a host to give a playlist; blocking reloads of live lists wait for the next part.
const FETCH: Duration = Duration::from_secs(3);

async fn part<D: Decide + 'static>(
    shell: Rc<Shell<D>>,
    token: &str,
    name: &str,
    query: Option<&str>,
    brought: Option<String>,
) -> Reply {
    let Some(token) = Token::parse(token) else { return plain(StatusCode::NOT_FOUND, "no such session") };
    let gone = || match shell.with_engine(|e| e.has_lapsed(token)) {
        true => plain(StatusCode::FORBIDDEN, "the entitlement has ended"),
        false => plain(StatusCode::GONE, "the session is over"),
    };
    if let Some(Err(why)) = brought.map(|brought| shell.renew(&brought, token)) {
        return barred(&shell, &why, &http::Uri::default());
    }
    let now = shell.now();
    let wanted = shell.with_engine(|engine| {
        let play = engine.play(now, token)?;
        Some(play.part(name).map(|part| (part, play.wanted(part, query))))
    });
    let (part, wanted) = match wanted {
        None => return gone(),
        Some(None) => return plain(StatusCode::NOT_FOUND, "no such playlist"),
        Some(Some(wanted)) => wanted,
    };
    let mut fetched = Vec::new();
    for one in wanted {
        match fetch(&shell, &one.uri, FETCH).await {
            Ok(text) => fetched.push((one, text)),
            Err(why) => {
                tracing::info!(uri = %one.uri, ?why, "no playlist from the host");
                let known = shell.with_engine(|e| e.play(shell.now(), token).is_some());
                return if known {
                    plain(StatusCode::BAD_GATEWAY, "the media host gives no playlist")
                } else {
                    gone()
                };
            }
        }
    }
    let now = shell.now();
    let shaped = shell.with_engine(|e| e.play(now, token).map(|play| play.shape(now, part, fetched)));
    match shaped {
        None => gone(),
        Some(Ok(shaped)) => playlist(shaped.text),
        Some(Err(why)) => {
            tracing::warn!(%why, "the host's playlist cannot be used");
            plain(StatusCode::BAD_GATEWAY, "the media host's playlist cannot be used")
        }
    }
}
