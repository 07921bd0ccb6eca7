//! The system clock, which all processes of a test share.

use std::time::{SystemTime, UNIX_EPOCH};

use crate::convert::count_to_f64;

/// Returns the milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

/// Returns the seconds since the Unix epoch, with a resolution of 1 ms.
pub(crate) fn unix_seconds() -> f64 {
    count_to_f64(u64::try_from(unix_ms()).unwrap_or(u64::MAX)) / 1000.0
}
