//! Encodes the discovery service's answer, the endpoint list, as JSON.

use std::net::SocketAddr;

/// An entry of the endpoint list.
pub(crate) struct ListedEndpoint<'a> {
    pub(crate) name: &'a str,
    pub(crate) address: SocketAddr,
    /// Number of the endpoint's replica set.
    pub(crate) group: u64,
    pub(crate) health: &'a str,
    /// Start of the endpoint in Unix milliseconds; zero if it started long ago.
    pub(crate) started_ms: u128,
}

/// Encodes the list with the given version. If it is not complete, endpoints that it lacks are unchanged.
pub(crate) fn endpoint_list_json(version: u64, is_complete: bool, endpoints: &[ListedEndpoint]) -> String {
    let entries: Vec<String> = endpoints.iter().map(entry_json).collect();
    format!("{{\"seq\":{version},\"whole\":{is_complete},\"hosts\":[{}]}}", entries.join(","))
}

fn entry_json(endpoint: &ListedEndpoint) -> String {
    let ListedEndpoint { name, address, group, health, started_ms } = endpoint;
    format!(
        "{{\"host\":\"{name}\",\"dial\":\"{address}\",\"site\":\"here\",\"class\":\"toy\",\"block\":{group},\
         \"health\":\"{health}\",\"share\":1.0,\"born_ms\":{started_ms}}}"
    )
}
