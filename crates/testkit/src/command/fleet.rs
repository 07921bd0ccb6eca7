//! `fleet`: plays schedules of faults on clusters of routers that share budgets, and audits them.

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

/// Until what an earlier leader might have granted is over.
const GRANTS_OVER: Duration = Duration::from_millis(3500);
/// Between the last fault and the end of the load.
const SETTLING: Duration = Duration::from_secs(1);
/// One clients' statement in so many is a write.
const WRITE_EVERY: u64 = 8;
/// Most clusters at a time.
const MAX_PARALLEL: u64 = 64;
/// Most broken rules that are printed.
const MAX_PRINTED: usize = 20;

/// Arguments of `fleet`.
#[derive(Args)]
pub(super) struct FleetArguments {
    /// A script in place of a schedule from a seed; docs/operators-fleet.md has its steps.
    script: Option<PathBuf>,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many schedules are played.
    #[arg(long, default_value_t = 1)]
    schedules: u64,
    /// Clusters that run at a time.
    #[arg(long, alias = "beside", default_value_t = 1)]
    parallel: u64,
    /// Routers of each cluster.
    #[arg(long, default_value_t = 5)]
    routers: usize,
    /// Clients of each router.
    #[arg(long, default_value_t = 3)]
    clients: usize,
    /// How long a schedule's faults go on.
    #[arg(long, default_value_t = 6.0)]
    seconds: f64,
    /// The built router; else the one beside this program.
    #[arg(long)]
    program: Option<PathBuf>,
    /// The settings that each router's are made of.
    #[arg(long, alias = "charter", default_value = "example/router.json")]
    config: PathBuf,
}

/// What all schedules together came to.
#[derive(Default)]
struct Totals {
    faults: Vec<String>,
    /// By budget, the highest sum that was ever granted, as a part of the whole.
    highest: BTreeMap<String, f64>,
    grants: u64,
    spent: u64,
    processes: usize,
    /// Torn lines of audit files.
    torn: usize,
    answers: Answers,
    /// Schedules that were not played, as a router did not come up in time.
    not_played: u64,
}

impl Totals {
    fn add(&mut self, seed: u64, verdict: Verdict, answers: &[Answers]) {
        self.faults.extend(verdict.faults.into_iter().map(|fault| format!("seed {seed}: {fault}")));
        for (budget, highest) in verdict.highest {
            let so_far = self.highest.entry(budget).or_default();
            *so_far = so_far.max(highest);
        }
        self.grants += verdict.grants;
        self.spent += verdict.spent;
        self.processes += verdict.processes;
        self.torn += verdict.torn;
        answers.iter().for_each(|one| self.answers.add(one));
    }

    fn print(&self, schedules: u64) {
        let played = schedules - self.not_played;
        println!("{played} schedules of {schedules}, {} processes of the program", self.processes);
        println!("{} grants, {} units spent, answers {:?}", self.grants, self.spent, self.answers);
        println!("{} torn lines of audit files passed over", self.torn);
        for (budget, highest) in &self.highest {
            println!("{budget}: highest sum {highest:.3} of the whole");
        }
        self.faults.iter().take(MAX_PRINTED).for_each(|fault| println!("BROKEN {fault}"));
    }
}

/// Plays the schedules, prints what they came to, and fails if a rule was broken or none was played.
pub(super) fn run(arguments: &FleetArguments) -> Result<(), CommandError> {
    let files = RouterFiles::find(arguments.program.as_deref(), &arguments.config)?;
    let script = arguments.script.as_deref().map(|path| read_script(path, arguments.routers)).transpose()?;
    let runner =
        Runner { arguments, files, script, next: AtomicU64::new(0), totals: Mutex::new(Totals::default()) };
    runner.play_all()?;
    let totals = lock(&runner.totals);
    totals.print(arguments.schedules);
    if totals.not_played == arguments.schedules {
        return Err(CommandError::NothingPlayed);
    }
    if totals.faults.is_empty() { Ok(()) } else { Err(CommandError::RulesBroken(totals.faults.len())) }
}

fn read_script(path: &Path, routers: usize) -> Result<Vec<Step>, CommandError> {
    let text = read_file(path)?;
    parse_script(&text, routers).map_err(|source| CommandError::Script { path: path.to_path_buf(), source })
}

/// What the threads that play schedules share.
struct Runner<'a> {
    arguments: &'a FleetArguments,
    files: RouterFiles,
    script: Option<Vec<Step>>,
    /// The schedule that is to be played next.
    next: AtomicU64,
    totals: Mutex<Totals>,
}

impl Runner<'_> {
    fn play_all(&self) -> Result<(), CommandError> {
        let workers = self.arguments.parallel.clamp(1, MAX_PARALLEL);
        thread::scope(|scope| {
            let workers: Vec<_> =
                (0..workers).map(|_| scope.spawn(|| self.play_until_none_is_left())).collect();
            workers.into_iter().try_for_each(|worker| worker.join().map_err(|_| CommandError::Panicked)?)
        })
    }

    fn play_until_none_is_left(&self) -> Result<(), CommandError> {
        loop {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            if number >= self.arguments.schedules {
                return Ok(());
            }
            self.play(self.arguments.seed + number)?;
        }
    }

    /// Plays one schedule on a cluster of its own.
    fn play(&self, seed: u64) -> Result<(), CommandError> {
        let plan =
            ClusterPlan { routers: self.arguments.routers, seed, floor: seed % 2, ..ClusterPlan::default() };
        let mut cluster = Cluster::new(plan, &self.files.program, &self.files.example)?;
        cluster.start_all()?;
        if !cluster.wait_until_ready() {
            self.skip(seed, &cluster);
            return Ok(());
        }
        cluster.start_load(self.arguments.clients, WRITE_EVERY);
        thread::sleep(GRANTS_OVER);
        match &self.script {
            Some(steps) => cluster.play(steps)?,
            None => cluster.run_random_faults(self.arguments.seconds)?,
        }
        thread::sleep(SETTLING);
        let answers = cluster.stop_load();
        let verdict = cluster.audit()?;
        lock(&self.totals).add(seed, verdict, &answers);
        Ok(())
    }

    /// Counts a schedule that can't be played, and shows why; the others go on.
    fn skip(&self, seed: u64, cluster: &Cluster) {
        let late = (0..cluster.routers.len()).filter(|index| !cluster.is_ready(*index));
        let logs: String = late.map(|index| format!("r{index}: {}", cluster.log(index))).collect();
        lock(&self.totals).not_played += 1;
        eprintln!("seed {seed}: not all routers came up\n{logs}");
    }
}
