//! Answers requests for units while this node is leader.

use crate::election::Ballot;
use crate::envelope::{QuotaReply, QuotaRequest};
use crate::quota_ledger::{LedgerLine, QuotaLedger};
use crate::settings::{FleetConfig, Process};

#[derive(Default)]
pub(super) struct QuotaServer {
    /// Of the present term, once somebody asked in it.
    ledger: Option<QuotaLedger>,
}

impl QuotaServer {
    /// The reply to a request that came in that term of this node; none to a router that leaves.
    pub(super) fn handle_request(
        &mut self,
        now: f64,
        term: Ballot,
        config: &FleetConfig,
        from: &Process,
        request: &QuotaRequest,
    ) -> Option<QuotaReply> {
        let ledger = self.ledger_of(now, term);
        if request.leaving {
            ledger.holder_left(now, from, request.request_id, config);
            return None;
        }
        let mut grants = Vec::new();
        // A router that has not heard of this term is only told of it: what it reports may be of any time.
        if request.seen == term {
            let requests = request.budgets.iter();
            // A budget that is refused is left out; the router asks again.
            let granted = requests
                .filter_map(|budget| ledger.request(now, config, from, request.request_id, budget).ok());
            grants.extend(granted);
        }
        Some(QuotaReply { request_id: request.request_id, to: from.incarnation, term, grants })
    }

    fn ledger_of(&mut self, now: f64, term: Ballot) -> &mut QuotaLedger {
        let current = self.ledger.take().filter(|ledger| ledger.term() == term);
        self.ledger.insert(current.unwrap_or_else(|| QuotaLedger::new(now, term)))
    }

    /// Forgets everything: this node is not leader, or in another term from now on.
    pub(super) fn close(&mut self) {
        self.ledger = None;
    }

    pub(super) fn lines(&self, now: f64) -> Vec<LedgerLine> {
        self.ledger.as_ref().map_or_else(Vec::new, |ledger| ledger.lines(now))
    }
}
