//! A gateway's process, and its configuration.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::task::spawn_local;

use super::{Journal, PATIENCE, fault};

/// A gateway's process with its configuration.
pub struct Gateway {
    pub address: SocketAddr,
    pub child: Child,
    config: PathBuf,
}

/// A configuration with two classes, `free` and `paid`, and the hosts that the journal has told.
pub fn config(journal: &Journal, sockets: usize) -> Value {
    let told = journal.told.borrow().clone();
    let profile = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "group": "all", "on_time_us": 3_000_000, "hard_limit_us": 8_000_000,
               "window_us": 5_000_000, "worth": 1.0, "stream": true})
    };
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "journal": journal.address.to_string(),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets},
        "known": {"pos": told.len(), "entries": told},
        "settings": {
            "me": 0, "balancers": 1, "az": 0, "zones": ["here"], "flavors": ["one"],
            "profiles": [profile("free", "free"), profile("paid", "single_shot")],
            "extra": {"cells": 1, "cabinets": 1, "class_floor": [0, 0], "class_scale": [1.0, 1.0],
                      "class_seats": [0, 0], "class_top": [1, 1], "kb_per_weight": 1000.0,
                      "places_by_kind": [500], "rung_kb": [100.0, 200.0], "worth_by_rung": [0.5, 1.0],
                      "see_us": 400_000},
            "guarantees": {},
            "limits": {"max_attempts": 4, "max_retry_after_us": 300_000, "may_probe": true, "retry_after": true,
                       "connect_timeout_us": 250_000, "conn_idle_us": 30_000_000},
            "reporting": {"how": "probe", "names": ["utilization"]},
            "registry_mode": "automatic", "weight_kind": "nominal"
        }
    })
}

impl Gateway {
    /// Starts `program gateway --platform` with this configuration, kept in `folder`.
    pub async fn start(program: &Path, folder: &Path, config: &Value) -> Result<Gateway, String> {
        Gateway::start_logged(program, folder, config, None).await
    }

    /// Starts it as [`Gateway::start`] does; with a `log` all that it logs goes there, at the level `debug`.
    pub async fn start_logged(
        program: &Path,
        folder: &Path,
        config: &Value,
        log: Option<&Path>,
    ) -> Result<Gateway, String> {
        let log = log.map(|log| std::fs::File::create(log).map_err(fault)).transpose()?;
        let log = log.map(|log| ("debug", Stdio::from(log)));
        Gateway::start_logging_to(program, folder, config, log).await
    }

    /// Starts it as [`Gateway::start`] does; with a `log` all that it logs at this level goes there.
    pub async fn start_logging_to(
        program: &Path,
        folder: &Path,
        config: &Value,
        log: Option<(&str, Stdio)>,
    ) -> Result<Gateway, String> {
        let path = folder.join("config.json");
        std::fs::write(&path, config.to_string()).map_err(fault)?;
        // Under the limit that the platform sets for it.
        let sockets = config["limits"]["sockets"].as_u64().ok_or("limits.sockets")?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(format!("ulimit -n {sockets} && exec \"$0\" gateway --platform \"$1\""));
        command.arg(program).arg(&path).kill_on_drop(true);
        if let Some((level, log)) = log {
            command.env("ELDERPICK_LOG", level).stderr(log);
        }
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn().map_err(fault)?;
        let mut lines = BufReader::new(child.stdout.take().ok_or("no standard output")?).lines();
        let line = tokio::time::timeout(PATIENCE, lines.next_line()).await.map_err(fault)?.map_err(fault)?;
        let address = line.as_deref().and_then(|l| l.strip_prefix("listening ")?.parse().ok());
        let address = address.ok_or_else(|| format!("the gateway did not start: {line:?}"))?;
        // What else it prints is read and dropped.
        spawn_local(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        Ok(Gateway { address, child, config: path })
    }

    /// Puts another configuration in place.
    pub fn replace(&self, config: &Value) -> Result<(), String> {
        std::fs::write(&self.config, config.to_string()).map_err(fault)
    }

    /// Stops the process where it is: what happens until [`Gateway::resume`] has all happened when it goes on.
    pub async fn pause(&self) -> Result<(), String> {
        self.signal(nix::sys::signal::Signal::SIGSTOP)?;
        let id = self.child.id().ok_or("it has ended")?;
        let stopped = async {
            loop {
                let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).map_err(fault)?;
                if stat.rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('T')) {
                    return Ok(());
                }
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        tokio::time::timeout(PATIENCE, stopped).await.map_err(fault)?
    }

    pub fn resume(&self) -> Result<(), String> {
        self.signal(nix::sys::signal::Signal::SIGCONT)
    }

    pub fn signal(&self, signal: nix::sys::signal::Signal) -> Result<(), String> {
        let id = self.child.id().ok_or("it has ended")?;
        nix::sys::signal::kill(nix::unistd::Pid::from_raw(id as i32), signal).map_err(fault)
    }
}
