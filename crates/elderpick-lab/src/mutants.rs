//! Doubles of the decision core, each of which breaks one rule. They show that the checker can see a rule broken.
//!
//! kind: tool

use elderpick_core::Controller;
use elderpick_core::api::{Action, Event, Micros, ServerState, Settings, Status};
use elderpick_gateway::engine::Decide;

/// Which rule is broken, and how.
#[derive(Clone, Copy, PartialEq, Eq, Debug, clap::ValueEnum)]
pub enum Mutant {
    /// Rule 1: some who are given up are never told.
    Silent,
    /// Rule 2: what may have run passes for what never ran.
    PaidTwice,
    /// Rule 3: draining servers pass for running ones.
    DrainBlind,
    /// Rule 4: servers that have just started pass for warm ones.
    ColdRush,
    /// Rule 5: floors are not kept.
    LowFloor,
    /// Rule 5: seats are not kept.
    NoSeats,
    /// Rule 6: attempts are not rationed.
    NoBudget,
    /// Seats: the sheet grants more than was sold.
    OverSold,
}

pub const ALL: [Mutant; 8] = [
    Mutant::Silent,
    Mutant::PaidTwice,
    Mutant::DrainBlind,
    Mutant::ColdRush,
    Mutant::LowFloor,
    Mutant::NoSeats,
    Mutant::NoBudget,
    Mutant::OverSold,
];

impl Mutant {
    /// The rule that it breaks.
    pub fn rule(self) -> usize {
        match self {
            Mutant::Silent => 1,
            Mutant::PaidTwice => 2,
            Mutant::DrainBlind => 3,
            Mutant::ColdRush => 4,
            Mutant::LowFloor | Mutant::NoSeats => 5,
            Mutant::NoBudget => 6,
            Mutant::OverSold => 7,
        }
    }
}

/// The core with a fault in it.
pub struct Double {
    core: Controller,
    mutant: Mutant,
}

impl Double {
    pub fn new(mutant: Mutant, seed: u64, mut settings: Settings) -> Double {
        match mutant {
            Mutant::LowFloor => settings.classes.iter_mut().for_each(|c| c.floor = 0),
            Mutant::NoSeats => settings.classes.iter_mut().for_each(|c| c.seats = None),
            Mutant::NoBudget => (settings.budget, settings.max_attempts) = (None, Some(8)),
            Mutant::ColdRush => settings.cold = None,
            _ => {}
        }
        Double { core: Controller::new(seed, settings), mutant }
    }
}

impl Decide for Double {
    fn handle(&mut self, now: Micros, mut event: Event, actions: &mut Vec<Action>) {
        match (&mut event, self.mutant) {
            (Event::Outcome { status, closed: false, .. }, Mutant::PaidTwice)
                if matches!(status, Status::Failed | Status::TimedOut | Status::Reset) =>
            {
                *status = Status::Full;
            }
            (Event::List { entries, .. }, Mutant::DrainBlind) => {
                entries.iter_mut().for_each(|e| e.state = ServerState::Up);
            }
            _ => {}
        }
        self.core.handle(now, event, actions);
        match self.mutant {
            Mutant::Silent => actions.retain(|a| !matches!(a, Action::Fail { .. } | Action::Refuse { .. })),
            Mutant::LowFloor => actions.iter_mut().for_each(|a| {
                if let Action::Rate { rung, .. } = a {
                    *rung = 0;
                }
            }),
            _ => {}
        }
    }

    fn may_write(&self, state: ServerState) -> bool {
        state == ServerState::Up || self.mutant == Mutant::DrainBlind
    }
}
