//! Counts the work that handling one source causes, so that no source is handled for longer than its share.

use ottersill_routing::fair_queue::ORDINARY_SHARE;

/// Bytes of a message whose handling is counted as one unit of work, beyond the one for the message.
const BYTES_PER_UNIT: usize = 1024;

/// Bytes that are read and discarded for one unit of work.
const DISCARDED_BYTES_PER_UNIT: usize = 16 * 1024;

/// The work of the current visit to a source, in the units of [`ottersill_routing::fair_queue`].
#[derive(Clone, Copy, Debug)]
pub struct WorkMeter {
    messages: u64,
    units: u64,
    /// The work at which the share in use ends.
    share_end: u64,
}

impl Default for WorkMeter {
    fn default() -> WorkMeter {
        WorkMeter { messages: 0, units: 0, share_end: ORDINARY_SHARE }
    }
}

impl WorkMeter {
    /// Counts one message, datagram or accepted connection of that length, in bytes.
    pub fn count_message(&mut self, bytes: usize) {
        self.messages += 1;
        self.units += 1 + (bytes / BYTES_PER_UNIT) as u64;
    }

    /// Counts bytes that were read and discarded.
    pub fn count_discarded(&mut self, bytes: usize) {
        self.units += 1 + (bytes / DISCARDED_BYTES_PER_UNIT) as u64;
    }

    /// Returns the units of work in this visit so far.
    pub fn units(&self) -> u64 {
        self.units
    }

    /// Begins a share of this many units within the visit.
    pub fn begin_share(&mut self, units: u64) {
        self.share_end = self.units + units;
    }

    /// Returns whether the share in use is used up.
    pub fn is_share_used(&self) -> bool {
        self.units >= self.share_end
    }

    /// Ends the visit. Returns the number of messages and of units of work in it.
    pub fn end_visit(&mut self) -> (u64, u64) {
        let WorkMeter { messages, units, .. } = std::mem::take(self);
        (messages, units)
    }
}
