//! Timers of the event loop: at most one for each connection, and one each for discovery, the fleet, the control listener
//! and the client listener.

use std::collections::BTreeSet;

/// How long before a documented time limit the router acts, so that the result arrives within the limit; seconds. It is not
/// derived from the connect timeout, as a deployment's settings may give that any length.
pub const TIMING_MARGIN_SECONDS: f64 = 0.25;

/// The owner of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A backend connection has to change its state by then.
    Backend(usize),
    /// A client connection's time limits have to be checked.
    Client(usize),
    /// The discovery service has to have answered by then, or is queried again.
    Discovery,
    /// The fleet has something to send, or a lease ends.
    Fleet,
    /// A connection accepted by the control listener times out.
    ControlClient(usize),
    /// Accepting connections at the control listener is retried, as some wait in its listen backlog.
    Control,
    /// Accepting clients is retried, as some wait in the listen backlog.
    Listener,
}

/// A timer that is set, kept by its owner until it expires or is cleared. The first field is the bit pattern of its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerHandle(u64, Timer);

impl TimerHandle {
    /// Returns when the timer expires, in Unix seconds.
    pub fn expires_at(self) -> f64 {
        f64::from_bits(self.0)
    }
}

/// All timers that are set, by time. A timer is removed when it expires or is cleared.
#[derive(Default)]
pub struct Timers {
    by_time: BTreeSet<TimerHandle>,
}

/// Returns the bit pattern of a time, with negative times as 0. For non-negative times bit patterns have the order of the
/// times, and a total one. Times are not rounded: a timer that expired a fraction of a microsecond before its owner's time
/// would be set again by the owner and expire again in the same iteration of the event loop, endlessly, as an iteration
/// has a single time.
fn bits(at: f64) -> u64 {
    at.max(0.0).to_bits()
}

impl Timers {
    /// Sets a timer that expires at `at`, in Unix seconds.
    pub fn set(&mut self, at: f64, timer: Timer) -> TimerHandle {
        let handle = TimerHandle(bits(at), timer);
        self.by_time.insert(handle);
        handle
    }

    /// Removes a timer. Has no effect on one that has already expired.
    pub fn clear(&mut self, handle: Option<TimerHandle>) {
        if let Some(handle) = handle {
            self.by_time.remove(&handle);
        }
    }

    /// Returns when the next timer expires, in Unix seconds.
    pub fn next_at(&self) -> Option<f64> {
        self.by_time.first().map(|handle| handle.expires_at())
    }

    /// Removes and returns the earliest timer if it has expired at `now`, in Unix seconds.
    pub fn expired(&mut self, now: f64) -> Option<Timer> {
        let first = *self.by_time.first()?;
        if first.0 > bits(now) {
            return None;
        }
        self.by_time.remove(&first);
        Some(first.1)
    }
}
