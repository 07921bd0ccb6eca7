//! What a node knows of itself and of the fleet, for its caller and for operators.

use super::{Counters, FleetNode};
use crate::local_quota::LocalQuota;
use crate::membership::Member;
use crate::quota_ledger::{BudgetKey, LedgerLine};
use crate::settings::{FleetConfig, Process};

impl FleetNode {
    /// This process.
    pub fn process(&self) -> &Process {
        self.transport.process()
    }

    /// Its settings.
    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// What this process has of each budget.
    pub fn quotas(&self) -> impl Iterator<Item = (&BudgetKey, &LocalQuota)> {
        self.quota_client.quotas()
    }

    /// The members that this one knows.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.membership.members()
    }

    /// The name of the leader, as far as this member knows it.
    pub fn leader(&self) -> Option<&str> {
        self.quota_client.leader()
    }

    /// Whether this process is leader at this instant.
    pub fn is_leader(&self, now: f64) -> bool {
        self.elections.term(now).is_some()
    }

    /// Every holder's part of every budget; nothing unless this process is leader.
    pub fn ledger_lines(&self, now: f64) -> Vec<LedgerLine> {
        if self.is_leader(now) { self.quota_server.lines(now) } else { Vec::new() }
    }

    /// Counts since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }
}
