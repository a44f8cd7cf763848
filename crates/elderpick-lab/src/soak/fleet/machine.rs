//! A machine that all gateways share: a media host towards each of them, behind a proxy, on one link.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use super::plan::{FleetPlan, MachineTrouble, Trouble};
use super::proxy::Proxy;
use crate::platform::Listing;
use crate::soak::host::RandomHost;
use crate::soak::load::MachineLoad;
use crate::soak::plan::LOOKS_EVERY;
use crate::soak::record::{Record, What};

/// Under this share of their rates viewers begin to leave.
const LEAVE_UNDER: f64 = 0.75;
/// Over this share nothing is told.
const FULL_DELIVERY: f64 = 0.98;
/// The parts of a trial's random numbers that are proxies'.
const FIRST_PROXY_PART: u64 = 10_000;

/// The machine as one gateway has it.
struct Face {
    host: RefCell<RandomHost>,
    proxy: Proxy,
    record: Record,
}

/// A machine.
pub(super) struct Machine {
    /// Its name and number in the list: those of the process that runs there now.
    number: Cell<usize>,
    born_ms: Cell<u64>,
    faces: Vec<Face>,
    load: Rc<MachineLoad>,
    plan: FleetPlan,
}

impl Machine {
    /// Starts one towards each gateway, which writes to that gateway's record.
    pub async fn start(number: usize, plan: &FleetPlan, records: &[Record]) -> std::io::Result<Rc<Machine>> {
        let load = Rc::new(MachineLoad::new(plan.capacity, plan.probe_cost));
        let mut faces = Vec::new();
        for (gateway, record) in records.iter().enumerate() {
            let of_gateway = plan.of_gateway(gateway);
            let host = RandomHost::start_on(number, &of_gateway, record, load.clone()).await?;
            let random = of_gateway.random(FIRST_PROXY_PART + number as u64);
            let proxy = Proxy::start(host.address, plan.proxy, random).await?;
            faces.push(Face { host: RefCell::new(host), proxy, record: record.clone() });
        }
        let (number, born_ms) = (Cell::new(number), Cell::new(0));
        Ok(Rc::new(Machine { number, born_ms, faces, load, plan: plan.clone() }))
    }

    fn name(&self) -> String {
        format!("s-{}", self.number.get())
    }

    fn address(&self, gateway: usize) -> SocketAddr {
        self.faces[gateway].proxy.address()
    }

    /// The machine as the list of a gateway names it.
    pub fn listing(&self, gateway: usize, health: &str) -> Listing {
        Listing {
            name: self.name(),
            address: self.address(gateway),
            health: health.to_owned(),
            born_ms: self.born_ms.get(),
        }
    }

    /// Most probes that it got within a second, from all gateways together.
    pub fn most_probes(&self) -> usize {
        self.load.most_probes()
    }

    fn record(&self, what: What) {
        self.faces.iter().for_each(|face| face.record.add(what.clone()));
    }

    fn die(&self) {
        for face in &self.faces {
            face.proxy.die();
            face.host.borrow().die();
        }
    }

    fn born_now(&self) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.born_ms.set(born.as_millis() as u64);
    }

    /// The same name runs again at the same address.
    async fn come_back(&self) -> std::io::Result<()> {
        self.born_now();
        for face in &self.faces {
            let host = face.host.borrow().clone();
            host.come_back().await?;
            face.proxy.come_back(host.address).await?;
        }
        Ok(())
    }

    /// Another name runs at the same address.
    async fn become_another(&self, number: usize) -> std::io::Result<()> {
        self.born_now();
        self.number.set(number);
        for (gateway, face) in self.faces.iter().enumerate() {
            let of_gateway = self.plan.of_gateway(gateway);
            let host = RandomHost::start_on(number, &of_gateway, &face.record, self.load.clone()).await?;
            face.proxy.come_back(host.address).await?;
            *face.host.borrow_mut() = host;
        }
        Ok(())
    }

    /// Viewers look at their delivery and some leave, for as long as the trial runs.
    pub async fn watch_delivery(self: Rc<Self>) {
        loop {
            tokio::time::sleep(LOOKS_EVERY).await;
            let share = self.load.delivered_share();
            for face in &self.faces {
                let host = face.host.borrow();
                if share < FULL_DELIVERY {
                    host.tell_delivery(share);
                }
                if share < LEAVE_UNDER {
                    host.lose_viewers(self.plan.leaves_when_short);
                }
            }
        }
    }

    /// Lets its trouble happen. `tell` tells all gateways' lists of it: what they name it, for each gateway, and the
    /// number of the host that is over by that.
    pub async fn suffer(
        self: Rc<Self>,
        trouble: MachineTrouble,
        successor: usize,
        tell: impl Fn(&dyn Fn(usize) -> Vec<Listing>, Option<usize>),
    ) -> std::io::Result<()> {
        tokio::time::sleep(trouble.at).await;
        let before = self.number.get();
        match trouble.trouble {
            Trouble::Replaced { gone_for } => {
                self.die();
                tokio::time::sleep(gone_for).await;
                self.come_back().await?;
                tokio::time::sleep(trouble.told_after).await;
                tell(&|gateway| vec![self.listing(gateway, "Ready")], Some(before));
            }
            Trouble::Succeeded { gone_for, drains_for } => {
                if !drains_for.is_zero() {
                    tell(&|gateway| vec![self.listing(gateway, "Terminating")], None);
                    tokio::time::sleep(drains_for).await;
                }
                let gone: Vec<_> =
                    (0..self.faces.len()).map(|gateway| self.listing(gateway, "Gone")).collect();
                self.die();
                tokio::time::sleep(gone_for).await;
                self.become_another(successor).await?;
                tokio::time::sleep(trouble.told_after).await;
                tell(&|gateway| vec![gone[gateway].clone()], None);
                tell(&|gateway| vec![self.listing(gateway, "Ready")], Some(before));
            }
            Trouble::Hangs { lasts } => {
                self.record(What::HostSuspended { host: before });
                self.faces.iter().for_each(|face| face.proxy.hang());
                tokio::time::sleep(lasts).await;
                self.heal(before);
            }
            Trouble::CutOff { lasts } => {
                self.record(What::HostSuspended { host: before });
                for face in &self.faces {
                    face.proxy.cut_off().await?;
                }
                tokio::time::sleep(lasts).await;
                self.heal(before);
            }
        }
        Ok(())
    }

    fn heal(&self, host: usize) {
        self.faces.iter().for_each(|face| face.proxy.heal());
        self.record(What::HostResumed { host });
    }
}
