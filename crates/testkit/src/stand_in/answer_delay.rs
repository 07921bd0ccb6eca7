//! How long the stand-in discovery takes for its answers.

use std::ops::RangeInclusive;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::sync::lock;

/// How long discovery takes for an answer, once the call is due. The answer holds the list as the delay begins.
#[derive(Clone, Debug)]
pub enum AnswerDelay {
    /// Calls are worked on side by side. The delay of each answer is drawn from this range.
    Parallel(RangeInclusive<Duration>),
    /// Calls are worked on in turn, each for this long, also if the caller has gone.
    OneAtATime(Duration),
}

impl AnswerDelay {
    /// The same delay for each answer.
    pub fn fixed(delay: Duration) -> AnswerDelay {
        AnswerDelay::Parallel(delay..=delay)
    }
}

impl Default for AnswerDelay {
    fn default() -> AnswerDelay {
        AnswerDelay::fixed(Duration::ZERO)
    }
}

/// Lets calls take turns in the order of their arrival.
#[derive(Default)]
pub(super) struct Turns {
    state: Mutex<TurnNumbers>,
    ended: Condvar,
}

#[derive(Default)]
struct TurnNumbers {
    next_taken: u64,
    now_served: u64,
}

/// The turn of one call, which ends when this is dropped.
pub(super) struct Turn<'a>(&'a Turns);

impl Turns {
    /// Waits for the caller's turn.
    pub(super) fn take(&self) -> Turn<'_> {
        let mut numbers = lock(&self.state);
        let number = numbers.next_taken;
        numbers.next_taken += 1;
        while numbers.now_served < number {
            numbers = self.wait(numbers);
        }
        Turn(self)
    }

    fn wait<'a>(&self, numbers: MutexGuard<'a, TurnNumbers>) -> MutexGuard<'a, TurnNumbers> {
        self.ended.wait(numbers).unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        lock(&self.0.state).now_served += 1;
        self.0.ended.notify_all();
    }
}
