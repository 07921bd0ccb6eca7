//! The files of a cluster: the key, and the configuration and fleet file of each router.

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use super::ClusterError;
use super::network::Network;
use super::plan::ClusterPlan;
use super::router_process::RouterProcess;

/// Key shared by the members.
const KEY: &[u8] = b"known to the members of this cluster only";
/// Largest relative drift between the clocks of two members.
const CLOCK_DRIFT: f64 = 0.01;

/// Writes the key file, readable by its owner only.
pub(super) fn write_key(folder: &Path) -> Result<(), ClusterError> {
    let path = folder.join("fleet.key");
    let file = OpenOptions::new().create(true).truncate(true).write(true).mode(0o600).open(&path);
    file.and_then(|mut file| file.write_all(KEY)).map_err(ClusterError::file(path))
}

/// Writes the configuration of a router: `example`, the text of `example/router.json`, with the values of this cluster
/// substituted.
pub(super) fn write_config(
    plan: &ClusterPlan,
    index: usize,
    router: &RouterProcess,
    discovery: SocketAddr,
    example: &str,
) -> Result<(), ClusterError> {
    // A short timeout makes statements that outlive their router end soon.
    let example = example.replace("\"deadline_ms\": 2000", &format!("\"deadline_ms\": {}", plan.deadline_ms));
    router.write_config(&example, discovery, plan.seed * 1000 + index as u64)
}

/// Writes the fleet file of a router, with a budget of `attempts` concurrent attempts at each endpoint.
pub(super) fn write_fleet_file(
    plan: &ClusterPlan,
    folder: &Path,
    routers: &[RouterProcess],
    network: &Network,
    index: usize,
    attempts: u64,
) -> Result<(), ClusterError> {
    let router = &routers[index];
    let mut text = peers_and_voters(plan, routers, network, index);
    text += &router_fields(plan, folder, router);
    text += &lease_fields(plan);
    text += &budget_fields(plan, attempts);
    fs::write(&router.fleet, text).map_err(ClusterError::file(&router.fleet))
}

/// Formats the peers, each with the address of the proxy in front of it, and the voters.
fn peers_and_voters(
    plan: &ClusterPlan,
    routers: &[RouterProcess],
    network: &Network,
    index: usize,
) -> String {
    let peer = |(to, router): (usize, &RouterProcess)| {
        let address = network.peer_address(index, to).unwrap_or(router.datagrams);
        format!("peer {{ name: \"{}\" at: \"{address}\" }}\n", router.name)
    };
    let peers: String = routers.iter().enumerate().map(peer).collect();
    let voters: String = (0..plan.voters).map(|voter| format!("voter: \"r{voter}\"\n")).collect();
    peers + &voters
}

fn router_fields(plan: &ClusterPlan, folder: &Path, router: &RouterProcess) -> String {
    let RouterProcess { name, control, datagrams, .. } = router;
    let folder = folder.display();
    let mut text =
        format!("listen: \"{datagrams}\"\ncontrol: \"{control}\"\nkey_file: \"{folder}/fleet.key\"\n");
    if plan.audit {
        text += &format!("audit_file: \"{folder}/{name}.audit\"\n");
    }
    text
}

fn lease_fields(plan: &ClusterPlan) -> String {
    let ClusterPlan { leader_lease_seconds, lease_seconds, floor_lease_seconds, .. } = plan;
    let members_at_most = plan.routers * 2;
    format!(
        "keeper_lease_s: {leader_lease_seconds}\nlease_s: {lease_seconds}\nfloor_lease_s: {floor_lease_seconds}\n\
         drift: {CLOCK_DRIFT}\nmembers_at_most: {members_at_most}\n"
    )
}

fn budget_fields(plan: &ClusterPlan, attempts: u64) -> String {
    let ClusterPlan {
        floor,
        hold_seconds,
        health_checks_per_second,
        retries_per_second,
        attempts_per_second_in_slow_start,
        ..
    } = plan;
    format!(
        "budget {{ of: EXECUTIONS_AT_EACH_HOST whole: {attempts} floor: {floor} hold_s: {hold_seconds} }}\n\
         budget {{ of: PROBES whole: {health_checks_per_second} every_s: 1 }}\n\
         budget {{ of: SECOND_TRIES whole: {retries_per_second} every_s: 1 }}\n\
         budget {{ of: EXECUTIONS_AT_EACH_COLD_HOST whole: {attempts_per_second_in_slow_start} every_s: 1 }}\n"
    )
}
