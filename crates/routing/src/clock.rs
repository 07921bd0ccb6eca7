//! The period of the router's tick, and detection of stalls of the router itself.

/// Seconds between two ticks: well below any SLO time, and too rare to cost anything.
pub(crate) const TICK_SECONDS: f64 = 0.02;
/// Seconds without a call after which the router is considered to have stalled.
const STALL_THRESHOLD_SECONDS: f64 = 5.0 * TICK_SECONDS;

/// Returns `value` after one tick of decay with this time constant in seconds.
pub(crate) fn decayed(value: f64, time_constant: f64) -> f64 {
    value - value * TICK_SECONDS / time_constant
}

/// Number of ticks so far. Sums that decay with each tick store the count at which they were last brought up to date.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct TickCount(u64);

impl TickCount {
    /// Counts one more tick.
    pub(crate) fn advance(&mut self) {
        self.0 += 1;
    }

    /// Returns the number of ticks since an earlier count.
    pub(crate) fn since(self, earlier: TickCount) -> u64 {
        self.0 - earlier.0
    }
}

/// Guards against treating a stall of this router as a failure of endpoints: answers that it did not read during the
/// stall are not missing.
#[derive(Clone, Debug)]
pub(crate) struct StallDetector {
    last_call_at: f64,
    /// When the router last resumed after a stall; when it started, if there was none.
    resumed_at: f64,
}

impl StallDetector {
    /// Returns a detector that counts the start as a call.
    pub(crate) fn new(now: f64) -> StallDetector {
        StallDetector { last_call_at: now, resumed_at: now }
    }

    /// Records a call; has to be called on each tick and for each attempt result.
    pub(crate) fn record_call(&mut self, now: f64) {
        if now - self.last_call_at > STALL_THRESHOLD_SECONDS {
            self.resumed_at = now;
        }
        self.last_call_at = now;
    }

    /// Returns when the router last resumed after a stall, or started.
    pub(crate) fn resumed_at(&self) -> f64 {
        self.resumed_at
    }

    /// Returns whether an attempt that was sent at `sent_at` was in flight during a stall.
    pub(crate) fn has_stalled_since(&self, sent_at: f64) -> bool {
        sent_at < self.resumed_at
    }
}
