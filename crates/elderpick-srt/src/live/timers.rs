//! When something is due, and what.

use super::{ACK, KEEP_ALIVE, LEAST_NAK, Live, MOST_AGAIN, State};
use crate::Micros;
use crate::packet::Control;

impl Live {
    // ---- Time ----

    /// When [`Live::tick`] or [`Live::receive`] is due next.
    pub fn next_timer(&self) -> Option<Micros> {
        let out = self.came.iter().flatten().next().map(|c| c.due);
        if self.is_over() {
            return out;
        }
        if self.state == State::Finishing && self.sent.is_empty() {
            return Some(self.last_sent);
        }
        let idle = self.last_heard + self.set.idle;
        let alive = self.last_sent + KEEP_ALIVE;
        let nak = self.missing.values().min().map(|at| at + self.nak_every());
        let again = (!self.sent.is_empty()).then_some(self.progress + self.time_out());
        let offered = self.offered.as_ref().map(|o| o.2);
        let others = [out, nak, again, self.ack_due, offered].into_iter().flatten();
        others.chain([idle, alive]).min()
    }

    pub(super) fn nak_every(&self) -> Micros {
        ((self.rtt + 4 * self.variance) / 2).max(LEAST_NAK)
    }

    fn time_out(&self) -> Micros {
        (self.rtt + 4 * self.variance + 2 * ACK) << self.doublings.min(2)
    }

    pub fn tick(&mut self, now: Micros) {
        if self.is_over() {
            return;
        }
        if now - self.last_heard >= self.set.idle {
            return self.end(State::Silent);
        }
        self.give_up_late(now);
        if self.state == State::Finishing && self.sent.is_empty() {
            return self.close();
        }
        if now - self.last_sent >= KEEP_ALIVE {
            self.queue(Control::KeepAlive);
            self.last_sent = now;
        }
        if self.ack_due.is_some_and(|due| due <= now) {
            self.acknowledge(now);
        }
        self.ask_again(now);
        if !self.sent.is_empty() && now - self.progress >= self.time_out() {
            // Nothing tells of the last ones: no later packet shows that they are missing.
            self.again.extend(self.first..self.fresh.min(self.first + MOST_AGAIN));
            self.progress = now;
            self.doublings += 1;
        }
        if self.offered.as_ref().is_some_and(|o| o.2 <= now) {
            self.offer(now);
        }
    }
}
