//! Conversions of numbers for which the standard library has no `From`; each says what it loses.

/// A count as a number to reckon with; exact up to 2^53.
#[expect(clippy::cast_precision_loss, reason = "what is counted here stays far below 2^53")]
pub(crate) fn count_to_f64(count: u64) -> f64 {
    count as f64
}

/// A size as a number to reckon with; exact up to 2^53.
#[expect(clippy::cast_precision_loss, reason = "no size here comes near 2^53")]
pub(crate) fn size_to_f64(size: usize) -> f64 {
    size as f64
}

/// The whole number that is nearest; zero for what is negative.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates, as said")]
pub(crate) fn round_to_size(number: f64) -> usize {
    number.round() as usize
}
