//! One member of the fleet: what it receives, what it sends, what it may spend.
//!
//! A [`FleetNode`] hands each event to the part that it concerns; each part owns its state:
//!
//! - `transport`: datagrams in and out
//! - `elections`: this node's voter and candidate
//! - `quota_server`: answers requests while this node is leader
//! - `quota_client`: asks the leader, and keeps what is granted
//! - `incarnations`: what to do after a step back of the wall clock
//! - `events`: what the caller is told

mod elections;
mod events;
mod incarnations;
mod quota_client;
mod quota_server;
mod transport;

use std::collections::BTreeSet;
use std::net::SocketAddr;

pub use events::{Counters, Event};

use crate::authenticator::RejectReason;
use crate::datagram::Datagram;
use crate::election::{Ballot, CandidateCall, VoterReply};
use crate::envelope::{Envelope, Message, NO_REQUEST, NotLeader, QuotaReply, QuotaRequest};
use crate::local_quota::LocalQuota;
use crate::membership::{Member, Membership, sender_address};
use crate::quota_ledger::{BudgetKey, LedgerLine};
use crate::settings::{FleetConfig, Process};
use elections::Elections;
use incarnations::{Consequence, Incarnations};
use quota_client::{QuotaClient, ReplyUse};
use quota_server::QuotaServer;
use transport::Transport;

/// Incompatible processes that are reported, once each.
const INCOMPATIBLE_REPORTED: usize = 64;

/// What a node is started with beside its settings.
pub struct MemberIdentity<'a> {
    /// From [`incarnation`](crate::settings::incarnation): different from that of each earlier process of this name, and
    /// larger unless the wall clock was stepped back.
    pub incarnation: u64,
    /// Where the others reach it.
    pub address: SocketAddr,
    /// Names and addresses of the voters.
    pub seeds: Vec<(String, SocketAddr)>,
    /// The contents of the key file.
    pub secret: &'a [u8],
    /// Of all random choices.
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Joined,
    /// Everything was given back.
    Left,
}

/// One member of the fleet.
pub struct FleetNode {
    config: FleetConfig,
    electorate: u64,
    phase: Phase,
    transport: Transport,
    membership: Membership,
    elections: Elections,
    quota_server: QuotaServer,
    quota_client: QuotaClient,
    incarnations: Incarnations,
    /// Those that were reported.
    incompatible: BTreeSet<Process>,
    events: Vec<Event>,
    counters: Counters,
}

impl FleetNode {
    /// Starts a process that was granted nothing yet.
    pub fn start(now: f64, config: FleetConfig, identity: MemberIdentity) -> FleetNode {
        let MemberIdentity { incarnation, address, seeds, secret, seed } = identity;
        let process = Process { name: config.name.clone(), incarnation };
        FleetNode {
            electorate: config.electorate(),
            phase: Phase::Joined,
            transport: Transport::new(secret, process.clone()),
            membership: Membership::start(now, process, address, seeds, seed),
            elections: Elections::start(now, &config, incarnation),
            quota_server: QuotaServer::default(),
            quota_client: QuotaClient::start(now, &config, seed),
            incarnations: Incarnations::new(now, seed),
            incompatible: BTreeSet::new(),
            events: Vec::new(),
            counters: Counters::default(),
            config,
        }
    }

    // What may be spent.

    /// Acquires a unit; false if there is none. `now` has to be read from the clock for this call.
    #[must_use]
    pub fn acquire(&mut self, now: f64, key: BudgetKey) -> bool {
        let quota = self.quota_client.track(now, &self.config, key);
        let acquired = quota.is_some_and(|quota| quota.acquire(now));
        if !acquired {
            self.quota_client.request_soon(now, &self.config);
        }
        acquired
    }

    /// Releases a unit of a concurrency limit; see [`LocalQuota::release`].
    pub fn release(&mut self, now: f64, key: BudgetKey, confirmed: bool) {
        if let Some(quota) = self.quota_client.quota_mut(key) {
            quota.release(now, confirmed);
        }
    }

    /// Whether a unit could be acquired now.
    pub fn is_available(&mut self, now: f64, key: BudgetKey) -> bool {
        let quota = self.quota_client.track(now, &self.config, key);
        quota.is_some_and(|quota| quota.is_available(now))
    }

    /// Notes that something waits for so many units beyond those in use, and asks for them.
    pub fn note_waiting(&mut self, now: f64, key: BudgetKey, units: u64) {
        if let Some(quota) = self.quota_client.track(now, &self.config, key) {
            quota.note_waiting(units);
            self.quota_client.request_soon(now, &self.config);
        }
    }

    /// Asks for units of a budget from now on, before any is needed.
    pub fn track(&mut self, now: f64, key: BudgetKey) {
        let _ = self.quota_client.track(now, &self.config, key);
    }

    /// Units that may be in use now.
    pub fn spendable(&self, now: f64, key: BudgetKey) -> u64 {
        self.quota_client.quota(key).map_or(0, |quota| quota.spendable(now))
    }

    /// Units that are in use now.
    pub fn in_use(&mut self, now: f64, key: BudgetKey) -> u64 {
        self.quota_client.quota_mut(key).map_or(0, |quota| quota.in_use_at(now))
    }

    /// Units in use whose end is not confirmed.
    pub fn lingering(&self, key: BudgetKey) -> u64 {
        self.quota_client.quota(key).map_or(0, LocalQuota::lingering)
    }

    /// Tokens of a rate that can be spent now.
    pub fn tokens(&mut self, now: f64, key: BudgetKey) -> f64 {
        let quota = self.quota_client.track(now, &self.config, key);
        quota.map_or(0.0, |quota| quota.tokens(now))
    }

    /// Changes totals, by budget id, after the settings were read again. The other settings stay: see
    /// [`FleetConfig::electorate`].
    pub fn set_totals(&mut self, now: f64, totals: &[(u64, u64)]) {
        for (id, total) in totals {
            for budget in self.config.budgets.iter_mut().filter(|budget| budget.id == *id) {
                budget.total = *total;
            }
            self.quota_client.set_total(now, *id, *total);
        }
        // The leader is to hear of it now, not with the next request.
        self.quota_client.request_now(now);
    }

    // What is known.

    /// This process.
    pub fn process(&self) -> &Process {
        self.transport.process()
    }

    /// Its settings.
    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// What this process has of each budget.
    pub fn quotas(&self) -> impl Iterator<Item = (&BudgetKey, &LocalQuota)> {
        self.quota_client.quotas()
    }

    /// The members that this one knows.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.membership.members()
    }

    /// The name of the leader, as far as this member knows it.
    pub fn leader(&self) -> Option<&str> {
        self.quota_client.leader()
    }

    /// Whether this process is leader at this instant.
    pub fn is_leader(&self, now: f64) -> bool {
        self.elections.term(now).is_some()
    }

    /// Every holder's part of every budget; nothing unless this process is leader.
    pub fn ledger_lines(&self, now: f64) -> Vec<LedgerLine> {
        if self.is_leader(now) { self.quota_server.lines(now) } else { Vec::new() }
    }

    /// Counts since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    // What the caller does.

    /// What happened since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Datagrams to send. To be called after each call that takes `&mut self`.
    pub fn take_datagrams(&mut self) -> Vec<Datagram> {
        self.transport.take_datagrams()
    }

    /// When [`tick`](FleetNode::tick) is due.
    pub fn next_timeout(&self) -> f64 {
        let request_at = match self.phase {
            Phase::Joined => self.quota_client.request_at(),
            Phase::Left => f64::INFINITY,
        };
        request_at.min(self.elections.next_timeout()).min(self.membership.next_timeout())
    }

    /// Does what is due.
    pub fn tick(&mut self, now: f64) {
        self.membership.tick(now);
        self.send_membership();
        if let Some(call) = self.elections.tick(now) {
            self.send_to_voters(call);
        }
        if now >= self.quota_client.request_at() && self.phase == Phase::Joined {
            self.send_requests(now);
        }
        self.finish(now);
    }

    /// Takes in a datagram.
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

    /// Gives everything back and says that it leaves. What is in use still counts until it ends.
    pub fn leave(&mut self, now: f64) {
        if self.phase == Phase::Left {
            return;
        }
        self.phase = Phase::Left;
        if let Some((leader, request)) = self.quota_client.leave(now, self.electorate, &mut self.events) {
            self.send(&leader, Message::QuotaRequest(request));
        }
        self.elections.resign();
        self.quota_server.close();
        self.membership.leave(now);
        self.send_membership();
        self.finish(now);
    }

    // Parts that concern each other.

    fn handle_envelope(&mut self, now: f64, envelope: Envelope) {
        let Envelope { from, message, .. } = envelope;
        match message {
            Message::Membership(data) => {
                self.membership.handle_datagram(now, &data);
                self.send_membership();
            }
            Message::Prepare { ballot, electorate } => {
                self.handle_call(now, &from, electorate, ballot, CandidateCall::Prepare(ballot));
            }
            Message::Accept { ballot, electorate } => {
                self.handle_call(now, &from, electorate, ballot, CandidateCall::Accept(ballot));
            }
            Message::VoterReply { ballot, reply } => self.handle_voter_reply(now, &from, ballot, reply),
            Message::QuotaRequest(request) => self.handle_quota_request(now, &from, &request),
            Message::QuotaReply(reply) => self.handle_quota_reply(now, &from, &reply),
            Message::NotLeader(answer) => self.handle_not_leader(now, answer),
        }
    }

    /// Handles what this node sent to itself, and notes what came of the event.
    fn finish(&mut self, now: f64) {
        while let Some(envelope) = self.transport.next_to_itself() {
            self.handle_envelope(now, envelope);
        }
        if let Some(is_leader) = self.elections.leadership_change(now) {
            self.counters.elections += u64::from(is_leader);
            self.events.push(Event::LeadershipChanged(is_leader));
        }
        if !self.is_leader(now) {
            self.quota_server.close();
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
        for (to, data) in self.membership.take_datagrams() {
            let message = Message::Membership(data);
            self.transport.send(&to.process.name, Some(to.address), message, &mut self.counters);
        }
    }

    // Elections.

    fn send_to_voters(&mut self, call: CandidateCall) {
        let electorate = self.electorate;
        for voter in self.config.voters.clone() {
            let message = match call {
                CandidateCall::Prepare(ballot) => Message::Prepare { ballot, electorate },
                CandidateCall::Accept(ballot) => Message::Accept { ballot, electorate },
            };
            self.send(&voter, message);
        }
    }

    fn handle_call(
        &mut self,
        now: f64,
        from: &Process,
        electorate: u64,
        ballot: Ballot,
        call: CandidateCall,
    ) {
        if !self.elections.is_voter() {
            return;
        }
        let is_own_ballot =
            self.voter_name(ballot) == Some(from.name.as_str()) && ballot.incarnation == from.incarnation;
        if electorate != self.electorate || !is_own_ballot {
            return self.report_incompatible(from);
        }
        if let Some(reply) = self.elections.handle_call(now, call) {
            self.send(&from.name, Message::VoterReply { ballot, reply });
        }
    }

    fn handle_voter_reply(&mut self, now: f64, from: &Process, ballot: Ballot, reply: VoterReply) {
        let voter_index = self.config.voters.iter().position(|voter| *voter == from.name);
        let Some(voter_index) = voter_index else { return };
        if let Some(call) = self.elections.handle_reply(now, voter_index as u16, ballot, reply) {
            self.send_to_voters(call);
        }
    }

    fn voter_name(&self, ballot: Ballot) -> Option<&str> {
        self.config.voters.get(usize::from(ballot.voter_index)).map(String::as_str)
    }

    /// Reports a process that holds the secret and has other settings, once.
    fn report_incompatible(&mut self, from: &Process) {
        self.counters.incompatible += 1;
        if self.incompatible.len() < INCOMPATIBLE_REPORTED && self.incompatible.insert(from.clone()) {
            self.events.push(Event::IncompatibleMember(from.clone()));
        }
    }

    // Quotas.

    fn send_requests(&mut self, now: f64) {
        let requests = self.quota_client.requests(now, &self.config, self.electorate, &mut self.counters);
        for request in requests.requests {
            self.send(&requests.to, Message::QuotaRequest(request));
        }
    }

    /// The clock is checked here, where units are granted, and not when the event began that led here.
    fn handle_quota_request(&mut self, now: f64, from: &Process, request: &QuotaRequest) {
        // A member that counts leases differently would hold on to what others have by then.
        if request.electorate != self.electorate {
            return self.report_incompatible(from);
        }
        match self.term_for(now, request.seen) {
            Some(term) => {
                let reply = self.quota_server.handle_request(now, term, &self.config, from, request);
                if let Some(reply) = reply {
                    self.send(&from.name, Message::QuotaReply(reply));
                }
            }
            None => {
                let leader = self.elections.known_leader(now).and_then(|ballot| self.voter_name(ballot));
                let leader = leader.filter(|name| *name != self.config.name).map(str::to_string);
                let answer = NotLeader { request_id: request.request_id, to: from.incarnation, leader };
                self.send(&from.name, Message::NotLeader(answer));
            }
        }
    }

    /// This process's term, if it is leader. A router that has seen a later one would take each grant for outdated, so
    /// this process stands for election again, for a term that is later still.
    fn term_for(&mut self, now: f64, seen: Ballot) -> Option<Ballot> {
        let term = self.elections.term(now)?;
        if seen > term {
            self.elections.observe_newer_term(now, seen);
            return None;
        }
        Some(term)
    }

    fn handle_quota_reply(&mut self, now: f64, from: &Process, reply: &QuotaReply) {
        let is_for_this_process = reply.to == self.process().incarnation && self.phase == Phase::Joined;
        let used = if is_for_this_process {
            self.quota_client.handle_reply(now, &self.config, from, reply, &mut self.events)
        } else {
            ReplyUse::Stale
        };
        self.counters.stale += u64::from(used == ReplyUse::Stale);
    }

    fn handle_not_leader(&mut self, now: f64, answer: NotLeader) {
        if answer.request_id == NO_REQUEST {
            self.handle_known_incarnation(now, answer.to);
        } else if answer.to != self.process().incarnation {
            self.counters.stale += 1;
        } else if self.phase == Phase::Joined {
            self.quota_client.handle_not_leader(now, answer);
        }
    }

    // Incarnations.

    /// Handles what a process sent whose name has a larger incarnation here: tells it that one.
    fn handle_superseded(&mut self, now: f64, envelope: &Envelope, known: u64) {
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

    fn handle_known_incarnation(&mut self, now: f64, known: u64) {
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
