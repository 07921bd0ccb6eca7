//! Conversions of numbers for which the standard library has no `From`; each says what it loses.

/// A count of units as a number to reckon with; exact up to 2^53.
#[expect(clippy::cast_precision_loss, reason = "counts of units are far below 2^53")]
pub(crate) fn units_to_f64(units: u64) -> f64 {
    units as f64
}

/// The whole units in a number: 0 for what is negative or no number, the largest count for what is larger than it.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "as documented")]
pub(crate) fn whole_units(units: f64) -> u64 {
    units as u64
}

/// A count as one of things in memory, which there are never more of.
pub(crate) fn to_usize(count: u64) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}
