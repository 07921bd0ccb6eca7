//! The requests in flight, by the numbers that the routing module gave them.

use ottersill_routing::statement_ids::HeldId;
use ottersill_statement::fingerprint_cache::CacheKey;

use crate::counters::Counters;
use crate::protocol::statement_text::StatementText;

/// The phase of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestPhase {
    /// No request has this number.
    #[default]
    Vacant,
    /// The routing module has deferred the request, or is about to decide about it.
    Waiting,
    /// An attempt is in flight on the backend connection with that number.
    AttemptInFlight(usize),
    /// The client has disconnected; an attempt is still in flight on the backend connection with that number.
    Abandoned(usize),
}

impl RequestPhase {
    /// Returns whether the transition from this phase to `next` is allowed. Vacant to Waiting accepts a request; the way back to
    /// Vacant is the final answer, the client's disconnect, or the end of an abandoned attempt.
    pub fn may_become(self, next: RequestPhase) -> bool {
        use RequestPhase::*;
        match (self, next) {
            (Vacant, Waiting) | (Waiting, Vacant | AttemptInFlight(_)) => true,
            (AttemptInFlight(_), Waiting | Vacant) | (Abandoned(_), Vacant) => true,
            (AttemptInFlight(connection), Abandoned(same)) => connection == same,
            _ => false,
        }
    }
}

/// A request from its acceptance to its final answer.
#[derive(Debug, Default)]
pub struct InFlightRequest {
    /// Changed only by [`InFlightRequests::transition`].
    pub phase: RequestPhase,
    /// The number of its client connection.
    pub client: usize,
    /// The number of the statement's `id`, by which endpoints recognize attempts of the same statement.
    pub id: u64,
    /// Keeps other statements from using the id; none once no attempt can be in flight any more.
    pub held_id: Option<HeldId>,
    /// The statement. It is kept after its message is processed, as it may be sent more than once, and is dropped with the final
    /// answer.
    pub text: StatementText,
    /// The key of its fingerprint in the fingerprint cache.
    pub cache_key: Option<CacheKey>,
    /// When its first byte arrived, in Unix seconds.
    pub arrived_at: f64,
    /// When its client stops waiting, in Unix seconds.
    pub deadline: f64,
    /// Whether the statement may write.
    pub may_write: bool,
    /// Whether an attempt has ended that may have run.
    pub may_have_run: bool,
}

/// The requests in flight. Grows to the largest number that was in flight at the same time, as numbers are reused.
#[derive(Default)]
pub struct InFlightRequests {
    by_id: Vec<InFlightRequest>,
    in_flight: usize,
}

impl InFlightRequests {
    /// Adds a request under the id that the routing module assigned.
    pub fn insert(&mut self, index: usize, new: InFlightRequest, counters: &mut Counters) {
        self.by_id.resize_with(self.by_id.len().max(index + 1), InFlightRequest::default);
        counters.check_invariant(
            self.by_id[index].phase == RequestPhase::Vacant,
            "a number is given to one request at a time",
        );
        let phase = self.by_id[index].phase;
        self.by_id[index] = InFlightRequest { phase, ..new };
        self.transition(index, RequestPhase::Waiting, counters);
    }

    /// Changes a request's phase; the only place that does so.
    pub fn transition(&mut self, index: usize, next: RequestPhase, counters: &mut Counters) {
        let request = &mut self.by_id[index];
        counters.check_invariant(
            request.phase.may_become(next),
            "a request changes its phase only as RequestPhase::may_become allows",
        );
        match (request.phase, next) {
            (RequestPhase::Vacant, _) => self.in_flight += 1,
            (_, RequestPhase::Vacant) => {
                self.in_flight -= 1;
                request.held_id = None;
                request.text = StatementText::default();
            }
            // An abandoned request is never sent again.
            (_, RequestPhase::Abandoned(_)) => request.text = StatementText::default(),
            _ => {}
        }
        request.phase = next;
    }

    /// Returns the request with that number, if it is in flight.
    pub fn get(&self, index: usize) -> Option<&InFlightRequest> {
        self.by_id.get(index).filter(|request| request.phase != RequestPhase::Vacant)
    }

    /// Records that an attempt has ended that may have run.
    pub fn record_may_have_run(&mut self, index: usize) {
        self.by_id[index].may_have_run = true;
    }

    /// Returns the number of requests in flight.
    pub fn count(&self) -> usize {
        self.in_flight
    }
}
