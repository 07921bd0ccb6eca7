//! The period of the router's timer, and stalls of the router itself.

/// Seconds between two timer calls: well under any SLO time, too rare to cost anything.
pub(crate) const TICK_SECONDS: f64 = 0.02;
/// Seconds without a call after which the router counts as having stalled.
const STALL_THRESHOLD_SECONDS: f64 = 5.0 * TICK_SECONDS;

/// What is left of `value` after one tick, if it decays with this time constant in seconds.
pub(crate) fn decayed(value: f64, time_constant: f64) -> f64 {
    value - value * TICK_SECONDS / time_constant
}

/// How many ticks there were. Sums that decay with each tick keep the count that they were last brought up to date at.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct TickCount(u64);

impl TickCount {
    /// One more tick.
    pub(crate) fn advance(&mut self) {
        self.0 += 1;
    }

    /// The ticks since an earlier count.
    pub(crate) fn since(self, earlier: TickCount) -> u64 {
        self.0 - earlier.0
    }
}

/// Guards against blaming endpoints for a stall of this router: what it did not hear meanwhile says nothing about them.
#[derive(Clone, Debug)]
pub(crate) struct StallDetector {
    last_call_at: f64,
    /// When the router last came back from a stall; when it started, if there was none.
    resumed_at: f64,
}

impl StallDetector {
    /// A detector that counts the start as a call.
    pub(crate) fn new(now: f64) -> StallDetector {
        StallDetector { last_call_at: now, resumed_at: now }
    }

    /// To be told of each timer call and each attempt result.
    pub(crate) fn record_call(&mut self, now: f64) {
        if now - self.last_call_at > STALL_THRESHOLD_SECONDS {
            self.resumed_at = now;
        }
        self.last_call_at = now;
    }

    /// When the router last came back from a stall, or started.
    pub(crate) fn resumed_at(&self) -> f64 {
        self.resumed_at
    }

    /// Whether an attempt that was sent then was in flight during a stall.
    pub(crate) fn has_stalled_since(&self, sent_at: f64) -> bool {
        sent_at < self.resumed_at
    }
}
