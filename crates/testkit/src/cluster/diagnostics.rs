//! What a cluster looked like when a wait for it timed out, for whoever reads the output of the failed test.

use std::fmt::Write;
use std::fs;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::Cluster;

/// Time for a router to write its counters to its log.
const COUNTERS_DELAY: Duration = Duration::from_millis(200);
/// Lines that are printed of the end of each log.
const LOG_LINES: usize = 12;
/// Index of the time taken away by the host among the fields of the first line of `/proc/stat`.
const STOLEN_TIME_FIELD: usize = 8;

/// Observes whether the machine let the waiting thread run. A host that takes the processors away makes a wait time out though
/// the routers had no time to do anything.
pub(super) struct WaitObserver {
    last_check_at: Instant,
    longest_pause: Duration,
    checks: u64,
    stolen_at_start: u64,
}

impl WaitObserver {
    pub(super) fn start() -> WaitObserver {
        WaitObserver {
            last_check_at: Instant::now(),
            longest_pause: Duration::ZERO,
            checks: 0,
            stolen_at_start: stolen_ticks(),
        }
    }

    /// Records one check of the awaited condition.
    pub(super) fn record_check(&mut self) {
        self.longest_pause = self.longest_pause.max(self.last_check_at.elapsed());
        self.last_check_at = Instant::now();
        self.checks += 1;
    }

    fn describe(&self) -> String {
        let stolen = stolen_ticks().saturating_sub(self.stolen_at_start);
        format!(
            "{} checks, at most {:?} apart; the host took {stolen} ticks of processor time away",
            self.checks, self.longest_pause
        )
    }
}

/// Returns the processor time that the host has taken away since the machine started, in ticks summed over all processors.
fn stolen_ticks() -> u64 {
    let text = fs::read_to_string("/proc/stat").unwrap_or_default();
    let field = text.lines().next().and_then(|line| line.split_whitespace().nth(STOLEN_TIME_FIELD));
    field.and_then(|field| field.parse().ok()).unwrap_or(0)
}

impl Cluster {
    /// Describes a wait that timed out, and the state of each router.
    pub(super) fn describe_timeout(&self, observer: &WaitObserver) -> String {
        format!("wait timed out: {}\n{}", observer.describe(), self.describe())
    }

    /// Describes each router: its answers to clients, its quota, and the end of its log with its counters.
    pub fn describe(&self) -> String {
        let answers = self.answers();
        for router in self.routers.iter().filter(|router| router.is_running()) {
            router.print_counters();
        }
        thread::sleep(COUNTERS_DELAY);
        let mut text = String::new();
        for index in 0..self.routers.len() {
            let answers = answers.get(index);
            // Writing to a string does not fail.
            let _ = writeln!(text, "router {index}: {answers:?}, leader: {}", self.leader() == Some(index));
            self.query(index, "budgets").iter().for_each(|budget| text += &describe_budget(budget));
            let log = self.log(index);
            let lines: Vec<&str> = log.lines().collect();
            text += &lines[lines.len().saturating_sub(LOG_LINES)..].join("\n");
            text += "\n";
        }
        text
    }
}

/// Describes one object of the answer to `budgets`.
fn describe_budget(budget: &Value) -> String {
    let field = |name: &str| budget[name].to_string();
    let fields = ["budget", "subject", "state", "leased", "floor", "in_use", "acquired", "denied"];
    format!("  {}\n", fields.map(|name| format!("{name} {}", field(name))).join(", "))
}
