//! The lifecycle of a request.
//!
//! ```text
//! Free -> Waiting -> InFlight -> (result) -> Free, or Waiting again
//!                    InFlight -> Cancelling -> (result) -> ...
//!         Waiting -> Free                       shed, or its client left
//!                    InFlight, Cancelling -> Abandoned -> (result) -> Free
//! ```
//!
//! Every change of state goes through [`Requests::transition`]. A request has at most one attempt in flight.

use std::collections::BTreeSet;

use crate::ids::{ClassId, EndpointId, GroupId, RequestId, Table};
use crate::retry::PossibleEffect;

/// State of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestState {
    /// Finished, or never started.
    Free,
    /// Waiting for an endpoint that accepts it.
    Waiting,
    /// An attempt is in flight.
    InFlight(EndpointId),
    /// The attempt was cancelled; its result is still outstanding.
    Cancelling(EndpointId),
    /// The request has its final answer, or its client left, while an attempt is still in flight.
    Abandoned(EndpointId),
}

impl RequestState {
    /// Returns the endpoint of the attempt in flight.
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
    /// Selects the settings that apply to the request.
    pub(crate) class: ClassId,
    /// The group that it is sent to.
    pub(crate) group: GroupId,
    /// Its session, if there are sessions.
    pub(crate) session: Option<u64>,
    /// Time of arrival.
    pub(crate) arrived_at: f64,
    /// Seconds that its client waits, counted from the arrival.
    pub(crate) time_left: f64,
    /// Time from which on an attempt would come too late to have any value.
    pub(crate) start_by: f64,
    /// Replication position that an endpoint needs in order to have the session's last write, if the client states one.
    pub(crate) watermark: f64,
    /// Seconds of work beyond what is usual in its class; negative if it takes less.
    pub(crate) extra_work: f64,
    /// Priority in 1/s; waiting requests are dispatched in descending order of it.
    pub(crate) priority: f64,
    /// Sampler counter that its own samples are drawn with.
    pub(crate) sample_counter: u64,
    /// Its priority weight; zero if it is detected to be a client's retry.
    pub(crate) weight: f64,
    /// Number of attempts sent.
    pub(crate) attempts: u32,
    /// When the last attempt was sent; the time of arrival if there was none.
    pub(crate) sent_at: f64,
    /// Endpoint of the last attempt.
    pub(crate) last_endpoint: Option<EndpointId>,
    /// The earliest attempt that may have had an effect.
    pub(crate) possible_effect: Option<PossibleEffect>,
}

impl TrackedRequest {
    /// Records that an attempt is sent.
    pub(crate) fn record_attempt(&mut self, now: f64, endpoint: EndpointId) {
        self.attempts += 1;
        self.sent_at = now;
        self.last_endpoint = Some(endpoint);
    }

    /// Records that the last attempt sent may have had an effect.
    pub(crate) fn record_possible_effect(&mut self, endpoint: EndpointId) {
        self.possible_effect.get_or_insert(PossibleEffect { sent_at: self.sent_at, endpoint });
    }

    /// Sort key of a group's queue: highest priority first, then newest, since the oldest requests would be answered
    /// late.
    fn order(&self) -> (f64, f64) {
        (self.priority, self.arrived_at)
    }
}

/// All requests with their states, and for each group the queue of its waiting requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Requests {
    /// Has as many entries as requests were ever held at once.
    table: Table<RequestId, Entry>,
    queues: Table<GroupId, Vec<RequestId>>,
    /// Groups whose queue is not empty.
    groups_waiting: BTreeSet<GroupId>,
    /// Requests that have an attempt in flight.
    in_flight: BTreeSet<RequestId>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    request: TrackedRequest,
    /// Changed only by [`Requests::transition`].
    state: RequestState,
}

impl Requests {
    pub(crate) fn get(&self, id: RequestId) -> &TrackedRequest {
        &self.table[id].request
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> &mut TrackedRequest {
        &mut self.table[id].request
    }

    pub(crate) fn state(&self, id: RequestId) -> RequestState {
        self.table[id].state
    }

    /// Returns the identifiers of the requests that have an attempt in flight, in ascending order.
    pub(crate) fn in_flight_ids(&self) -> impl ExactSizeIterator<Item = RequestId> {
        self.in_flight.iter().copied()
    }

    /// Returns the requests that have an attempt in flight, each with the endpoint of that attempt, in ascending order
    /// of their identifiers.
    pub(crate) fn in_flight(&self) -> impl Iterator<Item = (&TrackedRequest, EndpointId)> {
        let entries = self.in_flight_ids().map(|id| &self.table[id]);
        entries.filter_map(|entry| Some((&entry.request, entry.state.endpoint()?)))
    }

    /// Returns the endpoints that a held request refers to: that of its attempt in flight, that of its last attempt,
    /// and that of its earliest attempt that may have had an effect.
    pub(crate) fn referenced_endpoints(&self) -> BTreeSet<EndpointId> {
        let waiting = self.groups_waiting().flat_map(|group| self.waiting(group).iter().copied());
        let held = waiting.chain(self.in_flight_ids()).map(|id| &self.table[id]);
        let named = held.flat_map(|entry| {
            let possibly_affected = entry.request.possible_effect.map(|effect| effect.endpoint);
            [entry.state.endpoint(), entry.request.last_endpoint, possibly_affected]
        });
        named.flatten().collect()
    }

    /// Returns the groups in which a request waits, in ascending order.
    pub(crate) fn groups_waiting(&self) -> impl Iterator<Item = GroupId> {
        self.groups_waiting.iter().copied()
    }

    /// Adds a request under a free identifier; its state is [`RequestState::Free`] at first.
    pub(crate) fn insert(&mut self, id: RequestId, request: TrackedRequest) {
        let entry = Entry { request, state: RequestState::Free };
        self.table.grow_to(id, || entry);
        self.table[id] = entry;
    }

    /// Raises the watermark of all requests to at least this position; it has no effect on requests that require none.
    pub(crate) fn raise_watermarks_to(&mut self, position: f64) {
        for entry in self.table.iter_mut() {
            entry.request.watermark = entry.request.watermark.max(position);
        }
    }

    /// Returns the requests that wait in a group, in the order in which they are dispatched.
    pub(crate) fn waiting(&self, group: GroupId) -> &[RequestId] {
        self.queues.get(group).map_or(&[], Vec::as_slice)
    }

    /// Changes the state of a request and returns its previous state; no other function changes it. The caller uses the
    /// result to count the attempts in flight at each endpoint.
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
