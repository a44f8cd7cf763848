//! The journal service.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use super::{Host, fault};
use crate::signal::{Signal, Subscription};

/// How a journal speaks.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Speaks {
    Well,
    /// Answers each call so many milliseconds late, and well then.
    Late(u64),
    /// Answers the call and says nothing more.
    NotAtAll,
    /// Sends an event byte by byte, which does not end.
    Trickling,
    /// Answers the call and closes.
    Closing,
    /// Tells its next event with a host in it that cannot be read, this once, and closes.
    SpoiltOnce,
}

/// A host as the list names it.
#[derive(Clone, Debug)]
pub struct Listing {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its state, in the platform's words.
    pub health: String,
    /// When its process started, in Unix milliseconds, if it did so late; 0 otherwise.
    pub born_ms: u64,
}

/// The journal service: events from the first on, to whoever asks.
pub struct Journal {
    pub address: SocketAddr,
    pub(super) told: Rc<RefCell<Vec<Value>>>,
    news: Signal,
    breaks: Signal,
    /// How it answers calls from now on.
    pub speaks: Rc<Cell<Speaks>>,
    /// Streams that are open say nothing more, and stay open.
    mute: Signal,
    /// How many streams have fallen silent.
    pub silent: Rc<Cell<usize>>,
    /// The `Last-Event-ID` of each call.
    pub calls: Rc<RefCell<Vec<u64>>>,
}

impl Journal {
    pub async fn start() -> Result<Journal, String> {
        Journal::start_as(Speaks::Well).await
    }

    pub async fn start_as(speaks: Speaks) -> Result<Journal, String> {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(fault)?;
        let address = listener.local_addr().map_err(fault)?;
        let journal = Journal {
            address,
            told: Rc::default(),
            news: Signal::default(),
            breaks: Signal::default(),
            speaks: Rc::new(Cell::new(speaks)),
            mute: Signal::default(),
            silent: Rc::default(),
            calls: Rc::default(),
        };
        let (told, calls) = (journal.told.clone(), journal.calls.clone());
        let (speaks, silent) = (journal.speaks.clone(), journal.silent.clone());
        let (news, breaks, mute) = (journal.news.clone(), journal.breaks.clone(), journal.mute.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (told, calls) = (told.clone(), calls.clone());
                let (speaks, silent) = (speaks.clone(), silent.clone());
                let signals = (news.subscribe(), breaks.subscribe(), mute.subscribe());
                spawn_local(async move {
                    let _ = tell(stream, &told, signals, &silent, &calls, &speaks).await;
                });
            }
        });
        Ok(journal)
    }

    /// Adds an event with these hosts, each with its state; gives its number.
    pub fn tell(&self, whole: bool, hosts: &[(&Host, &str)]) -> u64 {
        let listing = |(host, health): &(&Host, &str)| Listing {
            name: host.name.clone(),
            address: host.address,
            health: (*health).to_owned(),
            born_ms: 0,
        };
        self.tell_listings(whole, &hosts.iter().map(listing).collect::<Vec<_>>())
    }

    /// Adds an event with these entries of the list; gives its number.
    pub fn tell_listings(&self, whole: bool, listings: &[Listing]) -> u64 {
        let number = self.told.borrow().len() as u64 + 1;
        let hosts: Vec<_> = listings
            .iter()
            .map(|listing| {
                json!({"host": listing.name, "dial": listing.address.to_string(), "site": "here", "class": "one",
                       "block": 0, "health": listing.health, "share": 50.0, "born_ms": listing.born_ms})
            })
            .collect();
        let event = json!({"pos": number, "hosts": {"seq": number, "whole": whole, "hosts": hosts}});
        self.told.borrow_mut().push(event);
        self.news.send();
        number
    }

    /// Breaks all streams off in the middle of an event that it has not told otherwise.
    pub fn break_off(&self) {
        self.breaks.send();
    }

    /// Falls silent on all streams, which stay open; calls from now on are answered.
    pub fn fall_silent(&self) {
        self.mute.send();
    }

    /// Takes over what another one has told.
    pub fn succeed(&self, other: &Journal) {
        self.told.borrow_mut().clone_from(&other.told.borrow());
    }
}

async fn tell(
    mut stream: TcpStream,
    told: &RefCell<Vec<Value>>,
    (mut news, mut breaks, mut mute): (Subscription, Subscription, Subscription),
    silent: &Cell<usize>,
    calls: &RefCell<Vec<u64>>,
    speaks: &Cell<Speaks>,
) -> std::io::Result<()> {
    let mut head = String::new();
    let (reads, mut writes) = stream.split();
    let mut reads = BufReader::new(reads);
    while !head.ends_with("\r\n\r\n") {
        if reads.read_line(&mut head).await? == 0 {
            return Ok(());
        }
    }
    let last =
        head.lines().find_map(|l| l.to_ascii_lowercase().strip_prefix("last-event-id:")?.trim().parse().ok());
    let mut last: u64 = last.unwrap_or(0);
    calls.borrow_mut().push(last);
    if let Speaks::Late(ms) = speaks.get() {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
    writes
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
        .await?;
    match speaks.get() {
        Speaks::Well | Speaks::Late(_) => {}
        Speaks::Closing => return Ok(()),
        Speaks::NotAtAll => loop {
            if reads.read_line(&mut head).await? == 0 {
                return Ok(());
            }
        },
        Speaks::Trickling => {
            writes.write_all(b"data: ").await?;
            loop {
                writes.write_all(b"x").await?;
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        }
        Speaks::SpoiltOnce => {
            let next = told.borrow().get(last as usize).map(Value::to_string);
            let Some(next) = next else { return Ok(()) };
            speaks.set(Speaks::Well);
            let event = next.replace("127.0.0.1:", "127.0.0.1;");
            return writes.write_all(format!("id: {}\ndata: {event}\n\n", last + 1).as_bytes()).await;
        }
    }
    loop {
        let more: Vec<_> = told.borrow().iter().skip(last as usize).cloned().collect();
        for event in more {
            last += 1;
            // Each is told twice: numbers decide.
            for _ in 0..2 {
                writes.write_all(format!("id: {last}\ndata: {event}\n\n").as_bytes()).await?;
            }
        }
        tokio::select! {
            () = news.received() => {}
            () = breaks.received() => {
                return writes.write_all(format!("id: {}\ndata: {{\"pos\":", last + 1).as_bytes()).await;
            }
            () = mute.received() => {
                silent.set(silent.get() + 1);
                while reads.read_line(&mut head).await? > 0 {}
                return Ok(());
            }
            () = tokio::time::sleep(Duration::from_secs(1)) => writes.write_all(b": awake\n\n").await?,
        }
    }
}
