//! The mapping between request numbers on the wire and request indices of routing.

use std::collections::HashMap;

use crate::wire::RequestId;

/// The requests of an instance. An index can be reused once its request has the final answer and none of its attempts is
/// in flight.
#[derive(Default)]
pub(super) struct RequestTable {
    by_id: HashMap<RequestId, usize>,
    /// Grows to the largest number of requests that were open at the same time.
    slots: Vec<Slot>,
    free: Vec<usize>,
}

struct Slot {
    id: RequestId,
    attempts_in_flight: u32,
    /// Whether the request has its final answer, or its client has disconnected.
    finished: bool,
}

impl RequestTable {
    pub(super) fn index_of(&self, id: RequestId) -> Option<usize> {
        self.by_id.get(&id).copied()
    }

    pub(super) fn id(&self, index: usize) -> RequestId {
        self.slots[index].id
    }

    /// Adds a request and returns its index.
    pub(super) fn insert(&mut self, id: RequestId) -> usize {
        let slot = Slot { id, attempts_in_flight: 0, finished: false };
        let index = match self.free.pop() {
            Some(index) => {
                self.slots[index] = slot;
                index
            }
            None => {
                self.slots.push(slot);
                self.slots.len() - 1
            }
        };
        self.by_id.insert(id, index);
        index
    }

    pub(super) fn attempt_started(&mut self, index: usize) {
        self.slots[index].attempts_in_flight += 1;
    }

    /// Records the end of an attempt. `finished` says whether the request has its final answer by now. The index stays in
    /// use until [`RequestTable::release_if_finished`].
    pub(super) fn attempt_ended(&mut self, index: usize, finished: bool) {
        let slot = &mut self.slots[index];
        slot.attempts_in_flight = slot.attempts_in_flight.saturating_sub(1);
        slot.finished |= finished;
    }

    /// Marks the request as finished. Returns whether it was open before.
    pub(super) fn finish(&mut self, index: usize) -> bool {
        !std::mem::replace(&mut self.slots[index].finished, true)
    }

    /// Frees the index if its request is finished and none of its attempts is in flight.
    pub(super) fn release_if_finished(&mut self, index: usize) {
        let slot = &self.slots[index];
        let is_unused = slot.finished && slot.attempts_in_flight == 0;
        if is_unused && self.by_id.remove(&slot.id).is_some() {
            self.free.push(index);
        }
    }
}
