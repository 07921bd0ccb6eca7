//! One run: starts the endpoints and a router, sends the load, and reads what the router used.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::cluster::{Answers, ClusterError, Launcher, PATIENCE, RouterAddresses, RouterProcess, unused_ip};
use crate::stand_in::Client;

use super::discovery::play_changes;
use super::hosts::Hosts;
use super::process_usage::ProcessUsage;
use super::{ScaleError, ScalePlan, load};

/// Between two checks of a condition that is waited for.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The setting of the example that tells how many routers there are.
const ROUTERS_SETTING: &str = "\"balancers\": 1,";
/// The setting of the example that tells after how long an idle connection to an endpoint is closed.
const KEEPALIVE_SETTING: &str = "\"keepalive_ms\": 15000";
/// What the log line with the counters begins with.
const COUNTERS: &str = "counters: ";

/// What one run came to, from the start of the router's process to the last answer.
#[derive(Clone, Debug, Serialize)]
pub struct Measurement {
    /// Processor time of the router, in seconds.
    pub cpu_seconds: f64,
    /// The router's peak of resident memory, in bytes.
    pub peak_memory_bytes: u64,
    /// The most descriptors that the router was seen to have open.
    pub peak_descriptors: usize,
    /// Connections that the endpoints accepted.
    pub backend_connections: u64,
    /// Connections to endpoints that the router says it opened.
    pub backend_connections_opened: u64,
    /// Bytes of lists that discovery sent.
    pub list_bytes: u64,
    /// Health checks that the router says it began.
    pub health_checks: u64,
    /// Requests that clients sent.
    pub requests: usize,
    /// Requests that were answered with a row, in their time.
    pub completed: u64,
    /// Requests that were rejected: nothing ran.
    pub rejected: u64,
    /// Requests that were answered with another error.
    pub aborted: u64,
    /// Requests whose connection ended, or that were not answered.
    pub unanswered: u64,
}

impl Measurement {
    /// Plays the plan on one router. `program` is the built router, `example` the text of `example/router.json`, whose
    /// addresses, number of routers and idle time of connections are replaced.
    pub fn run(plan: &ScalePlan, program: &Path, example: &str) -> Result<Measurement, ScaleError> {
        let hosts = Hosts::start(plan)?;
        let router = MeasuredRouter::start(plan, &hosts, program, example)?;
        let usage = router.usage()?;
        let stopped = AtomicBool::new(false);
        let (answers, peak_descriptors) = thread::scope(|scope| {
            let peak_descriptors = scope.spawn(|| usage.peak_descriptors(&stopped));
            scope.spawn(|| play_changes(&hosts.store, &hosts.changes));
            let answers = load::run(plan, router.process.listen);
            stopped.store(true, Ordering::Relaxed);
            (answers, peak_descriptors.join())
        });
        let peak_descriptors = peak_descriptors.unwrap_or(Ok(0)).map_err(ScaleError::Process)?;
        router.measure(plan, &hosts, &usage, answers, peak_descriptors)
    }

    /// The part of the requests that was answered with a row, in their time.
    pub fn served(&self) -> f64 {
        self.completed as f64 / self.requests.max(1) as f64
    }
}

/// The router that is measured, and the folder of its files, which goes with it.
struct MeasuredRouter {
    process: RouterProcess,
    folder: PathBuf,
}

impl MeasuredRouter {
    /// Starts it, and waits until it answers clients.
    fn start(
        plan: &ScalePlan,
        hosts: &Hosts,
        program: &Path,
        example: &str,
    ) -> Result<MeasuredRouter, ScaleError> {
        let ip = unused_ip();
        let discovery = hosts.store.add_discovery(&format!("{ip}:0")).map_err(ScaleError::Store)?;
        let folder = std::env::temp_dir().join(format!("ottersill-scale-{}-{ip}", std::process::id()));
        fs::create_dir_all(&folder).map_err(ClusterError::file(&folder))?;
        let process = RouterProcess::new("router".to_string(), &folder, RouterAddresses::new(ip, 0));
        let mut router = MeasuredRouter { process, folder };
        router.process.write_config(&settings(plan, example), discovery, plan.seed)?;
        let launcher = Launcher {
            program: program.to_path_buf(),
            folder: router.folder.clone(),
            arguments: Vec::new(),
            fleet_enabled: false,
        };
        router.process.start(&launcher)?;
        wait_for(|| answers_clients(router.process.listen).then_some(())).ok_or(ScaleError::NotReady)?;
        Ok(router)
    }

    fn usage(&self) -> Result<ProcessUsage, ScaleError> {
        self.process.process_id().map(ProcessUsage::of).ok_or(ScaleError::NotReady)
    }

    /// Reads what the router has used until now.
    fn measure(
        &self,
        plan: &ScalePlan,
        hosts: &Hosts,
        usage: &ProcessUsage,
        answers: Answers,
        peak_descriptors: usize,
    ) -> Result<Measurement, ScaleError> {
        let counters = self.counters()?;
        Ok(Measurement {
            cpu_seconds: self.process.cpu_seconds(),
            peak_memory_bytes: usage.peak_memory().map_err(ScaleError::Process)?,
            peak_descriptors,
            backend_connections: hosts.store.connections_accepted(),
            backend_connections_opened: counter(&counters, "backend_connections_opened")?,
            list_bytes: hosts.store.list_bytes_sent(),
            health_checks: counter(&counters, "health_checks")?,
            requests: plan.requests(),
            completed: answers.completed,
            rejected: answers.rejected,
            aborted: answers.aborted,
            unanswered: answers.broken + answers.wrong,
        })
    }

    /// The line of its log that has all counters, written now.
    fn counters(&self) -> Result<String, ScaleError> {
        self.process.print_counters();
        let log = self.folder.join(format!("{}.log", self.process.name));
        let line = || {
            let text = fs::read_to_string(&log).unwrap_or_default();
            let whole = text.split_inclusive('\n').filter(|line| line.ends_with('\n'));
            whole.rev().find_map(|line| Some(line.split_once(COUNTERS)?.1.to_string()))
        };
        wait_for(line).ok_or(ScaleError::NoCounter(COUNTERS))
    }
}

impl Drop for MeasuredRouter {
    fn drop(&mut self) {
        self.process.kill();
        if !thread::panicking() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// The settings of the example, with those of the plan in place of its own.
fn settings(plan: &ScalePlan, example: &str) -> String {
    let settings = example.replace(ROUTERS_SETTING, &format!("\"balancers\": {},", plan.routers));
    let Some(keepalive) = plan.keepalive else { return settings };
    settings.replace(KEEPALIVE_SETTING, &format!("\"keepalive_ms\": {}", keepalive.as_millis()))
}

/// The value of a counter.
fn counter(counters: &str, name: &'static str) -> Result<u64, ScaleError> {
    let pairs = counters.split([' ', ',']).filter_map(|word| word.split_once('='));
    let value = pairs.filter(|(found, _)| *found == name).find_map(|(_, value)| value.parse().ok());
    value.ok_or(ScaleError::NoCounter(name))
}

fn answers_clients(router: SocketAddr) -> bool {
    Client::connect(router).and_then(|mut client| client.answer()).is_ok()
}

/// What `check` finds, once it finds something; none if that takes longer than anything may.
fn wait_for<T>(check: impl Fn() -> Option<T>) -> Option<T> {
    let since = Instant::now();
    while since.elapsed() < PATIENCE {
        if let Some(found) = check() {
            return Some(found);
        }
        thread::sleep(CHECK_INTERVAL);
    }
    None
}
