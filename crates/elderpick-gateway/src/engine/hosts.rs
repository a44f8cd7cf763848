//! Media hosts: the list, and what they tell while sessions play.
//!
//! kind: decisions

use elderpick_core::api::{Event, ListKind, Micros, Note, Report, ServerId, ServerState, Status};

use super::{Decide, Engine, Output, Said, Session, State};
use crate::membership::Told;

impl<D: Decide> Engine<D> {
    /// Whether all that is listened to has said which process it is.
    pub fn hears_all(&self) -> bool {
        self.deaf.is_empty()
    }

    pub(super) fn follow(&mut self, server: &ServerId) {
        if self.followed.insert(server.clone()) {
            self.deaf.insert(server.clone());
            self.out.push(Output::Follow { server: server.clone() });
        }
    }

    pub(super) fn list(&mut self, now: Micros, kind: ListKind, servers: Vec<Told>) {
        let (entries, unknown) = self.members.list(kind, servers);
        for server in unknown {
            tracing::warn!(server, "in the list but not in the inventory");
        }
        self.counts.unknown_servers = self.members.unknown_told;
        let up = entries.iter().filter(|e| e.state == ServerState::Up).map(|e| e.server.clone());
        for server in up.collect::<Vec<_>>() {
            self.follow(&server);
        }
        self.tell(now, Event::List { kind, entries });
    }

    pub(super) fn said(&mut self, now: Micros, server: ServerId, said: Said) {
        let there = |s: &Session| s.server.as_ref() == Some(&server);
        let note = match said {
            Said::Delivered(share) => Note::Delivered(share),
            Said::Link(asked) => Note::LinkAsked(asked),
            Said::Uplink(asked) => Note::UplinkAsked(asked),
            Said::Ended(alias, bytes) => {
                let id = self.aliases.get(&alias).copied();
                let Some(id) = id.filter(|id| self.sessions.get(id).is_some_and(there)) else { return };
                if let Some(session) = self.sessions.get_mut(&id) {
                    session.bytes = bytes;
                }
                // While it is placed the attempt's own answer decides.
                if self.sessions[&id].plays() {
                    self.ended(now, id, Status::Cancelled);
                }
                return;
            }
            Said::Broke => {
                self.deaf.insert(server);
                return;
            }
            Said::Began(at) => {
                self.deaf.remove(&server);
                // While the list is not known all servers pass for cold, and this must not end that.
                let entry = self.members.began(&server, at.min(now));
                if let Some(entry) = entry.filter(|_| self.members.heard()) {
                    self.tell(now, Event::List { kind: ListKind::Changes, entries: vec![entry] });
                }
                return;
            }
            Said::Lost => {
                self.deaf.remove(&server);
                *self.falls.entry(server.clone()).or_default() += 1;
                let playing = |s: &Session| there(s) && !matches!(s.state, State::Placing);
                let ids: Vec<_> =
                    self.sessions.iter().filter(|(_, s)| playing(s)).map(|(id, _)| *id).collect();
                self.followed.remove(&server);
                if ids.is_empty() {
                    // Nothing was lost, but a host that answers no more is known to be so.
                    let (status, report) = (Status::ConnectError, Report::default());
                    return self.tell(now, Event::Probed { server, status, report });
                }
                self.counts.lost += ids.len() as u64;
                return ids.into_iter().for_each(|id| self.ended(now, id, Status::Reset));
            }
        };
        // The core takes what is told of a server with any session there.
        let id = self.sessions.iter().filter(|(_, s)| there(s)).map(|(id, _)| *id).next();
        if let Some(id) = id {
            self.tell(now, Event::Noted { id, server, note });
        }
    }
}
