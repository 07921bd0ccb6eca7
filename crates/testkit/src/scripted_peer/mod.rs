//! Peers that do only what a test tells them, when it tells them: an endpoint and a discovery service whose answers are
//! given by hand, so that an order of events is forced rather than hoped for.
//!
//! - [`ScriptedEndpoint`] and the [`ReceivedStatement`]s that it hands to the test
//! - [`ScriptedDiscovery`] and the [`DiscoveryCall`]s that it hands to the test

mod connection;
mod discovery;
mod endpoint;

use std::time::Duration;

pub use discovery::{DiscoveryCall, ScriptedDiscovery, endpoint_list};
pub use endpoint::{ReceivedStatement, ScriptedEndpoint};

/// Longer than anything that a test waits for may take on a busy machine.
const PATIENCE: Duration = Duration::from_secs(20);
