//! A socket of the gateway's own machine and user, for the operators' program: HTTP with JSON answers.

use std::convert::Infallible;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::rc::Rc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{UnixListener, UnixStream};
use tokio::task::spawn_local;

use crate::engine::Decide;
use crate::shell::Shell;

/// Connections that are served at once.
const MOST: usize = 16;

/// Begins to listen. An old socket of a process that is gone is taken over.
pub(crate) fn listen<D: Decide + 'static>(path: &Path, shell: Rc<Shell<D>>) -> Result<(), String> {
    let told = |why: std::io::Error| format!("{}: {why}", path.display());
    if std::os::unix::net::UnixStream::connect(path).is_ok() {
        return Err(format!("{}: another gateway listens there", path.display()));
    }
    let _ = std::fs::remove_file(path);
    let listener = UnixListener::bind(path).map_err(told)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600)).map_err(told)?;
    spawn_local(async move {
        let served = Rc::new(());
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                continue;
            };
            if Rc::strong_count(&served) > MOST {
                continue;
            }
            let (shell, one) = (shell.clone(), served.clone());
            spawn_local(async move {
                let service = service_fn(move |request| {
                    let shell = shell.clone();
                    async move { Ok::<_, Infallible>(answer(&shell, request).await) }
                });
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                drop(one);
            });
        }
    });
    Ok(())
}

/// Longest command, in bytes.
const MOST_COMMAND: usize = 64 << 10;

async fn answer<D: Decide + 'static>(
    shell: &Rc<Shell<D>>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let reply = |status, text: String| {
        let mut reply = Response::new(Full::new(Bytes::from(text)));
        *reply.status_mut() = status;
        reply
    };
    let none = || reply(StatusCode::NOT_FOUND, "its settings have no such part".into());
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/seats") => {
            let t = shell.times();
            let shown = shell.seats.borrow().as_ref().map(|s| s.show(t).to_string());
            shown.map_or_else(none, |text| reply(StatusCode::OK, text))
        }
        (&Method::GET, "/listening") => {
            let [hls, srt] = [&shell.listening, &shell.srt].map(|at| at.get().map(|at| at.to_string()));
            reply(StatusCode::OK, serde_json::json!({ "hls": hls, "srt": srt }).to_string())
        }
        (&Method::POST, "/ledger") => {
            let body = http_body_util::Limited::new(request.into_body(), MOST_COMMAND).collect().await;
            let command = body.ok().and_then(|body| serde_json::from_slice(&body.to_bytes()).ok());
            let Some(command) = command else {
                return reply(StatusCode::BAD_REQUEST, "no command that is known here".into());
            };
            let asked = shell.uses.borrow().as_ref().map(|uses| uses.ask(command));
            let Some(asked) = asked else { return none() };
            match asked.await {
                Ok(Ok(done)) => reply(StatusCode::OK, done.to_string()),
                Ok(Err(why)) => reply(StatusCode::CONFLICT, why),
                Err(_) => reply(StatusCode::CONFLICT, "the ledger's thread is gone".into()),
            }
        }
        _ => none(),
    }
}

/// Asks a gateway that runs, over its socket: `GET`, or `POST` of a command.
pub async fn ask(path: &Path, what: &str, command: Option<String>) -> Result<serde_json::Value, Asked> {
    let away = |why: &dyn std::fmt::Display| Asked::Away(format!("{}: {why}", path.display()));
    let stream = UnixStream::connect(path).await.map_err(|why| away(&why))?;
    let shaken = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = shaken.map_err(|why| away(&why))?;
    let connection = tokio::spawn(connection);
    let method = if command.is_some() { Method::POST } else { Method::GET };
    let request = Request::builder().method(method).uri(what).header(http::header::HOST, "gateway");
    let request =
        request.body(Full::new(Bytes::from(command.unwrap_or_default()))).map_err(|why| away(&why))?;
    let answer = sender.send_request(request).await.map_err(|why| away(&why))?;
    let status = answer.status();
    let body = answer.into_body().collect().await.map_err(|why| away(&why))?.to_bytes();
    connection.abort();
    match status {
        StatusCode::OK => serde_json::from_slice(&body).map_err(|why| away(&why)),
        _ => Err(Asked::Refused(String::from_utf8_lossy(&body).into_owned())),
    }
}

/// Why a gateway did not do what it was asked.
#[derive(Debug)]
pub enum Asked {
    /// It does not run, or cannot be reached.
    Away(String),
    /// It says no.
    Refused(String),
}

impl std::fmt::Display for Asked {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Asked::Away(why) | Asked::Refused(why) => f.write_str(why),
        }
    }
}
