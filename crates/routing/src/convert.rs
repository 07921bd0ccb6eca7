//! Conversions of numbers for which the standard library has no `From`; each says what it loses. Nothing here decides.

/// A count as a number to reckon with; exact up to 2^53.
#[expect(clippy::cast_precision_loss, reason = "what is counted here stays far below 2^53")]
pub(crate) fn count_to_f64(count: usize) -> f64 {
    count as f64
}

/// A number of things as a count: its fraction is cut off, what is negative becomes zero.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates, as said")]
pub(crate) fn to_count(number: f64) -> usize {
    number as usize
}

/// Where a hash lies between zero and one.
#[expect(clippy::cast_precision_loss, reason = "a sample needs no more than 53 bits")]
pub(crate) fn hash_to_fraction(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}

/// A count of things in memory in 64 bits, as many as any machine counts by.
pub(crate) fn count_to_u64(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}
