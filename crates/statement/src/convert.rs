//! Conversions of numbers for which the standard library has no `From`; each says what it loses.

/// A count of bytes as a number to reckon with; exact up to 2^53.
#[expect(clippy::cast_precision_loss, reason = "counts of bytes are far below 2^53")]
pub(crate) fn bytes_to_f64(bytes: usize) -> f64 {
    bytes as f64
}

/// The nearest number of half the length: what is known of costs is no more exact, and kept for many statements.
#[expect(clippy::cast_possible_truncation, reason = "as documented")]
pub(crate) fn to_f32(number: f64) -> f32 {
    number as f32
}

/// The upper and the lower half.
#[expect(clippy::cast_possible_truncation, reason = "the halves together are the whole")]
pub(crate) fn split_u128(number: u128) -> [u64; 2] {
    [(number >> 64) as u64, number as u64]
}
