//! The routers of a measurement, each on a core of its own, and their stand-in store.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use crate::cluster::{ClusterError, Launcher, RouterAddresses, RouterProcess, WAIT_TIMEOUT, unused_ip};
use crate::process_usage::ProcessUsage;
use crate::stand_in::{Client, StandInStore};

use super::affinity::{self, Competitors};
use super::{FloodError, FloodPlan};

/// Number of endpoints of the store: a primary and two replicas.
const ENDPOINTS: usize = 3;
/// Interval between two checks of whether a router answers.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Index of the stolen time in a line of `/proc/stat`, after the name of the core.
const STOLEN_FIELD: usize = 7;
/// Unit of the times in `/proc/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// The memory limit in the example configuration.
const MEMORY_SETTING: &str = "\"memory_mb\": 192";

/// The routers, with the folder of their files. Dropping it kills them and removes the folder.
pub(super) struct Routers {
    processes: Vec<RouterProcess>,
    folder: PathBuf,
    store: StandInStore,
    _competitors: Competitors,
}

impl Routers {
    /// Starts the store and the routers of the plan, and waits until these answer clients.
    pub(super) fn start(plan: &FloodPlan, program: &Path, example: &str) -> Result<Routers, FloodError> {
        affinity::use_other_cores(plan.routers)?;
        let ip = unused_ip();
        let store = StandInStore::default();
        for _ in 0..ENDPOINTS {
            store.add_endpoint(&format!("{ip}:0")).map_err(FloodError::Store)?;
        }
        let folder = std::env::temp_dir().join(format!("ottersill-flood-{}-{ip}", std::process::id()));
        fs::create_dir_all(&folder).map_err(ClusterError::file(&folder))?;
        let launcher = Launcher {
            program: program.to_path_buf(),
            folder: folder.clone(),
            arguments: Vec::new(),
            fleet_enabled: false,
        };
        let settings = example.replace(MEMORY_SETTING, &format!("\"memory_mb\": {}", plan.memory_mb));
        let mut processes = Vec::new();
        for core in 0..plan.routers {
            let discovery = store.add_discovery(&format!("{ip}:0")).map_err(FloodError::Store)?;
            let mut process =
                RouterProcess::new(format!("router-{core}"), &folder, RouterAddresses::new(ip, core));
            process.write_config(&settings, discovery, core as u64 + 1)?;
            affinity::use_core(core)?;
            process.start(&launcher)?;
            processes.push(process);
        }
        affinity::use_other_cores(plan.routers)?;
        for process in &processes {
            wait_until_ready(process.listen)?;
        }
        let competitors = Competitors::start(plan.routers, plan.competitors);
        Ok(Routers { processes, folder, store, _competitors: competitors })
    }

    /// Returns the addresses at which the routers listen for clients.
    pub(super) fn listen(&self) -> Vec<SocketAddr> {
        self.processes.iter().map(|process| process.listen).collect()
    }

    /// Returns the highest peak of resident memory of a router, in bytes.
    pub(super) fn peak_memory(&self) -> Result<u64, FloodError> {
        let mut peak = 0;
        for process in &self.processes {
            let usage = process.process_id().map(ProcessUsage::of).ok_or(FloodError::NotReady)?;
            peak = peak.max(usage.peak_memory().map_err(FloodError::Process)?);
        }
        Ok(peak)
    }

    /// Returns the mean CPU time that a router has used, in seconds.
    pub(super) fn cpu_seconds(&self) -> f64 {
        let total: f64 = self.processes.iter().map(RouterProcess::cpu_seconds).sum();
        total / crate::convert::size_to_f64(self.processes.len())
    }

    /// Returns the time that the machine's host has taken from the routers' cores, in total and in seconds.
    pub(super) fn stolen_seconds(&self) -> Result<f64, FloodError> {
        let text = fs::read_to_string("/proc/stat").map_err(FloodError::Process)?;
        let stolen = |core: usize| {
            let line = text.lines().find_map(|line| line.strip_prefix(&format!("cpu{core} ")));
            line.and_then(|fields| fields.split(' ').nth(STOLEN_FIELD)?.parse::<f64>().ok())
        };
        Ok((0..self.processes.len()).filter_map(stolen).sum::<f64>() / TICKS_PER_SECOND)
    }

    /// Has the routers write their counters to their logs, and returns the longest iteration of an event loop in microseconds;
    /// `None` if a router does not report it.
    pub(super) fn longest_iteration_us(&self) -> Option<u64> {
        let longest = |process: &RouterProcess| {
            process.print_counters();
            let log = self.folder.join(format!("{}.log", process.name));
            let started = Instant::now();
            while started.elapsed() < Duration::from_secs(1) {
                thread::sleep(CHECK_INTERVAL);
                let text = fs::read_to_string(&log).ok()?;
                let found = text.rsplit_once("longest_iteration_us=");
                if let Some((_, rest)) = found.filter(|(_, rest)| rest.contains('\n')) {
                    return rest.split(' ').next()?.parse::<u64>().ok();
                }
            }
            None
        };
        self.processes.iter().filter_map(longest).max()
    }
}

impl Drop for Routers {
    fn drop(&mut self) {
        self.processes.iter_mut().for_each(RouterProcess::kill);
        self.store.stop_listening();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn wait_until_ready(router: SocketAddr) -> Result<(), FloodError> {
    let started = Instant::now();
    while started.elapsed() < WAIT_TIMEOUT {
        if Client::connect(router).and_then(|mut client| client.read_answer()).is_ok() {
            return Ok(());
        }
        thread::sleep(CHECK_INTERVAL);
    }
    Err(FloodError::NotReady)
}
