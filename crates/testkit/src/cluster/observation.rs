//! Observations of a running cluster: the routers' answers to operators, their logs and audit files, and their CPU time.

use std::collections::BTreeMap;
use std::fs;
use std::time::Duration;

use serde_json::Value;

use crate::audit::{self, BudgetLimit, Records, Verdict};
use crate::clock::unix_seconds;
use crate::stand_in::Client;

use super::control_client::{held_units, is_leader, query};
use super::{Cluster, ClusterError};

/// Timeout for the greeting of a router.
const GREETING_TIMEOUT: Duration = Duration::from_secs(1);
/// Audit entries younger than this are ignored: the files are read one after the other while the routers continue to
/// write, so the newest entries of some routers are missing.
const AUDIT_MARGIN_SECONDS: f64 = 0.05;

impl Cluster {
    /// Returns whether a router answers clients.
    pub fn is_ready(&self, index: usize) -> bool {
        Client::connect(self.routers[index].listen).is_ok_and(|mut client| {
            client.socket.set_read_timeout(Some(GREETING_TIMEOUT)).is_ok() && client.read_answer().is_ok()
        })
    }

    /// Returns the answer of a router to `ottersill fleet`, with a JSON object for each line.
    pub fn query(&self, index: usize, question: &str) -> Vec<Value> {
        query(self.routers[index].control, question)
    }

    /// Returns the units that a router holds in its budgets with that name, summed over all subjects.
    pub fn held_units(&self, index: usize, budget: &str) -> u64 {
        held_units(&self.query(index, "budgets"), budget)
    }

    /// Returns the leader among the routers that are running and not suspended.
    pub fn leader(&self) -> Option<usize> {
        let is_responsive =
            |index: &usize| self.routers[*index].is_running() && !self.routers[*index].is_paused();
        let mut routers = (0..self.routers.len()).filter(is_responsive);
        routers.find(|index| is_leader(&self.query(*index, "ledger")))
    }

    /// Returns the CPU time that a router has used according to the kernel, in seconds.
    pub fn cpu_seconds(&self, index: usize) -> f64 {
        self.routers[index].cpu_seconds()
    }

    /// Returns the log of a router, which holds the output of all its processes.
    pub fn log(&self, index: usize) -> String {
        fs::read_to_string(self.folder.join(format!("r{index}.log"))).unwrap_or_default()
    }

    /// Reads the audit files of all routers.
    pub fn audit_records(&self) -> Result<Records, ClusterError> {
        let mut all = Records::default();
        for router in &self.routers {
            let path = self.folder.join(format!("{}.audit", router.name));
            // A torn line may end within a multi-byte character.
            let bytes = fs::read(&path).unwrap_or_default();
            let read = audit::parse_audit_file(&String::from_utf8_lossy(&bytes));
            let records = read.map_err(|reason| ClusterError::AuditFile { path, reason })?;
            all.entries.extend(records.entries);
            all.torn += records.torn;
        }
        Ok(all)
    }

    /// Returns the limits of the budgets in the routers' fleet files, by budget name.
    pub fn budgets(&self) -> BTreeMap<String, BudgetLimit> {
        let plan = &self.plan;
        let attempts =
            BudgetLimit::Concurrent { units: plan.attempts_per_endpoint, hold_seconds: plan.hold_seconds };
        let rate = |units| BudgetLimit::Rate { units, period_seconds: 1.0 };
        BTreeMap::from([
            ("executions at each host".to_string(), attempts),
            ("probes".to_string(), rate(plan.health_checks_per_second)),
            ("second tries".to_string(), rate(plan.retries_per_second)),
            ("executions at each cold host".to_string(), rate(plan.attempts_per_second_in_slow_start)),
        ])
    }

    /// Audits the routers' audit files and the attempts that the endpoints recorded against the budgets and the other
    /// invariants.
    pub fn audit(&self) -> Result<Verdict, ClusterError> {
        let newest = unix_seconds() - AUDIT_MARGIN_SECONDS;
        let Records { mut entries, torn } = self.audit_records()?;
        entries.retain(|entry| entry.at < newest);
        let mut verdict = audit::audit(&entries, &self.budgets());
        verdict.torn = torn;
        let endpoints = 0..self.store.endpoint_count();
        let executions: Vec<_> = endpoints.clone().flat_map(|at| self.store.executions(at)).collect();
        verdict.violations.extend(audit::duplicate_writes(&executions));
        verdict.violations.extend(endpoints.filter_map(|endpoint| self.concurrency_violation(endpoint)));
        Ok(verdict)
    }

    /// Returns a description of the violation if an endpoint had more concurrent attempts than the budget allows.
    fn concurrency_violation(&self, endpoint: usize) -> Option<String> {
        let (peak, budget) = (self.store.peak_concurrency(endpoint) as u64, self.plan.attempts_per_endpoint);
        (peak > budget)
            .then(|| format!("endpoint {endpoint}: {peak} concurrent attempts, the budget is {budget}"))
    }
}
