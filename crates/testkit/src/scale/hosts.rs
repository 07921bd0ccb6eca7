//! The endpoints: thousands of loopback addresses on one port, and the order in which they are replaced.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use crate::stand_in::{MembershipChange, StandInStore};

use super::ScaleError;
use super::plan::{GROUP_SIZE, ScalePlan};

/// Where all endpoints listen. Below the ports that connections are opened from.
const PORT: u16 = 9_000;
/// The first and the number of the /16 networks that runs use: the part of 127/8 that clusters leave free.
const FIRST_NETWORK: u64 = 192;
const NETWORKS: u64 = 62;
/// Addresses of each /24 network that are used: all but the first and the last few.
const ADDRESSES_PER_SUBNET: usize = 250;

/// The endpoints of a run, and the changes that replace a part of them.
pub(super) struct Hosts {
    pub(super) store: StandInStore,
    pub(super) changes: Vec<MembershipChange>,
}

impl Hosts {
    /// Starts all endpoints of the plan, and the successors of those that are replaced.
    pub(super) fn start(plan: &ScalePlan) -> Result<Hosts, ScaleError> {
        let store = StandInStore::default();
        store.send_changes_only();
        let replaced = replaced_hosts(plan);
        start_endpoints(&store, plan, &replaced).map_err(ScaleError::Store)?;
        Ok(Hosts { store, changes: changes(plan, &replaced) })
    }
}

impl Drop for Hosts {
    fn drop(&mut self) {
        // The threads of a store go on; its thousands of descriptors must not.
        self.store.stop_listening();
    }
}

/// The endpoints that are replaced, in that order.
fn replaced_hosts(plan: &ScalePlan) -> Vec<usize> {
    let mut hosts: Vec<usize> = (0..plan.hosts).collect();
    hosts.shuffle(&mut SmallRng::seed_from_u64(plan.seed));
    hosts.truncate(plan.replacements());
    hosts
}

fn start_endpoints(store: &StandInStore, plan: &ScalePlan, replaced: &[usize]) -> io::Result<()> {
    let network = unused_network();
    for host in 0..plan.hosts {
        store.add_member(address(network, host), group_of(host))?;
    }
    for (number, host) in replaced.iter().enumerate() {
        store.add_successor(address(network, plan.hosts + number), group_of(*host))?;
    }
    Ok(())
}

/// The changes of the list, in their order: each takes out of service what the one before began to drain, drains the next
/// endpoints and has their successors join.
fn changes(plan: &ScalePlan, replaced: &[usize]) -> Vec<MembershipChange> {
    let count = plan.changes();
    let start_of = |change: usize| change * replaced.len() / count;
    let mut draining = Vec::new();
    let mut change = |number: usize| {
        let numbers = start_of(number)..start_of(number + 1);
        let leaving = replaced[numbers.clone()].to_vec();
        let joining = numbers.map(|successor| plan.hosts + successor).collect();
        let left = std::mem::replace(&mut draining, leaving.clone());
        MembershipChange { joining, leaving, left }
    };
    (0..count).map(&mut change).collect()
}

/// The replica set of one of the first endpoints.
fn group_of(host: usize) -> u64 {
    (host / GROUP_SIZE) as u64 + 1
}

/// A network for this run alone, of all runs of this process, and most likely of all processes.
fn unused_network() -> u8 {
    static RUNS: AtomicU64 = AtomicU64::new(0);
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    let network = FIRST_NETWORK + (u64::from(std::process::id()) + run) % NETWORKS;
    u8::try_from(network).expect("networks are numbered in one byte")
}

fn address(network: u8, host: usize) -> SocketAddr {
    let byte = |number: usize| u8::try_from(number).expect("an address for each host");
    let (subnet, last) = (byte(host / ADDRESSES_PER_SUBNET), byte(host % ADDRESSES_PER_SUBNET + 1));
    SocketAddr::from((Ipv4Addr::new(127, network, subnet, last), PORT))
}
