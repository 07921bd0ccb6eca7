//! The files of a cluster: the key, and each router's settings and file of the fleet.

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use super::ClusterError;
use super::network::Network;
use super::plan::ClusterPlan;
use super::router_process::RouterProcess;

/// The key that the members share.
const KEY: &[u8] = b"known to the members of this cluster only";
/// How far clocks may run apart, as a part.
const DRIFT: f64 = 0.01;

/// Writes the key, for its owner only.
pub(super) fn write_key(folder: &Path) -> Result<(), ClusterError> {
    let path = folder.join("fleet.key");
    let file = OpenOptions::new().create(true).truncate(true).write(true).mode(0o600).open(&path);
    file.and_then(|mut file| file.write_all(KEY)).map_err(ClusterError::file(path))
}

/// Writes a router's settings: `example`, the text of `example/router.json`, with this cluster's values in place of its
/// own.
pub(super) fn write_config(
    plan: &ClusterPlan,
    index: usize,
    router: &RouterProcess,
    discovery: SocketAddr,
    example: &str,
) -> Result<(), ClusterError> {
    // Short, so that what outlives a router is over soon.
    let example = example.replace("\"deadline_ms\": 2000", &format!("\"deadline_ms\": {}", plan.deadline_ms));
    router.write_config(&example, discovery, plan.seed * 1000 + index as u64)
}

/// Writes a router's file of the fleet, with `executions` units at each endpoint.
pub(super) fn write_fleet(
    plan: &ClusterPlan,
    folder: &Path,
    routers: &[RouterProcess],
    network: &Network,
    index: usize,
    executions: u64,
) -> Result<(), ClusterError> {
    let router = &routers[index];
    let mut text = members(plan, routers, network, index);
    text += &own_fields(plan, folder, router);
    text += &leases(plan);
    text += &budgets(plan, executions);
    fs::write(&router.fleet, text).map_err(ClusterError::file(&router.fleet))
}

/// The peers, each at the proxy on the way to it, and the voters.
fn members(plan: &ClusterPlan, routers: &[RouterProcess], network: &Network, index: usize) -> String {
    let peer = |(to, router): (usize, &RouterProcess)| {
        let address = network.address_of_peer(index, to).unwrap_or(router.datagrams);
        format!("peer {{ name: \"{}\" at: \"{address}\" }}\n", router.name)
    };
    let peers: String = routers.iter().enumerate().map(peer).collect();
    let voters: String = (0..plan.voters).map(|voter| format!("voter: \"r{voter}\"\n")).collect();
    peers + &voters
}

fn own_fields(plan: &ClusterPlan, folder: &Path, router: &RouterProcess) -> String {
    let RouterProcess { name, control, datagrams, .. } = router;
    let folder = folder.display();
    let mut text =
        format!("listen: \"{datagrams}\"\ncontrol: \"{control}\"\nkey_file: \"{folder}/fleet.key\"\n");
    if plan.audit {
        text += &format!("audit_file: \"{folder}/{name}.audit\"\n");
    }
    text
}

fn leases(plan: &ClusterPlan) -> String {
    let ClusterPlan { leader_lease, lease, floor_lease, .. } = plan;
    let members_at_most = plan.routers * 2;
    format!(
        "keeper_lease_s: {leader_lease}\nlease_s: {lease}\nfloor_lease_s: {floor_lease}\n\
         drift: {DRIFT}\nmembers_at_most: {members_at_most}\n"
    )
}

fn budgets(plan: &ClusterPlan, executions: u64) -> String {
    let ClusterPlan { floor, hold, probes, retries, cold_executions, .. } = plan;
    format!(
        "budget {{ of: EXECUTIONS_AT_EACH_HOST whole: {executions} floor: {floor} hold_s: {hold} }}\n\
         budget {{ of: PROBES whole: {probes} every_s: 1 }}\n\
         budget {{ of: SECOND_TRIES whole: {retries} every_s: 1 }}\n\
         budget {{ of: EXECUTIONS_AT_EACH_COLD_HOST whole: {cold_executions} every_s: 1 }}\n"
    )
}
