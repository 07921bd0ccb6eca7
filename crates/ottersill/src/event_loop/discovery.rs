//! What the event loop does with what discovery says.

use std::net::SocketAddr;

use ottersill_routing::facade::RoutingEvent;

use crate::discovery::change::log_change;
use crate::discovery::client::DiscoveryEvent;
use crate::discovery::endpoint_list::EndpointList;
use crate::event_loop::EventLoop;

impl EventLoop {
    /// Begins the watch on discovery.
    pub fn start_discovery(&mut self) {
        self.discovery.start(&mut self.context);
        self.on_discovery_events();
    }

    /// Discovery is at that address from now on.
    pub fn move_discovery(&mut self, address: SocketAddr) {
        self.discovery.move_to(address, &mut self.context);
        self.on_discovery_events();
    }

    /// A connection to discovery became ready.
    pub(super) fn on_discovery_ready(&mut self) {
        self.discovery.on_ready(&mut self.context);
        self.on_discovery_events();
    }

    /// The timer of the watch on discovery has expired.
    pub(super) fn on_discovery_timer(&mut self) {
        self.discovery.on_timer(&mut self.context);
        self.on_discovery_events();
    }

    /// Carries out what the discovery client says.
    fn on_discovery_events(&mut self) {
        while let Some(event) = self.discovery.poll_event() {
            match event {
                DiscoveryEvent::List(list) => self.apply_endpoint_list(&list),
                DiscoveryEvent::CallFailed => self.report(RoutingEvent::EndpointListFailed),
            }
        }
    }

    /// Takes over an endpoint list: tells the routing module what has changed, and withdraws what may no longer go out.
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

    /// Removes the endpoints that are gone and that the routing module needs no more. What is left of connections to them is
    /// closed: it would be taken for one to the endpoint that has the index next.
    fn remove_forgotten_endpoints(&mut self) {
        let now = self.context.now();
        let mut forgettable = self.facade.forgettable_endpoints(now);
        forgettable.retain(|endpoint| self.disconnect(*endpoint));
        for endpoint in self.facade.forget_endpoints(now, &forgettable) {
            self.endpoints.remove(endpoint);
            self.statements.forget_endpoint(endpoint);
        }
    }

    /// Closes the connections to an endpoint to which nothing is in flight; true if none is left.
    fn disconnect(&mut self, endpoint: usize) -> bool {
        self.backends.close_unassigned_of(endpoint, &mut self.context);
        let is_unconnected = self.backends.count_to(endpoint) == 0;
        let invariant = "nothing is in flight to an endpoint that is forgotten";
        self.context.counters.check_invariant(is_unconnected, invariant);
        is_unconnected
    }
}
