//! The endpoint list as discovery serves it: JSON, either complete or only what has changed.

use ottersill_routing::interface::EndpointState;
use serde::Deserialize;

/// The body of an answer of discovery; also the form of the fallback list in the configuration.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList {
    /// Increases with each change; a long poll requests the changes after a version.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether the list is complete. Endpoints missing from a complete list are removed; those missing from a partial list are
    /// unchanged.
    #[serde(rename = "whole")]
    pub is_complete: bool,
    /// Entries in no particular order, one for each endpoint.
    #[serde(rename = "hosts")]
    pub entries: Vec<EndpointEntry>,
}

/// One endpoint of a list.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointEntry {
    /// Name of the endpoint, which identifies it for the lifetime of the fleet.
    #[serde(rename = "host")]
    pub name: String,
    /// Address to connect to, `address:port`; empty or missing once the endpoint has left.
    #[serde(default, rename = "dial")]
    pub address: String,
    /// Site of the endpoint; empty if the deployment does not distinguish sites.
    #[serde(default)]
    pub site: String,
    /// Number of the endpoint's replica set.
    #[serde(rename = "block")]
    pub group: u64,
    /// Whether the endpoint may get new requests.
    pub health: Health,
    /// Size relative to the other endpoints.
    #[serde(default = "default_size", rename = "share")]
    pub size: f64,
    /// When the endpoint's process started, in Unix milliseconds; 0 if unknown.
    #[serde(default, rename = "born_ms")]
    pub started_at_ms: f64,
}

fn default_size() -> f64 {
    1.0
}

/// State of an endpoint as discovery reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// In service.
    Active,
    /// Finishes the requests that it has, and must not get new ones.
    Leaving,
    /// Out of service.
    Left,
}

impl From<Health> for EndpointState {
    fn from(health: Health) -> EndpointState {
        match health {
            Health::Active => EndpointState::Ready,
            Health::Leaving => EndpointState::Draining,
            Health::Left => EndpointState::Removed,
        }
    }
}
