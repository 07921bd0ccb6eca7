//! How long what is known of an endpoint is kept after it has left the endpoint list.
//!
//! An endpoint that left may be listed again a moment later, as in a rolling restart, and is then what it was: ejected,
//! slow, warming. Where the list names thousands of endpoints and one changes each second, keeping all of them for good
//! would fill the memory. So an endpoint is forgotten once no rule needs anything of it, and its index may be used for
//! another one.
//!
//! One that may still be sent to stays: where only draining is binding, that is each one that left without having drained.

use crate::ids::EndpointId;
use crate::state::RouterState;

/// Seconds for which an endpoint that left is kept, as it may be listed again: restarts take less. A warming one is kept
/// until it would be warm.
const RETENTION: f64 = 60.0;

impl RouterState {
    /// The endpoints that may be forgotten, in the order in which they left.
    pub(crate) fn forgettable(&self, now: f64) -> Vec<EndpointId> {
        let departed = self.departures.departed();
        // However often the list changes, what has left and may be forgotten does not outnumber what is listed.
        let listed = self.endpoints.len() - self.departures.vacant() - departed.len();
        let surplus = departed.len().saturating_sub(listed);
        let is_due = |position: usize, id: EndpointId| {
            let departure = self.endpoints[id].departure;
            position < surplus || departure.is_some_and(|departure| now - departure.at() >= RETENTION)
        };
        let due = departed.enumerate().take_while(|(position, id)| is_due(*position, *id));
        let settled: Vec<EndpointId> = due.map(|(_, id)| id).filter(|id| self.is_settled(now, *id)).collect();
        self.without_named(settled)
    }

    /// Forgets these endpoints, but for those that a rule still needs; returns which. Their indices stand for none then.
    pub(crate) fn forget(&mut self, now: f64, endpoints: Vec<EndpointId>) -> Vec<EndpointId> {
        let settled = endpoints.into_iter().filter(|id| self.is_settled(now, *id)).collect();
        let forgotten = self.without_named(settled);
        for id in &forgotten {
            self.forget_one(*id);
        }
        forgotten
    }

    /// Whether an endpoint has left, would be warm by now, and no health check of it is in flight.
    fn is_settled(&self, now: f64, id: EndpointId) -> bool {
        let endpoint = &self.endpoints[id];
        let is_warm = endpoint.slow_start.capacity_fraction(now, &self.config) >= 1.0;
        endpoint.departure.is_some() && is_warm && !endpoint.health_check.is_in_flight()
    }

    /// Leaves out the endpoints that a request has an attempt at, or goes by for its next one.
    fn without_named(&self, mut endpoints: Vec<EndpointId>) -> Vec<EndpointId> {
        if !endpoints.is_empty() {
            let named = self.requests.endpoints_named();
            endpoints.retain(|id| !named.contains(id));
        }
        endpoints
    }

    fn forget_one(&mut self, id: EndpointId) {
        let endpoint = &mut self.endpoints[id];
        let Some(departure) = endpoint.departure.take() else { return };
        let (group, member_of) = (endpoint.group(), endpoint.member_of());
        self.departures.vacate(id, departure);
        self.replica_sets[member_of].remove(id);
        self.replica_sets[member_of].tracker.forget(id);
        self.replica_sets[group].tracker.forget(id);
        self.watermarks.record_change_of(member_of);
    }
}
