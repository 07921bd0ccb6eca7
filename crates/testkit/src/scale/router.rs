//! The router that is measured: its files, its process and its counters.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use crate::cluster::{ClusterError, Launcher, RouterAddresses, RouterProcess, WAIT_TIMEOUT, unused_ip};
use crate::stand_in::Client;

use super::endpoints::Endpoints;
use super::{ScaleError, ScalePlan};
use crate::process_usage::ProcessUsage;

/// Interval between two checks of an awaited condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Setting of the example configuration for the number of routers.
const ROUTERS_SETTING: &str = "\"balancers\": 1,";
/// Setting of the example configuration for the time after which an idle connection to an endpoint is closed.
const KEEPALIVE_SETTING: &str = "\"keepalive_ms\": 15000";
/// Prefix of the counters in the router's log.
const COUNTERS_PREFIX: &str = "counters: ";

/// The router that is measured, with the folder of its files. Dropping it kills the router and removes the folder.
pub(super) struct MeasuredRouter {
    process: RouterProcess,
    folder: PathBuf,
}

impl MeasuredRouter {
    /// Starts the router and waits until it answers clients.
    pub(super) fn start(
        plan: &ScalePlan,
        endpoints: &Endpoints,
        program: &Path,
        example: &str,
    ) -> Result<MeasuredRouter, ScaleError> {
        let ip = unused_ip();
        let discovery = endpoints.store.add_discovery(&format!("{ip}:0")).map_err(ScaleError::Store)?;
        let folder = std::env::temp_dir().join(format!("ottersill-scale-{}-{ip}", std::process::id()));
        fs::create_dir_all(&folder).map_err(ClusterError::file(&folder))?;
        let process = RouterProcess::new("router".to_string(), &folder, RouterAddresses::new(ip, 0));
        let mut router = MeasuredRouter { process, folder };
        router.process.write_config(&settings(plan, example)?, discovery, plan.seed)?;
        let launcher = Launcher {
            program: program.to_path_buf(),
            folder: router.folder.clone(),
            arguments: Vec::new(),
            fleet_enabled: false,
        };
        router.process.start(&launcher)?;
        wait_for(|| is_ready(router.process.listen).then_some(())).ok_or(ScaleError::NotReady)?;
        Ok(router)
    }

    /// Returns a reader for the resource usage of the process.
    pub(super) fn usage(&self) -> Result<ProcessUsage, ScaleError> {
        self.process.process_id().map(ProcessUsage::of).ok_or(ScaleError::NotReady)
    }

    /// Returns the address at which the router listens for clients.
    pub(super) fn listen(&self) -> SocketAddr {
        self.process.listen
    }

    /// Returns the CPU time that the router has used, in seconds.
    pub(super) fn cpu_seconds(&self) -> f64 {
        self.process.cpu_seconds()
    }

    /// Has the router write its counters to its log, and returns them.
    pub(super) fn counters(&self) -> Result<Counters, ScaleError> {
        self.process.print_counters();
        let log = self.folder.join(format!("{}.log", self.process.name));
        let find_line = || {
            let text = fs::read_to_string(&log).unwrap_or_default();
            let complete_lines = text.split_inclusive('\n').filter(|line| line.ends_with('\n'));
            complete_lines.rev().find_map(|line| Some(line.split_once(COUNTERS_PREFIX)?.1.to_string()))
        };
        wait_for(find_line).map(Counters).ok_or(ScaleError::MissingCounter(COUNTERS_PREFIX))
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

/// All counters in the router's format: one line of `name=value`.
pub(super) struct Counters(String);

impl Counters {
    /// Returns the value of a counter.
    pub(super) fn value(&self, name: &'static str) -> Result<u64, ScaleError> {
        let mut pairs = self.0.split([' ', ',']).filter_map(|word| word.split_once('='));
        let value = pairs.find(|(found, _)| *found == name).and_then(|(_, value)| value.parse().ok());
        value.ok_or(ScaleError::MissingCounter(name))
    }
}

/// Returns the example configuration with the settings of the plan substituted.
fn settings(plan: &ScalePlan, example: &str) -> Result<String, ScaleError> {
    let routers = format!("\"balancers\": {},", plan.routers);
    let settings = replace_setting(example, ROUTERS_SETTING, &routers)?;
    let Some(keepalive) = plan.keepalive else { return Ok(settings) };
    replace_setting(&settings, KEEPALIVE_SETTING, &format!("\"keepalive_ms\": {}", keepalive.as_millis()))
}

fn replace_setting(settings: &str, old: &'static str, new: &str) -> Result<String, ScaleError> {
    if settings.contains(old) { Ok(settings.replace(old, new)) } else { Err(ScaleError::MissingSetting(old)) }
}

fn is_ready(router: SocketAddr) -> bool {
    Client::connect(router).and_then(|mut client| client.read_answer()).is_ok()
}

/// Calls `check` until it returns a value, and returns that; `None` if it does not within the timeout.
fn wait_for<T>(check: impl Fn() -> Option<T>) -> Option<T> {
    let started = Instant::now();
    while started.elapsed() < WAIT_TIMEOUT {
        if let Some(found) = check() {
            return Some(found);
        }
        thread::sleep(CHECK_INTERVAL);
    }
    None
}
