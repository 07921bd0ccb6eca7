//! How long the state of an endpoint is kept after the endpoint has left the endpoint list.
//!
//! An endpoint that left may be listed again shortly after, as in a rolling restart, and its state still applies
//! then: ejected, slow, warming. If the list contains thousands of endpoints and one of them changes each second,
//! keeping the state of all of them permanently would exhaust the memory. The state of an endpoint is therefore
//! dropped once no rule needs it, and its index may be reused for another endpoint.
//!
//! The state of an endpoint that may still be sent requests is kept: where only draining excludes an endpoint, that
//! is each one that was removed from the list without having been drained.

use crate::ids::EndpointId;
use crate::state::RouterState;

/// Seconds for which the state of an endpoint that left is kept, as it may be listed again; a restart takes less. The
/// state of a warming endpoint is kept until the endpoint would be warm.
const RETENTION_SECONDS: f64 = 60.0;

impl RouterState {
    /// The endpoints whose state may be dropped, in the order in which they left.
    pub(crate) fn forgettable(&self, now: f64) -> Vec<EndpointId> {
        let departed = self.departures.departed();
        // However often the list changes, the endpoints that have left and may be dropped do not outnumber the listed
        // ones.
        let listed = self.endpoints.len() - self.departures.vacant_indices() - departed.len();
        let surplus = departed.len().saturating_sub(listed);
        let is_due = |position: usize, id: EndpointId| {
            let departure = self.endpoints[id].departure;
            position < surplus || departure.is_some_and(|departure| now - departure.at() >= RETENTION_SECONDS)
        };
        let due = departed.enumerate().take_while(|(position, id)| is_due(*position, *id));
        let removable: Vec<EndpointId> =
            due.map(|(_, id)| id).filter(|id| self.is_removable(now, *id)).collect();
        self.without_referenced(removable)
    }

    /// Drops the state of these endpoints, except those that a rule still needs; returns the dropped ones, whose
    /// indices are vacant from now on.
    pub(crate) fn forget(&mut self, now: f64, endpoints: Vec<EndpointId>) -> Vec<EndpointId> {
        let removable = endpoints.into_iter().filter(|id| self.is_removable(now, *id)).collect();
        let forgotten = self.without_referenced(removable);
        for id in &forgotten {
            self.drop_state(*id);
        }
        forgotten
    }

    /// Whether the endpoint has left, would be warm by now, and has no health check in flight.
    fn is_removable(&self, now: f64, id: EndpointId) -> bool {
        let endpoint = &self.endpoints[id];
        let is_warm = endpoint.slow_start.capacity_fraction(now, &self.config) >= 1.0;
        endpoint.departure.is_some() && is_warm && !endpoint.health_check.is_in_flight()
    }

    /// Removes the endpoints that a pending request refers to: those with its attempt in flight, and those of earlier
    /// attempts on which its next one depends.
    fn without_referenced(&self, mut endpoints: Vec<EndpointId>) -> Vec<EndpointId> {
        if !endpoints.is_empty() {
            let referenced = self.requests.referenced_endpoints();
            endpoints.retain(|id| !referenced.contains(id));
        }
        endpoints
    }

    fn drop_state(&mut self, id: EndpointId) {
        let endpoint = &mut self.endpoints[id];
        let Some(departure) = endpoint.departure.take() else { return };
        let (group, member_group) = (endpoint.group(), endpoint.member_group());
        self.departures.release_index(id, departure);
        self.replica_sets[member_group].remove(id);
        self.replica_sets[member_group].tracker.forget(id);
        self.replica_sets[group].tracker.forget(id);
        self.watermarks.mark_changed(member_group);
    }
}
