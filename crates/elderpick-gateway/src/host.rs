//! Media hosts, as the gateway speaks to them: HTTP/1.1 on kept connections, server-sent events back.
//!
//! `docs/operators/media-hosts.md` is the specification of this wire.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use elderpick_core::api::{Report, ServerId, Status};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// A connection to a host. Dropping it closes it, whatever is out on it.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Kept connections, bounded for each host.
pub struct Pool {
    idle: RefCell<BTreeMap<SocketAddr, Vec<Connection>>>,
    most: usize,
    connect: Duration,
    /// Most bytes of an answer's body.
    body: usize,
}

/// Why a call has no answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Lost {
    /// Nothing was written.
    NotSent,
    /// Withdrawn before anything was written.
    Withdrawn,
    /// It may have been received.
    Cut,
}

impl Lost {
    pub fn status(self) -> Status {
        match self {
            Lost::NotSent => Status::ConnectError,
            Lost::Withdrawn => Status::Ignored,
            Lost::Cut => Status::Reset,
        }
    }
}

async fn open(to: SocketAddr, within: Duration) -> Result<Connection, Lost> {
    let stream = tokio::time::timeout(within, TcpStream::connect(to)).await;
    let stream = stream.map_err(|_| Lost::NotSent)?.map_err(|_| Lost::NotSent)?;
    let _ = stream.set_nodelay(true);
    let shaken = http1::Builder::new().max_buf_size(64 << 10).handshake(TokioIo::new(stream)).await;
    let (sender, connection) = shaken.map_err(|_| Lost::NotSent)?;
    let driver = tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Ok(Connection { sender, driver: driver.abort_handle() })
}

impl Pool {
    pub fn new(most: usize, connect: Duration, body: usize) -> Pool {
        Pool { idle: RefCell::new(BTreeMap::new()), most, connect, body }
    }

    /// Sends a request and reads its whole answer. `still` is asked right before anything is written. A request that
    /// a kept connection gives back unsent goes out on a new one; one that may have been received never does.
    pub async fn call(
        &self,
        to: SocketAddr,
        request: Request<Full<Bytes>>,
        still: impl Fn() -> bool,
    ) -> Result<Response<Bytes>, Lost> {
        let mut request = Some(request);
        loop {
            let kept = self.idle.borrow_mut().get_mut(&to).and_then(Vec::pop);
            let fresh = kept.is_none();
            let mut connection = match kept {
                Some(connection) => connection,
                None => open(to, self.connect).await?,
            };
            if connection.sender.ready().await.is_err() {
                if fresh {
                    return Err(Lost::NotSent);
                }
                continue;
            }
            if !still() {
                return Err(Lost::Withdrawn);
            }
            let Some(now) = request.take() else { return Err(Lost::Cut) };
            match connection.sender.try_send_request(now).await {
                Ok(answer) => {
                    let (head, body) = answer.into_parts();
                    let body = Limited::new(body, self.body).collect().await.map_err(|_| Lost::Cut)?;
                    self.keep(to, connection);
                    return Ok(Response::from_parts(head, body.to_bytes()));
                }
                Err(mut why) => match why.take_message() {
                    Some(unsent) if !fresh => request = Some(unsent),
                    Some(_) => return Err(Lost::NotSent),
                    None => return Err(Lost::Cut),
                },
            }
        }
    }

    fn keep(&self, to: SocketAddr, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(to).or_default();
        if kept.len() < self.most && !connection.sender.is_closed() {
            kept.push(connection);
        }
    }

    /// Forgets the kept connections of a host that was lost.
    pub fn forget(&self, to: SocketAddr) {
        self.idle.borrow_mut().remove(&to);
    }
}

/// A request with a JSON body, or none.
pub fn request(
    method: Method,
    path: &str,
    to: SocketAddr,
    gateway: &str,
    body: String,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = method;
    // Paths are made of hexadecimal tokens and fixed words: they always parse.
    *request.uri_mut() = path.parse().unwrap_or_default();
    let headers = request.headers_mut();
    let value = |text: &str| http::HeaderValue::from_str(text).ok();
    headers.extend(value(&to.to_string()).map(|v| (http::header::HOST, v)));
    headers.extend(value(gateway).map(|v| (http::HeaderName::from_static("elderpick-gateway"), v)));
    request
}

/// What an answer to a set-up means.
pub fn status(code: StatusCode) -> Status {
    match code {
        StatusCode::CREATED => Status::Ok,
        StatusCode::SERVICE_UNAVAILABLE => Status::Full,
        _ => Status::Failed,
    }
}

/// Gives the numbers of CMSD-Dynamic (CTA-5006) by key to each of its members.
fn told(headers: &HeaderMap, mut member: impl FnMut(&dyn Fn(&str) -> Option<f64>)) {
    for value in headers.get_all("cmsd-dynamic") {
        let Ok(list) = sfv::Parser::parse_list(value.as_bytes()) else { continue };
        for item in list {
            let sfv::ListEntry::Item(item) = item else { continue };
            member(&|key| {
                let bare = item.params.get(key)?;
                let decimal = bare.as_decimal().and_then(|d| d.to_string().parse::<f64>().ok());
                decimal.or_else(|| bare.as_int().map(|i| i as f64)).filter(|n| *n >= 0.0)
            });
        }
    }
}

/// The load that an answer tells: the last member that has our keys.
pub fn load(headers: &HeaderMap) -> Report {
    let mut report = Report::default();
    told(headers, |number| {
        report.link = number("elderpick-link").or(report.link);
        report.uplink = number("elderpick-uplink").or(report.uplink);
        report.streams = number("elderpick-streams").or(report.streams);
    });
    report
}

/// The bytes that a session got, as the answer to its end tells. Structured fields have integers up to 10^15, which a
/// float holds exactly.
pub fn delivered(headers: &HeaderMap) -> Option<u64> {
    let mut bytes = None;
    told(headers, |number| bytes = number("elderpick-bytes").or(bytes));
    bytes.map(|b| b as u64)
}

/// One server-sent event.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct Message {
    pub event: String,
    pub data: String,
}

/// What a stream of server-sent events says.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Said {
    Event(Message),
    /// Says nothing but that the stream is alive, and that what it had to say before was said.
    Comment,
}

/// A stream of server-sent events, by the HTML standard.
pub struct Events {
    body: Incoming,
    _connection: Connection,
    buffer: Vec<u8>,
    /// So much of the buffer holds no end of a line.
    looked: usize,
    /// What the lines so far say of the event that comes.
    message: Message,
}

/// Most bytes of one event.
const MOST_EVENT: usize = 4 << 20;

impl Events {
    /// Opens a stream; the answer must be 200.
    pub async fn open(to: SocketAddr, path: &str, gateway: &str, within: Duration) -> Result<Events, Lost> {
        Events::open_behind(to, path, gateway, None, within).await
    }

    /// Opens a stream that goes on behind the event of this id.
    pub async fn open_behind(
        to: SocketAddr,
        path: &str,
        gateway: &str,
        last: Option<u64>,
        within: Duration,
    ) -> Result<Events, Lost> {
        let mut connection = open(to, within).await?;
        let mut call = request(Method::GET, path, to, gateway, String::new());
        call.headers_mut().extend(last.map(|id| (http::HeaderName::from_static("last-event-id"), id.into())));
        let asked = connection.sender.send_request(call);
        let answer =
            tokio::time::timeout(within, asked).await.map_err(|_| Lost::Cut)?.map_err(|_| Lost::Cut)?;
        if answer.status() != StatusCode::OK {
            return Err(Lost::Cut);
        }
        let (buffer, message) = (Vec::new(), Message::default());
        Ok(Events { body: answer.into_body(), _connection: connection, buffer, looked: 0, message })
    }

    /// The next event. Comments keep the stream awake and are skipped; silence for `within` ends it.
    pub async fn next(&mut self, within: Duration) -> Option<Message> {
        loop {
            if let Said::Event(message) = self.said(within).await? {
                return Some(message);
            }
        }
    }

    /// The next event or comment. One that is not whole after `within`, though bytes of it may trickle in, ends the
    /// stream.
    pub async fn said(&mut self, within: Duration) -> Option<Said> {
        tokio::time::timeout(within, self.whole()).await.ok()?
    }

    async fn whole(&mut self) -> Option<Said> {
        loop {
            while let Some(end) = self.buffer[self.looked..].iter().position(|&b| b == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..self.looked + end + 1).collect();
                self.looked = 0;
                if let Some(said) = self.line(&String::from_utf8_lossy(&line[..line.len() - 1])) {
                    return Some(said);
                }
            }
            self.looked = self.buffer.len();
            let frame = self.body.frame().await?.ok()?;
            if let Ok(data) = frame.into_data() {
                // Carriage returns are line ends as well; what we follow sends none but with a line feed.
                self.buffer.extend(data.iter().filter(|&&b| b != b'\r'));
            }
            if self.buffer.len() + self.message.data.len() > MOST_EVENT {
                return None;
            }
        }
    }

    fn line(&mut self, line: &str) -> Option<Said> {
        if line.is_empty() {
            let message = std::mem::take(&mut self.message);
            return (!message.data.is_empty()).then_some(Said::Event(message));
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "" => return Some(Said::Comment),
            "event" => self.message.event = value.to_owned(),
            "data" if self.message.data.is_empty() => self.message.data = value.to_owned(),
            "data" => self.message.data.extend(["\n", value]),
            _ => {}
        }
        None
    }
}

/// Names a server for logs.
pub fn name(server: &ServerId) -> &str {
    &server.0
}
