//! A token bucket of bytes that may be parsed, so that a flood of new fingerprints does not take processor time from other
//! clients.
//!
//! A fraction of the bucket is reserved for fingerprints that were seen before, as each fingerprint of a flood is seen only once.

use crate::convert::bytes_to_f64;

/// Maximum bytes of text parsed per second. A look-up and a join are parsed at 10 to 28 bytes per microsecond, so parsing takes
/// at most a twentieth of each second.
const REFILL_BYTES_PER_SECOND: f64 = 500_000.0;
/// Capacity of the bucket: bytes that may be parsed at once after a pause.
const BURST_BYTES: f64 = 100_000.0;
/// Fixed cost of each parse in bytes, in addition to the length of its text.
const BYTES_PER_PARSE: f64 = 100.0;
/// Fraction of the bucket that is reserved for fingerprints seen before.
const RESERVED_FRACTION: f64 = 0.5;
/// Bits in the set of fingerprints seen before. The set is cleared once more than a quarter of its bits are set.
const SEEN_BITS: usize = 1 << 16;

/// Limits the bytes that are parsed per second.
pub struct ParseBudget {
    available_bytes: f64,
    refilled_at: f64,
    seen: Box<[u64]>,
    seen_count: usize,
}

impl ParseBudget {
    /// Starts with a full bucket. `now` is in seconds of any monotonic clock.
    pub fn new(now: f64) -> ParseBudget {
        ParseBudget {
            available_bytes: BURST_BYTES,
            refilled_at: now,
            seen: vec![0; SEEN_BITS / 64].into(),
            seen_count: 0,
        }
    }

    /// Returns whether a text of `bytes` bytes may be parsed now, and if so, takes its cost from the bucket. `now` is in seconds.
    pub fn allows(&mut self, now: f64, fingerprint: u128, bytes: usize) -> bool {
        self.available_bytes = (self.available_bytes
            + (now - self.refilled_at).max(0.0) * REFILL_BYTES_PER_SECOND)
            .min(BURST_BYTES);
        self.refilled_at = self.refilled_at.max(now);
        let cost_bytes = bytes_to_f64(bytes) + BYTES_PER_PARSE;
        let reserved_bytes =
            if self.insert_seen(fingerprint) { 0.0 } else { BURST_BYTES * RESERVED_FRACTION };
        // The required amount is capped, as a text longer than the bucket would never be parsed otherwise.
        let allowed =
            self.available_bytes - reserved_bytes >= cost_bytes.min(BURST_BYTES * (1.0 - RESERVED_FRACTION));
        self.available_bytes -= if allowed { cost_bytes } else { 0.0 };
        allowed
    }

    /// Adds the fingerprint to the set of those seen before. Returns true if it was already in the set.
    fn insert_seen(&mut self, fingerprint: u128) -> bool {
        let bit = fingerprint as usize % SEEN_BITS;
        let (word, mask) = (bit / 64, 1 << (bit % 64));
        let seen = self.seen[word] & mask != 0;
        if !seen {
            if self.seen_count > SEEN_BITS / 4 {
                self.seen.fill(0);
                self.seen_count = 0;
            }
            self.seen[word] |= mask;
            self.seen_count += 1;
        }
        seen
    }
}
