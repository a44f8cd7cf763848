//! One gateway of a fleet: its processes behind one another, its viewers, its journal.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::{Value, json};
use tokio::task::spawn_local;

use super::plan::{JournalTrouble, LifeEnd, LifePlan};
use crate::platform::{Gateway, Journal, Listing, Speaks, Viewers};
use crate::soak::plan::Plan;
use crate::soak::record::{Record, What};
use crate::soak::trial::{self, TrialError};
use crate::soak::viewers::{self, Shared};

/// The sessions of one gateway's viewers are numbered so far apart from the next one's.
const SESSIONS_PER_GATEWAY: u64 = 1 << 32;
/// What a journal in trouble would have told counts as told so much later.
const TOLD_IN_TROUBLE_AFTER: Duration = Duration::from_secs(4);
/// Gateways of a fleet that start at one moment, and the time between two beyond these.
const START_AT_ONCE: usize = 40;
const START_EVERY: Duration = Duration::from_millis(10);
/// Pause between two tests of a gateway that has just started.
const TEST_AGAIN: Duration = Duration::from_millis(5);

/// One gateway of a fleet.
pub(super) struct FleetGateway {
    number: usize,
    plan: Plan,
    record: Record,
    folder: PathBuf,
    program: PathBuf,
    /// The journal that tells it of the list now.
    journal: RefCell<Rc<Journal>>,
    /// What happens to its journal, and when.
    pub journal_trouble: Option<(Duration, JournalTrouble)>,
    gateways: usize,
}

impl FleetGateway {
    /// A gateway that has not started yet; its files are kept in `folder`.
    pub async fn new(
        number: usize,
        gateways: usize,
        plan: Plan,
        record: Record,
        (program, folder): (&Path, &Path),
    ) -> Result<FleetGateway, TrialError> {
        let folder = folder.join(format!("gateway-{number}"));
        std::fs::create_dir_all(&folder)?;
        let journal = Journal::start().await.map_err(TrialError::Gateway)?;
        let (journal, program) = (RefCell::new(Rc::new(journal)), program.to_owned());
        let journal_trouble = None;
        Ok(FleetGateway { number, plan, record, folder, program, journal, journal_trouble, gateways })
    }

    /// Notes that its list has told that a host is over: at once, or when that counts as told.
    pub fn note_replaced(&self, host: usize) {
        let delay = self.journal_trouble.map_or(Duration::ZERO, |_| TOLD_IN_TROUBLE_AFTER);
        let record = self.record.clone();
        spawn_local(async move {
            tokio::time::sleep(delay).await;
            record.add(What::ReplacementListed { host });
        });
    }

    /// Lets the trouble of its journal happen. A journal that it is told of meanwhile has none.
    pub async fn suffer_journal(self: Rc<Self>) {
        let Some((at, trouble)) = self.journal_trouble else { return };
        tokio::time::sleep(at).await;
        let journal = self.journal.borrow().clone();
        let speaks_for = |speaks, lasts| {
            let journal = journal.clone();
            async move {
                journal.speaks.set(speaks);
                journal.break_off();
                tokio::time::sleep(lasts).await;
                journal.speaks.set(Speaks::Well);
            }
        };
        match trouble {
            JournalTrouble::BreaksOff => journal.break_off(),
            JournalTrouble::FallsSilent => journal.fall_silent(),
            JournalTrouble::Closes { lasts } => speaks_for(Speaks::Closing, lasts).await,
            JournalTrouble::Mute { lasts } => speaks_for(Speaks::NotAtAll, lasts).await,
        }
    }

    /// Tells its list of hosts.
    pub fn tell(&self, whole: bool, listings: &[Listing]) {
        self.journal.borrow().tell_listings(whole, listings);
    }

    fn configuration(&self, address: Option<SocketAddr>) -> Value {
        let mut configuration = trial::configuration(&self.plan, &self.journal.borrow());
        configuration["name"] = json!(format!("n{}", self.number));
        configuration["settings"]["me"] = json!(self.number);
        configuration["settings"]["balancers"] = json!(self.gateways);
        if let Some(address) = address {
            configuration["listen"] = json!(address.to_string());
        }
        configuration
    }

    /// The log of one of its processes.
    fn log_path(&self, life: usize) -> PathBuf {
        self.folder.join(format!("life-{life}.log"))
    }

    async fn start(&self, life: usize, address: Option<SocketAddr>) -> Result<Gateway, TrialError> {
        let configuration = self.configuration(address);
        let log = self.log_path(life);
        let gateway = Gateway::start_logged(&self.program, &self.folder, &configuration, Some(&log)).await;
        let gateway = gateway.map_err(TrialError::Gateway)?;
        self.record.add(What::Started);
        pass_first_test(gateway.address).await?;
        Ok(gateway)
    }

    /// Runs its processes behind one another, to the end of the last. Those of a large fleet do not all start at one
    /// moment: this program would run late.
    pub async fn run(self: Rc<Self>, lives: Vec<LifePlan>) -> Result<(), TrialError> {
        tokio::time::sleep(START_EVERY * self.number.saturating_sub(START_AT_ONCE) as u32).await;
        let mut gateway = self.start(0, None).await?;
        let first = (self.number as u64 + 1) * SESSIONS_PER_GATEWAY;
        let shared = Shared::numbered_from(first, &self.plan, &self.record, gateway.address);
        let viewers: Vec<_> = (0..self.plan.connections)
            .map(|number| spawn_local(viewers::keep(shared.clone(), number)))
            .collect();
        let last = lives.len().saturating_sub(1);
        for (number, life) in lives.iter().enumerate() {
            if number > 0 {
                gateway = self.start(number, Some(shared.address)).await?;
                spawn_local(viewers::hand_over(shared.clone(), trial::standing(&self.record)));
                shared.connects.set(true);
            }
            self.serve(&gateway, life).await?;
            match life.end {
                LifeEnd::Terminated => {
                    trial::terminate(&mut gateway, &shared, life.signals_again_after).await?
                }
                LifeEnd::Killed => {
                    gateway.signal(Signal::SIGKILL).map_err(TrialError::Gateway)?;
                    self.record.add(What::Killed);
                    shared.connects.set(false);
                    gateway.child.wait().await?;
                }
            }
            if number < last {
                tokio::time::sleep(life.gone_for).await;
            }
        }
        shared.asks.set(false);
        shared.finished.set(true);
        tokio::time::sleep(trial::SETTLES).await;
        viewers.iter().for_each(|task| task.abort());
        Ok(())
    }

    /// Lets a process run for its time; it follows another journal at each SIGHUP.
    async fn serve(&self, gateway: &Gateway, life: &LifePlan) -> Result<(), TrialError> {
        let began = tokio::time::Instant::now();
        let mut hang_ups = life.hang_ups.clone();
        hang_ups.sort_unstable();
        for at in hang_ups {
            tokio::time::sleep_until(began + at).await;
            let next = Journal::start().await.map_err(TrialError::Gateway)?;
            next.succeed(&self.journal.borrow());
            *self.journal.borrow_mut() = Rc::new(next);
            gateway.replace(&self.configuration(Some(gateway.address))).map_err(TrialError::Gateway)?;
            gateway.signal(Signal::SIGHUP).map_err(TrialError::Gateway)?;
        }
        tokio::time::sleep_until(began + life.runs_for).await;
        Ok(())
    }
}

/// The front admits a gateway once it has passed a test.
async fn pass_first_test(address: SocketAddr) -> Result<(), TrialError> {
    loop {
        let mut front = Viewers::connect(address).await.map_err(TrialError::Gateway)?;
        if front.test().await.map_err(TrialError::Gateway)? {
            return Ok(());
        }
        tokio::time::sleep(TEST_AGAIN).await;
    }
}
