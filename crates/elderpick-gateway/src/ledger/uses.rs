//! What the engine tells of sessions, as records.

use std::collections::HashMap;

use elderpick_entitle::Times;
use elderpick_ledger::Micros;
use elderpick_ledger::accounts::{Facts, Record};
use serde_json::Value;
use tokio::sync::oneshot;

use super::{Command, Writer};
use crate::config;
use crate::engine::{Token, Use};

/// The sessions that play, as the ledger is told of them.
pub(crate) struct Uses {
    pub(super) writer: Writer,
    pub settings: config::Ledger,
    /// When each began, on the engine's clock.
    pub(super) open: HashMap<Token, Micros>,
}

impl Uses {
    pub fn open(config: &config::Config) -> Result<Option<Uses>, String> {
        let Some(settings) = config.ledger.clone() else { return Ok(None) };
        let writer = Writer::start(&config.name, &settings)?;
        Ok(Some(Uses { writer, settings, open: HashMap::new() }))
    }

    /// Writes down what the engine tells.
    pub fn told(&mut self, t: Times, class: &str, what: Use) {
        let record = match what {
            Use::Began { session, payer, title, rung, .. } => {
                self.open.insert(session, t.mono);
                let facts = Facts {
                    tenant: payer.tenant,
                    licence: payer.licence,
                    class: class.into(),
                    title,
                    viewer: payer.viewer,
                    started: t.wall,
                };
                Record::Begun { session: session.to_string(), facts, rung }
            }
            Use::Rung { session, rung } => {
                let Some(began) = self.open.get(&session) else { return };
                Record::Rung { session: session.to_string(), at: t.mono - began, rung }
            }
            Use::Over { session, at, tries, outcome, bytes } => {
                let Some(began) = self.open.remove(&session) else { return };
                Record::Over {
                    session: session.to_string(),
                    span: (at - began).max(0),
                    tries,
                    outcome,
                    bytes,
                }
            }
        };
        self.writer.give(vec![record]);
    }

    /// Marks how far all that plays has come, in pieces that fit a line.
    pub fn mark(&self, t: Times) {
        let all: Vec<(String, Micros)> =
            self.open.iter().map(|(s, began)| (s.to_string(), t.mono - began)).collect();
        let marks = all.chunks(500).map(|list| Record::Marks { list: list.to_vec() });
        self.writer.give(marks.collect());
    }

    /// Whether licensed classes are to be refused now.
    pub fn refuses(&self) -> bool {
        self.settings.full == config::Full::Refuse && !self.writer.good()
    }

    pub fn ask(&self, command: Command) -> oneshot::Receiver<Result<Value, String>> {
        self.writer.ask(command)
    }
}
