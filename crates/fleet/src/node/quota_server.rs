//! Answers requests for units while this node is leader.

use crate::election::Ballot;
use crate::envelope::{QuotaReply, QuotaRequest};
use crate::quota_ledger::{LedgerEntry, QuotaLedger};
use crate::settings::{FleetConfig, Process};

#[derive(Default)]
pub(super) struct QuotaServer {
    /// The ledger of the current term, created by the first request.
    ledger: Option<QuotaLedger>,
}

impl QuotaServer {
    /// Handles a request received in `term` of this node. Returns the reply; there is none to a router that leaves.
    pub(super) fn handle_request(
        &mut self,
        now: f64,
        term: Ballot,
        config: &FleetConfig,
        from: &Process,
        request: &QuotaRequest,
    ) -> Option<QuotaReply> {
        let ledger = self.ledger_for(now, term);
        if request.leaving {
            ledger.holder_left(now, from, request.request_id, config);
            return None;
        }
        let mut grants = Vec::new();
        // A router that does not know this term yet only gets to know it: its report may be arbitrarily old.
        if request.newest_known_term == term {
            let requests = request.budgets.iter();
            // The reply omits budgets whose request is refused; the router requests them again.
            let granted = requests
                .filter_map(|budget| ledger.request(now, config, from, request.request_id, budget).ok());
            grants.extend(granted);
        }
        Some(QuotaReply { request_id: request.request_id, to_incarnation: from.incarnation, term, grants })
    }

    fn ledger_for(&mut self, now: f64, term: Ballot) -> &mut QuotaLedger {
        let current = self.ledger.take().filter(|ledger| ledger.term() == term);
        self.ledger.insert(current.unwrap_or_else(|| QuotaLedger::new(now, term)))
    }

    /// Drops the ledger, when this node is no longer leader or starts another term.
    pub(super) fn discard_ledger(&mut self) {
        self.ledger = None;
    }

    pub(super) fn entries(&self, now: f64) -> Vec<LedgerEntry> {
        self.ledger.as_ref().map_or_else(Vec::new, |ledger| ledger.entries(now))
    }
}
