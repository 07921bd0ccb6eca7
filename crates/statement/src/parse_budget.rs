//! A token bucket of bytes that may be parsed: a flood of new fingerprints must not take processor time from other clients.
//!
//! A part of the bucket is reserved for fingerprints that were seen before, as each of a flood is seen once.

use crate::convert::bytes_to_f64;

/// Bytes of text parsed in a second at most. A look-up and a join were parsed at 10 to 28 bytes a microsecond: a twentieth of
/// each second at most.
const REFILL_BYTES_PER_SECOND: f64 = 500_000.0;
/// Bytes that may be parsed at once after a pause.
const BURST_BYTES: f64 = 100_000.0;
/// Bytes that each parse counts for beside those of its text.
const BYTES_PER_PARSE: f64 = 100.0;
/// Part of the bucket that is reserved for fingerprints seen before.
const RESERVED_FRACTION: f64 = 0.5;
/// Bits of the set of fingerprints seen before; it is emptied once a quarter of them is set.
const SEEN_BITS: usize = 1 << 16;

/// The token bucket.
pub struct ParseBudget {
    available_bytes: f64,
    refilled_at: f64,
    seen: Box<[u64]>,
    seen_count: usize,
}

impl ParseBudget {
    /// A full bucket. `now` is in seconds of any clock that never goes back.
    pub fn new(now: f64) -> ParseBudget {
        ParseBudget {
            available_bytes: BURST_BYTES,
            refilled_at: now,
            seen: vec![0; SEEN_BITS / 64].into(),
            seen_count: 0,
        }
    }

    /// Whether a text of so many bytes may be parsed now; if so, its bytes are taken from the bucket.
    pub fn allows(&mut self, now: f64, fingerprint: u128, bytes: usize) -> bool {
        self.available_bytes = (self.available_bytes
            + (now - self.refilled_at).max(0.0) * REFILL_BYTES_PER_SECOND)
            .min(BURST_BYTES);
        self.refilled_at = self.refilled_at.max(now);
        let cost_bytes = bytes_to_f64(bytes) + BYTES_PER_PARSE;
        let reserved_bytes =
            if self.insert_seen(fingerprint) { 0.0 } else { BURST_BYTES * RESERVED_FRACTION };
        // A text longer than a burst would never be parsed otherwise.
        let allowed =
            self.available_bytes - reserved_bytes >= cost_bytes.min(BURST_BYTES * (1.0 - RESERVED_FRACTION));
        self.available_bytes -= if allowed { cost_bytes } else { 0.0 };
        allowed
    }

    /// Adds the fingerprint to those seen before; true if it was among them.
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
