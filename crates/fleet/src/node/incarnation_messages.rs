//! Messages to and from processes whose incarnation is smaller than the one that the receiver knows for their name.

use super::incarnations::IncarnationAction;
use super::{Event, FleetNode, Phase};
use crate::envelope::{Envelope, Message, NO_REQUEST, NotLeader};
use crate::membership::sender_address;

impl FleetNode {
    /// Handles a message whose sender has a smaller incarnation than the one known for its name: replies with the known
    /// incarnation.
    pub(super) fn handle_superseded(&mut self, now: f64, envelope: &Envelope, known: u64) {
        if let Message::NotLeader(NotLeader { request_id: NO_REQUEST, to_incarnation, .. }) = envelope.message
        {
            // Each of the two processes knows a larger incarnation of the other. This process still has to learn its own
            // from the message, or neither ever would. It does not answer, or both would answer endlessly.
            self.handle_known_incarnation(now, to_incarnation);
            return self.finish(now);
        }
        self.send_known_incarnation(envelope, known);
    }

    fn send_known_incarnation(&mut self, envelope: &Envelope, known: u64) {
        let to = &envelope.from.name;
        let address = match &envelope.message {
            // The sender's address may differ from that of the known process.
            Message::Membership(data) => sender_address(data),
            _ => None,
        };
        let address = address.or_else(|| self.membership.address_of(to));
        let answer = NotLeader { request_id: NO_REQUEST, to_incarnation: known, leader: None };
        self.transport.send(to, address, Message::NotLeader(answer), &mut self.counters);
    }

    pub(super) fn handle_known_incarnation(&mut self, now: f64, known: u64) {
        if self.phase == Phase::Left {
            return;
        }
        let (own, has_leader_reply) = (self.process().incarnation, self.quota_client.has_leader_reply());
        match self.incarnations.handle_known(now, own, known, has_leader_reply) {
            IncarnationAction::Ignore => {}
            IncarnationAction::Raise(incarnation) => self.raise_incarnation(now, incarnation),
            IncarnationAction::Superseded => self.events.push(Event::Superseded { by: known }),
        }
    }

    /// Continues as a newly started process with that incarnation. The voter keeps its grant, and units in use are still
    /// counted. Leases of the previous incarnation are dropped here, and stay in the leader's ledger until they expire
    /// there.
    fn raise_incarnation(&mut self, now: f64, incarnation: u64) {
        let from = self.process().incarnation;
        self.events.push(Event::IncarnationRaised { from, to: incarnation });
        self.transport.restart_as(incarnation);
        let process = self.process().clone();
        self.membership.restart_as(now, process, self.incarnations.next_seed());
        self.elections.restart_as(incarnation);
        self.quota_server.discard_ledger();
        self.quota_client.restart(now);
    }
}
