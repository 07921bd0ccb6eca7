//! Numeric conversions for which the standard library has no `From`. Each documents its loss of precision.

/// Converts a count to `f64`; exact up to 2^53.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
pub(crate) fn count_to_f64(count: u64) -> f64 {
    count as f64
}

/// Converts a size to `f64`; exact up to 2^53.
#[expect(clippy::cast_precision_loss, reason = "sizes stay far below 2^53")]
pub(crate) fn size_to_f64(size: usize) -> f64 {
    size as f64
}

/// Rounds to the nearest integer. Negative numbers become zero, numbers out of range become `usize::MAX`.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
pub(crate) fn round_to_size(number: f64) -> usize {
    number.round() as usize
}
