//! Which excluded endpoints have left the endpoint list, in which order, and which indices stand for no endpoint.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::EndpointId;

/// When an endpoint left, and as which one of all.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Departure {
    number: u64,
    at: f64,
}

impl Departure {
    /// When the endpoint left.
    pub(crate) fn at(&self) -> f64 {
        self.at
    }
}

/// The endpoints that have left, and the indices that are free.
#[derive(Clone, Debug, Default)]
pub(crate) struct Departures {
    /// By the order in which they left.
    departed: BTreeMap<u64, EndpointId>,
    next_number: u64,
    /// Indices below the highest that stand for no endpoint.
    vacant: BTreeSet<EndpointId>,
}

impl Departures {
    /// Takes over whether an endpoint has left by its new entry in the list; `departure` is that endpoint's.
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

    /// The endpoints that have left, in that order.
    pub(crate) fn departed(&self) -> impl ExactSizeIterator<Item = EndpointId> {
        self.departed.values().copied()
    }

    /// How many indices stand for no endpoint.
    pub(crate) fn vacant(&self) -> usize {
        self.vacant.len()
    }

    /// From now on the index of an endpoint that has left stands for none.
    pub(crate) fn vacate(&mut self, id: EndpointId, departure: Departure) {
        self.departed.remove(&departure.number);
        self.vacant.insert(id);
    }

    /// Takes an index into use again; false if it stands for an endpoint.
    pub(crate) fn occupy(&mut self, id: EndpointId) -> bool {
        self.vacant.remove(&id)
    }
}
