//! Conversions of numbers for which the standard library has no `From`; each says what it loses.

/// A count as a number to reckon with; exact up to 2^53.
#[expect(clippy::cast_precision_loss, reason = "what is counted here stays far below 2^53")]
pub(crate) fn count_to_f64(count: u64) -> f64 {
    count as f64
}
