//! Numeric conversions for which the standard library has no `From`; each documents what it loses.

/// Converts a count to a floating-point number; exact up to 2^53.
#[expect(clippy::cast_precision_loss, reason = "what is counted here stays far below 2^53")]
pub(crate) fn count_to_f64(count: usize) -> f64 {
    count as f64
}

/// Converts a number to a count: cuts off its fraction, and turns a negative number into zero.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates, as documented")]
pub(crate) fn to_count(number: f64) -> usize {
    number as usize
}

/// Maps a hash to a fraction between zero and one.
#[expect(clippy::cast_precision_loss, reason = "a sample needs no more than 53 bits")]
pub(crate) fn hash_to_fraction(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}

/// Converts a count of things in memory to 64 bits, which is as wide as the counts of any machine.
pub(crate) fn count_to_u64(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}
