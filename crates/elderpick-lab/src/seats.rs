//! Many renewals, retries and expiries against gateways that are killed and come back, and one count of it all: who
//! believes to have a seat, by what gateways answered, against the seats that were granted.
//!
//! kind: tool

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use http::Method;
use tokio::task::spawn_local;

use crate::fleet::{Fleet, HOLD, SEAT_GRACE};
use crate::hosts::Model;
use crate::issuer::{CLASS, Granted, Issuer};
use crate::record::now;
use crate::viewers::call;

/// Licences of the run; viewers want about twice as many seats.
const LICENCES: [Granted; 3] =
    [("course-big", 60, false), ("course-mid", 24, true), ("course-small", 6, false)];
const BLOCK: u32 = 16;
const VIEWERS: usize = 170;

/// What came of a run.
#[derive(Default)]
pub struct Seen {
    pub counts: BTreeMap<&'static str, usize>,
    /// Most holders at once, by licence.
    pub most: BTreeMap<&'static str, usize>,
    pub over: Vec<String>,
    /// What an answer should not have been.
    pub odd: BTreeMap<String, usize>,
    pub kills: usize,
    /// Seats that stayed taken when all had gone.
    pub leaked: usize,
    pub seconds: f64,
    /// Counts that gateways gave at the end.
    pub told: BTreeMap<String, u64>,
}

/// Who believes to have a seat, and until when.
#[derive(Default)]
struct Beliefs {
    until: BTreeMap<&'static str, BTreeMap<String, i64>>,
    seen: Seen,
    operations: usize,
}

impl Beliefs {
    fn has(&mut self, licence: &'static str, holder: &str, until: i64) {
        let now = now();
        let of = self.until.entry(licence).or_default();
        of.retain(|_, until| *until > now);
        // Two clocks of one machine differ by little; belief ends that much earlier.
        of.insert(holder.to_owned(), until - 5_000);
        let holders = of.len();
        let most = self.seen.most.entry(licence).or_default();
        *most = holders.max(*most);
        let granted = LICENCES.iter().find(|l| l.0 == licence).map_or(0, |l| l.1 as usize);
        if holders > granted {
            self.seen.over.push(format!("{holders} holders of {licence}, {granted} granted"));
        }
    }

    fn has_not(&mut self, licence: &'static str, holder: &str) {
        if let Some(of) = self.until.get_mut(licence) {
            of.remove(holder);
        }
    }

    fn count(&mut self, what: &'static str) {
        self.operations += 1;
        *self.seen.counts.entry(what).or_default() += 1;
    }

    fn odd(&mut self, what: String) {
        *self.seen.odd.entry(what).or_default() += 1;
    }
}

struct Run {
    fleet: Rc<Fleet>,
    beliefs: RefCell<Beliefs>,
    stop: Cell<bool>,
}

/// A token that has ended on the way is not taken.
fn ended(code: u16, right: i64) -> bool {
    code == 401 && now() > right - SEAT_GRACE
}

struct Viewer {
    run: Rc<Run>,
    licence: &'static str,
    holder: String,
    sid: String,
    /// A second device's request had no answer that tells whether it plays now.
    unclear: Cell<bool>,
}

/// An answer, by whom, and the session's key if it plays.
struct Answer {
    code: u16,
    gateway: usize,
    session: Option<String>,
}

impl Viewer {
    async fn ask(&self, gateway: usize, token: &str, sid: &str) -> Option<Answer> {
        let to = self.run.fleet.gateways[gateway].address.get()?;
        let headers =
            [("authorization", format!("Bearer {token}")), ("cmcd-session", format!("sid=\"{sid}\""))];
        let path = format!("/watch/{CLASS}/carex/index.m3u8");
        let answer =
            tokio::time::timeout(Duration::from_secs(3), call(Method::GET, to, &path, &headers)).await;
        let (code, headers, _) = answer.ok()?.ok()?;
        let text = |name| headers.get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
        if code == 307 {
            let place = url::Url::parse(&text(http::header::LOCATION)?).ok()?;
            let to = self
                .run
                .fleet
                .gateways
                .iter()
                .position(|g| g.address.get().map(|a| a.port()) == place.port())?;
            return Some(Answer { code, gateway: to, session: None });
        }
        Some(Answer { code, gateway, session: text(http::header::CONTENT_LOCATION) })
    }

    fn unit(&self) -> f64 {
        self.run.fleet.world.unit()
    }

    fn token(&self) -> (String, i64) {
        let lasts = 2_000_000 + (self.unit() * 2e6) as i64;
        let (token, expires) = self.run.fleet.issuer.token(self.licence, &self.holder, lasts);
        (token, expires + SEAT_GRACE)
    }

    fn believes(&self, until: Option<i64>) {
        let mut beliefs = self.run.beliefs.borrow_mut();
        match until {
            Some(until) => beliefs.has(self.licence, &self.holder, until),
            None => beliefs.has_not(self.licence, &self.holder),
        }
    }

    fn count(&self, what: &'static str) {
        self.run.beliefs.borrow_mut().count(what);
    }

    async fn live(self) {
        while !self.run.stop.get() {
            self.sit().await;
            let wait = Duration::from_secs_f64(0.02 + 0.2 * self.unit());
            tokio::time::sleep(wait).await;
        }
    }

    /// Tries to get a seat, and uses it for a while.
    async fn sit(&self) {
        let gateways = self.run.fleet.gateways.len();
        let any = ((self.unit() * gateways as f64) as usize).min(gateways - 1);
        let (mut token, mut right) = self.token();
        let mut until = right;
        let mut answer = self.ask(any, &token, &self.sid).await;
        self.count("first tries");
        if let Some(Answer { code: 307, gateway, .. }) = answer {
            answer = self.ask(gateway, &token, &self.sid).await;
        }
        let Some(Answer { code: 200, gateway: home, session: Some(mut session) }) = answer else {
            if let Some(Answer { code, .. }) = answer.filter(|a| {
                !(matches!(a.code, 503 | 502 | 307)
                    || ended(a.code, right)
                    || a.code == 403 && self.unclear.get())
            }) {
                self.run.beliefs.borrow_mut().odd(format!("first try answered {code}"));
            }
            return;
        };
        self.believes(Some(until));
        self.unclear.set(false);
        while !self.run.stop.get() {
            tokio::time::sleep(Duration::from_secs_f64(0.002 + 0.02 * self.unit())).await;
            let what = self.unit();
            if what < 0.1 {
                // As a player does that gives its playlists' requests a token.
                let fresh = self.token();
                self.count("renewals by playlist");
                let Some(to) = self.run.fleet.gateways[home].address.get() else { return };
                let bearer = [("authorization", format!("Bearer {}", fresh.0))];
                match call(Method::GET, to, &format!("{session}/main.m3u8"), &bearer).await {
                    Ok((200, ..)) => {
                        (token, right, until) = (fresh.0, fresh.1, until.max(fresh.1));
                        self.believes(Some(until));
                    }
                    _ => return,
                }
            } else if what < 0.6 {
                let fresh = self.token();
                self.count("renewals");
                match self.ask(home, &fresh.0, &self.sid).await {
                    Some(Answer { code: 200, session: Some(now), .. }) => {
                        (token, right, session) = (fresh.0, fresh.1, now);
                        until = until.max(right);
                        self.believes(Some(until));
                    }
                    // It may have taken effect or not.
                    _ => return,
                }
            } else if what < 0.8 {
                self.count("retries");
                match self.ask(home, &token, &self.sid).await {
                    Some(Answer { code: 200, session: Some(now), .. }) => session = now,
                    _ => return,
                }
            } else if what < 0.92 {
                let other = (home + 1) % gateways;
                self.count("retries elsewhere");
                if let Some(Answer { code, gateway, .. }) = self.ask(other, &token, &self.sid).await
                    && !(code == 307 && gateway == home)
                    // A gateway that has just come back may not be known, or read the old sheet.
                    && !matches!(code, 503 | 307)
                    && !ended(code, right)
                {
                    self.run.beliefs.borrow_mut().odd(format!("a retry elsewhere was answered {code}"));
                }
            } else if what < 0.95 {
                self.count("second devices");
                let second = format!("{}-2", self.sid);
                match self.ask(home, &token, &second).await {
                    Some(Answer { code: 200, .. }) if self.licence != "course-mid" => {
                        self.unclear.set(true);
                        // The right may have ended meanwhile: then the seat was free.
                        if now() > until {
                            return;
                        }
                        self.run.beliefs.borrow_mut().odd("a second device plays".into());
                    }
                    Some(Answer { code: 200, .. }) => {
                        // It plays there now; the first device comes back and takes over in its turn.
                        let Some(Answer { code: 200, session: Some(now), .. }) =
                            self.ask(home, &token, &self.sid).await
                        else {
                            return;
                        };
                        session = now;
                    }
                    Some(Answer { code: 403, .. }) if self.licence != "course-mid" => {}
                    _ => {
                        self.unclear.set(true);
                        return;
                    }
                }
            } else if what < 0.955 {
                self.count("expiries");
                let left = (until - now() + 300_000).max(0) as u64;
                tokio::time::sleep(Duration::from_micros(left)).await;
                let Some(to) = self.run.fleet.gateways[home].address.get() else { return };
                let path = format!("{session}/main.m3u8");
                if let Ok((code, ..)) = call(Method::GET, to, &path, &[]).await
                    && !matches!(code, 403 | 410)
                {
                    self.run.beliefs.borrow_mut().odd(format!("after expiry a playlist was answered {code}"));
                }
                return;
            } else if what < 0.975 {
                self.count("leaves");
                self.believes(None);
                if let Some(to) = self.run.fleet.gateways[home].address.get() {
                    let _ = call(Method::DELETE, to, &session, &[]).await;
                }
                return;
            }
        }
    }
}

/// Runs until so many operations were made, then lets all go home and looks what is left. A sheet that grants `oversell`
/// times what was sold shows that the count sees it.
pub async fn run(
    operations: usize,
    kill_every: Duration,
    seed: u64,
    program: PathBuf,
    (log, oversell): (bool, u32),
) -> Result<Seen, String> {
    // Room is no question here.
    let model = Model {
        link: 1e9,
        uplink: 1e10,
        places: 100_000,
        warm_up: 1_000,
        segments: 3600,
        set_up: 200,
        ..Model::default()
    };
    let mut issuer = Issuer::new(LICENCES.to_vec(), BLOCK, 3);
    issuer.over = oversell;
    let fleet = Fleet::start_with(model, (4, 2, 3), seed, None, issuer, program, log).await?;
    let run = Rc::new(Run { fleet: fleet.clone(), beliefs: RefCell::default(), stop: Cell::new(false) });
    let began = std::time::Instant::now();
    let mut viewers = Vec::new();
    for k in 0..VIEWERS {
        let licence = LICENCES[[0, 0, 0, 0, 0, 1, 1, 2][k % 8]].0;
        let (holder, sid) = (format!("viewer-{k}"), format!("s{k}"));
        viewers.push(spawn_local(
            Viewer { run: run.clone(), licence, holder, sid, unclear: Cell::new(false) }.live(),
        ));
    }
    let killer = {
        let run = run.clone();
        spawn_local(async move {
            while !run.stop.get() {
                tokio::time::sleep(kill_every.mul_f64(0.5 + run.fleet.world.unit())).await;
                let k = (run.fleet.world.unit() * run.fleet.gateways.len() as f64) as usize;
                let k = k.min(run.fleet.gateways.len() - 1);
                run.fleet.kill(k).await;
                run.beliefs.borrow_mut().seen.kills += 1;
                tokio::time::sleep(Duration::from_secs_f64(0.05 + 0.3 * run.fleet.world.unit())).await;
                if let Err(why) = run.fleet.start_gateway(k).await {
                    eprintln!("gateway {k} does not come back: {why}");
                }
            }
        })
    };
    while run.beliefs.borrow().operations < operations {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    run.stop.set(true);
    let seconds = began.elapsed().as_secs_f64();
    let _ = killer.await;
    for viewer in viewers {
        let _ = viewer.await;
    }
    // The longest of all: what a killed gateway let play counts for the hold after it came back.
    tokio::time::sleep(Duration::from_micros(HOLD as u64) + Duration::from_secs(2)).await;
    let mut seen = std::mem::take(&mut run.beliefs.borrow_mut().seen);
    seen.seconds = seconds;
    for k in 0..fleet.gateways.len() {
        let shown = fleet.seats(k).await?;
        seen.leaked += shown["seats"].as_array().map_or(0, Vec::len);
        for (name, count) in shown["counts"].as_object().into_iter().flatten() {
            *seen.told.entry(name.clone()).or_default() += count.as_u64().unwrap_or(0);
        }
    }
    fleet.end().await;
    Ok(seen)
}

impl Seen {
    pub fn good(&self) -> bool {
        self.over.is_empty() && self.odd.is_empty() && self.leaked == 0
    }

    pub fn table(&self) -> String {
        let mut out = String::new();
        let total: usize = self.counts.values().sum();
        for (what, count) in &self.counts {
            out += &format!("{what:<20} {count:>8}\n");
        }
        out += &format!(
            "{:<20} {total:>8}  in {:.1} s, gateways killed {} times\n\n",
            "all", self.seconds, self.kills
        );
        for (name, seats, _) in LICENCES {
            let most = self.most.get(name).copied().unwrap_or(0);
            out += &format!("{name:<20} {seats:>4} seats granted, {most:>4} in use at most\n");
        }
        out += &format!(
            "over granted {} times, seats left when all had gone {}\n",
            self.over.len(),
            self.leaked
        );
        let names: BTreeSet<&String> = self.told.keys().collect();
        let told: Vec<String> = names.iter().map(|n| format!("{n} {}", self.told[*n])).collect();
        out += &format!("gateways since their last start: {}\n", told.join(", "));
        for (what, count) in &self.odd {
            out += &format!("odd: {what}, {count} times\n");
        }
        self.over.iter().take(5).fold(out, |out, over| out + &format!("over: {over}\n"))
    }
}
