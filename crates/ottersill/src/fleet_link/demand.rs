//! The demand of this router for units of the fleet's budgets.

use ottersill_routing::facade::Facade;

use crate::discovery::registry::EndpointRegistry;

/// The state of this router from which its demand for quota follows.
pub struct FleetDemand<'a> {
    /// All endpoints.
    pub endpoints: &'a EndpointRegistry,
    /// Gives the number of requests that wait for an endpoint, and whether it is warming up.
    pub routing: &'a Facade,
    /// The number of requests in flight.
    pub requests_in_flight: usize,
}

/// An attempt for which quota is requested.
#[derive(Clone, Copy)]
pub struct AttemptQuotaRequest<'a> {
    /// The endpoint's name.
    pub endpoint: &'a str,
    /// Whether an earlier attempt of the request may have run.
    pub is_retry: bool,
    /// Whether the endpoint is warming up.
    pub is_warming: bool,
}
