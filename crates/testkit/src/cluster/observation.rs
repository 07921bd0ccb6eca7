//! What a cluster shows: the routers' answers to operators, their logs and audit files, the processor time that they used.

use std::collections::BTreeMap;
use std::fs;
use std::time::Duration;

use serde_json::Value;

use crate::audit::{self, Records, Verdict, Whole};
use crate::clock::unix_seconds;
use crate::stand_in::Client;

use super::control_client::{held_units, is_leader, query};
use super::{Cluster, ClusterError};

/// Longest wait for the greeting of a router that is ready.
const GREETING_TIMEOUT: Duration = Duration::from_secs(1);
/// Audit lines younger than this when the files are read are left out, in seconds: the files are read one after the other
/// while routers go on writing.
const AUDIT_MARGIN: f64 = 0.05;

impl Cluster {
    /// Whether a router answers clients.
    pub fn is_ready(&self, index: usize) -> bool {
        Client::connect(self.routers[index].listen).is_ok_and(|mut client| {
            client.socket.set_read_timeout(Some(GREETING_TIMEOUT)).is_ok() && client.answer().is_ok()
        })
    }

    /// What a router answers to `ottersill fleet`, each line an object.
    pub fn query(&self, index: usize, question: &str) -> Vec<Value> {
        query(self.routers[index].control, question)
    }

    /// Units that a router holds of its budgets of that name, over all subjects.
    pub fn held_units(&self, index: usize, budget: &str) -> u64 {
        held_units(&self.query(index, "budgets"), budget)
    }

    /// The router that leads, of those that run and are not paused.
    pub fn leader(&self) -> Option<usize> {
        let answers = |index: &usize| self.routers[*index].is_running() && !self.routers[*index].is_paused();
        let mut routers = (0..self.routers.len()).filter(answers);
        routers.find(|index| is_leader(&self.query(*index, "ledger")))
    }

    /// Seconds of processor time that a router has used, as the kernel counts them for it.
    pub fn cpu_seconds(&self, index: usize) -> f64 {
        self.routers[index].cpu_seconds()
    }

    /// A router's log, of all its processes.
    pub fn log(&self, index: usize) -> String {
        fs::read_to_string(self.folder.join(format!("r{index}.log"))).unwrap_or_default()
    }

    /// All lines of the routers' audit files.
    pub fn audit_records(&self) -> Result<Records, ClusterError> {
        let mut all = Records::default();
        for router in &self.routers {
            let path = self.folder.join(format!("{}.audit", router.name));
            // A torn line may end within a character.
            let bytes = fs::read(&path).unwrap_or_default();
            let read = audit::read(&String::from_utf8_lossy(&bytes));
            let records = read.map_err(|reason| ClusterError::AuditFile { path, reason })?;
            all.entries.extend(records.entries);
            all.torn += records.torn;
        }
        Ok(all)
    }

    /// The budgets that the routers' files set, by name.
    pub fn budgets(&self) -> BTreeMap<String, Whole> {
        let plan = &self.plan;
        let in_hand = Whole::InHand { units: plan.executions, hold: plan.hold };
        let rate = |units| Whole::Rate { units, every: 1.0 };
        BTreeMap::from([
            ("executions at each host".to_string(), in_hand),
            ("probes".to_string(), rate(plan.probes)),
            ("second tries".to_string(), rate(plan.retries)),
            ("executions at each cold host".to_string(), rate(plan.cold_executions)),
        ])
    }

    /// What the routers wrote down and what the endpoints saw, checked against the budgets and the rules.
    pub fn audit(&self) -> Result<Verdict, ClusterError> {
        let newest = unix_seconds() - AUDIT_MARGIN;
        let Records { mut entries, torn } = self.audit_records()?;
        entries.retain(|entry| entry.at < newest);
        let mut verdict = audit::audit(&entries, &self.budgets());
        verdict.torn = torn;
        let endpoints = 0..self.store.endpoint_count();
        let executions: Vec<_> = endpoints.clone().flat_map(|at| self.store.executions(at)).collect();
        verdict.faults.extend(audit::effects(&executions));
        verdict.faults.extend(endpoints.filter_map(|endpoint| self.overload(endpoint)));
        Ok(verdict)
    }

    /// What is wrong if an endpoint had more executions at once than the budget allows.
    fn overload(&self, endpoint: usize) -> Option<String> {
        let (peak, budget) = (self.store.peak_concurrency(endpoint) as u64, self.plan.executions);
        (peak > budget).then(|| format!("host {endpoint} had {peak} at once of {budget}"))
    }
}
