//! What this router wants of the fleet's budgets.

use ottersill_routing::facade::Facade;

use crate::discovery::registry::EndpointRegistry;

/// What this router has to spend quota on.
pub struct FleetDemand<'a> {
    /// All endpoints.
    pub endpoints: &'a EndpointRegistry,
    /// Knows what waits for them, and which of them warm up.
    pub routing: &'a Facade,
    /// How many requests are in flight.
    pub requests_in_flight: usize,
}

/// An attempt that quota is wanted for.
#[derive(Clone, Copy)]
pub struct AttemptQuota<'a> {
    /// The endpoint's name.
    pub endpoint: &'a str,
    /// An earlier attempt of the request may have run.
    pub is_retry: bool,
    /// The endpoint warms up.
    pub is_warming: bool,
}
