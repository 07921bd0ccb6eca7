//! InFlightRequests in hand, by the number that the facade gave them.

use std::collections::BTreeSet;

use ottersill_statement::fingerprint_cache::CacheKey;

use crate::counters::Counters;
use crate::protocol::statement_text::StatementText;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPhase {
    /// No statement has this number.
    Vacant,
    /// The facade said to wait, or is about to say.
    Waiting,
    /// An execution is out on that line.
    Executing(usize),
    /// The client left; an execution is still out on that line.
    Abandoned(usize),
}

impl RequestPhase {
    /// The ways a statement may go. Vacant to Waiting is the taking in; back to Vacant is the final answer, the
    /// client's leaving, or the end of an orphan.
    pub fn may_become(self, next: RequestPhase) -> bool {
        use RequestPhase::*;
        match (self, next) {
            (Vacant, Waiting) | (Waiting, Vacant | Executing(_)) => true,
            (Executing(_), Waiting | Vacant) | (Abandoned(_), Vacant) => true,
            (Executing(line), Abandoned(same)) => line == same,
            _ => false,
        }
    }
}

#[derive(Clone, Debug)]
pub struct InFlightRequest {
    pub phase: RequestPhase,
    pub client: usize,
    /// Of the statement's `id`, by which hosts know its copies.
    pub id: u64,
    /// Outlives the message it came in, as it may be sent more than once; dropped with the final answer.
    pub text: StatementText,
    /// What is known of its shape stands there.
    pub cache_key: Option<CacheKey>,
    /// When its client stops waiting.
    pub deadline: f64,
    /// An execution of it has ended that may have run.
    pub may_have_run: bool,
}

/// Grows to as many as were ever in hand at once; the facade's numbers are used again.
#[derive(Default)]
pub struct InFlightRequests {
    by_id: Vec<InFlightRequest>,
    in_flight: usize,
    /// The ids of those in hand; each leaves with its statement.
    ids: BTreeSet<u64>,
}

impl InFlightRequests {
    /// A statement enters under the number that the facade gave it.
    pub fn insert(&mut self, index: usize, new: InFlightRequest, counters: &mut Counters) {
        let vacant = InFlightRequest { phase: RequestPhase::Vacant, text: StatementText::default(), ..new };
        self.by_id.resize(self.by_id.len().max(index + 1), vacant);
        counters.check_invariant(
            self.by_id[index].phase == RequestPhase::Vacant,
            "a number is given to one statement at a time",
        );
        let phase = self.by_id[index].phase;
        self.by_id[index] = InFlightRequest { phase, ..new };
        self.transition(index, RequestPhase::Waiting, counters);
    }

    /// Every change of a statement's stage.
    pub fn transition(&mut self, index: usize, next: RequestPhase, counters: &mut Counters) {
        let request = &mut self.by_id[index];
        counters.check_invariant(request.phase.may_become(next), "a statement goes its ways only");
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

    pub fn get(&self, index: usize) -> Option<&InFlightRequest> {
        self.by_id.get(index).filter(|request| request.phase != RequestPhase::Vacant)
    }

    /// An execution of it has ended, and may have run.
    pub fn note_may_have_run(&mut self, index: usize) {
        self.by_id[index].may_have_run = true;
    }

    pub fn contains_id(&self, id: u64) -> bool {
        self.ids.contains(&id)
    }

    pub fn count(&self) -> usize {
        self.in_flight
    }
}
