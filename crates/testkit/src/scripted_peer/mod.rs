//! Peers that a test controls step by step: an endpoint and a discovery service to which the test gives each answer, so
//! that it determines the order of events instead of depending on timing.
//!
//! - [`ScriptedEndpoint`], the [`ReceivedStatement`]s that it passes to the test, and the [`ExtraAnswer`]s that it sends
//! - [`ScriptedDiscovery`] and the [`DiscoveryCall`]s that it passes to the test

mod connection;
mod discovery;
mod endpoint;

use std::time::Duration;

pub use discovery::{DiscoveryCall, ScriptedDiscovery, endpoint_list};
pub use endpoint::{ExtraAnswer, ReceivedStatement, ScriptedEndpoint};

/// Longest wait for an event that a test expects, long enough for a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
