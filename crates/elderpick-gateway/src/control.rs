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
                    async move { Ok::<_, Infallible>(answer(&shell, &request)) }
                });
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                drop(one);
            });
        }
    });
    Ok(())
}

fn answer<D: Decide + 'static>(shell: &Rc<Shell<D>>, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let t = shell.times();
    let shown = match (request.method(), request.uri().path()) {
        (&Method::GET, "/seats") => shell.seats.borrow().as_ref().map(|s| s.show(t)),
        _ => None,
    };
    let text = shown.as_ref().map(ToString::to_string).unwrap_or_default();
    let mut reply = Response::new(Full::new(Bytes::from(text)));
    if shown.is_none() {
        *reply.status_mut() = StatusCode::NOT_FOUND;
    }
    reply
}

/// Asks a gateway that runs, over its socket.
pub async fn ask(path: &Path, what: &str) -> Result<serde_json::Value, String> {
    let told = |why: &dyn std::fmt::Display| format!("{}: {why}", path.display());
    let stream = UnixStream::connect(path).await.map_err(|why| told(&why))?;
    let shaken = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = shaken.map_err(|why| told(&why))?;
    let connection = tokio::spawn(connection);
    let request = Request::builder().uri(what).header(http::header::HOST, "gateway");
    let request = request.body(Full::<Bytes>::default()).map_err(|why| told(&why))?;
    let answer = sender.send_request(request).await.map_err(|why| told(&why))?;
    if answer.status() != StatusCode::OK {
        return Err(told(&"the gateway knows of no such thing: its settings may have no `entitlement`"));
    }
    let body = answer.into_body().collect().await.map_err(|why| told(&why))?.to_bytes();
    connection.abort();
    serde_json::from_slice(&body).map_err(|why| told(&why))
}
