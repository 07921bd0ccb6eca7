//! The excluded endpoints that have left the endpoint list, in order, and the endpoint indices that are vacant.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::EndpointId;

/// When an endpoint left, in seconds, and its number in the order of departures.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Departure {
    number: u64,
    at: f64,
}

impl Departure {
    /// When the endpoint left, in seconds.
    pub(crate) fn at(&self) -> f64 {
        self.at
    }
}

/// The endpoints that have left, and the vacant indices.
#[derive(Clone, Debug, Default)]
pub(crate) struct Departures {
    /// The endpoints by their number in the order of departures.
    departed: BTreeMap<u64, EndpointId>,
    next_number: u64,
    /// Indices that belong to no endpoint, although they are lower than the highest in use.
    vacant: BTreeSet<EndpointId>,
}

impl Departures {
    /// Records whether an endpoint has left according to its new entry in the list; `departure` is that of the
    /// endpoint.
    pub(crate) fn record(
        &mut self,
        now: f64,
        id: EndpointId,
        departure: &mut Option<Departure>,
        has_left: bool,
    ) {
        if !has_left && let Some(departure) = departure.take() {
            self.departed.remove(&departure.number);
        }
        if has_left && departure.is_none() {
            *departure = Some(Departure { number: self.next_number, at: now });
            self.departed.insert(self.next_number, id);
            self.next_number += 1;
        }
    }

    /// The endpoints that have left, in the order in which they left.
    pub(crate) fn departed(&self) -> impl ExactSizeIterator<Item = EndpointId> {
        self.departed.values().copied()
    }

    /// The number of vacant indices.
    pub(crate) fn vacant_indices(&self) -> usize {
        self.vacant.len()
    }

    /// Makes the index of an endpoint that has left vacant.
    pub(crate) fn release_index(&mut self, id: EndpointId, departure: Departure) {
        self.departed.remove(&departure.number);
        self.vacant.insert(id);
    }

    /// Reuses a vacant index; returns false if the index is not vacant.
    pub(crate) fn reuse_index(&mut self, id: EndpointId) -> bool {
        self.vacant.remove(&id)
    }
}
