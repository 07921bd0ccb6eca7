//! The endpoint list as discovery writes it: JSON, either complete or only what changed.

use ottersill_routing::interface::EndpointState;
use serde::Deserialize;

/// An answer of discovery, and the list of last resort in the configuration.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList {
    /// Rises with each change. A watch asks for what came after it.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Endpoints that a complete list lacks are gone; those that a partial one lacks are as they were.
    #[serde(rename = "whole")]
    pub is_complete: bool,
    /// In no particular order; each endpoint once.
    #[serde(rename = "hosts")]
    pub entries: Vec<EndpointEntry>,
}

/// One endpoint of a list.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointEntry {
    /// Names the endpoint for as long as the fleet exists.
    #[serde(rename = "host")]
    pub name: String,
    /// Where it is dialled, `address:port`; empty or missing once it has left.
    #[serde(default, rename = "dial")]
    pub address: String,
    /// The site it stands at; empty where sites are not told apart.
    #[serde(default)]
    pub site: String,
    /// The number of its replica set.
    #[serde(rename = "block")]
    pub group: u64,
    /// Whether it may get anything new.
    pub health: Health,
    /// Its size relative to the other endpoints'.
    #[serde(default = "default_size", rename = "share")]
    pub size: f64,
    /// When its process started, in Unix milliseconds; 0 if that isn't known.
    #[serde(default, rename = "born_ms")]
    pub started_at_ms: f64,
}

fn default_size() -> f64 {
    1.0
}

/// What discovery says of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// In service.
    Active,
    /// Finishes what it has, and is to get nothing new.
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
