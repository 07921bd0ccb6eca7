//! `fleet`: runs fault schedules on clusters of routers that share budgets, and audits the routers.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use clap::Args;

use crate::audit::Verdict;
use crate::cluster::fault_schedule::{Step, parse_script};
use crate::cluster::{Answers, Cluster, ClusterPlan};
use crate::sync::lock;

use super::{CommandError, RouterFiles, read_file};

/// Time between the start of the load and the first fault, after which all grants that an earlier leader might have issued
/// have expired.
const FAULT_DELAY: Duration = Duration::from_millis(3500);
/// Time between the last fault and the end of the load.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// One statement of the clients in this many is a write.
const WRITE_EVERY: u64 = 8;
/// Maximum number of clusters at a time.
const MAX_PARALLEL: u64 = 64;
/// Maximum number of invariant violations that are printed.
const MAX_PRINTED_VIOLATIONS: usize = 20;

/// Arguments of `fleet`.
#[derive(Args)]
pub(super) struct FleetArguments {
    /// A script to run instead of schedules drawn from seeds; docs/operators-fleet.md describes its steps.
    script: Option<PathBuf>,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of schedules to run; each takes the next seed.
    #[arg(long, default_value_t = 1)]
    schedules: u64,
    /// Number of clusters that run at a time.
    #[arg(long, alias = "beside", default_value_t = 1)]
    parallel: u64,
    /// Number of routers in each cluster.
    #[arg(long, default_value_t = 5)]
    routers: usize,
    /// Number of clients of each router.
    #[arg(long, default_value_t = 3)]
    clients: usize,
    /// Duration of the faults of a schedule, in seconds.
    #[arg(long, default_value_t = 6.0)]
    seconds: f64,
    /// The router executable; by default, the one next to this program.
    #[arg(long)]
    program: Option<PathBuf>,
    /// The configuration file from which the configuration of each router is derived.
    #[arg(long, alias = "charter", default_value = "example/router.json")]
    config: PathBuf,
}

/// Results of all schedules together.
#[derive(Default)]
struct Totals {
    violations: Vec<String>,
    /// For each budget, the highest number of units that all processes together held or used at any time, as a fraction of
    /// the total.
    highest_fraction: BTreeMap<String, f64>,
    grants: u64,
    units_acquired: u64,
    processes: usize,
    /// Number of torn lines in audit files.
    torn_lines: usize,
    answers: Answers,
    /// Number of schedules that were skipped because a router did not answer clients in time.
    skipped: u64,
}

impl Totals {
    fn add(&mut self, seed: u64, verdict: Verdict, answers: &[Answers]) {
        self.violations
            .extend(verdict.violations.into_iter().map(|violation| format!("seed {seed}: {violation}")));
        for (budget, highest) in verdict.highest_fraction {
            let highest_so_far = self.highest_fraction.entry(budget).or_default();
            *highest_so_far = highest_so_far.max(highest);
        }
        self.grants += verdict.grants;
        self.units_acquired += verdict.units_acquired;
        self.processes += verdict.processes;
        self.torn_lines += verdict.torn;
        answers.iter().for_each(|counts| self.answers.add(counts));
    }

    fn print(&self, schedules: u64) {
        let run = schedules - self.skipped;
        println!("{run} of {schedules} schedules run, {} router processes", self.processes);
        let Answers { completed, rejected, aborted, connections_broken, malformed } = self.answers;
        println!(
            "{} grants, {} units spent, answers Answers {{ completed: {completed}, rejected: {rejected}, \
             aborted: {aborted}, broken: {connections_broken}, wrong: {malformed} }}",
            self.grants, self.units_acquired
        );
        println!("{} torn lines of audit files skipped", self.torn_lines);
        for (budget, highest) in &self.highest_fraction {
            println!("{budget}: highest sum {highest:.3} of the total");
        }
        self.violations
            .iter()
            .take(MAX_PRINTED_VIOLATIONS)
            .for_each(|violation| println!("BROKEN {violation}"));
    }
}

/// Runs the schedules and prints the results. Fails if an invariant was violated or no schedule was run.
pub(super) fn run(arguments: &FleetArguments) -> Result<(), CommandError> {
    let files = RouterFiles::find(arguments.program.as_deref(), &arguments.config)?;
    let script = arguments.script.as_deref().map(|path| read_script(path, arguments.routers)).transpose()?;
    let runner = Runner {
        arguments,
        files,
        script,
        next_schedule: AtomicU64::new(0),
        totals: Mutex::new(Totals::default()),
    };
    runner.run_all()?;
    let totals = lock(&runner.totals);
    totals.print(arguments.schedules);
    if totals.skipped == arguments.schedules {
        return Err(CommandError::NoScheduleRun);
    }
    if totals.violations.is_empty() {
        Ok(())
    } else {
        Err(CommandError::InvariantViolations(totals.violations.len()))
    }
}

fn read_script(path: &Path, routers: usize) -> Result<Vec<Step>, CommandError> {
    let text = read_file(path)?;
    parse_script(&text, routers).map_err(|source| CommandError::Script { path: path.to_path_buf(), source })
}

/// State shared by the threads that run schedules.
struct Runner<'a> {
    arguments: &'a FleetArguments,
    files: RouterFiles,
    script: Option<Vec<Step>>,
    /// Number of the next schedule to run.
    next_schedule: AtomicU64,
    totals: Mutex<Totals>,
}

impl Runner<'_> {
    fn run_all(&self) -> Result<(), CommandError> {
        let worker_count = self.arguments.parallel.clamp(1, MAX_PARALLEL);
        thread::scope(|scope| {
            let workers: Vec<_> = (0..worker_count).map(|_| scope.spawn(|| self.run_remaining())).collect();
            workers.into_iter().try_for_each(|worker| worker.join().map_err(|_| CommandError::Panicked)?)
        })
    }

    fn run_remaining(&self) -> Result<(), CommandError> {
        loop {
            let number = self.next_schedule.fetch_add(1, Ordering::Relaxed);
            if number >= self.arguments.schedules {
                return Ok(());
            }
            self.run_schedule(self.arguments.seed + number)?;
        }
    }

    /// Runs one schedule on a new cluster.
    fn run_schedule(&self, seed: u64) -> Result<(), CommandError> {
        let plan =
            ClusterPlan { routers: self.arguments.routers, seed, floor: seed % 2, ..ClusterPlan::default() };
        let mut cluster = Cluster::new(plan, &self.files.program, &self.files.example)?;
        cluster.start_all()?;
        if !cluster.wait_until_ready() {
            self.skip(seed, &cluster);
            return Ok(());
        }
        cluster.start_load(self.arguments.clients, WRITE_EVERY);
        thread::sleep(FAULT_DELAY);
        match &self.script {
            Some(steps) => cluster.play(steps)?,
            None => cluster.run_random_faults(self.arguments.seconds)?,
        }
        thread::sleep(SETTLE_TIME);
        let answers = cluster.stop_load();
        let verdict = cluster.audit()?;
        lock(&self.totals).add(seed, verdict, &answers);
        Ok(())
    }

    /// Counts a schedule that cannot be run and prints the logs of the routers that are not ready; the other schedules
    /// continue.
    fn skip(&self, seed: u64, cluster: &Cluster) {
        let not_ready = (0..cluster.routers.len()).filter(|index| !cluster.is_ready(*index));
        let logs: String = not_ready.map(|index| format!("r{index}: {}", cluster.log(index))).collect();
        lock(&self.totals).skipped += 1;
        eprintln!("seed {seed}: not all routers answered clients within the timeout\n{logs}");
    }
}
