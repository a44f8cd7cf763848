//! Rungs of sessions that play: raised once after a hand-over, cut where delivery is short.

use std::collections::BTreeMap;

use super::state::Load;
use super::{Controller, SHORT, SHORT_LASTS};
use crate::api::{Action, Micros, Note, RequestId, ServerId};

/// Reports are noisy: only what is asked beyond this, over what is given, counts by itself.
const OVERLOADED: f64 = 1.2;
/// After a short share, own sessions are cut to this part of what was delivered.
const CUT_TO: f64 = 0.9;
/// A share that falls by as much after a cut goes on falling.
const STILL_FALLING: f64 = 0.03;
/// Time for a cut to show in the smoothed share, beside the time that the share takes to arrive.
const CUT_VISIBLE_AFTER: Micros = 1_500_000;

impl Controller {
    pub(super) fn on_note(&mut self, id: RequestId, server: ServerId, note: Note) {
        match note {
            Note::Rung(rung) => {
                self.change_rung(id, rung.min(self.settings.rung_kb.len().saturating_sub(1)));
            }
            Note::LinkAsked(asked) => {
                // The first time the uplink's news comes right after it.
                let again = self.servers.get(&server).is_some_and(|s| s.last_report.is_some());
                self.record_report(&server, Some(asked), None);
                self.cut_overloaded(&server, false, asked);
                if again {
                    self.raise_handed_over(&server);
                }
            }
            Note::UplinkAsked(asked) => {
                self.record_report(&server, None, Some(asked));
                self.cut_overloaded(&server, true, asked);
                self.raise_handed_over(&server);
            }
            Note::Delivered(share) if !share.is_finite() => {}
            Note::Delivered(share) => {
                self.infer_uplink_load(&server, share);
                if let Some(to) = self.servers.get_mut(&server) {
                    let before = to.share.replace((share, self.now));
                    // Smoothed, it makes up half of what is missing by the next news once the cause is over.
                    let lasts = |(old, at): (f64, Micros)| {
                        self.now - at < SHORT_LASTS && old < SHORT && 1.0 - share > (1.0 - old) / 2.0
                    };
                    if before.is_some_and(lasts) {
                        self.cut_rungs(&server, share);
                    }
                }
            }
        }
    }

    /// Own sessions that play on a server.
    fn playing_on(&self, id: &ServerId) -> Vec<RequestId> {
        let there = self.servers.get(id).into_iter().flat_map(|server| &server.sessions);
        there.copied().filter(|id| self.sessions[id].playing && !self.sessions[id].closed).collect()
    }

    fn set_rung(&mut self, id: RequestId, rung: usize) {
        self.change_rung(id, rung);
        self.out.push(Action::Rate { id, rung });
    }

    /// Exception: a session handed over at the start never had this gateway's one decision on its rung. It
    /// gets it once, upwards only, when its server's load is freshly heard, within this gateway's part of
    /// the room. What is left of that part after whole steps is a chance for one step more, so that many
    /// gateways with one session each use the room that they have together. Guards against a fleet that is
    /// left at low rungs for the life of what played before. Harm: each raise costs a change of rung, which
    /// a session near its end does not earn back.
    pub(super) fn raise_handed_over(&mut self, id: &ServerId) {
        let Some(server) = self.servers.get(id).filter(|s| !s.rung_pending.is_empty() && !self.is_short(s))
        else {
            return;
        };
        let waiting = server.rung_pending.iter().copied().filter(|id| !self.sessions[id].closed);
        let waiting: Vec<_> = waiting.collect();
        let (others, rack) = (self.load_of_others(), self.rack_of(server));
        let part = |load: Load, own: f64| load.room() * (own / load.asked.max(1.0)).min(1.0);
        let link = part(self.link_load(server, others), self.own_demand_on(server));
        let uplink = part(self.uplink_load(rack, others), self.own_demand_behind(rack));
        let mut room = link.min(uplink);
        let price = self.price(others);
        for id in waiting {
            let (wish, chance) = (self.sessions[&id].wish, self.unit());
            let step = |from: usize, to: usize| self.rate(&wish, to) - self.rate(&wish, from);
            let fair = self.fair_rung(&wish, price);
            let fits = (wish.rung..=fair).rev().find(|&rung| step(wish.rung, rung) <= room);
            let mut rung = fits.unwrap_or(wish.rung);
            let left = room - step(wish.rung, rung);
            if rung < fair && chance * step(rung, rung + 1) < left {
                rung += 1;
            }
            if rung > wish.rung {
                room -= step(wish.rung, rung);
                self.rung_decided(id);
                self.set_rung(id, rung);
            }
        }
    }

    /// Reports of a link or uplink of which more is asked than it gives tell so at once and in full, while
    /// the delivered share is smoothed and falls for seconds.
    fn cut_overloaded(&mut self, id: &ServerId, uplink: bool, asked: f64) {
        let Some(server) = self.servers.get(id).filter(|_| asked.is_finite() && asked > OVERLOADED) else {
            return;
        };
        let rack = &self.racks[&self.rack_of(server)];
        let there: Vec<_> = if uplink { rack.servers.iter().cloned().collect() } else { vec![id.clone()] };
        there.iter().for_each(|id| self.cut_rungs(id, 1.0 / asked));
    }

    /// Exception: where delivery is short all sessions there lose far more than a rung, so own rungs go down
    /// by this gateway's part of what is missing. Where that is less than a step it is the chance of one, so
    /// that the cuts of many gateways with one session each add up. Guards against links and uplinks that
    /// give less than they should, titles above their rung and crowds that came at once. Harm: what is cut
    /// stays so, so that shortness that is over in a moment is left alone (`on_note`).
    fn cut_rungs(&mut self, id: &ServerId, share: f64) {
        let (now, wait) = (self.now, self.settings.see + CUT_VISIBLE_AFTER);
        let Some(server) = self.servers.get_mut(id) else { return };
        // The share is smoothed: while it goes on falling before a cut can show, the rest is cut as well.
        let recent = server.cut.filter(|(at, _)| now - at < wait);
        let before = recent.map_or(CUT_TO.recip(), |(_, share)| share);
        if share >= SHORT.min(before - STILL_FALLING) {
            return;
        }
        server.cut = Some((now, share));
        let mut wishes: Vec<_> =
            self.playing_on(id).into_iter().map(|id| (id, self.sessions[&id].wish)).collect();
        let own: f64 = wishes.iter().map(|(_, wish)| self.demand_of(wish)).sum();
        let mut missing = own * (1.0 - share.max(0.0) / before.max(0.01));
        let mut cut = BTreeMap::new();
        while missing > 0.0 {
            // The step down that gives up least worth for each kB.
            let steps = wishes.iter().enumerate().filter_map(|(k, (_, wish))| {
                let floor = self.settings.classes[wish.class].floor;
                let lower = wish.rung.checked_sub(1).filter(|&rung| rung >= floor)?;
                let kb = self.demand_of(wish) - self.rate(wish, lower);
                let worth = self.worth(wish, wish.rung) - self.worth(wish, lower);
                (kb > 0.0).then_some((k, lower, kb, worth / kb))
            });
            let Some((k, lower, kb, _)) = steps.min_by(|a, b| a.3.total_cmp(&b.3)) else { break };
            if missing < kb && self.unit() * kb >= missing {
                break;
            }
            missing -= kb;
            wishes[k].1.rung = lower;
            cut.insert(wishes[k].0, lower);
        }
        cut.into_iter().for_each(|(id, rung)| self.set_rung(id, rung));
    }
}
