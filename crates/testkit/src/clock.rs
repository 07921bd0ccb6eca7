//! The machine's clock, which all processes of a test share.

use std::time::{SystemTime, UNIX_EPOCH};

use crate::convert::count_to_f64;

/// Milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

/// Seconds since the Unix epoch, to the millisecond.
pub(crate) fn unix_seconds() -> f64 {
    count_to_f64(u64::try_from(unix_ms()).unwrap_or(u64::MAX)) / 1000.0
}
