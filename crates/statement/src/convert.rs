//! Numeric conversions for which the standard library has no `From`, each with the precision that it loses.

/// Converts a count of bytes to a floating-point number; exact up to 2^53.
#[expect(clippy::cast_precision_loss, reason = "counts of bytes are far below 2^53")]
pub(crate) fn bytes_to_f64(bytes: usize) -> f64 {
    bytes as f64
}

/// Rounds to the nearest `f32`. Cost estimates are no more precise than that and are stored for many statements.
#[expect(clippy::cast_possible_truncation, reason = "as documented")]
pub(crate) fn to_f32(number: f64) -> f32 {
    number as f32
}

/// Splits a number into its upper and its lower 64 bits.
#[expect(clippy::cast_possible_truncation, reason = "the halves together are the whole")]
pub(crate) fn split_u128(number: u128) -> [u64; 2] {
    [(number >> 64) as u64, number as u64]
}
