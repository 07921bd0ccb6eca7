//! Limits how often a log line is written that clients, endpoints or the network can cause at any rate.

/// Minimum interval between two lines.
const LOG_INTERVAL_SECONDS: f64 = 1.0;

/// The throttle of one log line. Times are Unix seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogThrottle {
    written_at: f64,
    suppressed: u64,
}

impl LogThrottle {
    /// Returns the number of occurrences since the last line, including this one, if a line may be written now; `None` if it
    /// may not, in which case the occurrence is counted for the next line.
    pub fn admit(&mut self, now: f64) -> Option<u64> {
        self.suppressed += 1;
        if now - self.written_at < LOG_INTERVAL_SECONDS {
            return None;
        }
        self.written_at = now;
        Some(std::mem::take(&mut self.suppressed))
    }
}
