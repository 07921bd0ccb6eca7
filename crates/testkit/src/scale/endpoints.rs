//! The endpoints of a measurement, at thousands of loopback addresses with one port, and the schedule of their replacement.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use crate::stand_in::{MembershipChange, StandInStore};

use super::ScaleError;
use super::plan::{GROUP_SIZE, ScalePlan};

/// Port of all endpoints, below the range of ephemeral ports.
const ENDPOINT_PORT: u16 = 9_000;
/// Second byte of the first /16 network for measurements. Cluster tests use other parts of 127.0.0.0/8.
const FIRST_NETWORK: u64 = 192;
/// Number of /16 networks for measurements.
const NETWORKS: u64 = 62;
/// Number of addresses that are used in each /24 network: all but the first and the last few.
const ADDRESSES_PER_SUBNET: usize = 250;

/// The endpoints of a run, and the changes of the endpoint list that replace some of them.
pub(super) struct Endpoints {
    pub(super) store: StandInStore,
    pub(super) changes: Vec<MembershipChange>,
}

impl Endpoints {
    /// Starts all endpoints of the plan, and the successors of the endpoints that are replaced.
    pub(super) fn start(plan: &ScalePlan) -> Result<Endpoints, ScaleError> {
        let store = StandInStore::default();
        store.send_changes_only();
        let replaced = replaced_endpoints(plan);
        start_endpoints(&store, plan, &replaced).map_err(ScaleError::Store)?;
        Ok(Endpoints { store, changes: membership_changes(plan, &replaced) })
    }
}

impl Drop for Endpoints {
    fn drop(&mut self) {
        // The threads of the store are not joined, but its thousands of descriptors have to be closed.
        self.store.stop_listening();
    }
}

/// Returns the endpoints that are replaced, in the order of their replacement.
fn replaced_endpoints(plan: &ScalePlan) -> Vec<usize> {
    let mut endpoints: Vec<usize> = (0..plan.endpoints).collect();
    endpoints.shuffle(&mut SmallRng::seed_from_u64(plan.seed));
    endpoints.truncate(plan.replacements());
    endpoints
}

fn start_endpoints(store: &StandInStore, plan: &ScalePlan, replaced: &[usize]) -> io::Result<()> {
    let network = network_of_run();
    for endpoint in 0..plan.endpoints {
        store.add_endpoint_to_group(address(network, endpoint), group_of(endpoint))?;
    }
    for (number, endpoint) in replaced.iter().enumerate() {
        store.add_unlisted_endpoint(address(network, plan.endpoints + number), group_of(*endpoint))?;
    }
    Ok(())
}

/// Returns the changes of the endpoint list in order. Each takes the endpoints out of service that the previous change began
/// to drain, starts to drain the next endpoints, and adds their successors.
fn membership_changes(plan: &ScalePlan, replaced: &[usize]) -> Vec<MembershipChange> {
    let count = plan.changes();
    let first_replacement = |change: usize| change * replaced.len() / count;
    let mut draining = Vec::new();
    let mut change = |number: usize| {
        let replacements = first_replacement(number)..first_replacement(number + 1);
        let leaving = replaced[replacements.clone()].to_vec();
        let joining = replacements.map(|successor| plan.endpoints + successor).collect();
        let left = std::mem::replace(&mut draining, leaving.clone());
        MembershipChange { joining, leaving, left }
    };
    (0..count).map(&mut change).collect()
}

/// Returns the replica set of an endpoint that is not a successor.
fn group_of(endpoint: usize) -> u64 {
    (endpoint / GROUP_SIZE) as u64 + 1
}

/// Returns a /16 network for this run. It is unique among up to [`NETWORKS`] runs of this process, and most likely unique
/// among all processes.
fn network_of_run() -> u8 {
    static RUNS: AtomicU64 = AtomicU64::new(0);
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    let network = FIRST_NETWORK + (u64::from(std::process::id()) + run) % NETWORKS;
    u8::try_from(network).expect("network number exceeds one byte")
}

fn address(network: u8, endpoint: usize) -> SocketAddr {
    let byte =
        |number: usize| u8::try_from(number).expect("endpoint number exceeds the addresses of a /16 network");
    let (subnet, last) = (byte(endpoint / ADDRESSES_PER_SUBNET), byte(endpoint % ADDRESSES_PER_SUBNET + 1));
    SocketAddr::from((Ipv4Addr::new(127, network, subnet, last), ENDPOINT_PORT))
}
