//! Processes of many gateways that are started together, among the same scripted hosts, on loopback.

use std::time::Duration;

use elderpick_lab::platform::{Gateway, Host, Journal, Viewers, config};
use serde_json::json;

mod common;

use common::{folder, program, run};

const GATEWAYS: usize = 24;
const HOSTS: usize = 4;
/// Hosts tell a new load so often at most: what asks them oftener learns nothing.
const LOADS_PER_SECOND: usize = 10;
/// How long probes are counted for: hosts that say nothing are tested after two seconds.
const COUNTED: Duration = Duration::from_millis(2_000);
const SAMPLE: Duration = Duration::from_millis(100);
const SAMPLES_PER_SECOND: usize = 10;

fn probes(hosts: &[Host]) -> usize {
    hosts.iter().map(|host| host.seen().iter().filter(|seen| seen.0 == "OPTIONS").count()).sum()
}

/// Found as the cause of incident 316001: what all gateways ask of hosts in one moment takes from sessions there.
#[test]
fn processes_that_start_together_probe_all_hosts_at_once() {
    run(async {
        let mut hosts = Vec::new();
        for number in 0..HOSTS {
            hosts.push(Host::start(&format!("s-{number}")).await.unwrap());
        }
        let journal = Journal::start().await.unwrap();
        journal.tell(true, &hosts.iter().map(|host| (host, "Ready")).collect::<Vec<_>>());
        let mut gateways = Vec::new();
        for me in 0..GATEWAYS {
            let folder = folder(&format!("probe-storm-{me}"));
            let mut config = config(&journal, 256);
            config["settings"]["me"] = json!(me);
            config["settings"]["balancers"] = json!(GATEWAYS);
            config["seed"] = json!(format!("{:016x}", 316_001 + me));
            let gateway = Gateway::start(&program(), &folder, &config).await.unwrap();
            let _ = std::fs::remove_dir_all(&folder);
            gateways.push(gateway);
        }
        let mut viewers = Vec::new();
        for (me, gateway) in gateways.iter().enumerate() {
            let mut client = Viewers::connect(gateway.address).await.unwrap();
            for (number, host) in hosts.iter().enumerate() {
                let session = (me * HOSTS + number + 1) as u64;
                client.ask(session, "free", Some(&host.name)).await.unwrap();
            }
            viewers.push(client);
        }
        let mut counts = vec![probes(&hosts)];
        let end = tokio::time::Instant::now() + COUNTED;
        while tokio::time::Instant::now() < end {
            tokio::time::sleep(SAMPLE).await;
            counts.push(probes(&hosts));
        }
        let last = *counts.last().unwrap();
        let before = |k: usize| counts[k.saturating_sub(SAMPLES_PER_SECOND)];
        let most = counts.iter().enumerate().map(|(k, count)| count - before(k)).max().unwrap();
        assert!(most <= HOSTS * LOADS_PER_SECOND, "{most} probes at {HOSTS} hosts within a second");
        assert!(last >= HOSTS, "hosts are asked for their loads: {last}");
    });
}
