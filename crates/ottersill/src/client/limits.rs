//! Enforces connection limits, and closes idle connections to make room for new ones.

use crate::client::Clients;
use crate::client::connection::{ClientConnection, ConnectionPhase};
use crate::protocol::socket;
use crate::reactor::Context;
use crate::timers::TIMING_MARGIN_SECONDS;

/// Number of the oldest lingering connections among which the one to close is chosen.
const MAX_LINGERING_CANDIDATES: usize = 8;

/// Selects the idle connections that may be closed to make room for others.
#[derive(Clone, Copy, Debug)]
pub struct IdleCriterion {
    /// Selects clients that have queried if true, clients that have not if false.
    has_queried: bool,
    /// Clients that have not queried are exempt if their current phase began at this time or later, in Unix seconds.
    new_since: f64,
}

impl IdleCriterion {
    fn is_met_by(self, client: &ClientConnection) -> bool {
        matches!(client.phase, ConnectionPhase::Idle | ConnectionPhase::AwaitingStartup)
            && client.has_queried == self.has_queried
            && client.inbox.is_empty()
            && client.rejected_rest.is_none()
            && client.outbox.is_empty()
            && !client.may_have_unread
            && (self.has_queried || client.phase_since < self.new_since)
    }
}

impl Clients {
    /// Whether a descriptor is free to accept one more client, even if only to reject it for lack of room.
    pub(super) fn has_descriptor(&mut self, context: &mut Context) -> bool {
        let max_clients = self.limits.clients + self.limits.rejected_clients;
        self.table.len() < max_clients || self.close_one_lingering(context)
    }

    /// Whether there are too many clients that have queried. Guards against clients that query once and stay connected: they
    /// would leave no descriptor for other clients long before this router is at capacity.
    pub fn has_surplus_established(&self) -> bool {
        let is_established = |c: &ClientConnection| c.has_queried && c.phase != ConnectionPhase::Lingering;
        let count = self.table.iter().filter(|(_, c)| is_established(c)).count();
        count > self.limits.established_clients
    }

    /// Whether the limit on clients allows one more.
    pub fn has_room(&self) -> bool {
        // Connections that are being closed hold spare descriptors, and are the first to be closed for their descriptors.
        let open = self.table.iter().filter(|(_, c)| c.phase != ConnectionPhase::Lingering).count();
        open < self.limits.clients
    }

    /// Number of descriptors in use by clients, out of those shared by client and backend connections.
    pub fn descriptors_in_use(&self) -> usize {
        self.table.len().min(self.limits.clients)
    }

    /// Returns the criterion for idle connections of clients that have queried, or of clients that have not.
    pub fn idle_criterion(&self, has_queried: bool, context: &Context) -> IdleCriterion {
        // The first statement of a new connection is probably on its way, so new connections are exempt. After a stall of this
        // router, however, many connections are new at once, and they must not displace clients that have queried: once they
        // exceed the places that are open to them, the oldest of them is closed.
        let new_since =
            if self.has_surplus_unqueried() { f64::INFINITY } else { context.now() - TIMING_MARGIN_SECONDS };
        IdleCriterion { has_queried, new_since }
    }

    /// Returns the connections that meet the criterion, the longest idle first.
    pub fn idle_longest_first(&self, criterion: IdleCriterion) -> Vec<usize> {
        let idle = self.table.iter().filter(|(_, client)| criterion.is_met_by(client));
        let mut idle: Vec<(f64, usize)> = idle.map(|(id, client)| (client.phase_since, id)).collect();
        idle.sort_by(|a, b| a.0.total_cmp(&b.0));
        idle.into_iter().map(|(_, id)| id).collect()
    }

    /// Begins to close a connection if it still meets the criterion; returns true if it did, or was gone already.
    pub fn close_if_idle(&mut self, id: usize, criterion: IdleCriterion, context: &mut Context) -> bool {
        match self.table.get(id) {
            Some(client) if !criterion.is_met_by(client) => return false,
            Some(_) => self.begin_close(id, context),
            None => {}
        }
        context.counters.client_connections_closed_idle += 1;
        true
    }

    /// Whether connections that have not queried hold all places that are not reserved for clients that have, and a client that
    /// has queried is idle and would have to be closed for a new one. At most half of the places are reserved.
    fn has_surplus_unqueried(&self) -> bool {
        let open = || self.table.iter().filter(|(_, c)| c.phase != ConnectionPhase::Lingering);
        let unqueried = open().filter(|(_, client)| !client.has_queried).count();
        let reserved = self.limits.established_clients.min(self.limits.clients / 2);
        unqueried + reserved >= self.limits.clients
            && open().any(|(_, client)| client.has_queried && client.phase == ConnectionPhase::Idle)
    }

    /// Closes a lingering connection to free its descriptor; returns false if there is none to close. Prefers, among the
    /// oldest, a connection that the close does not reset; one that it resets has lingered for at least the time of a round
    /// trip.
    pub fn close_one_lingering(&mut self, context: &mut Context) -> bool {
        let lingering = self.table.iter().filter(|(_, client)| client.phase == ConnectionPhase::Lingering);
        let mut oldest: Vec<(usize, &ClientConnection)> = lingering.collect();
        oldest.sort_by(|a, b| a.1.phase_since.total_cmp(&b.1.phase_since));
        oldest.truncate(MAX_LINGERING_CANDIDATES);
        let clean = oldest.iter().find(|(_, client)| !socket::close_would_reset(&client.socket));
        let first =
            oldest.first().filter(|(_, client)| client.phase_since < context.now() - TIMING_MARGIN_SECONDS);
        let chosen = clean.or(first).map(|(id, _)| *id);
        chosen.into_iter().for_each(|id| self.remove(id, context));
        chosen.is_some()
    }
}
