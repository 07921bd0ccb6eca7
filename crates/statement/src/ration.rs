//! How much of a second goes into parsing: a flood of new shapes must not cost the usual clients their turn.
//!
//! What is left is kept for shapes that were met before, as a flood's are met once each.

/// Bytes of plain text parsed in a second at most, and at once; a parse counts for so many more bytes than it has.
/// With that, a look-up and a join were parsed at 10 to 28 bytes a microsecond: a twentieth of each second at most.
const RATE: f64 = 500_000.0;
const BURST: f64 = 100_000.0;
const OWN: f64 = 100.0;
/// The part that shapes met for the first time leave.
const KEPT: f64 = 0.5;
/// Bits that remember shapes met before; forgotten once a quarter of them is taken.
const BITS: usize = 1 << 16;

pub struct Ration {
    left: f64,
    at: f64,
    met: Box<[u64]>,
    count: usize,
}

impl Ration {
    pub fn new(now: f64) -> Ration {
        Ration { left: BURST, at: now, met: vec![0; BITS / 64].into(), count: 0 }
    }

    /// Whether a text of so many bytes may be parsed now; if so, it is counted.
    pub fn allows(&mut self, now: f64, shape: u128, bytes: usize) -> bool {
        self.left = (self.left + (now - self.at).max(0.0) * RATE).min(BURST);
        self.at = self.at.max(now);
        let price = bytes as f64 + OWN;
        let keep = if self.meet(shape) { 0.0 } else { BURST * KEPT };
        // One that is longer than a whole burst would never have its turn.
        let allowed = self.left - keep >= price.min(BURST * (1.0 - KEPT));
        self.left -= if allowed { price } else { 0.0 };
        allowed
    }

    /// Whether the shape was met before, as far as is remembered.
    fn meet(&mut self, shape: u128) -> bool {
        let bit = shape as usize % BITS;
        let (word, mask) = (bit / 64, 1 << (bit % 64));
        let met = self.met[word] & mask != 0;
        if !met {
            if self.count > BITS / 4 {
                self.met.fill(0);
                self.count = 0;
            }
            self.met[word] |= mask;
            self.count += 1;
        }
        met
    }
}
