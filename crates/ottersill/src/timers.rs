//! Timers of the event loop: at most one for each connection, and one each for discovery, fleet and listener.

use std::collections::BTreeSet;

/// How long before a time limit of a page something is done that has to be there by then; seconds. The time in which a
/// connection comes up is no measure for it: a customer's settings may give that any length.
pub const TIMING_MARGIN: f64 = 0.25;

/// Whose time has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A backend connection has to change its state by then.
    Backend(usize),
    /// A client connection has to be looked at.
    Client(usize),
    /// Discovery has to have answered by then, or is asked again.
    Discovery,
    /// The fleet has something to send, or a lease ends.
    Fleet,
    /// The connection of an operator at the control listener ends.
    ControlClient(usize),
    /// Operators wait in the accept backlog of the control listener: accepting is tried again.
    Control,
    /// Clients wait in the accept backlog: accepting is tried again.
    Listener,
}

/// A timer that is set, kept by its owner until it expires or is cleared. The first field is the bits of its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerHandle(u64, Timer);

/// All timers that are set, by time. One is taken out when it expires or is cleared.
#[derive(Default)]
pub struct Timers {
    by_time: BTreeSet<TimerHandle>,
}

/// The bits of seconds that are not negative order as the seconds do, and totally. Nothing is rounded: a timer that
/// expired a fraction of a microsecond before its owner's time would be set anew by the owner, expire again in the same
/// iteration of the event loop, and so on for ever, as an iteration has one time.
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

    /// Takes out a timer that was set; one that has expired meanwhile is out already.
    pub fn clear(&mut self, handle: Option<TimerHandle>) {
        if let Some(handle) = handle {
            self.by_time.remove(&handle);
        }
    }

    /// When the next timer expires, in Unix seconds.
    pub fn next_at(&self) -> Option<f64> {
        self.by_time.first().map(|handle| f64::from_bits(handle.0))
    }

    /// Takes out the earliest timer if it has expired at `now`, in Unix seconds.
    pub fn expired(&mut self, now: f64) -> Option<Timer> {
        let first = *self.by_time.first()?;
        if first.0 > bits(now) {
            return None;
        }
        self.by_time.remove(&first);
        Some(first.1)
    }
}
