//! Deployment settings: the JSON object that configures every router of a deployment, whether the router uses sockets
//! or runs in the simulator.
//!
//! [`DeploymentSettings`] is the parsed object. The following are derived from it: the
//! [`RoutingConfig`](ottersill_routing::interface::RoutingConfig) on which routing decisions are based, the
//! [`DeploymentNames`] that the program keeps in addition, and the [`BackendTimeouts`].

mod backend_timeouts;
mod error;
mod names;
mod routing_config;
mod schema;
mod workload;

pub use backend_timeouts::BackendTimeouts;
pub use error::SettingsError;
pub use names::DeploymentNames;
pub use schema::DeploymentSettings;

/// Converts milliseconds, the unit of times in the JSON object, to seconds, the unit of times in the program.
fn seconds(milliseconds: f64) -> f64 {
    milliseconds / 1000.0
}
