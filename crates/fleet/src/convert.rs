//! Numeric conversions for which the standard library has no `From`. Each documents its loss of precision.

/// Converts a count of units to a float; exact up to 2^53.
#[expect(clippy::cast_precision_loss, reason = "counts of units are far below 2^53")]
pub(crate) fn units_to_f64(units: u64) -> f64 {
    units as f64
}

/// Truncates a number to whole units: 0 for a negative number or NaN, `u64::MAX` for a number above it.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "truncation and saturation are intended"
)]
pub(crate) fn truncate_to_units(units: f64) -> u64 {
    units as u64
}

/// Converts a count to `usize`. Saturates on targets where `usize` has fewer than 64 bits; no collection in memory holds
/// more items than `usize::MAX`.
pub(crate) fn to_usize(count: u64) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}
