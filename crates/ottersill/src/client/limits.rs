//! Limits of connections, and the closing of idle ones to make room for others.

use crate::client::Clients;
use crate::client::connection::{ClientConnection, ConnectionPhase};
use crate::protocol::socket;
use crate::reactor::Context;
use crate::timers::TIMING_MARGIN;

/// Shut connections of which one is chosen to make room for another.
const MAX_LINGERING_CANDIDATES: usize = 8;

/// Which connections stand idle and may be closed to make room for others.
#[derive(Clone, Copy, Debug)]
pub struct IdleCriterion {
    /// Those of clients that have queried, or those of the others.
    asked: bool,
    /// Who has not queried and came since then is left alone, in Unix seconds.
    new_since: f64,
}

impl IdleCriterion {
    fn is_met_by(self, client: &ClientConnection) -> bool {
        matches!(client.phase, ConnectionPhase::Idle | ConnectionPhase::AwaitingStartup)
            && client.has_queried == self.asked
            && client.inbox.is_empty()
            && client.outbox.is_empty()
            && !client.may_have_unread
            && (self.asked || client.phase_since < self.new_since)
    }
}

impl Clients {
    /// Whether one more client can be accepted, be it to be told that there is no room.
    pub(super) fn has_descriptor(&mut self, context: &mut Context) -> bool {
        let most = self.limits.clients + self.limits.rejected_clients;
        self.table.len() < most || self.close_one_lingering(context)
    }

    /// Whether there are too many clients that have queried. Guards against clients that ask once and stay: they would leave
    /// the others no descriptor long before this router is full.
    pub fn has_surplus_established(&self) -> bool {
        let is_established = |c: &ClientConnection| c.has_queried && c.phase != ConnectionPhase::Lingering;
        let count = self.table.iter().filter(|(_, c)| is_established(c)).count();
        count > self.limits.established_clients
    }

    /// Whether one more client can be taken on, by the limit on clients.
    pub fn has_room(&self) -> bool {
        // Those that are being closed hold spare descriptors, and give them up first.
        let open = self.table.iter().filter(|(_, c)| c.phase != ConnectionPhase::Lingering).count();
        open < self.limits.clients
    }

    /// Descriptors that clients take of those for client and backend connections together.
    pub fn descriptors_taken(&self) -> usize {
        self.table.len().min(self.limits.clients)
    }

    /// Which connections stand idle, of the clients that have asked, or that have not.
    pub fn idle_criterion(&self, asked: bool, context: &Context) -> IdleCriterion {
        // One that is new has its first statement on the way. After a delay of this router a whole crowd is new, which must not
        // take the places of those that have asked: the oldest of it has to go where the crowd has more than its own places.
        let new_since = if self.has_silent_crowd() { f64::INFINITY } else { context.now() - TIMING_MARGIN };
        IdleCriterion { asked, new_since }
    }

    /// The connections that stand idle, the one that has for longest first.
    pub fn idle_longest_first(&self, criterion: IdleCriterion) -> Vec<usize> {
        let idle = self.table.iter().filter(|(_, client)| criterion.is_met_by(client));
        let mut idle: Vec<(f64, usize)> = idle.map(|(id, client)| (client.phase_since, id)).collect();
        idle.sort_by(|a, b| a.0.total_cmp(&b.0));
        idle.into_iter().map(|(_, id)| id).collect()
    }

    /// Ends a connection that was found idle, unless it is not any more; true if it has ended.
    pub fn close_if_idle(&mut self, id: usize, criterion: IdleCriterion, context: &mut Context) -> bool {
        match self.table.get(id) {
            Some(client) if !criterion.is_met_by(client) => return false,
            Some(_) => self.begin_close(id, context),
            None => {}
        }
        context.counters.client_connections_closed_idle += 1;
        true
    }

    /// Whether connections that have not queried hold all the places that those that have may not hold, half of them at least, and
    /// one of those would have to go for another.
    fn has_silent_crowd(&self) -> bool {
        let open = || self.table.iter().filter(|(_, c)| c.phase != ConnectionPhase::Lingering);
        let silent = open().filter(|(_, client)| !client.has_queried).count();
        let reserved = self.limits.established_clients.min(self.limits.clients / 2);
        silent + reserved >= self.limits.clients
            && open().any(|(_, client)| client.has_queried && client.phase == ConnectionPhase::Idle)
    }

    /// Closes a connection that was shut for the sake of another one: of the oldest, one that this does not reset. One that it
    /// resets has had the time of a round trip at least.
    pub fn close_one_lingering(&mut self, context: &mut Context) -> bool {
        let lingering = self.table.iter().filter(|(_, client)| client.phase == ConnectionPhase::Lingering);
        let mut oldest: Vec<(usize, &ClientConnection)> = lingering.collect();
        oldest.sort_by(|a, b| a.1.phase_since.total_cmp(&b.1.phase_since));
        oldest.truncate(MAX_LINGERING_CANDIDATES);
        let clean = oldest.iter().find(|(_, client)| !socket::close_would_reset(&client.socket));
        let first = oldest.first().filter(|(_, client)| client.phase_since < context.now() - TIMING_MARGIN);
        let chosen = clean.or(first).map(|(id, _)| *id);
        chosen.into_iter().for_each(|id| self.remove(id, context));
        chosen.is_some()
    }
}
