//! When the bytes of a client's inbox arrived.

use std::collections::VecDeque;

/// Number of arrival times kept for one client; bytes that arrive beyond these are counted with the last of them.
const MAX_ARRIVALS: usize = 64;

/// Arrival times of the bytes in an inbox. Times are Unix seconds.
#[derive(Debug, Default)]
pub struct Arrivals {
    /// Oldest first: a number of bytes, and when they arrived.
    chunks: VecDeque<(usize, f64)>,
}

impl Arrivals {
    /// Brings the arrival times in line with the length of the inbox; to be called after each read into the inbox and each
    /// removal from it. Bytes that are new count as having arrived at `now`.
    pub fn sync(&mut self, inbox_bytes: usize, now: f64) {
        let recorded: usize = self.chunks.iter().map(|(bytes, _)| bytes).sum();
        let added = inbox_bytes.saturating_sub(recorded);
        let full = self.chunks.len() >= MAX_ARRIVALS;
        match self.chunks.back_mut() {
            Some((bytes, _)) if full => *bytes += added,
            _ if added > 0 => self.chunks.push_back((added, now)),
            _ => {}
        }
        let mut removed = recorded.saturating_sub(inbox_bytes);
        while let Some((bytes, _)) = self.chunks.front_mut().filter(|_| removed > 0) {
            let dropped = removed.min(*bytes);
            (*bytes, removed) = (*bytes - dropped, removed - dropped);
            if *bytes == 0 {
                self.chunks.pop_front();
            }
        }
    }

    /// Returns when the byte at `offset` in the inbox arrived; `now` for a byte that is not recorded.
    pub fn time_of(&self, offset: usize, now: f64) -> f64 {
        let mut end = 0;
        let arrival = self.chunks.iter().find(|(bytes, _)| {
            end += bytes;
            offset < end
        });
        arrival.map_or(now, |(_, arrived_at)| *arrived_at)
    }

    /// Forgets all arrivals and releases their memory.
    pub fn clear(&mut self) {
        self.chunks = VecDeque::new();
    }
}
