//! Adds up, over all processes that ever ran, the dead and the sleeping too, what each said it may spend, has in hand and
//! has spent. Times are the machine's clock, which all of them read.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::Deserialize;

use crate::convert::count_to_f64;
use crate::stand_in::Execution;

/// A line of a router's audit file.
#[derive(Clone, Debug, Deserialize)]
pub struct Entry {
    /// When it was written, in Unix seconds.
    pub at: f64,
    /// The router's name.
    pub process: String,
    /// Which process of that name; a later one has a larger number.
    pub incarnation: u64,
    /// `right`, `take`, `put` or `put unproved`.
    pub what: String,
    /// The budget's name.
    pub budget: String,
    /// Whose budget it is, where there is one for each endpoint.
    pub subject: u64,
    /// Of a `right`: units, and until when each part of them lasts, in Unix seconds.
    #[serde(default)]
    pub until: Option<[(u64, f64); 2]>,
}

/// What is known of a budget to whoever audits.
#[derive(Clone, Copy, Debug)]
pub enum Whole {
    /// So many come back each `every` seconds, and as many may be saved up.
    Rate {
        /// Units of all routers together.
        units: u64,
        /// Seconds.
        every: f64,
    },
    /// So many may be in hand at once.
    InHand {
        /// Units of all routers together.
        units: u64,
        /// Seconds within which each thing in hand ends.
        hold: f64,
    },
}

impl Whole {
    fn units(self) -> u64 {
        match self {
            Whole::Rate { units, .. } | Whole::InHand { units, .. } => units,
        }
    }

    /// Seconds within which a thing in hand ends.
    fn hold(self) -> f64 {
        match self {
            Whole::InHand { hold, .. } => hold,
            Whole::Rate { .. } => 0.0,
        }
    }
}

/// What an audit found.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// What was broken, each in one line.
    pub faults: Vec<String>,
    /// By budget, the highest sum that was ever granted, as a part of the whole.
    pub highest: BTreeMap<String, f64>,
    /// Units that were spent.
    pub spent: u64,
    /// Rights that were granted.
    pub grants: u64,
    /// Processes that wrote anything.
    pub processes: usize,
    /// Lines that were passed over as they are torn.
    pub torn: usize,
}

/// What an audit file holds.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// The lines that are whole, in the order of the file.
    pub entries: Vec<Entry>,
    /// Lines that end too early: the process was killed as it wrote them, or the disk was full. They are passed over.
    pub torn: usize,
}

/// Reads an audit file. A line that ends before its object does is torn, and so is a last one without its end; any other line
/// that is no entry is an error.
pub fn read(text: &str) -> Result<Records, String> {
    let mut records = Records::default();
    let (whole, last) = text.rsplit_once('\n').unwrap_or(("", text));
    records.torn += usize::from(!last.is_empty());
    for line in whole.lines() {
        match serde_json::from_str(line) {
            Ok(entry) => records.entries.push(entry),
            Err(fault) if fault.is_eof() => records.torn += 1,
            Err(fault) => return Err(format!("{fault}: {line}")),
        }
    }
    Ok(records)
}

/// What one process has of a budget.
#[derive(Clone, Debug, Default)]
struct Holder {
    rights: [(u64, f64); 2],
    /// When each thing in hand was begun; it has ended within the hold, whatever becomes of its router.
    in_hand: VecDeque<f64>,
    /// Given up, and counted until then.
    lingering: Vec<f64>,
}

impl Holder {
    fn right(&self, at: f64) -> u64 {
        self.rights.iter().filter(|(_, until)| at < *until).map(|(units, _)| units).sum()
    }

    fn in_use(&self, at: f64, hold: f64) -> u64 {
        let in_hand = self.in_hand.iter().filter(|began| at < **began + hold).count();
        (in_hand + self.lingering.iter().filter(|until| at < **until).count()) as u64
    }
}

/// Whose budget it is: its name, and the endpoint where there is one for each.
type BudgetKey = (String, u64);

/// A process: its name and incarnation.
type ProcessKey = (String, u64);

/// What is known while the entries are gone through by time.
#[derive(Default)]
struct Audit {
    verdict: Verdict,
    processes: BTreeSet<ProcessKey>,
    holders: BTreeMap<BudgetKey, BTreeMap<ProcessKey, Holder>>,
    /// When units of rates were spent.
    spends: BTreeMap<BudgetKey, Vec<f64>>,
}

impl Audit {
    /// Takes an entry in, and checks what its process and all together then have of that budget.
    fn record(&mut self, entry: &Entry, wholes: &BTreeMap<String, Whole>) {
        self.processes.insert((entry.process.clone(), entry.incarnation));
        let Some(whole) = wholes.get(&entry.budget).copied() else {
            self.verdict.faults.push(format!("a budget that nobody set: {}", entry.budget));
            return;
        };
        self.apply(entry, whole);
        self.check_sum(entry, whole);
    }

    fn apply(&mut self, entry: &Entry, whole: Whole) {
        let budget = (entry.budget.clone(), entry.subject);
        let name = (entry.process.clone(), entry.incarnation);
        let holder = self.holders.entry(budget.clone()).or_default().entry(name.clone()).or_default();
        match entry.what.as_str() {
            "right" => {
                self.verdict.grants += 1;
                holder.rights = entry.until.unwrap_or_default();
            }
            "take" => {
                self.verdict.spent += 1;
                let fault = match whole {
                    Whole::InHand { hold, .. } => {
                        holder.in_hand.push_back(entry.at);
                        let is_beyond = holder.in_use(entry.at, hold) > holder.right(entry.at);
                        is_beyond.then_some("takes beyond its right")
                    }
                    Whole::Rate { .. } => {
                        self.spends.entry(budget).or_default().push(entry.at);
                        (holder.right(entry.at) == 0).then_some("spends without a right")
                    }
                };
                if let Some(fault) = fault {
                    self.verdict.faults.push(format!("{:.4}: {name:?} {fault}: {entry:?}", entry.at));
                }
            }
            "put" => drop(holder.in_hand.pop_front()),
            "put unproved" => {
                holder.in_hand.pop_front();
                holder.lingering.push(entry.at + whole.hold());
            }
            other => self.verdict.faults.push(format!("an entry of no kind: {other}")),
        }
    }

    /// All that have some of a budget must not have more than the whole of it.
    fn check_sum(&mut self, entry: &Entry, whole: Whole) {
        let holders = self.holders.entry((entry.budget.clone(), entry.subject)).or_default();
        let has = |holder: &Holder| holder.right(entry.at).max(holder.in_use(entry.at, whole.hold()));
        let sum: u64 = holders.values().map(has).sum();
        let part = count_to_f64(sum) / count_to_f64(whole.units());
        let highest = self.verdict.highest.entry(entry.budget.clone()).or_default();
        *highest = highest.max(part);
        if sum > whole.units() {
            let fault = format!("{:.4}: {} has {sum} of {}", entry.at, entry.budget, whole.units());
            self.verdict.faults.push(fault);
        }
    }

    /// In any span no more may be spent of a rate than was saved up and came back in it.
    fn check_rates(&mut self, wholes: &BTreeMap<String, Whole>) {
        for ((budget, _), times) in &self.spends {
            let Some(Whole::Rate { units, every }) = wholes.get(budget) else { continue };
            for (first, from) in times.iter().enumerate() {
                for (last, to) in times.iter().enumerate().skip(first).step_by(1 + times.len() / 400) {
                    let may = count_to_f64(*units) * (1.0 + (to - from) / every);
                    let spent = last - first + 1;
                    if count_to_f64(spent as u64) > may + 0.5 {
                        self.verdict.faults.push(format!("{budget}: {spent} in {:.3} s", to - from));
                    }
                }
            }
        }
    }
}

/// Holds what was written down against the wholes.
pub fn audit(entries: &[Entry], wholes: &BTreeMap<String, Whole>) -> Verdict {
    let mut by_time: Vec<&Entry> = entries.iter().collect();
    by_time.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut audit = Audit::default();
    for entry in by_time {
        audit.record(entry, wholes);
    }
    audit.check_rates(wholes);
    audit.verdict.processes = audit.processes.len();
    audit.verdict
}

/// No statement that may take effect once did so twice, by what the hosts wrote down.
pub fn effects(executed: &[Execution]) -> Vec<String> {
    let mut writes = BTreeMap::<&str, usize>::new();
    for execution in executed.iter().filter(|execution| execution.wrote) {
        *writes.entry(&execution.id).or_default() += 1;
    }
    writes
        .into_iter()
        .filter(|(_, count)| *count > 1)
        .map(|(id, count)| format!("{id} ran {count} times"))
        .collect()
}
