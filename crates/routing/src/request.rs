//! The lifecycle of a request.
//!
//! ```text
//! Free -> Waiting -> InFlight -> (result) -> Free, or Waiting again
//!                    InFlight -> Cancelling -> (result) -> ...
//!         Waiting -> Free                        shed, or its client left
//!                    InFlight, Cancelling -> Abandoned -> (result) -> Free
//! ```
//!
//! Every change passes through [`Requests::transition`]. A request has at most one attempt in flight.

use std::collections::BTreeSet;

use crate::ids::{ClassId, EndpointId, GroupId, RequestId, Table};
use crate::retry::PossibleEffect;

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestState {
    /// Over, or never begun.
    Free,
    /// Held until an endpoint may take it.
    Waiting,
    /// An attempt is in flight.
    InFlight(EndpointId),
    /// The attempt was cancelled; its result is still to come.
    Cancelling(EndpointId),
    /// It has its final answer, or its client left, while an attempt is still in flight.
    Abandoned(EndpointId),
}

impl RequestState {
    /// The endpoint of the attempt in flight.
    pub(crate) fn endpoint(self) -> Option<EndpointId> {
        match self {
            RequestState::InFlight(endpoint)
            | RequestState::Cancelling(endpoint)
            | RequestState::Abandoned(endpoint) => Some(endpoint),
            RequestState::Free | RequestState::Waiting => None,
        }
    }
}

/// A request that the router holds. Times are in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TrackedRequest {
    /// Decides by which terms it is handled.
    pub(crate) class: ClassId,
    /// The group that it is for.
    pub(crate) group: GroupId,
    /// Its session, where there are sessions.
    pub(crate) session: Option<u64>,
    /// When it arrived.
    pub(crate) arrived_at: f64,
    /// How long its client waits from then on.
    pub(crate) time_left: f64,
    /// From here on an attempt would come too late to be worth anything.
    pub(crate) start_by: f64,
    /// The position an endpoint needs for its session's last write, where the client tells that.
    pub(crate) watermark: f64,
    /// Seconds that its own work takes over what is usual in its class; negative if it takes less.
    pub(crate) extra_work: f64,
    /// What waits is dispatched by this, highest first; in 1/s.
    pub(crate) priority: f64,
    /// The counter of its own samples.
    pub(crate) sample_counter: u64,
    /// Its priority weight; zero if it is a client's retry, as far as can be told.
    pub(crate) weight: f64,
    /// How many attempts were sent.
    pub(crate) attempts: u32,
    /// When the last attempt was sent; when the request arrived, if there was none.
    pub(crate) sent_at: f64,
    /// Where the last attempt was sent.
    pub(crate) last_endpoint: Option<EndpointId>,
    /// The earliest attempt that may have had an effect.
    pub(crate) possible_effect: Option<PossibleEffect>,
}

impl TrackedRequest {
    /// An attempt is sent.
    pub(crate) fn record_attempt(&mut self, now: f64, endpoint: EndpointId) {
        self.attempts += 1;
        self.sent_at = now;
        self.last_endpoint = Some(endpoint);
    }

    /// The attempt that was sent last may have had an effect.
    pub(crate) fn record_possible_effect(&mut self, endpoint: EndpointId) {
        self.possible_effect.get_or_insert(PossibleEffect { sent_at: self.sent_at, endpoint });
    }

    /// The order in which waiting requests are dispatched: highest priority first, then newest, as the oldest would come
    /// late.
    fn order(&self) -> (f64, f64) {
        (self.priority, self.arrived_at)
    }
}

/// All requests with their states, and the queue of those that wait in each group.
#[derive(Clone, Debug, Default)]
pub(crate) struct Requests {
    /// As many as were ever held at once.
    table: Table<RequestId, Entry>,
    queues: Table<GroupId, Vec<RequestId>>,
    /// The groups whose queue is not empty.
    groups_waiting: BTreeSet<GroupId>,
    /// The requests that have an attempt in flight.
    in_flight: BTreeSet<RequestId>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    request: TrackedRequest,
    /// Changed by [`Requests::transition`] alone.
    state: RequestState,
}

impl Requests {
    /// The request.
    pub(crate) fn get(&self, id: RequestId) -> &TrackedRequest {
        &self.table[id].request
    }

    /// The request, to be changed.
    pub(crate) fn get_mut(&mut self, id: RequestId) -> &mut TrackedRequest {
        &mut self.table[id].request
    }

    /// Where the request stands.
    pub(crate) fn state(&self, id: RequestId) -> RequestState {
        self.table[id].state
    }

    /// The identifiers of the requests that have an attempt in flight, in order.
    pub(crate) fn in_flight_ids(&self) -> impl ExactSizeIterator<Item = RequestId> {
        self.in_flight.iter().copied()
    }

    /// The requests that have an attempt in flight, and at which endpoint, in the order of their identifiers.
    pub(crate) fn in_flight(&self) -> impl Iterator<Item = (&TrackedRequest, EndpointId)> {
        let entries = self.in_flight_ids().map(|id| &self.table[id]);
        entries.filter_map(|entry| Some((&entry.request, entry.state.endpoint()?)))
    }

    /// The endpoints that a request which is held has an attempt at, or had its last or its first doubtful one at.
    pub(crate) fn endpoints_named(&self) -> BTreeSet<EndpointId> {
        let waiting = self.groups_waiting().flat_map(|group| self.waiting(group).iter().copied());
        let held = waiting.chain(self.in_flight_ids()).map(|id| &self.table[id]);
        let named = held.flat_map(|entry| {
            let doubtful = entry.request.possible_effect.map(|effect| effect.endpoint);
            [entry.state.endpoint(), entry.request.last_endpoint, doubtful]
        });
        named.flatten().collect()
    }

    /// The groups in which a request waits, in order.
    pub(crate) fn groups_waiting(&self) -> impl Iterator<Item = GroupId> {
        self.groups_waiting.iter().copied()
    }

    /// Takes a request in under an identifier that is free; it stays in state [`RequestState::Free`] for now.
    pub(crate) fn insert(&mut self, id: RequestId, request: TrackedRequest) {
        let entry = Entry { request, state: RequestState::Free };
        self.table.grow_to(id, || entry);
        self.table[id] = entry;
    }

    /// Has all requests ask for that position at the least, if they ask for any.
    pub(crate) fn raise_watermarks_to(&mut self, position: f64) {
        for entry in self.table.iter_mut() {
            entry.request.watermark = entry.request.watermark.max(position);
        }
    }

    /// The requests that wait in a group, in the order in which they are dispatched.
    pub(crate) fn waiting(&self, group: GroupId) -> &[RequestId] {
        self.queues.get(group).map_or(&[], Vec::as_slice)
    }

    /// The one way in which a request changes its state; returns the state that it had. The caller keeps count of the
    /// attempts in flight at each endpoint by it.
    pub(crate) fn transition(&mut self, id: RequestId, to: RequestState) -> RequestState {
        let Entry { request, state: from } = self.table[id];
        self.queues.grow_to(request.group, Vec::new);
        let queue = &mut self.queues[request.group];
        if from == RequestState::Waiting {
            queue.retain(|other| *other != id);
        }
        if to == RequestState::Waiting {
            let is_ahead = |other: &RequestId| self.table[*other].request.order() >= request.order();
            let position = queue.partition_point(is_ahead);
            queue.insert(position, id);
        }
        if queue.is_empty() {
            self.groups_waiting.remove(&request.group);
        } else {
            self.groups_waiting.insert(request.group);
        }
        if to.endpoint().is_some() {
            self.in_flight.insert(id);
        } else {
            self.in_flight.remove(&id);
        }
        self.table[id].state = to;
        from
    }
}
