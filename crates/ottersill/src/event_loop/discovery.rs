//! The event loop's handling of discovery: applies endpoint lists and removes endpoints.

use std::net::SocketAddr;

use ottersill_routing::facade::RoutingEvent;

use crate::discovery::change::log_change;
use crate::discovery::client::DiscoveryEvent;
use crate::discovery::endpoint_list::EndpointList;
use crate::event_loop::EventLoop;

impl EventLoop {
    /// Starts the watch on the discovery service.
    pub fn start_discovery(&mut self) {
        self.discovery.start(&mut self.context);
        self.on_discovery_events();
    }

    /// Changes the address of the discovery service.
    pub fn move_discovery(&mut self, address: SocketAddr) {
        self.discovery.set_address(address, &mut self.context);
        self.on_discovery_events();
    }

    /// Handles readiness of a connection to the discovery service.
    pub(super) fn on_discovery_ready(&mut self) {
        self.limit_discovery_calls();
        self.discovery.on_ready(&mut self.context);
        self.on_discovery_events();
    }

    /// Handles the expired timer of the watch on the discovery service.
    pub(super) fn on_discovery_timer(&mut self) {
        self.limit_discovery_calls();
        self.discovery.on_timer(&mut self.context);
        self.on_discovery_events();
    }

    /// Leaves to calls beyond the reserved ones the descriptors that neither connections nor health checks need.
    fn limit_discovery_calls(&mut self) {
        let needed = self.connection_descriptors_in_use() + self.descriptors_for_health_checks();
        self.discovery.limit_shared_descriptors(self.limits.total.saturating_sub(needed));
    }

    /// Handles the pending events of the discovery client.
    fn on_discovery_events(&mut self) {
        while let Some(event) = self.discovery.poll_event() {
            match event {
                DiscoveryEvent::List(list) => self.apply_endpoint_list(&list),
                DiscoveryEvent::CallFailed => self.report(RoutingEvent::EndpointListFailed),
            }
        }
    }

    /// Applies an endpoint list: reports the changes to the routing module, and withdraws assignments that may no longer be
    /// sent.
    pub fn apply_endpoint_list(&mut self, list: &EndpointList) {
        self.context.counters.endpoint_lists += 1;
        let change = self.endpoints.apply(list);
        for endpoint in &change.readdressed {
            self.backends.close_idle_of(*endpoint, &mut self.context);
        }
        log_change(&change, &self.endpoints, &self.context.log);
        if !change.updates.is_empty() {
            self.report(RoutingEvent::EndpointList(&change.updates));
            self.withdraw_disallowed();
        }
        self.remove_forgotten_endpoints();
    }

    /// Removes the endpoints that have left the list and that the routing module no longer needs. Closes the remaining
    /// connections to them, as they would otherwise be used for the endpoint that gets the same index next.
    fn remove_forgotten_endpoints(&mut self) {
        let now = self.context.now();
        let mut forgettable = self.facade.forgettable_endpoints(now);
        forgettable.retain(|endpoint| self.disconnect(*endpoint));
        for endpoint in self.facade.forget_endpoints(now, &forgettable) {
            self.endpoints.remove(endpoint);
            self.statements.forget_endpoint(endpoint);
        }
    }

    /// Closes the connections to an endpoint that carry no assignment. Returns whether no connection is left.
    fn disconnect(&mut self, endpoint: usize) -> bool {
        self.backends.close_unassigned_of(endpoint, &mut self.context);
        let is_unconnected = self.backends.count_to(endpoint) == 0;
        let invariant = "nothing is in flight to an endpoint that is forgotten";
        self.context.counters.check_invariant(is_unconnected, invariant);
        is_unconnected
    }
}
