//! The discovery service's answer: the list of endpoints, as JSON.

use std::net::SocketAddr;

/// One endpoint as discovery lists it.
pub(crate) struct ListedEndpoint<'a> {
    pub(crate) name: &'a str,
    pub(crate) address: SocketAddr,
    pub(crate) health: &'a str,
    /// When it started, in Unix milliseconds; zero for long ago.
    pub(crate) started_ms: u128,
}

/// The whole list, of that version.
pub(crate) fn endpoint_list_json(version: u64, endpoints: &[ListedEndpoint]) -> String {
    let entries: Vec<String> = endpoints.iter().map(entry_json).collect();
    format!("{{\"seq\":{version},\"whole\":true,\"hosts\":[{}]}}", entries.join(","))
}

fn entry_json(endpoint: &ListedEndpoint) -> String {
    let ListedEndpoint { name, address, health, started_ms } = endpoint;
    format!(
        "{{\"host\":\"{name}\",\"dial\":\"{address}\",\"site\":\"here\",\"class\":\"toy\",\"block\":1,\
         \"health\":\"{health}\",\"share\":1.0,\"born_ms\":{started_ms}}}"
    )
}
