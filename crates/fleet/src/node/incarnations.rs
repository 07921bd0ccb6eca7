//! What to do when another member knows a larger incarnation of this process's name.
//!
//! An incarnation is the wall clock's time at the start, so after a step back of the clock a process may be smaller than
//! an earlier one of its name. Its peers then drop what it sends, and tell it the incarnation that they know. It takes a
//! larger one and goes on as if it had just started.
//!
//! A process that has run for long was replaced by that one instead: two processes of one name run, and the later start
//! counts, as it does where the clock is right.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Seconds from its start in which a process takes a larger incarnation.
const RAISE_PERIOD: f64 = 60.0;
/// How often it does so. Once is enough for each earlier process of its name that had a clock ahead; more are needed
/// only while two processes of one name run, and those must not go on for ever.
const RAISES_AT_MOST: u32 = 8;
/// By how much at most the new incarnation is larger than the known one, in microseconds. The step is random, as two
/// processes that learn of the same earlier one must not take the same incarnation.
const STEP_AT_MOST: u64 = 1 << 20;

/// What follows from a known incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Consequence {
    /// Nothing.
    None,
    /// Go on with this incarnation.
    Raise(u64),
    /// This process has been replaced. Said once.
    Superseded,
}

pub(super) struct Incarnations {
    started_at: f64,
    raises: u32,
    superseded: bool,
    rng: SmallRng,
}

impl Incarnations {
    pub(super) fn new(now: f64, seed: u64) -> Incarnations {
        Incarnations { started_at: now, raises: 0, superseded: false, rng: SmallRng::seed_from_u64(seed) }
    }

    /// Another member knows that incarnation of this process's name. `was_answered` says whether any leader has
    /// answered this process: one that none has answered is not in use, however long it runs.
    pub(super) fn handle_known(&mut self, now: f64, own: u64, known: u64, was_answered: bool) -> Consequence {
        if known <= own {
            return Consequence::None;
        }
        let is_new = !was_answered || now < self.started_at + RAISE_PERIOD;
        let next = known.checked_add(self.rng.random_range(1..=STEP_AT_MOST));
        match next.filter(|_| is_new && self.raises < RAISES_AT_MOST) {
            Some(next) => {
                self.raises += 1;
                Consequence::Raise(next)
            }
            None if self.superseded => Consequence::None,
            None => {
                self.superseded = true;
                Consequence::Superseded
            }
        }
    }

    /// A seed for what begins anew.
    pub(super) fn next_seed(&mut self) -> u64 {
        self.rng.random()
    }
}
