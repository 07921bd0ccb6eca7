//! Deployment settings: the JSON object that every router of a deployment is given, over sockets and on the
//! simulator's wire alike.
//!
//! [`DeploymentSettings`] is the object as parsed. From it come the [`RoutingConfig`](ottersill_routing::interface::RoutingConfig) that
//! routing decides by, the [`Catalog`] of names that the program keeps beside them, and the [`BackendTimeouts`].

mod backend_timeouts;
mod catalog;
mod error;
mod routing_config;
mod schema;
mod workload;

pub use backend_timeouts::BackendTimeouts;
pub use catalog::Catalog;
pub use error::SettingsError;
pub use schema::DeploymentSettings;

/// Milliseconds, as the JSON has times, in seconds, as the program has them.
fn seconds(milliseconds: f64) -> f64 {
    milliseconds / 1000.0
}
