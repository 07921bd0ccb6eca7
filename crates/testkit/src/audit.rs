//! Checks the audit files of all router processes, including killed and suspended ones, against the budgets: adds up the
//! quota that each process had, what it had in flight and what it spent. Times are in seconds of the machine's clock, which
//! all processes read.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::Deserialize;

use crate::convert::count_to_f64;
use crate::stand_in::Execution;

/// A line of a router's audit file.
#[derive(Clone, Debug, Deserialize)]
pub struct Entry {
    /// Time at which the line was written, in Unix seconds.
    pub at: f64,
    /// Name of the router.
    pub process: String,
    /// Distinguishes the processes of one name; a later process has a larger number.
    pub incarnation: u64,
    /// Kind of the entry: `right` (new quota), `take` (acquired), `put` (released) or `put unproved` (released without
    /// proof that the work at the endpoint has ended).
    pub what: String,
    /// Name of the budget.
    pub budget: String,
    /// Endpoint to which the budget applies, if there is one budget for each endpoint.
    pub subject: u64,
    /// Only in a `right`: the units of the lease and of the floor, each with its expiry in Unix seconds.
    #[serde(default)]
    pub until: Option<[(u64, f64); 2]>,
}

/// The limit of a budget, against which the entries are checked.
#[derive(Clone, Copy, Debug)]
pub enum BudgetLimit {
    /// A token bucket: `units` tokens are added every `period_seconds` seconds, and at most `units` tokens accumulate.
    Rate {
        /// Units of all routers together.
        units: u64,
        /// Period in seconds.
        period_seconds: f64,
    },
    /// A limit on the units that are in flight at the same time.
    Concurrent {
        /// Units of all routers together.
        units: u64,
        /// Seconds after which an acquired unit is no longer in flight, even if it was not released.
        hold_seconds: f64,
    },
}

impl BudgetLimit {
    fn units(self) -> u64 {
        match self {
            BudgetLimit::Rate { units, .. } | BudgetLimit::Concurrent { units, .. } => units,
        }
    }

    /// Seconds after which an acquired unit is no longer in flight.
    fn hold_seconds(self) -> f64 {
        match self {
            BudgetLimit::Concurrent { hold_seconds, .. } => hold_seconds,
            BudgetLimit::Rate { .. } => 0.0,
        }
    }
}

/// The result of an audit.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Invariant violations, each described in one line.
    pub violations: Vec<String>,
    /// For each budget, the highest number of units that all processes together held or used at any time, as a fraction of
    /// the total.
    pub highest_fraction: BTreeMap<String, f64>,
    /// Number of units that were acquired.
    pub units_acquired: u64,
    /// Number of `right` entries.
    pub grants: u64,
    /// Number of processes that wrote entries.
    pub processes: usize,
    /// Number of torn lines, which are skipped.
    pub torn: usize,
}

/// The contents of an audit file.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// The complete lines, in the order of the file.
    pub entries: Vec<Entry>,
    /// Number of truncated lines, which are skipped. A line is truncated if the process was killed while it wrote the line,
    /// or if the disk was full.
    pub torn: usize,
}

/// Parses an audit file. A line that ends within its JSON object is counted as torn, and so is a last line without a
/// newline; any other line that is not an entry is an error.
pub fn parse_audit_file(text: &str) -> Result<Records, String> {
    let mut records = Records::default();
    let (complete, last) = text.rsplit_once('\n').unwrap_or(("", text));
    records.torn += usize::from(!last.is_empty());
    for line in complete.lines() {
        match serde_json::from_str(line) {
            Ok(entry) => records.entries.push(entry),
            Err(error) if error.is_eof() => records.torn += 1,
            Err(error) => return Err(format!("{error}: {line}")),
        }
    }
    Ok(records)
}

/// The quota of one process in a budget, and its use.
#[derive(Clone, Debug, Default)]
struct Holder {
    /// Units of the lease and of the floor, each with its expiry in Unix seconds.
    quota: [(u64, f64); 2],
    /// Times at which the units in flight were acquired. Each has ended after the hold time, whatever happens to the router.
    in_flight_since: VecDeque<f64>,
    /// Units released without proof that the work has ended, as the times until which they count as in use.
    unconfirmed_until: Vec<f64>,
}

impl Holder {
    fn quota_at(&self, at: f64) -> u64 {
        self.quota.iter().filter(|(_, until)| at < *until).map(|(units, _)| units).sum()
    }

    fn in_use_at(&self, at: f64, hold_seconds: f64) -> u64 {
        let in_flight = self.in_flight_since.iter().filter(|since| at < **since + hold_seconds).count();
        (in_flight + self.unconfirmed_until.iter().filter(|until| at < **until).count()) as u64
    }
}

/// Identifies a budget: its name, and the endpoint if there is one budget for each.
type BudgetKey = (String, u64);

/// Identifies a process: its name and incarnation.
type ProcessKey = (String, u64);

/// State of the audit while it processes the entries in the order of their times.
#[derive(Default)]
struct Audit {
    verdict: Verdict,
    processes: BTreeSet<ProcessKey>,
    holders: BTreeMap<BudgetKey, BTreeMap<ProcessKey, Holder>>,
    /// Times at which units of rate budgets were spent.
    spend_times: BTreeMap<BudgetKey, Vec<f64>>,
}

impl Audit {
    /// Applies an entry, then checks its process against the quota and the sum of all processes against the budget.
    fn record(&mut self, entry: &Entry, limits: &BTreeMap<String, BudgetLimit>) {
        self.processes.insert((entry.process.clone(), entry.incarnation));
        let Some(limit) = limits.get(&entry.budget).copied() else {
            self.verdict.violations.push(format!("unknown budget: {}", entry.budget));
            return;
        };
        self.apply(entry, limit);
        self.check_total(entry, limit);
    }

    fn apply(&mut self, entry: &Entry, limit: BudgetLimit) {
        let budget = (entry.budget.clone(), entry.subject);
        let name = (entry.process.clone(), entry.incarnation);
        let holder = self.holders.entry(budget.clone()).or_default().entry(name.clone()).or_default();
        match entry.what.as_str() {
            "right" => {
                self.verdict.grants += 1;
                holder.quota = entry.until.unwrap_or_default();
            }
            "take" => {
                self.verdict.units_acquired += 1;
                let violation = match limit {
                    BudgetLimit::Concurrent { hold_seconds, .. } => {
                        holder.in_flight_since.push_back(entry.at);
                        let exceeds_quota =
                            holder.in_use_at(entry.at, hold_seconds) > holder.quota_at(entry.at);
                        exceeds_quota.then_some("acquires more than its quota")
                    }
                    BudgetLimit::Rate { .. } => {
                        self.spend_times.entry(budget).or_default().push(entry.at);
                        (holder.quota_at(entry.at) == 0).then_some("spends a unit without a quota")
                    }
                };
                if let Some(violation) = violation {
                    self.verdict.violations.push(format!("{:.4}: {name:?} {violation}: {entry:?}", entry.at));
                }
            }
            "put" => drop(holder.in_flight_since.pop_front()),
            "put unproved" => {
                holder.in_flight_since.pop_front();
                holder.unconfirmed_until.push(entry.at + limit.hold_seconds());
            }
            other => self.verdict.violations.push(format!("unknown kind of entry: {other}")),
        }
    }

    /// Checks that all holders of a budget together do not have more than its total.
    fn check_total(&mut self, entry: &Entry, limit: BudgetLimit) {
        let holders = self.holders.entry((entry.budget.clone(), entry.subject)).or_default();
        let held =
            |holder: &Holder| holder.quota_at(entry.at).max(holder.in_use_at(entry.at, limit.hold_seconds()));
        let sum: u64 = holders.values().map(held).sum();
        let fraction = count_to_f64(sum) / count_to_f64(limit.units());
        let highest = self.verdict.highest_fraction.entry(entry.budget.clone()).or_default();
        *highest = highest.max(fraction);
        if sum > limit.units() {
            let violation =
                format!("{:.4}: {}: {sum} units held of {} in total", entry.at, entry.budget, limit.units());
            self.verdict.violations.push(violation);
        }
    }

    /// Checks that in each span no more of a rate budget was spent than had accumulated before and was added during it.
    fn check_rates(&mut self, limits: &BTreeMap<String, BudgetLimit>) {
        for ((budget, _), times) in &self.spend_times {
            let Some(BudgetLimit::Rate { units, period_seconds }) = limits.get(budget) else { continue };
            for (first, from) in times.iter().enumerate() {
                for (last, to) in times.iter().enumerate().skip(first).step_by(1 + times.len() / 400) {
                    let allowed = count_to_f64(*units) * (1.0 + (to - from) / period_seconds);
                    let spent = last - first + 1;
                    if count_to_f64(spent as u64) > allowed + 0.5 {
                        self.verdict
                            .violations
                            .push(format!("{budget}: {spent} units spent within {:.3} s", to - from));
                    }
                }
            }
        }
    }
}

/// Checks audit entries of any number of processes against the limits of the budgets, by budget name.
pub fn audit(entries: &[Entry], limits: &BTreeMap<String, BudgetLimit>) -> Verdict {
    let mut by_time: Vec<&Entry> = entries.iter().collect();
    by_time.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut audit = Audit::default();
    for entry in by_time {
        audit.record(entry, limits);
    }
    audit.check_rates(limits);
    audit.verdict.processes = audit.processes.len();
    audit.verdict
}

/// Checks, by what the endpoints recorded, that no write took effect more than once; returns a line for each that did.
pub fn duplicate_writes(executed: &[Execution]) -> Vec<String> {
    let mut writes = BTreeMap::<&str, usize>::new();
    for execution in executed.iter().filter(|execution| execution.wrote) {
        *writes.entry(&execution.id).or_default() += 1;
    }
    writes
        .into_iter()
        .filter(|(_, count)| *count > 1)
        .map(|(id, count)| format!("write {id} ran {count} times"))
        .collect()
}
