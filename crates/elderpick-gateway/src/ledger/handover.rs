//! Exports on their way out: written from the records piece by piece, into a folder or to a receiver over HTTP.
//!
//! Everything here runs beside the thread that keeps records, on files that nobody changes any more.

use std::fs::File;
use std::io::{BufWriter, Read, Write};
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use base64::Engine as _;
use bytes::Bytes;
use elderpick_ledger::Micros;
use elderpick_ledger::accounts::{Accounts, Entry};
use elderpick_ledger::calendar::Calendar;
use elderpick_ledger::chain;
use elderpick_ledger::deliver::{self, Answered, Delivery, ENDINGS, Next};
use elderpick_ledger::export::{self, Writing};
use elderpick_ledger::segments::From;
use http::{HeaderName, Request, header};
use hyper::body::{Body, Frame, SizeHint};

use super::{read, told};

/// An export that is to be handed over.
pub struct Work {
    pub folder: PathBuf,
    pub gateway: String,
    pub calendar: Calendar,
    pub number: u64,
    pub first: u64,
    pub last: u64,
    /// Digest of the manifest before it.
    pub before: String,
    /// A folder, or `http://ADDRESS:PORT/PATH`.
    pub to: String,
}

/// Gives entries of these numbers in order, from as few segments as have them.
pub(super) fn entries(
    (folder, gateway, calendar): (&Path, &str, &Calendar),
    (first, last): (u64, u64),
    mut take: impl FnMut(Entry) -> Result<(), String>,
) -> Result<(), String> {
    let mut accounts = Accounts::new(calendar.clone());
    let (mut next, mut failed) = (first, Ok(()));
    read(folder, gateway, From::Entry(first), |record| {
        accounts.apply(record, &mut |entry| {
            if entry.number == next && next <= last && failed.is_ok() {
                next += 1;
                failed = take(entry);
            }
        });
        match next <= last && failed.is_ok() {
            true => ControlFlow::Continue(()),
            false => ControlFlow::Break(()),
        }
    })?;
    failed?;
    match next > last {
        true => Ok(()),
        false => Err(format!("entry {next} is not in the records that are kept")),
    }
}

impl Work {
    /// Writes and hands over. Gives the export's name and the digest of its manifest.
    pub fn run(self) -> Result<(String, String), String> {
        let name = export::name(&self.gateway, self.number);
        match url::Url::parse(&self.to).ok().filter(|u| u.scheme() == "http") {
            None => {
                let manifest = self.write(Path::new(&self.to), &name)?;
                Ok((name, chain::digest(&manifest)))
            }
            Some(to) => {
                let out = self.folder.join("out");
                // What an earlier one left there may be of another time.
                let _ = std::fs::remove_dir_all(&out);
                let manifest = self.write(&out, &name)?;
                post(&to, &out, &name)?;
                let _ = std::fs::remove_dir_all(&out);
                Ok((name, chain::digest(&manifest)))
            }
        }
    }

    /// Writes the three files. The manifest comes last: where it stands, all of the export does.
    fn write(&self, to: &Path, name: &str) -> Result<Vec<u8>, String> {
        std::fs::create_dir_all(to).map_err(told(to))?;
        let new = |ending: &str| to.join(format!(".{name}.{ending}.new"));
        let create = |ending: &str| File::create(new(ending)).map(BufWriter::new).map_err(told(&new(ending)));
        let mut writing = Writing::new(create("jsonl")?, create("csv")?).map_err(told(to))?;
        let of = (&*self.folder, &*self.gateway, &self.calendar);
        entries(of, (self.first, self.last), |entry| writing.entry(&entry).map_err(told(to)))?;
        let (jsonl, csv, manifest) =
            writing.finish(&self.gateway, self.number, &self.before).map_err(told(to))?;
        for table in [jsonl, csv] {
            let file = table.into_inner().map_err(|why| told(to)(why.into_error()))?;
            file.sync_all().map_err(told(to))?;
        }
        let path = new("manifest.json");
        let mut file = File::create(&path).map_err(told(&path))?;
        file.write_all(&manifest).and_then(|()| file.sync_all()).map_err(told(&path))?;
        // Looked at before anything is put over what may be there.
        let place = to.join(format!("{name}.manifest.json"));
        if std::fs::read(&place).is_ok_and(|there| there != manifest) {
            ENDINGS.iter().for_each(|ending| drop(std::fs::remove_file(new(ending))));
            return Err(format!("{}: another export of this number is there", place.display()));
        }
        for ending in ENDINGS {
            let path = to.join(format!("{name}.{ending}"));
            std::fs::rename(new(ending), &path).map_err(told(&path))?;
        }
        File::open(to).and_then(|folder| folder.sync_all()).map_err(told(to))?;
        Ok(manifest)
    }
}

/// A file as a request's body, read as it is sent.
struct FileBody {
    file: File,
    left: u64,
}

const CHUNK: usize = 64 << 10;

impl Body for FileBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        if self.left == 0 {
            return Poll::Ready(None);
        }
        let mut chunk = vec![0; CHUNK.min(self.left as usize)];
        // The thread has nothing else to do.
        Poll::Ready(Some(self.file.read_exact(&mut chunk).map(|()| {
            self.left -= chunk.len() as u64;
            Frame::data(Bytes::from(chunk))
        })))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}

const CONNECT: Duration = Duration::from_secs(5);
/// An answer comes within this and a second for each [`SLOWEST`] bytes.
const ANSWER: Duration = Duration::from_secs(30);
const SLOWEST: u64 = 1 << 20;

fn post(to: &url::Url, out: &Path, name: &str) -> Result<(), String> {
    let host = to.host_str().and_then(|h| h.trim_matches(['[', ']']).parse().ok());
    let host = host.ok_or_else(|| format!("{to}: the receiver's host must be an IP address"))?;
    let at = SocketAddr::new(host, to.port_or_known_default().unwrap_or(80));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|why| format!("no runtime: {why}"))?;
    let mut delivery = Delivery::default();
    let mut next = delivery.begin();
    loop {
        let (file, after) = match next {
            Next::Send { file, after } => (file, after),
            Next::Taken => return Ok(()),
            Next::Later => {
                return Err(format!("{to}: it does not take {name} now; run the export again later"));
            }
            Next::Differs => return Err(format!("{to}: it has another {name} already")),
            Next::Refused { code } => return Err(format!("{to}: it refused {name} with {code}")),
        };
        std::thread::sleep(crate::shell::span(after));
        let path = out.join(format!("{name}.{}", ENDINGS[file]));
        let digest = digest_of(&path)?;
        let answer = runtime.block_on(post_file(to, at, &path, name, ENDINGS[file], &digest));
        if !matches!(answer, Answered::Status { code: 200..=299, .. }) {
            tracing::info!(%to, name, file = ENDINGS[file], ?answer, "the receiver did not take it");
        }
        next = delivery.answered(answer);
    }
}

fn digest_of(path: &Path) -> Result<[u8; 32], String> {
    let mut file = File::open(path).map_err(told(path))?;
    let (mut hash, mut chunk) = (chain::Hash::default(), vec![0; CHUNK]);
    loop {
        match file.read(&mut chunk).map_err(told(path))? {
            0 => return Ok(hash.bytes()),
            count => hash.take(&chunk[..count]),
        }
    }
}

/// Sends one file once, with what RFC 9530 says of its content and the key that it goes under.
async fn post_file(
    to: &url::Url,
    at: SocketAddr,
    path: &Path,
    name: &str,
    ending: &str,
    digest: &[u8; 32],
) -> Answered {
    let send = async {
        let file = File::open(path).ok()?;
        let left = file.metadata().ok()?.len();
        let within = ANSWER + Duration::from_secs(left / SLOWEST);
        let stream = tokio::time::timeout(CONNECT, tokio::net::TcpStream::connect(at)).await.ok()?.ok()?;
        let io = hyper_util::rt::TokioIo::new(stream);
        let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.ok()?;
        let sum = base64::engine::general_purpose::STANDARD.encode(digest);
        let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        let request = Request::post(format!("{}/{name}.{ending}", to.path().trim_end_matches('/')))
            .header(header::HOST, at.to_string())
            .header(header::CONTENT_LENGTH, left)
            .header(HeaderName::from_static("content-digest"), format!("sha-256=:{sum}:"))
            .header(HeaderName::from_static("idempotency-key"), deliver::key(name, ending, &hex))
            .body(FileBody { file, left })
            .ok()?;
        let asked = async {
            tokio::select! {
                answer = sender.send_request(request) => answer.ok(),
                _ = connection => None,
            }
        };
        let answer = tokio::time::timeout(within, asked).await.ok()??;
        let after =
            answer.headers().get(header::RETRY_AFTER).and_then(|v| v.to_str().ok()?.parse::<Micros>().ok());
        let after = after.filter(|s| (0..86_400).contains(s)).map(|s| s * 1_000_000);
        Some(Answered::Status { code: answer.status().as_u16(), after })
    };
    send.await.unwrap_or(Answered::Lost)
}
