//! What follows from an endpoint list: carried out, and logged as far as it changes something.

use ottersill_routing::facade::RoutingEvent;
use ottersill_routing::interface::EndpointState;
use slog::info;

use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::registry::RegistryChange;
use crate::event_loop::EventLoop;

/// A list that changes more than this gets one log line with counts, a shorter one a line for each change.
pub const MAX_CHANGES_LOGGED: usize = 50;

impl EventLoop {
    /// Takes over an endpoint list: tells the routing module what has changed, and withdraws what may no longer go out.
    pub fn apply_endpoint_list(&mut self, list: &EndpointList) {
        self.counters.endpoint_lists += 1;
        let change = self.endpoints.apply(list);
        for endpoint in &change.readdressed {
            self.close_idle_backends_of(*endpoint);
        }
        self.log_change(&change);
        if !change.updates.is_empty() {
            self.report(RoutingEvent::EndpointList(&change.updates));
            self.withdraw_disallowed();
        }
        self.remove_forgotten_endpoints();
    }

    /// Removes the endpoints that are gone and that the routing module needs no more. What is left of connections to them is
    /// closed: it would be taken for one to the endpoint that has the index next.
    fn remove_forgotten_endpoints(&mut self) {
        let now = self.clock.now();
        let mut forgettable = self.facade.forgettable_endpoints(now);
        forgettable.retain(|endpoint| {
            self.close_unassigned_backends_of(*endpoint);
            let is_unconnected = self.backends.count_to(*endpoint) == 0;
            self.counters
                .check_invariant(is_unconnected, "nothing is in flight to an endpoint that is forgotten");
            is_unconnected
        });
        for endpoint in self.facade.forget_endpoints(now, &forgettable) {
            self.endpoints.remove(endpoint);
            self.fingerprints.forget_endpoint(endpoint);
        }
    }

    fn log_change(&self, change: &RegistryChange) {
        let RegistryChange { updates, readdressed } = change;
        if updates.len() + readdressed.len() > MAX_CHANGES_LOGGED {
            let count = |state| updates.iter().filter(|update| update.state == state).count();
            info!(self.log, "endpoint updates"; "ready" => count(EndpointState::Ready),
                "draining" => count(EndpointState::Draining), "removed" => count(EndpointState::Removed),
                "readdressed" => readdressed.len());
            return;
        }
        for update in updates {
            let name = self.endpoints[update.endpoint].name.as_str();
            info!(self.log, "endpoint update"; "endpoint" => name, "state" => format!("{:?}", update.state),
                "started_at" => update.started_at.unwrap_or(0.0));
        }
        for endpoint in readdressed {
            let endpoint = &self.endpoints[*endpoint];
            let address = endpoint.dial.map(|address| address.to_string()).unwrap_or_default();
            info!(self.log, "endpoint readdressed"; "endpoint" => endpoint.name.as_str(), "address" => address);
        }
    }
}
