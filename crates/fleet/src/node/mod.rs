//! One member of the fleet: handles its datagrams, elections, quotas and member list.
//!
//! A [`FleetNode`] passes each event to the component that handles it. Each component owns its state:
//!
//! - `transport`: seals and opens datagrams
//! - `elections`: this node's voter and candidate
//! - `quota_server`: answers quota requests while this node is leader
//! - `quota_client`: requests quotas from the leader and stores its grants
//! - `incarnations`: handles larger incarnations of this node's name, which a wall clock that was stepped back causes
//! - `events`: events and counters for the caller
//!
//! The methods of the node are grouped by concern:
//!
//! - this module: start, datagrams, timers, leaving, and dispatch of messages
//! - `identity`: start parameters
//! - `spending`: acquiring and releasing units
//! - `status`: state of the node and of the fleet, for operators
//! - `election_messages`, `quota_messages`, `incarnation_messages`: messages that concern several components

mod election_messages;
mod elections;
mod events;
mod identity;
mod incarnation_messages;
mod incarnations;
mod quota_client;
mod quota_messages;
mod quota_server;
mod spending;
mod status;
mod transport;

use std::collections::BTreeSet;

pub use events::{Counters, Event};
pub use identity::MemberIdentity;

use crate::authenticator::RejectReason;
use crate::datagram::Datagram;
use crate::election::CandidateRequest;
use crate::envelope::{Envelope, Message};
use crate::membership::{Membership, SwimDatagram};
use crate::settings::{FleetConfig, Process};
use elections::Elections;
use incarnations::Incarnations;
use quota_client::{LeaveNotice, QuotaClient};
use quota_server::QuotaServer;
use transport::Transport;

/// Largest number of incompatible processes that are reported, once each.
const MAX_INCOMPATIBLE_REPORTS: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Joined,
    /// The node has left the fleet and released all its leases.
    Left,
}

/// One member of the fleet.
pub struct FleetNode {
    config: FleetConfig,
    shared_settings_hash: u64,
    phase: Phase,
    transport: Transport,
    membership: Membership,
    elections: Elections,
    quota_server: QuotaServer,
    quota_client: QuotaClient,
    incarnations: Incarnations,
    /// Incompatible processes that were reported.
    reported_incompatible: BTreeSet<Process>,
    events: Vec<Event>,
    counters: Counters,
}

impl FleetNode {
    /// Starts a node that has no leases.
    pub fn start(now: f64, config: FleetConfig, identity: MemberIdentity) -> FleetNode {
        let MemberIdentity { incarnation, address, seeds, secret, seed } = identity;
        let process = Process { name: config.name.clone(), incarnation };
        FleetNode {
            shared_settings_hash: config.shared_settings_hash(),
            phase: Phase::Joined,
            transport: Transport::new(secret, process.clone()),
            membership: Membership::start(now, process, address, seeds, seed),
            elections: Elections::start(now, &config, incarnation),
            quota_server: QuotaServer::default(),
            quota_client: QuotaClient::start(now, &config, seed),
            incarnations: Incarnations::new(now, seed),
            reported_incompatible: BTreeSet::new(),
            events: Vec::new(),
            counters: Counters::default(),
            config,
        }
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Returns the datagrams to send. Must be called after each call of a method that takes `&mut self`.
    pub fn take_datagrams(&mut self) -> Vec<Datagram> {
        self.transport.take_datagrams()
    }

    /// Returns when [`tick`](FleetNode::tick) is due.
    pub fn next_timeout(&self) -> f64 {
        let next_request_at = match self.phase {
            Phase::Joined => self.quota_client.next_request_at(),
            Phase::Left => f64::INFINITY,
        };
        next_request_at.min(self.elections.next_timeout()).min(self.membership.next_timeout())
    }

    /// Runs all timers that are due at `now`.
    pub fn tick(&mut self, now: f64) {
        self.membership.tick(now);
        self.send_membership();
        if let Some(request) = self.elections.tick(now) {
            self.send_to_voters(request);
        }
        if now >= self.quota_client.next_request_at() && self.phase == Phase::Joined {
            self.send_requests(now);
        }
        self.finish(now);
    }

    /// Handles a received datagram.
    pub fn handle_datagram(&mut self, now: f64, bytes: &[u8]) {
        self.counters.received += 1;
        self.counters.received_bytes += bytes.len() as u64;
        match self.transport.open(bytes) {
            Ok(envelope) if envelope.from.name == self.config.name => self.counters.own_name += 1,
            Ok(envelope) => {
                self.handle_envelope(now, envelope);
                self.finish(now);
            }
            Err(RejectReason::Unauthenticated) => self.counters.unauthenticated += 1,
            Err(RejectReason::Misaddressed) => self.counters.misaddressed += 1,
            Err(RejectReason::Replayed) => self.counters.outdated += 1,
            Err(RejectReason::Superseded { envelope, known }) => {
                self.counters.outdated += 1;
                self.handle_superseded(now, &envelope, known);
            }
        }
    }

    /// Leaves the fleet: releases all leases and notifies the leader and the other members. Units in use are counted until
    /// their operations end.
    pub fn leave(&mut self, now: f64) {
        if self.phase == Phase::Left {
            return;
        }
        self.phase = Phase::Left;
        let notice = self.quota_client.leave(now, self.shared_settings_hash, &mut self.events);
        if let Some(LeaveNotice { leader, request }) = notice {
            self.send(&leader, Message::QuotaRequest(request));
        }
        self.elections.resign();
        self.quota_server.discard_ledger();
        self.membership.leave(now);
        self.send_membership();
        self.finish(now);
    }

    fn handle_envelope(&mut self, now: f64, envelope: Envelope) {
        let Envelope { from, message, .. } = envelope;
        match message {
            Message::Membership(data) => {
                self.membership.handle_datagram(now, &data);
                self.send_membership();
            }
            Message::Prepare { ballot, shared_settings_hash } => {
                self.handle_candidate_request(
                    now,
                    &from,
                    shared_settings_hash,
                    ballot,
                    CandidateRequest::Prepare(ballot),
                );
            }
            Message::Accept { ballot, shared_settings_hash } => {
                self.handle_candidate_request(
                    now,
                    &from,
                    shared_settings_hash,
                    ballot,
                    CandidateRequest::Accept(ballot),
                );
            }
            Message::VoterReply { ballot, reply } => self.handle_voter_reply(now, &from, ballot, reply),
            Message::QuotaRequest(request) => self.handle_quota_request(now, &from, &request),
            Message::QuotaReply(reply) => self.handle_quota_reply(now, &from, &reply),
            Message::NotLeader(answer) => self.handle_not_leader(now, answer),
        }
    }

    /// Handles the messages that this node sent to itself, then records the resulting changes of leadership, quotas and
    /// members as events.
    fn finish(&mut self, now: f64) {
        while let Some(envelope) = self.transport.next_loopback() {
            self.handle_envelope(now, envelope);
        }
        if let Some(is_leader) = self.elections.leadership_change(now) {
            self.counters.elections += u64::from(is_leader);
            self.events.push(Event::LeadershipChanged(is_leader));
        }
        if !self.is_leader(now) {
            self.quota_server.discard_ledger();
        }
        for (key, quota) in self.quota_client.quotas_mut() {
            if quota.update_state(now) {
                self.events.push(Event::QuotaStateChanged { key: *key, state: quota.state() });
            }
        }
        let changes = self.membership.take_changes();
        self.events.extend(changes.into_iter().map(Event::MembershipChanged));
    }

    fn send(&mut self, to: &str, message: Message) {
        let address = self.membership.address_of(to);
        self.transport.send(to, address, message, &mut self.counters);
    }

    fn send_membership(&mut self) {
        for SwimDatagram { to, data } in self.membership.take_datagrams() {
            let message = Message::Membership(data);
            self.transport.send(&to.process.name, Some(to.address), message, &mut self.counters);
        }
    }

    /// Reports, once, a process that has the fleet's secret but incompatible settings.
    fn report_incompatible(&mut self, from: &Process) {
        self.counters.incompatible += 1;
        if self.reported_incompatible.len() < MAX_INCOMPATIBLE_REPORTS
            && self.reported_incompatible.insert(from.clone())
        {
            self.events.push(Event::IncompatibleMember(from.clone()));
        }
    }
}
