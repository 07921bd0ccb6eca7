//! Messages between processes of which one goes by an older incarnation than the other knows.

use super::incarnations::Consequence;
use super::{Event, FleetNode, Phase};
use crate::envelope::{Envelope, Message, NO_REQUEST, NotLeader};
use crate::membership::sender_address;

impl FleetNode {
    /// Handles what a process sent whose name has a larger incarnation here: tells it that one.
    pub(super) fn handle_superseded(&mut self, now: f64, envelope: &Envelope, known: u64) {
        if let Message::NotLeader(NotLeader { request_id: NO_REQUEST, to, .. }) = envelope.message {
            // Each of the two knows a larger incarnation of the other. This one learns of its own, or neither ever would;
            // it does not answer, or both would answer for ever.
            self.handle_known_incarnation(now, to);
            return self.finish(now);
        }
        self.tell_known_incarnation(envelope, known);
    }

    fn tell_known_incarnation(&mut self, envelope: &Envelope, known: u64) {
        let to = &envelope.from.name;
        let address = match &envelope.message {
            // It may have another address than the process that is known.
            Message::Membership(data) => sender_address(data),
            _ => None,
        };
        let address = address.or_else(|| self.membership.address_of(to));
        let answer = NotLeader { request_id: NO_REQUEST, to: known, leader: None };
        self.transport.send(to, address, Message::NotLeader(answer), &mut self.counters);
    }

    pub(super) fn handle_known_incarnation(&mut self, now: f64, known: u64) {
        if self.phase == Phase::Left {
            return;
        }
        let (own, was_answered) = (self.process().incarnation, self.quota_client.was_answered());
        match self.incarnations.handle_known(now, own, known, was_answered) {
            Consequence::None => {}
            Consequence::Raise(incarnation) => self.raise_incarnation(now, incarnation),
            Consequence::Superseded => self.events.push(Event::Superseded { by: known }),
        }
    }

    /// Goes on as a process that starts now. Its voter remembers what it granted, and what is in use stays so. What was
    /// granted to the incarnation before is dropped here, and stays in the leader's ledger until it is over there.
    fn raise_incarnation(&mut self, now: f64, incarnation: u64) {
        let from = self.process().incarnation;
        self.events.push(Event::IncarnationRaised { from, to: incarnation });
        self.transport.restart_as(incarnation);
        let process = self.process().clone();
        self.membership.restart_as(now, process, self.incarnations.next_seed());
        self.elections.restart_as(incarnation);
        self.quota_server.close();
        self.quota_client.restart(now);
    }
}
