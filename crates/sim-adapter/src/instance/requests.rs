//! Requests by their number on the wire and by index.

use std::collections::HashMap;

use crate::wire::RequestId;

/// The requests of an instance. An index is free again once its request has the final answer and none of its attempts is
/// in flight.
#[derive(Default)]
pub(super) struct RequestTable {
    by_id: HashMap<RequestId, usize>,
    /// As many as were ever open at once.
    slots: Vec<Slot>,
    free: Vec<usize>,
}

struct Slot {
    id: RequestId,
    attempts_in_flight: u32,
    /// It has its final answer, or its client is gone.
    finished: bool,
}

impl RequestTable {
    pub(super) fn index_of(&self, id: RequestId) -> Option<usize> {
        self.by_id.get(&id).copied()
    }

    pub(super) fn id(&self, index: usize) -> RequestId {
        self.slots[index].id
    }

    /// Takes in a new request and returns its index.
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

    /// An attempt ended; `finished` if the request has its final answer by now. The index stays taken until
    /// [`RequestTable::release_if_finished`].
    pub(super) fn attempt_ended(&mut self, index: usize, finished: bool) {
        let slot = &mut self.slots[index];
        slot.attempts_in_flight = slot.attempts_in_flight.saturating_sub(1);
        slot.finished |= finished;
    }

    /// Marks the request as finished. Returns whether it was open before.
    pub(super) fn finish(&mut self, index: usize) -> bool {
        !std::mem::replace(&mut self.slots[index].finished, true)
    }

    /// Frees the index if nothing is to come for its request any more.
    pub(super) fn release_if_finished(&mut self, index: usize) {
        let slot = &self.slots[index];
        let is_unused = slot.finished && slot.attempts_in_flight == 0;
        if is_unused && self.by_id.remove(&slot.id).is_some() {
            self.free.push(index);
        }
    }
}
