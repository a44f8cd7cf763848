//! A gateway's process on the platform's wire among scripted hosts, viewers and journal, on loopback.

#![allow(dead_code)]

use std::path::PathBuf;

use elderpick_lab::platform::{Gateway, Host, Journal, PATIENCE, config};
use elderpick_platform::viewer::{Message, code};

pub fn program() -> PathBuf {
    env!("CARGO_BIN_EXE_elderpick-lab").into()
}

/// An empty folder of this test's.
pub fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("elderpick-platform-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

pub struct World {
    pub hosts: Vec<Host>,
    pub journal: Journal,
    pub gateway: Gateway,
    folder: PathBuf,
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub async fn world(name: &str, hosts: usize, sockets: usize) -> World {
    let mut all = Vec::new();
    for k in 0..hosts {
        all.push(Host::start(&format!("s-{k}")).await.unwrap());
    }
    world_of(name, all, Journal::start().await.unwrap(), sockets, |_| {}).await
}

/// A gateway with these hosts and this journal, its configuration changed as told.
pub async fn world_of(
    name: &str,
    hosts: Vec<Host>,
    journal: Journal,
    sockets: usize,
    change: impl FnOnce(&mut serde_json::Value),
) -> World {
    journal.tell(true, &hosts.iter().map(|host| (host, "Ready")).collect::<Vec<_>>());
    let folder = folder(name);
    let mut config = config(&journal, sockets);
    change(&mut config);
    let gateway = Gateway::start(&program(), &folder, &config).await.unwrap();
    World { hosts, journal, gateway, folder }
}

pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Asks until `holds`, for as long as anything is waited for.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let wait = async {
        while !holds() {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    };
    assert!(tokio::time::timeout(PATIENCE, wait).await.is_ok(), "{what}");
}

pub fn described(message: &Message) -> Vec<u8> {
    let found = message.parameters().map(Result::unwrap).find(|(code, _)| *code == code::DESCRIPTION);
    found.unwrap().1.to_vec()
}

pub fn host_saw(world: &World, method: &str, session: u64) -> Vec<(String, Option<String>)> {
    let seen = world.hosts.iter().flat_map(|host| host.seen().into_iter().map(|s| (host.name.clone(), s)));
    let fits = seen.filter(|(_, (m, s, _))| m == method && *s == session);
    fits.map(|(host, (_, _, detail))| (host, detail)).collect()
}
