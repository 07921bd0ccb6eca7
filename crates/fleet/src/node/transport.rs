//! Seals outgoing messages and keeps them until the caller takes them; opens received datagrams.

use std::collections::VecDeque;
use std::net::SocketAddr;

use super::Counters;
use crate::authenticator::{Authenticator, RejectReason};
use crate::datagram::Datagram;
use crate::envelope::{Envelope, Message};
use crate::settings::Process;

/// The sending and receiving side of one process.
pub(super) struct Transport {
    process: Process,
    authenticator: Authenticator,
    outgoing: Vec<Datagram>,
    /// Messages that the node sends to itself.
    loopback: VecDeque<Envelope>,
}

impl Transport {
    pub(super) fn new(secret: &[u8], process: Process) -> Transport {
        let authenticator = Authenticator::new(secret, process.clone());
        Transport { process, authenticator, outgoing: Vec::new(), loopback: VecDeque::new() }
    }

    pub(super) fn process(&self) -> &Process {
        &self.process
    }

    /// Sends later messages with that incarnation.
    pub(super) fn restart_as(&mut self, incarnation: u64) {
        self.process.incarnation = incarnation;
        self.authenticator.restart_as(self.process.clone());
    }

    pub(super) fn open(&mut self, bytes: &[u8]) -> Result<Envelope, RejectReason> {
        self.authenticator.open(bytes)
    }

    /// Sends a message. A message to this node itself is queued and handled like a received one.
    pub(super) fn send(
        &mut self,
        to: &str,
        address: Option<SocketAddr>,
        message: Message,
        counters: &mut Counters,
    ) {
        if to == self.process.name {
            self.loopback.push_back(Envelope::loopback(self.process.clone(), message));
            return;
        }
        // A message that is too long for a datagram is dropped; the protocol tolerates loss.
        let Ok(bytes) = self.authenticator.seal(to, message) else { return };
        counters.sent += 1;
        counters.sent_bytes += bytes.len() as u64;
        self.outgoing.push(Datagram { to: to.to_string(), advertised_address: address, bytes });
    }

    pub(super) fn next_loopback(&mut self) -> Option<Envelope> {
        self.loopback.pop_front()
    }

    pub(super) fn take_datagrams(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.outgoing)
    }
}
