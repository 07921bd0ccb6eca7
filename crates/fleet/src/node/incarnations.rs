//! Decides how a process reacts when another member knows a larger incarnation of its name.
//!
//! An incarnation is derived from the wall clock at the start of the process. After the clock was stepped back, a process
//! may therefore get a smaller incarnation than an earlier process of its name. Its peers then drop its messages and reply
//! with the incarnation that they know. The process takes a larger one and continues as if it had just started.
//!
//! A process that has run for a long time was instead replaced by the process with the larger incarnation: two processes
//! of one name are running, and the one that started later takes precedence, as it does with a correct clock.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time from its start within which a process takes a larger incarnation.
const RAISE_PERIOD_SECONDS: f64 = 60.0;
/// Largest number of times that a process takes a larger incarnation. One time is enough for each earlier process of its
/// name whose clock was ahead. More are needed only while two processes of one name run, which must not continue endlessly.
const MAX_RAISES: u32 = 8;
/// Largest difference between the new incarnation and the known one. The step is random, so that two processes that learn
/// of the same earlier process do not take the same incarnation.
const MAX_STEP_MICROSECONDS: u64 = 1 << 20;

/// How a process reacts to the incarnation that another member knows for its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IncarnationAction {
    /// The known incarnation is not larger, or the supersession was reported before.
    Ignore,
    /// Continue with this incarnation.
    Raise(u64),
    /// A later process has replaced this one. Returned only once.
    Superseded,
}

pub(super) struct Incarnations {
    started_at: f64,
    raises: u32,
    /// Whether [`IncarnationAction::Superseded`] was returned before.
    reported_superseded: bool,
    rng: SmallRng,
}

impl Incarnations {
    pub(super) fn new(now: f64, seed: u64) -> Incarnations {
        Incarnations {
            started_at: now,
            raises: 0,
            reported_superseded: false,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Handles that another member knows the incarnation `known` of this process's name. `has_leader_reply` says whether
    /// any leader has answered this process: one without an answer is not in use, regardless of how long it has run.
    pub(super) fn handle_known(
        &mut self,
        now: f64,
        own: u64,
        known: u64,
        has_leader_reply: bool,
    ) -> IncarnationAction {
        if known <= own {
            return IncarnationAction::Ignore;
        }
        let may_raise = !has_leader_reply || now < self.started_at + RAISE_PERIOD_SECONDS;
        let next = known.checked_add(self.rng.random_range(1..=MAX_STEP_MICROSECONDS));
        match next.filter(|_| may_raise && self.raises < MAX_RAISES) {
            Some(next) => {
                self.raises += 1;
                IncarnationAction::Raise(next)
            }
            None if self.reported_superseded => IncarnationAction::Ignore,
            None => {
                self.reported_superseded = true;
                IncarnationAction::Superseded
            }
        }
    }

    /// Returns a new seed for components that are restarted.
    pub(super) fn next_seed(&mut self) -> u64 {
        self.rng.random()
    }
}
