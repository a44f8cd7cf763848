//! Entitlement at work in the gateway: tokens that viewers bring, the registry that counts seats, its log and its files.

use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use elderpick_entitle::Times;
use elderpick_entitle::keys::KeySet;
use elderpick_entitle::log::Record;
use elderpick_entitle::registry::{self, Denied, Held, Revoked, SeatId, SeatRegistry};
use elderpick_entitle::sheet::LicenceSheet;
use elderpick_entitle::token::{self, Asked, Claims, Flaw};
use tokio::task::spawn_local;

use crate::config::{Config, Entitlement};
use crate::engine::{Decide, Input, Payer, Seated, Token};
use crate::shell::{Shell, span};
use crate::state::Journal;

/// Why a viewer gets no seat.
#[derive(Debug)]
pub enum Barred {
    /// It brought no token.
    NoToken,
    Flawed(Flaw),
    Denied(Denied),
    /// The disk did not keep the seat's record in time.
    Slow,
    /// Use cannot be written down, and the settings say that it is refused then.
    NoLedger,
}

/// Counts since the start.
#[derive(Clone, Copy, Default, Debug, serde::Serialize)]
pub struct Counts {
    pub no_token: u64,
    pub flawed: u64,
    pub slow: u64,
    pub reloads: u64,
    pub bad_reloads: u64,
}

pub struct Seats {
    registry: SeatRegistry,
    keys: KeySet,
    asked: Asked,
    journal: Journal,
    /// Records that the journal has no room for yet.
    left: Vec<Record>,
    settings: Entitlement,
    pub counts: Counts,
}

fn open(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|why| format!("{}: {why}", path.display()))
}

fn read_keys(path: &Path, text: &str) -> Result<KeySet, String> {
    KeySet::read(text.as_bytes()).map_err(|why| format!("{}: {why}", path.display()))
}

impl Seats {
    /// Reads the files of the settings and what is taken. `Err` tells a person what is wrong.
    pub fn open(config: &Config, t: Times) -> Result<Option<Seats>, String> {
        let Some(settings) = config.entitlement.clone() else { return Ok(None) };
        let keys = read_keys(&settings.keys, &open(&settings.keys)?)?;
        let sheet = LicenceSheet::read(&settings.sheet.display().to_string(), &open(&settings.sheet)?)?;
        let rules = registry::Rules {
            me: config.me as u32,
            grace: settings.grace,
            skew: settings.skew,
            linger: settings.linger,
            hold: settings.hold,
            most: settings.seats,
        };
        let mut registry = SeatRegistry::new(rules, sheet);
        if let Some(path) = &settings.revoked {
            registry.revoke(t, Revoked::read(&path.display().to_string(), &open(path)?)?);
        }
        let (journal, found) = Journal::open(&settings.state, settings.sync, span(settings.within))?;
        registry.after(found.last);
        for (seat, licence, holder) in &found.taken {
            registry.find(t, SeatId(*seat), licence, holder);
        }
        if let Some(why) = &found.unsure {
            let hold_s = settings.hold / 1_000_000;
            tracing::warn!(%why, hold_s, "what was taken is not certain: no new seats for the hold");
            registry.close(t);
        }
        if !found.taken.is_empty() {
            tracing::info!(seats = found.taken.len(), "taken before the restart; they count for the hold");
        }
        let asked = Asked {
            audience: settings.audience.clone(),
            issuer: settings.issuer.clone(),
            skew: settings.skew,
        };
        let counts = Counts::default();
        Ok(Some(Seats { registry, keys, asked, journal, left: Vec::new(), settings, counts }))
    }

    /// Hands to the journal what is to be kept, and takes from it whether it can be.
    fn flush(&mut self) {
        self.left.extend(self.registry.take_records());
        if self.journal.give(&self.left) {
            self.left.clear();
        }
        let good = self.journal.kept().borrow().good && self.left.is_empty();
        self.registry.keeps(good);
    }

    pub fn next_end(&self) -> Option<i64> {
        self.registry.next_end()
    }

    /// What operators see, as JSON.
    pub fn show(&self, t: Times) -> serde_json::Value {
        let kept = *self.journal.kept().borrow();
        let c = &self.registry.counts;
        let parts = self.registry.uses(t).into_iter().map(|u| {
            serde_json::json!({ "licence": u.licence, "part": u.part, "gateway": u.gateway,
                "here": u.gateway == self.registry.rules.me, "taken": u.taken, "seats": u.seats })
        });
        let parts: Vec<_> = parts.collect();
        let seats = self.registry.seats(t).into_iter().map(|s| {
            serde_json::json!({ "seat": s.id.0, "licence": s.licence, "holder": s.holder, "token": s.token,
                "state": s.state, "left_ms": s.left / 1000 })
        });
        let seats: Vec<_> = seats.collect();
        serde_json::json!({
            "me": self.registry.rules.me,
            "parts": parts,
            "seats": seats,
            "closed_ms": self.registry.closed_for(t).map(|us| us / 1000),
            "state": { "kept": kept.good, "bytes": kept.length },
            "counts": { "taken": c.taken, "again": c.again, "renewed": c.renewed, "taken_over": c.taken_over,
                "freed": c.freed, "lapsed": c.lapsed, "found": c.found, "full": c.full, "denied": c.denied,
                "sent_on": c.sent_on, "no_token": self.counts.no_token, "flawed": self.counts.flawed,
                "slow": self.counts.slow, "reloads": self.counts.reloads,
                "bad_reloads": self.counts.bad_reloads },
        })
    }
}

/// A seat that a request has until it is answered.
pub(crate) struct Seating<D: Decide + 'static> {
    shell: Rc<Shell<D>>,
    pub seated: Seated,
    pub payer: Payer,
}

impl<D: Decide + 'static> Drop for Seating<D> {
    fn drop(&mut self) {
        let seat = self.seated.seat;
        let plays = self.shell.with_engine(|e| e.has_session(seat));
        self.shell.with_registry(|registry, t| registry.answered(t, seat, plays));
    }
}

/// The part of a viewer's patience that the disk may use up.
const DISK: i64 = 4;

impl<D: Decide + 'static> Shell<D> {
    /// Does something at the registry and carries out what follows from it.
    pub fn with_registry<T>(self: &Rc<Self>, f: impl FnOnce(&mut SeatRegistry, Times) -> T) -> Option<T> {
        let t = self.times();
        let (value, lapsed, moved) = {
            let mut seats = self.seats.borrow_mut();
            let seats = seats.as_mut()?;
            let before = seats.registry.next_end();
            let value = f(&mut seats.registry, t);
            seats.flush();
            (value, seats.registry.take_lapsed(), before != seats.registry.next_end())
        };
        for seat in lapsed {
            self.feed(Input::Lapse { seat });
            // Nothing has it but requests that wait for the disk: they will be told.
        }
        if moved {
            self.wake();
        }
        Some(value)
    }

    fn verified(&self, text: Option<&str>) -> Result<Claims, Barred> {
        let t = self.times();
        let mut seats = self.seats.borrow_mut();
        let seats = seats.as_mut().ok_or(Barred::NoToken)?;
        let Some(text) = text else {
            seats.counts.no_token += 1;
            return Err(Barred::NoToken);
        };
        token::verify(text, &seats.keys, &seats.asked, t.wall).map_err(|flaw| {
            seats.counts.flawed += 1;
            tracing::info!(%flaw, "a token was not taken");
            Barred::Flawed(flaw)
        })
    }

    /// Takes a seat for a request. The seat is the request's until it is dropped.
    pub(crate) async fn seat(
        self: &Rc<Self>,
        text: Option<&str>,
        device: u64,
        class: usize,
        title: &str,
    ) -> Result<Seating<D>, Barred> {
        if self.uses.borrow().as_ref().is_some_and(|uses| uses.refuses()) {
            return Err(Barred::NoLedger);
        }
        let claims = self.verified(text)?;
        let (name, patience) = self.with_engine(|e| {
            let class = &e.config.classes[class];
            (class.name.clone(), class.patience)
        });
        let admitted = self.with_registry(|registry, t| registry.admit(t, &claims, device, &name, title));
        let held = admitted.ok_or(Barred::NoToken)?.map_err(|why| {
            tracing::info!(token = claims.id, licence = claims.licence, ?why, "no seat");
            Barred::Denied(why)
        });
        let Held { seat, takes_over, fresh } = held?;
        if fresh {
            tracing::info!(token = claims.id, licence = claims.licence, seat = seat.0, "seat taken");
        }
        let payer = Payer {
            tenant: claims.tenant.clone(),
            licence: claims.licence.clone(),
            viewer: claims.holder.clone(),
        };
        let seating = Seating { shell: self.clone(), seated: Seated { seat, takes_over }, payer };
        // A seat is used once all that was written so far is kept: its own record is among that.
        let (mut kept, given) = {
            let seats = self.seats.borrow();
            let seats = seats.as_ref().ok_or(Barred::NoToken)?;
            (seats.journal.kept(), seats.journal.given() + seats.left.len() as u64)
        };
        // What the wait gives is a lock on the channel: held on, this thread and the log's would wait for one another.
        let keeping = async { kept.wait_for(|k| k.records >= given).await.is_ok() };
        let keeping = tokio::time::timeout(span(patience / DISK), keeping).await;
        if keeping != Ok(true) {
            if let Some(seats) = self.seats.borrow_mut().as_mut() {
                seats.counts.slow += 1;
            }
            tracing::warn!(seat = seat.0, "the seat's record was not kept in time");
            return Err(Barred::Slow);
        }
        if !self.with_registry(|registry, _| registry.lasts(seat)).unwrap_or(false) {
            return Err(Barred::Denied(Denied::Ended));
        }
        Ok(seating)
    }

    /// A viewer brings another token for a session that plays.
    pub(crate) fn renew(self: &Rc<Self>, text: &str, session: Token) -> Result<(), Barred> {
        let claims = self.verified(Some(text))?;
        let of = self.with_engine(|e| {
            e.seat_of(session).map(|(seat, class, title)| (seat, e.config.classes[class].name.clone(), title))
        });
        let Some((seat, class, title)) = of else { return Ok(()) };
        let renewed = self.with_registry(|registry, t| registry.renew(t, seat, &claims, &class, &title));
        renewed.unwrap_or(Ok(())).map_err(Barred::Denied)
    }

    /// Looks at the watched files from time to time. What cannot be read whole leaves the old in force.
    pub(crate) fn watch_files(self: &Rc<Self>) {
        let Some(settings) = self.seats.borrow().as_ref().map(|s| s.settings.clone()) else { return };
        let watch = |path: &Path, take: fn(&mut Seats, Times, &Path, &str) -> Result<(), String>| {
            let (shell, path, every) = (self.clone(), path.to_owned(), span(settings.reload));
            spawn_local(async move {
                let mut watched = Watched { stamp: stamp(&path), seen: None };
                loop {
                    tokio::time::sleep(every).await;
                    let Some(text) = watched.look(&path).await else { continue };
                    let t = shell.times();
                    let taken = match (&text, &mut *shell.seats.borrow_mut()) {
                        (Ok(text), Some(seats)) => take(seats, t, &path, text),
                        (Err(why), _) => Err(why.clone()),
                        (_, None) => return,
                    };
                    match &taken {
                        Ok(()) => tracing::info!(file = %path.display(), "read anew"),
                        Err(why) => tracing::error!(%why, "not taken; what was read before stands"),
                    }
                    if let Some(seats) = shell.seats.borrow_mut().as_mut() {
                        match taken {
                            Ok(()) => seats.counts.reloads += 1,
                            Err(_) => seats.counts.bad_reloads += 1,
                        }
                    }
                    shell.with_registry(|registry, t| registry.advance(t));
                }
            });
        };
        watch(&settings.keys, |seats, _, path, text| {
            seats.keys = read_keys(path, text)?;
            Ok(())
        });
        watch(&settings.sheet, |seats, t, path, text| {
            let name = path.display().to_string();
            seats.registry.sheet(t, LicenceSheet::read(&name, text)?).map_err(|why| format!("{name}: {why}"))
        });
        if let Some(path) = &settings.revoked {
            watch(path, |seats, t, path, text| {
                seats.registry.revoke(t, Revoked::read(&path.display().to_string(), text)?);
                Ok(())
            });
        }
        // Whether the disk takes records is heard at once.
        let shell = self.clone();
        spawn_local(async move {
            let kept = shell.seats.borrow().as_ref().map(|s| s.journal.kept());
            let Some(mut kept) = kept else { return };
            let mut good = true;
            while let Ok(now) = kept.wait_for(|k| k.good != good).await.map(|k| k.good) {
                good = now;
                shell.with_registry(|_, _| ());
            }
        });
    }
}

type Stamp = Option<(SystemTime, u64)>;

fn stamp(path: &Path) -> Stamp {
    let about = std::fs::metadata(path).ok()?;
    Some((about.modified().ok()?, about.len()))
}

/// A file that is looked at from time to time.
struct Watched {
    /// When it was last read whole, as the file system told it.
    stamp: Stamp,
    seen: Stamp,
}

impl Watched {
    /// Its text if it has changed and then stayed the same for one look: a file that is being written is left alone.
    async fn look(&mut self, path: &Path) -> Option<Result<String, String>> {
        let now = stamp(path);
        let before = std::mem::replace(&mut self.seen, now);
        if now.is_none() || now == self.stamp || now != before {
            return None;
        }
        let file = path.to_owned();
        let text = tokio::task::spawn_blocking(move || open(&file)).await.ok()?;
        if stamp(path) != now {
            return None;
        }
        self.stamp = now;
        Some(text)
    }
}

/// Longest wait that a refusal names.
const MOST_WAIT: Duration = Duration::from_secs(3600);

impl Barred {
    /// Status, text and, where it helps, when to come again. Nothing in it helps to make a token.
    pub fn reply(&self, t: Times) -> (u16, &'static str, Option<Duration>) {
        let soon = Some(Duration::from_secs(1));
        match self {
            Barred::NoToken => (401, "this class needs an entitlement token", None),
            Barred::Flawed(flaw) => (401, flaw.to_viewer(), None),
            Barred::NoLedger => (503, "use cannot be billed now", soon),
            Barred::Slow => (503, "seats cannot be kept now", soon),
            Barred::Denied(why) => match why {
                Denied::Revoked => (403, "the entitlement was withdrawn", None),
                Denied::Class => (403, "the token is not for this class", None),
                Denied::Title => (403, "the token is not for this title", None),
                Denied::Licence => (403, "there is no such licence for this class", None),
                Denied::Ended => (403, "the entitlement has ended", None),
                Denied::Device => (403, "another device plays with this entitlement", None),
                Denied::Full => (503, "all seats of the licence are taken", Some(Duration::from_secs(5))),
                Denied::Ending => (503, "the last session is being ended", soon),
                Denied::Between => (503, "seats are between two terms", soon),
                Denied::Closed { until } => {
                    (503, "seats are closed after a loss of state", Some(span(until - t.mono).min(MOST_WAIT)))
                }
                Denied::Clock => (503, "the gateway's clock is in doubt", Some(Duration::from_secs(5))),
                Denied::NoState => (503, "seats cannot be kept now", Some(Duration::from_secs(5))),
                Denied::Table => (503, "no room now", soon),
                Denied::Elsewhere { .. } => (503, "another gateway counts this seat", soon),
            },
        }
    }
}

/// The seats of a shell, if its settings have any.
pub(crate) type Cell = RefCell<Option<Seats>>;
