//! The cluster as tests use it: starts routers, injects faults and sends load.

use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::fault_proxy::{LinkFaults, StreamFaults};
use crate::stand_in::StandInStore;

use super::diagnostics::WaitObserver;
use super::load::{Answers, LoadGenerator};
use super::network::Network;
use super::plan::ClusterPlan;
use super::router_process::{DuplicateRouter, Launcher, RouterAddresses, RouterProcess};
use super::{ClusterError, WAIT_TIMEOUT, files};

/// Interval between two checks of an awaited condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Many router processes with proxies between them, in front of a stand-in store. Dropping it stops the load and the
/// routers, and removes their files unless the thread is panicking.
pub struct Cluster {
    /// Parameters of the cluster.
    pub plan: ClusterPlan,
    /// Stand-in store behind the routers.
    pub store: StandInStore,
    /// All routers, running or not.
    pub routers: Vec<RouterProcess>,
    /// Folder of the routers' files.
    pub folder: PathBuf,
    network: Network,
    launcher: Launcher,
    load: Option<LoadGenerator>,
}

impl Cluster {
    /// Writes the files of all routers and starts the proxies, but no router. `program` is the router executable, `example`
    /// the text of `example/router.json`, in which the addresses are replaced.
    pub fn new(plan: ClusterPlan, program: &Path, example: &str) -> Result<Cluster, ClusterError> {
        let ip = unused_ip();
        let store = start_store(&plan)?;
        let folder = create_folder(&plan, ip)?;
        files::write_key(&folder)?;
        let router = |index| {
            let addresses = RouterAddresses::new(ip, index);
            RouterProcess::new(format!("r{index}"), &folder, addresses)
        };
        let routers: Vec<RouterProcess> = (0..plan.routers).map(router).collect();
        let network = start_network(&plan, &store, &routers, ip)?;
        let launcher = Launcher {
            program: program.to_path_buf(),
            folder: folder.clone(),
            arguments: plan.arguments.clone(),
            fleet_enabled: plan.fleet_enabled,
        };
        let cluster = Cluster { plan, store, routers, folder, network, launcher, load: None };
        for index in 0..cluster.routers.len() {
            cluster.write_config(index, ip, example)?;
            cluster.write_fleet_file(index, cluster.plan.attempts_per_endpoint)?;
        }
        Ok(cluster)
    }

    /// Writes the configuration of a router and starts a discovery for it that lists the addresses of its proxies to the
    /// endpoints.
    fn write_config(&self, index: usize, ip: IpAddr, example: &str) -> Result<(), ClusterError> {
        let proxied = self.network.endpoint_addresses(index);
        let discovery =
            self.store.add_discovery_via(&format!("{ip}:0"), proxied).map_err(ClusterError::Store)?;
        files::write_config(&self.plan, index, &self.routers[index], discovery, example)
    }

    /// Writes the fleet file of a router, with a budget of `attempts` concurrent attempts at each endpoint.
    pub fn write_fleet_file(&self, index: usize, attempts: u64) -> Result<(), ClusterError> {
        files::write_fleet_file(&self.plan, &self.folder, &self.routers, &self.network, index, attempts)
    }

    /// Starts a second process with the name and files of a router, which listens at other addresses for clients and
    /// operators.
    pub fn start_duplicate(&self, index: usize) -> Result<DuplicateRouter, ClusterError> {
        let original = &self.routers[index];
        let addresses = RouterAddresses::new(original.listen.ip(), self.routers.len() + index);
        DuplicateRouter::start(&self.launcher, original, addresses)
    }

    /// Starts or restarts a router, unless it is running.
    pub fn start(&mut self, index: usize) -> Result<(), ClusterError> {
        self.routers[index].start(&self.launcher)
    }

    /// Starts all routers that are not running.
    pub fn start_all(&mut self) -> Result<(), ClusterError> {
        (0..self.routers.len()).try_for_each(|index| self.start(index))
    }

    /// Kills a router with SIGKILL.
    pub fn kill(&mut self, index: usize) {
        self.routers[index].kill();
    }

    /// Suspends a router with SIGSTOP.
    pub fn pause(&mut self, index: usize) {
        self.routers[index].pause();
    }

    /// Resumes a suspended router with SIGCONT.
    pub fn resume(&mut self, index: usize) {
        self.routers[index].resume();
    }

    /// Has a router reload its files, with SIGHUP.
    pub fn reload(&self, index: usize) {
        self.routers[index].reload();
    }

    /// Terminates a router with SIGTERM and waits for its exit. Returns its exit code, or `None` if it had to be killed.
    pub fn terminate(&mut self, index: usize) -> Option<i32> {
        self.routers[index].terminate()
    }

    /// Waits until a router has exited by itself. Returns its exit code, or `None` if it had to be killed.
    pub fn wait_for_exit(&mut self, index: usize) -> Option<i32> {
        self.routers[index].wait()
    }

    /// Changes the faults of the link from one router to another.
    pub fn change_link(&self, from: usize, to: usize, change: impl FnOnce(&mut LinkFaults)) {
        self.network.change_link(from, to, change);
    }

    /// Replaces the faults of all links between routers.
    pub fn set_all_links(&self, faults: LinkFaults) {
        self.network.set_all_links(faults);
    }

    /// Changes the faults of the connections between a router and an endpoint.
    pub fn change_stream(&self, router: usize, endpoint: usize, change: impl FnOnce(&mut StreamFaults)) {
        self.network.change_stream(router, endpoint, change);
    }

    /// Replaces the faults of all connections between routers and endpoints.
    pub fn set_all_streams(&self, faults: StreamFaults) {
        self.network.set_all_streams(faults);
    }

    /// Cuts the links between routers of different sides and restores all others; with `one_way`, only the links from a
    /// lower side to a higher one are cut.
    pub fn partition(&self, side: impl Fn(usize) -> usize, one_way: bool) {
        self.network.partition(side, one_way);
    }

    /// Starts `clients` clients of each router, after stopping those that are running. One statement in `write_every` is a
    /// write; with zero, none is.
    pub fn start_load(&mut self, clients: usize, write_every: u64) {
        self.start_load_at(&vec![clients; self.routers.len()], write_every);
    }

    /// Like [`start_load`](Cluster::start_load), with a separate number of clients for each router.
    pub fn start_load_at(&mut self, clients: &[usize], write_every: u64) {
        self.stop_load();
        let routers: Vec<SocketAddr> = self.routers.iter().map(|router| router.listen).collect();
        self.load = Some(LoadGenerator::start(&routers, clients, write_every));
    }

    /// Returns the counts of the answers to clients so far, by router; empty if no load is running.
    pub fn answers(&self) -> Vec<Answers> {
        self.load.as_ref().map_or(Vec::new(), LoadGenerator::answers)
    }

    /// Stops the clients and returns the counts of their answers, by router; empty if no load was running.
    pub fn stop_load(&mut self) -> Vec<Answers> {
        self.load.take().map_or(Vec::new(), LoadGenerator::stop)
    }

    /// Waits until the condition holds; returns false if it does not hold within the timeout, and prints what the cluster looks
    /// like then.
    pub fn wait_until(&self, condition: impl Fn(&Cluster) -> bool) -> bool {
        let started = Instant::now();
        let mut observer = WaitObserver::start();
        while started.elapsed() < WAIT_TIMEOUT {
            observer.record_check();
            if condition(self) {
                return true;
            }
            thread::sleep(CHECK_INTERVAL);
        }
        println!("{}", self.describe_timeout(&observer));
        false
    }

    /// Waits until all routers answer clients; returns false if they do not within the timeout.
    pub fn wait_until_ready(&self) -> bool {
        self.wait_until(|cluster| (0..cluster.routers.len()).all(|index| cluster.is_ready(index)))
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.stop_load();
        // The routers must stop before their files are removed.
        self.routers.clear();
        if !thread::panicking() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns an IP address that only this cluster uses. On 127.0.0.1, a connection that another test opens could take the
/// port at which a router is about to listen.
pub(crate) fn unused_ip() -> IpAddr {
    static CLUSTERS: AtomicU64 = AtomicU64::new(0);
    let [low, high, ..] = std::process::id().to_le_bytes();
    // Wraps around, as the last byte of the address does: it is between 1 and 250.
    let number = CLUSTERS.fetch_add(1, Ordering::Relaxed) % 250;
    IpAddr::from([127, 64 + high % 128, low, 1 + u8::try_from(number).unwrap_or_default()])
}

fn start_store(plan: &ClusterPlan) -> Result<StandInStore, ClusterError> {
    let store = StandInStore::default();
    for _ in 0..plan.endpoints {
        store.add_endpoint("127.0.0.1:0").map_err(ClusterError::Store)?;
    }
    store.set_statement_duration(Duration::from_secs_f64(plan.statement_seconds));
    Ok(store)
}

fn create_folder(plan: &ClusterPlan, ip: IpAddr) -> Result<PathBuf, ClusterError> {
    let unique = format!("ottersill-cluster-{}-{ip}-{}", std::process::id(), plan.seed);
    let folder = std::env::temp_dir().join(unique);
    fs::create_dir_all(&folder).map_err(ClusterError::file(&folder))?;
    Ok(folder)
}

fn start_network(
    plan: &ClusterPlan,
    store: &StandInStore,
    routers: &[RouterProcess],
    ip: IpAddr,
) -> Result<Network, ClusterError> {
    let routers: Vec<SocketAddr> = routers.iter().map(|router| router.datagrams).collect();
    let endpoints: Vec<SocketAddr> =
        (0..plan.endpoints).map(|endpoint| store.endpoint_address(endpoint)).collect();
    Network::start(&routers, &endpoints, ip, plan.seed)
}
