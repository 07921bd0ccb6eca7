//! The requests in flight, by the number that the routing module gave them.

use std::collections::BTreeSet;

use ottersill_statement::fingerprint_cache::CacheKey;

use crate::counters::Counters;
use crate::protocol::statement_text::StatementText;

/// The phase of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPhase {
    /// No statement has this number.
    Vacant,
    /// The routing module said to wait, or is about to decide.
    Waiting,
    /// An attempt is in flight on that backend connection.
    Executing(usize),
    /// The client left; an attempt is still in flight on that backend connection.
    Abandoned(usize),
}

impl RequestPhase {
    /// The ways a statement may go. Vacant to Waiting is the taking in; back to Vacant is the final answer, the
    /// client's leaving, or the end of an abandoned attempt.
    pub fn may_become(self, next: RequestPhase) -> bool {
        use RequestPhase::*;
        match (self, next) {
            (Vacant, Waiting) | (Waiting, Vacant | Executing(_)) => true,
            (Executing(_), Waiting | Vacant) | (Abandoned(_), Vacant) => true,
            (Executing(connection), Abandoned(same)) => connection == same,
            _ => false,
        }
    }
}

/// A request from its acceptance to its final answer.
#[derive(Clone, Debug)]
pub struct InFlightRequest {
    /// Changed by [`InFlightRequests::transition`] alone.
    pub phase: RequestPhase,
    /// The number of its client connection.
    pub client: usize,
    /// Of the statement's `id`, by which endpoints know its copies.
    pub id: u64,
    /// Outlives the message it came in, as it may be sent more than once; dropped with the final answer.
    pub text: StatementText,
    /// What is known of its fingerprint is stored there.
    pub cache_key: Option<CacheKey>,
    /// When its client stops waiting.
    pub deadline: f64,
    /// An attempt of it has ended that may have run.
    pub may_have_run: bool,
}

/// Grows to as many as were ever in flight at once; the numbers are used again.
#[derive(Default)]
pub struct InFlightRequests {
    by_id: Vec<InFlightRequest>,
    in_flight: usize,
    /// The ids of those in hand; each leaves with its statement.
    ids: BTreeSet<u64>,
}

impl InFlightRequests {
    /// A request enters under the number that the routing module gave it.
    pub fn insert(&mut self, index: usize, new: InFlightRequest, counters: &mut Counters) {
        let vacant = InFlightRequest { phase: RequestPhase::Vacant, text: StatementText::default(), ..new };
        self.by_id.resize(self.by_id.len().max(index + 1), vacant);
        counters.check_invariant(
            self.by_id[index].phase == RequestPhase::Vacant,
            "a number is given to one request at a time",
        );
        let phase = self.by_id[index].phase;
        self.by_id[index] = InFlightRequest { phase, ..new };
        self.transition(index, RequestPhase::Waiting, counters);
    }

    /// Every change of a request's phase.
    pub fn transition(&mut self, index: usize, next: RequestPhase, counters: &mut Counters) {
        let request = &mut self.by_id[index];
        counters.check_invariant(request.phase.may_become(next), "a request changes its phase as allowed");
        match (request.phase, next) {
            (RequestPhase::Vacant, _) => {
                self.in_flight += 1;
                self.ids.insert(request.id);
            }
            (_, RequestPhase::Vacant) => {
                self.in_flight -= 1;
                self.ids.remove(&request.id);
                request.text = StatementText::default();
            }
            // Never sent again.
            (_, RequestPhase::Abandoned(_)) => request.text = StatementText::default(),
            _ => {}
        }
        request.phase = next;
    }

    /// The request with that number, if one is in flight.
    pub fn get(&self, index: usize) -> Option<&InFlightRequest> {
        self.by_id.get(index).filter(|request| request.phase != RequestPhase::Vacant)
    }

    /// An attempt of it has ended, and may have run.
    pub fn note_may_have_run(&mut self, index: usize) {
        self.by_id[index].may_have_run = true;
    }

    /// Whether a request with that statement id is in flight.
    pub fn contains_id(&self, id: u64) -> bool {
        self.ids.contains(&id)
    }

    /// How many are in flight.
    pub fn count(&self) -> usize {
        self.in_flight
    }
}
