//! The discovery service's answer: the list of endpoints, as JSON.

use std::net::SocketAddr;

/// One endpoint as discovery lists it.
pub(crate) struct ListedEndpoint<'a> {
    pub(crate) name: &'a str,
    pub(crate) address: SocketAddr,
    /// The number of its replica set.
    pub(crate) group: u64,
    pub(crate) health: &'a str,
    /// When it started, in Unix milliseconds; zero for long ago.
    pub(crate) started_ms: u128,
}

/// The list of that version; if it is not whole, endpoints that it lacks are as they were.
pub(crate) fn endpoint_list_json(version: u64, is_whole: bool, endpoints: &[ListedEndpoint]) -> String {
    let entries: Vec<String> = endpoints.iter().map(entry_json).collect();
    format!("{{\"seq\":{version},\"whole\":{is_whole},\"hosts\":[{}]}}", entries.join(","))
}

fn entry_json(endpoint: &ListedEndpoint) -> String {
    let ListedEndpoint { name, address, group, health, started_ms } = endpoint;
    format!(
        "{{\"host\":\"{name}\",\"dial\":\"{address}\",\"site\":\"here\",\"class\":\"toy\",\"block\":{group},\
         \"health\":\"{health}\",\"share\":1.0,\"born_ms\":{started_ms}}}"
    )
}
