//! One member of the fleet: what it hears, what it says, what it may spend. No I/O and no clock: datagrams and times
//! are handed in, datagrams to send are picked up.

mod events;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

pub use events::{Counters, Event};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::authenticator::{Authenticator, RejectReason};
use crate::datagram::Datagram;
use crate::election::{Ballot, Candidate, CandidateCall, Voter, VoterReply};
use crate::envelope::{Envelope, Message, NO_REQUEST};
use crate::local_quota::LocalQuota;
use crate::membership::{Member, Membership, sender_address};
use crate::quota_ledger::{BudgetKey, Grant, LedgerLine, POOLS, QuotaLedger, QuotaRequest};
use crate::settings::{FleetConfig, Process};

/// Questions in a lease: three may be lost in a row before a right runs out.
const REQUESTS_PER_LEASE: f64 = 4.0;
/// As many where something was turned away for want of a right.
const URGENT_REQUESTS_PER_LEASE: f64 = 20.0;
/// Budgets asked for in one datagram: under 1,400 bytes of them.
const ENTRIES_PER_DATAGRAM: usize = 24;
/// Questions whose time of asking is remembered; the oldest go, and answers to them count for nothing.
const SENT_REQUESTS_KEPT: usize = 256;
/// Processes of another charter that are told of by name.
const INCOMPATIBLE_REPORTED: usize = 64;
/// Seconds from its start in which a process takes a larger incarnation where one of its name is known. One that has run
/// for longer was followed by that one, and stands back.
const RAISE_PERIOD: f64 = 60.0;
/// How often a process does so: once for each earlier one of its name whose clock was ahead and that some peers know of.
/// More often only where two processes of one name run.
const RAISES_AT_MOST: u32 = 8;
/// By how much at most, beyond the one that is known, in microseconds. By chance, as two lives that learn of the same
/// earlier one must not take the same.
const RAISE_BY_AT_MOST: u64 = 1 << 20;
/// Budgets and subjects that a router holds a purse of.
const QUOTAS_AT_MOST: usize = 4096;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Joined,
    /// Leaving: everything was given back.
    Left,
}

pub struct FleetNode {
    config: FleetConfig,
    process: Process,
    started_at: f64,
    raises: u32,
    superseded: bool,
    rng: SmallRng,
    electorate: u64,
    voter: Option<Voter>,
    candidate: Option<Candidate>,
    ledger: Option<QuotaLedger>,
    was_leader: bool,
    quotas: BTreeMap<BudgetKey, LocalQuota>,
    /// Whom to ask: the keeper's name as far as known, and the newest tenure that was heard of.
    leader: Option<String>,
    term: Ballot,
    next_voter: usize,
    request_id: u64,
    sent_requests: VecDeque<(u64, f64)>,
    /// The first question that is still open, if one is.
    unanswered_since: Option<f64>,
    request_at: f64,
    requested_at: f64,
    membership: Membership,
    authenticator: Authenticator,
    phase: Phase,
    incompatible: BTreeSet<Process>,
    outgoing: Vec<Datagram>,
    /// What it says to itself; empty between calls.
    loopback: VecDeque<Envelope>,
    events: Vec<Event>,
    pub counters: Counters,
}

/// What a member is started with beside the charter.
pub struct MemberIdentity<'a> {
    /// Of [`incarnation`](crate::settings::incarnation): larger than at any earlier start of this name unless the clock was
    /// stepped back, and another than at any.
    pub incarnation: u64,
    /// Where the others reach it.
    pub at: SocketAddr,
    /// Addresses of the voters, by name.
    pub seeds: Vec<(String, SocketAddr)>,
    pub secret: &'a [u8],
    pub seed: u64,
}

impl FleetNode {
    pub fn start(now: f64, config: FleetConfig, identity: MemberIdentity) -> FleetNode {
        let process = Process { name: config.name.clone(), incarnation: identity.incarnation };
        let (lease, voters) = (config.leader_lease, config.voters.len());
        let candidate = config.voter_index().map(|voter_index| {
            // Whoever rests has nothing to win before; then one seat after the other.
            let wait = lease * (1.0 + 0.1 * f64::from(voter_index));
            Candidate::start(now, voter_index, process.incarnation, voters, config.holder_lease(lease), wait)
        });
        let mut node = FleetNode {
            electorate: config.electorate(),
            voter: config.voter_index().map(|_| Voter::start(now, lease)),
            candidate,
            ledger: None,
            was_leader: false,
            quotas: BTreeMap::new(),
            leader: None,
            term: Ballot::default(),
            next_voter: (identity.seed % 64) as usize,
            request_id: 0,
            sent_requests: VecDeque::new(),
            unanswered_since: None,
            request_at: now,
            requested_at: f64::NEG_INFINITY,
            started_at: now,
            raises: 0,
            superseded: false,
            rng: SmallRng::seed_from_u64(identity.seed),
            membership: Membership::start(now, process.clone(), identity.at, identity.seeds, identity.seed),
            authenticator: Authenticator::new(identity.secret, process.clone()),
            phase: Phase::Joined,
            incompatible: BTreeSet::new(),
            outgoing: Vec::new(),
            loopback: VecDeque::new(),
            events: Vec::new(),
            counters: Counters::default(),
            process,
            config,
        };
        for budget in 0..node.config.budgets.len() {
            node.quota_mut(now, (node.config.budgets[budget].id, 0));
        }
        node
    }

    /// The purse of a budget and subject; made at the first use.
    fn quota_mut(&mut self, now: f64, key: BudgetKey) -> Option<&mut LocalQuota> {
        let budget = self.config.budget(key.0)?;
        if !self.quotas.contains_key(&key) && self.quotas.len() >= QUOTAS_AT_MOST {
            return None;
        }
        let (kind, total, request_id) = (budget.kind, budget.total, self.request_id);
        Some(self.quotas.entry(key).or_insert_with(|| LocalQuota::new(now, kind, total, request_id)))
    }

    /// Spends a unit, if there is one at `now`, for which the clock is to be read anew. The event names the grant.
    pub fn acquire(&mut self, now: f64, key: BudgetKey) -> bool {
        let taken = self.quota_mut(now, key).is_some_and(|quota| quota.acquire(now));
        if !taken {
            self.request_soon(now);
        }
        taken
    }

    /// Asks as soon as it may again: at once, if it has not asked just now.
    fn request_soon(&mut self, now: f64) {
        self.request_at =
            self.request_at.min((self.requested_at + self.config.lease / URGENT_REQUESTS_PER_LEASE).max(now));
    }

    /// Something waits for so many units beyond those in use.
    pub fn note_waiting(&mut self, now: f64, key: BudgetKey, units: u64) {
        if let Some(quota) = self.quota_mut(now, key) {
            quota.note_waiting(units);
            self.request_soon(now);
        }
    }

    pub fn lingering(&self, key: BudgetKey) -> u64 {
        self.quotas.get(&key).map_or(0, LocalQuota::lingering)
    }

    pub fn tokens(&mut self, now: f64, key: BudgetKey) -> f64 {
        self.quota_mut(now, key).map_or(0.0, |quota| quota.tokens(now))
    }

    pub fn is_available(&mut self, now: f64, key: BudgetKey) -> bool {
        self.quota_mut(now, key).is_some_and(|quota| quota.is_available(now))
    }

    /// A thing in hand is over; see [`Purse::put`].
    pub fn release(&mut self, now: f64, key: BudgetKey, confirmed: bool) {
        if let Some(quota) = self.quotas.get_mut(&key) {
            quota.release(now, confirmed);
        }
    }

    /// Units that may be spent of a budget, and until when; nothing of what was never asked for.
    pub fn lease(&self, now: f64, key: BudgetKey) -> (u64, f64) {
        self.quotas.get(&key).map_or((0, f64::INFINITY), |quota| quota.lease(now))
    }

    pub fn quotas(&self) -> impl Iterator<Item = (&BudgetKey, &LocalQuota)> {
        self.quotas.iter()
    }

    /// Lets a purse come to be before it is first needed.
    pub fn track(&mut self, now: f64, key: BudgetKey) {
        self.quota_mut(now, key);
    }

    pub fn in_use(&mut self, now: f64, key: BudgetKey) -> u64 {
        self.quotas.get_mut(&key).map_or(0, |quota| quota.used(now))
    }

    pub fn process(&self) -> &Process {
        &self.process
    }

    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.membership.members()
    }

    /// The keeper's name and tenure, as this member knows them.
    pub fn leader(&self) -> (Option<&str>, Ballot) {
        (self.leader.as_deref(), self.term)
    }

    /// Whether this member keeps the books at this instant.
    pub fn is_leader(&self, now: f64) -> bool {
        self.candidate.as_ref().is_some_and(|candidate| candidate.term(now).is_some())
    }

    /// What is out of everything, where this member keeps the books.
    pub fn ledger_lines(&self, now: f64) -> Vec<LedgerLine> {
        let ledger = self.ledger.as_ref().filter(|_| self.is_leader(now));
        ledger.map_or(Vec::new(), |ledger| ledger.lines(now))
    }

    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    pub fn take_datagrams(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.outgoing)
    }

    /// Wholes by a file that was read again. The rest of the charter stays: see [`Charter::electorate`].
    pub fn set_totals(&mut self, now: f64, totals: &[(u64, u64)]) {
        for (id, total) in totals {
            for budget in self.config.budgets.iter_mut().filter(|budget| budget.id == *id) {
                budget.total = *total;
            }
            for (_, quota) in self.quotas.iter_mut().filter(|(key, _)| key.0 == *id) {
                quota.set_total(now, *total);
            }
        }
        // The keeper is to hear of it now, not with the next question.
        self.request_at = now;
    }

    /// Gives everything back and says that it goes. What is in hand still counts until it ends.
    pub fn leave(&mut self, now: f64) {
        if self.phase == Phase::Left {
            return;
        }
        self.phase = Phase::Left;
        for (key, quota) in &mut self.quotas {
            quota.release_all(now);
            let (term, amounts, until) = (self.term, [0; POOLS], [now; POOLS]);
            self.events.push(Event::QuotaGranted { key: *key, term, serial: u64::MAX, amounts, until });
        }
        let (request_id, seen, electorate) = (self.request_id + 1, self.term, self.electorate);
        self.request_id = request_id;
        if let Some(leader) = self.leader.clone() {
            self.send(
                &leader,
                Message::QuotaRequest { request_id, seen, electorate, leaving: true, entries: Vec::new() },
            );
        }
        if let Some(candidate) = &mut self.candidate {
            candidate.resign();
        }
        self.ledger = None;
        self.membership.leave(now);
        self.send_membership();
        self.finish_event(now);
    }

    /// A datagram that came.
    pub fn handle_datagram(&mut self, now: f64, datagram: &[u8]) {
        self.counters.heard += 1;
        self.counters.heard_bytes += datagram.len() as u64;
        match self.authenticator.open(datagram) {
            Ok(envelope) if envelope.from.name == self.process.name => self.counters.own_name += 1,
            Ok(envelope) => {
                self.handle_envelope(now, envelope);
                self.finish_event(now);
            }
            Err(RejectReason::Unauthenticated) => self.counters.unauthenticated += 1,
            Err(RejectReason::Misaddressed) => self.counters.misaddressed += 1,
            Err(RejectReason::Replayed) => self.counters.old += 1,
            Err(RejectReason::Superseded { envelope, known }) => {
                self.counters.old += 1;
                self.send_known_incarnation(&envelope, known);
            }
        }
    }

    /// Answers a process that a later one of its name has followed, as far as is known here. It may be the later one
    /// itself, on a clock that was stepped back.
    fn send_known_incarnation(&mut self, envelope: &Envelope, known: u64) {
        let advertised_address = match &envelope.message {
            // Two that hold each other for followed would go on answering for ever.
            Message::NotLeader { request_id: NO_REQUEST, .. } => return,
            Message::Swim(data) => sender_address(data),
            _ => None,
        };
        self.send_remote(
            &envelope.from.name,
            advertised_address,
            Message::NotLeader { request_id: NO_REQUEST, to: known, leader: None },
        );
    }

    /// That incarnation of its own name is known to somebody.
    fn handle_known_incarnation(&mut self, now: f64, known: u64) {
        if known <= self.process.incarnation || self.phase == Phase::Left {
            return;
        }
        let unheard = self.term == Ballot::default();
        let may = (unheard || now < self.started_at + RAISE_PERIOD) && self.raises < RAISES_AT_MOST;
        let next = known.checked_add(self.rng.random_range(1..=RAISE_BY_AT_MOST));
        match next.filter(|_| may) {
            Some(next) => self.raise_incarnation(now, next),
            None if !self.superseded => {
                self.superseded = true;
                self.events.push(Event::Superseded { by: known });
            }
            None => {}
        }
    }

    /// Goes on as a process that starts now. The voter remembers what it granted, and what is in hand stays so; all that
    /// was granted to the one before is its no more, though the books hold it until its time is over.
    fn raise_incarnation(&mut self, now: f64, incarnation: u64) {
        self.events.push(Event::IncarnationRaised { from: self.process.incarnation, to: incarnation });
        self.raises += 1;
        self.process.incarnation = incarnation;
        self.authenticator.restart_as(self.process.clone());
        self.membership.restart_as(now, self.process.clone(), self.rng.random());
        if let Some(candidate) = &mut self.candidate {
            candidate.restart_as(incarnation);
        }
        self.ledger = None;
        for quota in self.quotas.values_mut() {
            quota.drop_leases(now, self.request_id);
        }
        self.sent_requests.clear();
        self.unanswered_since = None;
        self.request_at = now;
    }

    pub fn next_at(&self) -> f64 {
        let candidate = self.candidate.as_ref().map_or(f64::INFINITY, Candidate::next_at);
        let request_at = if self.phase == Phase::Left { f64::INFINITY } else { self.request_at };
        request_at.min(candidate).min(self.membership.next_at())
    }

    pub fn tick(&mut self, now: f64) {
        self.membership.tick(now);
        self.send_membership();
        if let Some(candidate) = &mut self.candidate {
            let mine = candidate.term(now).is_some();
            let another = !mine && self.voter.as_ref().is_some_and(|voter| voter.holder(now).is_some());
            if let Some(call) = candidate.tick(now, another) {
                self.broadcast(call);
            }
        }
        if now >= self.request_at && self.phase == Phase::Joined {
            self.send_requests(now);
        }
        self.finish_event(now);
    }

    /// Reads what it said to itself, and notes what came of it.
    fn finish_event(&mut self, now: f64) {
        while let Some(envelope) = self.loopback.pop_front() {
            self.handle_envelope(now, envelope);
        }
        let is_leader = self.is_leader(now);
        if is_leader != self.was_leader {
            self.was_leader = is_leader;
            self.counters.elections += u64::from(is_leader);
            self.events.push(Event::LeadershipChanged(is_leader));
        }
        if !is_leader {
            self.ledger = None;
        }
        for (key, quota) in &mut self.quotas {
            if quota.transition(now) {
                self.events.push(Event::QuotaStateChanged { key: *key, standing: quota.standing() });
            }
        }
        self.events.extend(self.membership.take_changes().into_iter().map(Event::MembershipChanged));
    }

    fn send(&mut self, to: &str, message: Message) {
        if to == self.process.name {
            // What a member says to itself takes the same way as what others say.
            self.loopback.push_back(Envelope::new(self.process.clone(), to.to_string(), message));
            return;
        }
        self.send_remote(to, None, message);
    }

    fn send_remote(&mut self, to: &str, advertised_address: Option<SocketAddr>, message: Message) {
        let advertised_address = advertised_address.or_else(|| self.membership.address_of(to));
        if let Some(datagram) = self.authenticator.seal(to, message) {
            self.counters.sent += 1;
            self.counters.sent_bytes += datagram.len() as u64;
            self.outgoing.push(Datagram { to: to.to_string(), advertised_address, bytes: datagram });
        }
    }

    fn send_membership(&mut self) {
        for (identity, data) in self.membership.take_datagrams() {
            self.send_remote(&identity.process.name, Some(identity.address), Message::Swim(data));
        }
    }

    fn broadcast(&mut self, call: CandidateCall) {
        let electorate = self.electorate;
        for voter in self.config.voters.clone() {
            let message = match call {
                CandidateCall::Prepare(ballot) => Message::Prepare { ballot, electorate },
                CandidateCall::Accept(ballot) => Message::Accept { ballot, electorate },
            };
            self.send(&voter, message);
        }
    }

    fn handle_envelope(&mut self, now: f64, envelope: Envelope) {
        let Envelope { from, message, .. } = envelope;
        match message {
            Message::Swim(data) => {
                self.membership.handle_datagram(now, &data);
                self.send_membership();
            }
            Message::Prepare { ballot, electorate } => {
                self.handle_candidate(now, &from, ballot, electorate, Voter::handle_prepare)
            }
            Message::Accept { ballot, electorate } => {
                self.handle_candidate(now, &from, ballot, electorate, Voter::handle_accept)
            }
            Message::VoterReply { ballot, answer } => {
                let voter_index = self.config.voters.iter().position(|voter| *voter == from.name);
                if let (Some(voter_index), Some(candidate)) = (voter_index, &mut self.candidate) {
                    if let Some(call) = candidate.handle_reply(now, voter_index as u16, ballot, answer) {
                        self.broadcast(call);
                    }
                }
            }
            // Who counts leases otherwise would hold on to what others have by then.
            Message::QuotaRequest { electorate, .. } if electorate != self.electorate => {
                self.report_incompatible(&from)
            }
            Message::QuotaRequest { request_id, seen, leaving, entries, .. } => {
                self.handle_request(now, &from, request_id, seen, leaving, &entries);
            }
            Message::QuotaReply { request_id, to, term, grants } if to == self.process.incarnation => {
                self.handle_reply(now, &from, request_id, term, &grants);
            }
            Message::NotLeader { request_id: NO_REQUEST, to, .. } => self.handle_known_incarnation(now, to),
            Message::NotLeader { request_id, to, leader } if to == self.process.incarnation => {
                if self.sent_requests.iter().any(|(sent_requests, _)| *sent_requests == request_id)
                    && self.phase == Phase::Joined
                {
                    let known = leader.is_some() && leader != self.leader;
                    self.leader = leader;
                    self.unanswered_since = None;
                    if known {
                        self.request_at = now;
                    }
                }
            }
            Message::QuotaReply { .. } | Message::NotLeader { .. } => self.counters.stale += 1,
        }
    }

    /// Somebody who has the key and another charter: told of once for each process.
    fn report_incompatible(&mut self, from: &Process) {
        self.counters.incompatible += 1;
        if self.incompatible.len() < INCOMPATIBLE_REPORTED && self.incompatible.insert(from.clone()) {
            self.events.push(Event::IncompatibleMember(from.clone()));
        }
    }

    fn handle_candidate(
        &mut self,
        now: f64,
        from: &Process,
        ballot: Ballot,
        electorate: u64,
        voted: impl Fn(&mut Voter, f64, Ballot) -> Option<VoterReply>,
    ) {
        let Some(voter) = &mut self.voter else { return };
        let named = self.config.voters.get(usize::from(ballot.voter_index)) == Some(&from.name);
        if electorate != self.electorate || !named || ballot.incarnation != from.incarnation {
            return self.report_incompatible(from);
        }
        if let Some(answer) = voted(voter, now, ballot) {
            let to = from.name.clone();
            self.send(&to, Message::VoterReply { ballot, answer });
        }
    }

    fn handle_request(
        &mut self,
        now: f64,
        from: &Process,
        request_id: u64,
        seen: Ballot,
        leaving: bool,
        entries: &[QuotaRequest],
    ) {
        // The clock is looked at here, where it is granted, not when the turn began that brought it about.
        let mut term = self.candidate.as_ref().and_then(|candidate| candidate.term(now));
        if term.is_some_and(|term| seen > term) {
            // Who asks would take this tenure for an earlier one, and go by nothing that it is granted.
            self.candidate.iter_mut().for_each(|candidate| candidate.observe_newer_term(now, seen));
            term = None;
        }
        let Some(term) = term else {
            let holder = self.voter.as_ref().and_then(|voter| voter.holder(now));
            let leader =
                holder.and_then(|ballot| self.config.voters.get(usize::from(ballot.voter_index)).cloned());
            let leader = leader.filter(|name| *name != self.process.name);
            let to = from.incarnation;
            return self.send(&from.name, Message::NotLeader { request_id, to, leader });
        };
        if self.ledger.as_ref().is_none_or(|ledger| ledger.term() != term) {
            self.ledger = Some(QuotaLedger::new(now, term));
        }
        let Some(ledger) = &mut self.ledger else { return };
        if leaving {
            return ledger.holder_left(now, from, request_id, &self.config);
        }
        let mut grants = Vec::new();
        // Who has not heard of this tenure is only told of it, as what it says may be of any time.
        if seen == term {
            grants.extend(
                entries.iter().filter_map(|e| ledger.request(now, &self.config, from, request_id, e)),
            );
        }
        let to = from.incarnation;
        self.send(&from.name, Message::QuotaReply { request_id, to, term, grants });
    }

    /// Asks the keeper for everything, or a voter in turn where none is known.
    fn send_requests(&mut self, now: f64) {
        let lease = self.config.lease;
        let patience = lease / REQUESTS_PER_LEASE;
        if self.unanswered_since.is_some_and(|since| now >= since + patience) {
            self.counters.unanswered += 1;
            self.unanswered_since = None;
            self.leader = None;
        }
        let to = match &self.leader {
            Some(leader) => leader.clone(),
            None => {
                self.next_voter += 1;
                self.config.voters[self.next_voter % self.config.voters.len()].clone()
            }
        };
        self.quotas.retain(|key, quota| key.1 == 0 || !quota.is_idle(now));
        let (seen, electorate) = (self.term, self.electorate);
        let mut short = false;
        let entries: Vec<QuotaRequest> = self
            .quotas
            .iter_mut()
            .map(|(key, quota)| {
                short |= quota.denied_since_request > 0;
                QuotaRequest {
                    budget: key.0,
                    subject: key.1,
                    total: quota.total(),
                    demand: quota.demand(now),
                    in_use: quota.used(now),
                    held: quota.report(now, seen),
                }
            })
            .collect();
        for entries in entries.chunks(ENTRIES_PER_DATAGRAM) {
            self.request_id += 1;
            let request_id = self.request_id;
            if self.sent_requests.len() >= SENT_REQUESTS_KEPT {
                self.sent_requests.pop_front();
            }
            self.sent_requests.push_back((request_id, now));
            let entries = entries.to_vec();
            self.send(&to, Message::QuotaRequest { request_id, seen, electorate, leaving: false, entries });
        }
        self.unanswered_since.get_or_insert(now);
        let soon = short || self.leader.is_none();
        self.requested_at = now;
        self.request_at = now + lease / if soon { URGENT_REQUESTS_PER_LEASE } else { REQUESTS_PER_LEASE };
    }

    fn handle_reply(&mut self, now: f64, from: &Process, request_id: u64, term: Ballot, grants: &[Grant]) {
        let Some(requested_at) = self
            .sent_requests
            .iter()
            .find(|(sent_requests, _)| *sent_requests == request_id)
            .map(|(_, at)| *at)
        else {
            self.counters.stale += 1;
            return;
        };
        if term < self.term || self.phase == Phase::Left {
            self.counters.stale += 1;
            return;
        }
        self.unanswered_since = None;
        if self.leader.as_ref() != Some(&from.name) {
            self.leader = Some(from.name.clone());
            self.events.push(Event::LeaderFound(from.name.clone()));
        }
        if term > self.term {
            // The new keeper has to hear that this one knows of it, before anything is granted.
            self.term = term;
            self.request_at = now;
        }
        let leases =
            [self.config.holder_lease(self.config.lease), self.config.holder_lease(self.config.floor_lease)];
        for grant in grants {
            let key = (grant.budget, grant.subject);
            let Some(quota) = self.quotas.get_mut(&key) else { continue };
            let before = quota.amounts(now);
            if quota.apply_grant(now, term, grant, (request_id, requested_at), leases) {
                // Others wait for what this one has less: they get it once the keeper knows that it is known here.
                self.request_at =
                    self.request_at.min(now + self.config.lease / URGENT_REQUESTS_PER_LEASE / 2.0);
            }
            let (amounts, until) = (quota.amounts(now), quota.until());
            let (own, used) = (quota.total(), grant.total);
            self.events.push(Event::QuotaGranted { key, term, serial: grant.serial, amounts, until });
            if used < own && before != amounts {
                self.events.push(Event::SmallerTotal { key, own, used });
            }
        }
    }
}
