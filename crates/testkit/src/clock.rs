//! The machine's clock, which all processes of a test share.

use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

/// Seconds since the Unix epoch, to the millisecond.
pub(crate) fn unix_seconds() -> f64 {
    unix_ms() as f64 / 1000.0
}
