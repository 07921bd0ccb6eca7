//! Limits of connections, and the closing of idle ones to make room for others.

use crate::client::connection::{ClientConnection, ConnectionPhase};
use crate::client::table::ClientTable;
use crate::event_loop::{EventLoop, TIMING_MARGIN};
use crate::protocol::socket;

/// Shut connections of which one is chosen to make room for another.
const MAX_LINGERING_CANDIDATES: usize = 8;

/// How many connections the limit on descriptors leaves, and how many bytes the limit on memory.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// For client and backend connections together.
    pub total: usize,
    /// For clients.
    pub clients: usize,
    /// With more than this of those that have queried, the longest idle ones are closed as others come.
    pub established_clients: usize,
    /// Beside all these, for clients that are accepted to be told that there is no room.
    pub rejected_clients: usize,
    /// For statements of clients, whole or not.
    pub statement_bytes: usize,
    /// For the cache of fingerprints.
    pub fingerprint_bytes: usize,
}

impl EventLoop {
    /// Whether one more client can be accepted, be it to be told that there is no room.
    pub(crate) fn has_descriptor_for_client(&mut self) -> bool {
        let most = self.limits.clients + self.limits.rejected_clients;
        self.clients.len() < most || self.close_one_lingering()
    }

    /// Closes idle connections of clients that have queried, as far as there are too many of those. Guards against clients
    /// that ask once and stay: they would leave the others no descriptor long before this router is full.
    pub(crate) fn close_surplus_established(&mut self) {
        let is_established = |c: &ClientConnection| c.has_queried && c.phase != ConnectionPhase::Lingering;
        let count = |clients: &ClientTable| clients.iter().filter(|(_, c)| is_established(c)).count();
        while count(&self.clients) > self.limits.established_clients && self.close_idle_client(true) {}
    }

    /// Whether one more client can be taken on; makes room by ending what idles.
    pub(crate) fn make_room_for_client(&mut self) -> bool {
        // Those that are being closed hold spare descriptors, and give them up first.
        let open = self.clients.iter().filter(|(_, c)| c.phase != ConnectionPhase::Lingering).count();
        // Who has said nothing yet goes first: many of those must not cost the others their connections.
        (open < self.limits.clients || self.close_idle_client(false) || self.close_idle_client(true))
            && (self.clients.len() + self.backends.len() < self.limits.total
                || self.close_one_lingering()
                || self.close_longest_idle_backend())
    }

    /// Closes the connection that has stood idle for longest, of the clients that have asked, or that have not.
    pub(crate) fn close_idle_client(&mut self, asked: bool) -> bool {
        // One that is new has its first statement on the way. After a delay of this router a whole crowd is new, which must not
        // take the places of those that have asked: the oldest of it has to go where the crowd has more than its own places.
        let new_since =
            if self.has_silent_crowd() { f64::INFINITY } else { self.clock.now() - TIMING_MARGIN };
        let idle = |c: &ClientConnection| {
            matches!(c.phase, ConnectionPhase::Idle | ConnectionPhase::AwaitingStartup)
                && c.has_queried == asked
                && c.inbox.is_empty()
                && c.outbox.is_empty()
                && !c.may_have_unread
                && (asked || c.phase_since < new_since)
        };
        let all = self.clients.iter().filter(|(_, c)| idle(c)).map(|(id, c)| (c.phase_since, id));
        let mut all: Vec<(f64, usize)> = all.collect();
        all.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, id) in all {
            // A last look: what has come meanwhile is taken in instead.
            self.on_client_ready(id);
            match self.clients.get(id) {
                Some(client) if !idle(client) => continue,
                Some(_) => self.begin_close(id),
                None => {}
            }
            self.counters.client_connections_closed_idle += 1;
            return true;
        }
        false
    }

    /// Whether connections that have not queried hold all the places that those that have may not hold, half of them at least, and
    /// one of those would have to go for another.
    fn has_silent_crowd(&self) -> bool {
        let open = || self.clients.iter().filter(|(_, c)| c.phase != ConnectionPhase::Lingering);
        let silent = open().filter(|(_, client)| !client.has_queried).count();
        let reserved = self.limits.established_clients.min(self.limits.clients / 2);
        silent + reserved >= self.limits.clients
            && open().any(|(_, client)| client.has_queried && client.phase == ConnectionPhase::Idle)
    }

    /// Closes a connection that was shut for the sake of another one: of the oldest, one that this does not reset. One that it
    /// resets has had the time of a round trip at least.
    pub fn close_one_lingering(&mut self) -> bool {
        let lingering = self.clients.iter().filter(|(_, client)| client.phase == ConnectionPhase::Lingering);
        let mut oldest: Vec<(usize, &ClientConnection)> = lingering.collect();
        oldest.sort_by(|a, b| a.1.phase_since.total_cmp(&b.1.phase_since));
        oldest.truncate(MAX_LINGERING_CANDIDATES);
        let clean = oldest.iter().find(|(_, client)| !socket::close_would_reset(&client.socket));
        let first =
            oldest.first().filter(|(_, client)| client.phase_since < self.clock.now() - TIMING_MARGIN);
        let chosen = clean.or(first).map(|(id, _)| *id);
        chosen.into_iter().for_each(|id| self.close_client(id));
        chosen.is_some()
    }
}
