//! The state of a node and of the fleet as the node knows it, for the caller and for operators.

use super::{Counters, FleetNode};
use crate::local_quota::LocalQuota;
use crate::membership::Member;
use crate::quota_ledger::{BudgetKey, LedgerEntry};
use crate::settings::{FleetConfig, Process};

impl FleetNode {
    /// Returns the identity of this process.
    pub fn process(&self) -> &Process {
        self.transport.process()
    }

    /// Returns this member's settings.
    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// Returns this process's quota of each budget.
    pub fn quotas(&self) -> impl Iterator<Item = (&BudgetKey, &LocalQuota)> {
        self.quota_client.quotas()
    }

    /// Returns the members that this member knows.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.membership.members()
    }

    /// Returns the name of the leader, if this member knows it.
    pub fn leader(&self) -> Option<&str> {
        self.quota_client.leader()
    }

    /// Returns whether this process is leader at `now`.
    pub fn is_leader(&self, now: f64) -> bool {
        self.elections.term(now).is_some()
    }

    /// Returns every holder's account of every budget; empty unless this process is leader.
    pub fn ledger_entries(&self, now: f64) -> Vec<LedgerEntry> {
        if self.is_leader(now) { self.quota_server.entries(now) } else { Vec::new() }
    }

    /// Returns the event counts since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }
}
