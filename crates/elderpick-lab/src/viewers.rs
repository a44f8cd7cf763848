//! Scripted viewers: ordinary HLS players that know the specification and nothing of the gateway, with habits.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use elderpick_hls::{Limits, Media, Multivariant, Variables};
use elderpick_srt::packet::reason;
use elderpick_srt::stream_id::StreamId;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use rand::Rng;
use tokio::net::TcpStream;
use url::Url;

use crate::fleet::{ClassOf, Fleet};
use crate::issuer;
use crate::record::What;
use crate::srt::{self, Ended};

/// One request on a connection of its own; dropping the future closes it.
pub async fn call(
    method: Method,
    to: SocketAddr,
    path: &str,
    headers: &[(&'static str, String)],
) -> Result<(u16, HeaderMap, Bytes), String> {
    call_with(method, to, path, headers, String::new()).await
}

/// The same with a body.
pub async fn call_with(
    method: Method,
    to: SocketAddr,
    path: &str,
    headers: &[(&'static str, String)],
    body: String,
) -> Result<(u16, HeaderMap, Bytes), String> {
    let stream = TcpStream::connect(to).await.map_err(|why| why.to_string())?;
    let _ = stream.set_nodelay(true);
    let shaken = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = shaken.map_err(|why| why.to_string())?;
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().map_err(|_| "no path".to_owned())?;
    let host = http::HeaderValue::from_str(&to.to_string()).map_err(|why| why.to_string())?;
    request.headers_mut().insert(http::header::HOST, host);
    for (name, value) in headers {
        let value = http::HeaderValue::from_str(value).map_err(|why| why.to_string())?;
        request.headers_mut().insert(*name, value);
    }
    let exchange = async {
        let answer = sender.send_request(request).await.map_err(|why| why.to_string())?;
        let (head, body) = answer.into_parts();
        let body = body.collect().await.map_err(|why| why.to_string())?.to_bytes();
        Ok((head.status.as_u16(), head.headers, body))
    };
    let mut exchange = std::pin::pin!(exchange);
    tokio::select! {
        biased;
        done = &mut exchange => done,
        ended = connection => match ended {
            Err(why) => Err(why.to_string()),
            // The connection has nothing left to do; what came is in the exchange.
            Ok(()) => exchange.await,
        },
    }
}

async fn get(uri: &Url) -> Result<(u16, HeaderMap, Bytes), String> {
    let host = uri.host_str().and_then(|h| h.parse().ok()).ok_or("no address")?;
    let to = SocketAddr::new(host, uri.port().unwrap_or(80));
    let path = uri.query().map_or(uri.path().to_owned(), |q| format!("{}?{q}", uri.path()));
    let got = tokio::time::timeout(Duration::from_secs(6), call(Method::GET, to, &path, &[])).await;
    got.map_err(|_| "nothing came".to_owned())?
}

/// How a session went.
#[derive(Clone, Copy, Default, Debug)]
pub struct Played {
    pub whole: bool,
    pub segments: usize,
    /// Segments that took longer to come than to play.
    pub short: usize,
    pub rung_changes: usize,
}

/// Plays a multivariant playlist as RFC 8216 tells: reload the media playlist until it ends, fetch each segment once,
/// in order. `most` segments, then the viewer has seen enough.
pub async fn play(at: &Url, manifest: &[u8], most: usize) -> Played {
    let mut played = Played::default();
    let Ok(multi) = Multivariant::parse(manifest, at, Limits::default()) else { return played };
    let Some(variant) = multi.variants.first() else { return played };
    let (mut next, mut rung) = (None::<u64>, None::<String>);
    loop {
        let loaded = tokio::time::Instant::now();
        let Ok((200, _, text)) = get(&variant.uri).await else { return played };
        let Ok(media) = Media::parse(&text, &variant.uri, &Variables::default(), Limits::default()) else {
            return played;
        };
        let before = played.segments;
        for number in next.unwrap_or(media.first).max(media.first)..media.end() {
            let Some(segment) = media.segment(number) else { break };
            let Ok(uri) = Url::parse(&segment.uri) else { return played };
            let began = tokio::time::Instant::now();
            let Ok((200, _, _)) = get(&uri).await else { return played };
            let took = began.elapsed();
            played.short += usize::from(took > Duration::from_micros(segment.duration as u64));
            let now = uri.path_segments().and_then(|mut parts| parts.nth_back(1)).map(str::to_owned);
            played.rung_changes += usize::from(rung.is_some() && rung != now);
            rung = now;
            played.segments += 1;
            next = Some(number + 1);
            if played.segments >= most {
                return played;
            }
        }
        if media.ended {
            played.whole = true;
            return played;
        }
        // Unchanged lists are loaded again after half the target duration, others after the whole of it.
        let wait = Duration::from_micros(media.target as u64) / if played.segments == before { 2 } else { 1 };
        tokio::time::sleep_until(loaded + wait).await;
    }
}

fn pick(fleet: &Fleet) -> &ClassOf {
    let mut chance = fleet.world.unit();
    for class in &fleet.classes {
        chance -= class.part;
        if chance < 0.0 {
            return class;
        }
    }
    &fleet.classes[0]
}

/// A viewer that comes over SRT, with its tries.
async fn over_srt(fleet: Rc<Fleet>, class: ClassOf, title: String, sid: String) {
    let record = fleet.world.record.clone();
    let unit = || fleet.world.unit();
    for _ in 0..4 {
        let up: Vec<_> = fleet.gateways.iter().filter_map(|g| Some((g, g.srt.get()?))).collect();
        let Some((gateway, to)) = up.get((unit() * unit() * up.len() as f64) as usize).copied() else {
            return;
        };
        let trace = format!("{:032x}", rand::rng().random::<u128>());
        let parent = ("trace".to_owned(), format!("00-{trace}-0000000000000001-01"));
        let id = StreamId {
            resource: title.clone(),
            session: sid.clone(),
            others: vec![("class".into(), class.name.into()), parent],
            ..StreamId::default()
        };
        let (viewer, at) = (sid.clone(), gateway.name.clone());
        record.add(What::Asked {
            trace: trace.clone(),
            viewer,
            gateway: at,
            class: class.name.into(),
            seat: None,
        });
        let patience = Duration::from_micros(class.patience as u64);
        let lasts = Duration::from_secs_f64(1.0 + 6.0 * unit());
        let answered = |why: Option<u32>| {
            let code = match why {
                None => 200,
                Some(reason::OVERLOAD) => 503,
                Some(reason::GATEWAY) => 502,
                // Any other reason is none that such a call should get.
                Some(why) => why as u16,
            };
            record.add(What::Replied { trace: trace.clone(), code });
        };
        let Ok(played) = srt::play_with(to, id.write(), unit() < 0.25, (patience, lasts), answered).await
        else {
            record.add(What::CutOff { trace });
            return;
        };
        match played.ended {
            Ended::TimedOut => {
                record.add(What::LeftWaiting { trace, patient: true });
                return;
            }
            Ended::Left | Ended::Cut => {
                let (whole, segments) = (played.ended == Ended::Left, (played.packets / 50) as usize);
                let rung_changes = played.rungs.len().saturating_sub(1);
                record.add(What::Played { trace, whole, segments, short: 0, rung_changes });
                if whole {
                    return;
                }
            }
            Ended::Rejected(reason::GATEWAY) if class.paid => return,
            Ended::Rejected(_) => {}
        }
        tokio::time::sleep(Duration::from_secs_f64(0.5 + unit())).await;
    }
}

/// One viewer with all its tries.
pub async fn viewer(fleet: Rc<Fleet>) {
    let record = fleet.world.record.clone();
    let unit = || fleet.world.unit();
    let class = pick(&fleet).clone();
    // Few titles are wanted much.
    let title = match class.seats {
        Some(_) => format!("exam-{}", (unit() * 2.0) as usize),
        None => format!("carex-{}", (1.0 / (unit() + 0.03)) as usize),
    };
    let sid = format!("{:016x}", rand::rng().random::<u64>());
    // Of a licensed class: which licence, and how the token is carried.
    let licences = &fleet.issuer.granted;
    let licence = (class.name == issuer::CLASS)
        .then(|| licences[((unit() * licences.len() as f64) as usize).min(licences.len() - 1)].0);
    if licence.is_none() && unit() < fleet.srt_part.get() {
        return over_srt(fleet.clone(), class, title, sid).await;
    }
    let in_header = unit() < 0.5;
    let mut sent_on: Option<SocketAddr> = None;
    for _ in 0..6 {
        let up: Vec<_> = fleet.gateways.iter().filter_map(|g| g.address.get().map(|a| (g, a))).collect();
        let chosen = match sent_on.take() {
            Some(to) => up.iter().find(|(_, a)| *a == to).copied(),
            None => up.get((unit() * unit() * up.len() as f64) as usize).copied(),
        };
        let Some((gateway, to)) = chosen else {
            if up.is_empty() {
                return;
            }
            continue;
        };
        let trace = format!("{:032x}", rand::rng().random::<u128>());
        // Some tokens end while they are used.
        let lasts = if unit() < 0.2 { 3_000_000 } else { 60_000_000 };
        let token = licence.map(|licence| fleet.issuer.token(licence, &sid, lasts).0);
        let query = token.as_ref().filter(|_| !in_header).map_or(String::new(), |t| format!("?token={t}"));
        let path = format!("/watch/{}/{title}/index.m3u8{query}", class.name);
        let headers = |trace: &str| {
            let parent = format!("00-{trace}-0000000000000001-01");
            let mut all = vec![("traceparent", parent), ("cmcd-session", format!("sid=\"{sid}\""))];
            all.extend(
                token.as_ref().filter(|_| in_header).map(|t| ("authorization", format!("Bearer {t}"))),
            );
            all
        };
        let asked = |trace: &str| {
            let (trace, viewer, gateway) = (trace.to_owned(), sid.clone(), gateway.name.clone());
            let seat = licence.map(|licence| (licence.to_owned(), sid.clone()));
            record.add(What::Asked { trace, viewer, gateway, class: class.name.into(), seat });
        };
        asked(&trace);
        // Some ask again on a second connection while the first request is out; some leave at once.
        let again = unit() < 0.05;
        let leaves = unit() < 0.03;
        let patience = Duration::from_micros(if leaves { 4_000 } else { class.patience as u64 });
        if again {
            let trace = format!("{:032x}", rand::rng().random::<u128>());
            asked(&trace);
            let (record, path, headers, class) =
                (record.clone(), path.clone(), headers(&trace), class.clone());
            tokio::task::spawn_local(async move {
                let wait = Duration::from_micros(class.patience as u64);
                match tokio::time::timeout(wait, call(Method::GET, to, &path, &headers)).await {
                    Ok(Ok((code, _, _))) => record.add(What::Replied { trace, code }),
                    Ok(Err(_)) => record.add(What::CutOff { trace }),
                    Err(_) => record.add(What::LeftWaiting { trace, patient: true }),
                }
            });
        }
        let answer = tokio::time::timeout(patience, call(Method::GET, to, &path, &headers(&trace))).await;
        let (code, headers, manifest) = match answer {
            Err(_) => {
                record.add(What::LeftWaiting { trace, patient: !leaves });
                return;
            }
            Ok(Err(_)) => {
                record.add(What::CutOff { trace });
                tokio::time::sleep(Duration::from_millis(300)).await;
                continue;
            }
            Ok(Ok(answer)) => answer,
        };
        record.add(What::Replied { trace: trace.clone(), code });
        match code {
            307 => {
                let place =
                    headers.get(http::header::LOCATION).and_then(|p| Url::parse(p.to_str().ok()?).ok());
                sent_on = place.and_then(|p| Some(SocketAddr::new(p.host_str()?.parse().ok()?, p.port()?)));
            }
            200 => {
                let Ok(at) = Url::parse(&format!("http://{to}{path}")) else { return };
                let most = if unit() < 0.2 { 2 } else { usize::MAX };
                let Played { whole, segments, short, rung_changes } = play(&at, &manifest, most).await;
                record.add(What::Played {
                    trace,
                    whole: whole || segments >= most,
                    segments,
                    short,
                    rung_changes,
                });
                let place = headers.get(http::header::CONTENT_LOCATION).and_then(|p| p.to_str().ok());
                if whole || segments >= most {
                    // Most say that they leave, some just close the lid.
                    if let Some(place) = place.filter(|_| unit() < 0.7) {
                        let _ = call(Method::DELETE, to, place, &[]).await;
                    }
                    return;
                }
                tokio::time::sleep(Duration::from_secs_f64(0.3 + unit())).await;
            }
            503 => {
                let after =
                    headers.get(http::header::RETRY_AFTER).and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
                if unit() > 0.85 {
                    return;
                }
                tokio::time::sleep(Duration::from_secs_f64(after.unwrap_or(1) as f64 + 0.3 * unit())).await;
            }
            401 | 403 => tokio::time::sleep(Duration::from_secs_f64(0.3 + unit())).await,
            _ if class.paid => return,
            _ => tokio::time::sleep(Duration::from_secs_f64(0.3 + unit())).await,
        }
    }
}
