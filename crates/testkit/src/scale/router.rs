//! The router that is measured: its files, its process and its counters.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use crate::cluster::{ClusterError, Launcher, RouterAddresses, RouterProcess, WAIT_TIMEOUT, unused_ip};
use crate::stand_in::Client;

use super::hosts::Hosts;
use super::process_usage::ProcessUsage;
use super::{ScaleError, ScalePlan};

/// Between two checks of a condition that is waited for.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The setting of the example that tells how many routers there are.
const ROUTERS_SETTING: &str = "\"balancers\": 1,";
/// The setting of the example that tells after how long an idle connection to an endpoint is closed.
const KEEPALIVE_SETTING: &str = "\"keepalive_ms\": 15000";
/// What the log line with the counters begins with.
const COUNTERS: &str = "counters: ";

/// The router that is measured, and the folder of its files, which goes with it.
pub(super) struct MeasuredRouter {
    process: RouterProcess,
    folder: PathBuf,
}

impl MeasuredRouter {
    /// Starts it, and waits until it answers clients.
    pub(super) fn start(
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
        router.process.write_config(&settings(plan, example)?, discovery, plan.seed)?;
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

    /// What the kernel tells of its process.
    pub(super) fn usage(&self) -> Result<ProcessUsage, ScaleError> {
        self.process.process_id().map(ProcessUsage::of).ok_or(ScaleError::NotReady)
    }

    /// Where it listens to clients.
    pub(super) fn listen(&self) -> SocketAddr {
        self.process.listen
    }

    /// Seconds of processor time that it has used.
    pub(super) fn cpu_seconds(&self) -> f64 {
        self.process.cpu_seconds()
    }

    /// Its counters, as it writes them to its log now.
    pub(super) fn counters(&self) -> Result<Counters, ScaleError> {
        self.process.print_counters();
        let log = self.folder.join(format!("{}.log", self.process.name));
        let line = || {
            let text = fs::read_to_string(&log).unwrap_or_default();
            let whole = text.split_inclusive('\n').filter(|line| line.ends_with('\n'));
            whole.rev().find_map(|line| Some(line.split_once(COUNTERS)?.1.to_string()))
        };
        wait_for(line).map(Counters).ok_or(ScaleError::NoCounter(COUNTERS))
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

/// All counters, as the router writes them: `name=value` in one line.
pub(super) struct Counters(String);

impl Counters {
    /// The value of a counter.
    pub(super) fn value(&self, name: &'static str) -> Result<u64, ScaleError> {
        let mut pairs = self.0.split([' ', ',']).filter_map(|word| word.split_once('='));
        let value = pairs.find(|(found, _)| *found == name).and_then(|(_, value)| value.parse().ok());
        value.ok_or(ScaleError::NoCounter(name))
    }
}

/// The settings of the example, with those of the plan in place of its own.
fn settings(plan: &ScalePlan, example: &str) -> Result<String, ScaleError> {
    let routers = format!("\"balancers\": {},", plan.routers);
    let settings = replace_setting(example, ROUTERS_SETTING, &routers)?;
    let Some(keepalive) = plan.keepalive else { return Ok(settings) };
    replace_setting(&settings, KEEPALIVE_SETTING, &format!("\"keepalive_ms\": {}", keepalive.as_millis()))
}

fn replace_setting(settings: &str, old: &'static str, new: &str) -> Result<String, ScaleError> {
    if settings.contains(old) { Ok(settings.replace(old, new)) } else { Err(ScaleError::NoSetting(old)) }
}

fn answers_clients(router: SocketAddr) -> bool {
    Client::connect(router).and_then(|mut client| client.answer()).is_ok()
}

/// What `check` finds, once it finds something; none if that takes longer than anything may.
fn wait_for<T>(check: impl Fn() -> Option<T>) -> Option<T> {
    let since = Instant::now();
    while since.elapsed() < WAIT_TIMEOUT {
        if let Some(found) = check() {
            return Some(found);
        }
        thread::sleep(CHECK_INTERVAL);
    }
    None
}
