//! Asks the leader for units, and keeps what it grants.

use std::collections::{BTreeMap, VecDeque};

use super::{Counters, Event};
use crate::election::Ballot;
use crate::envelope::{NotLeader, QuotaReply, QuotaRequest};
use crate::local_quota::{LocalQuota, SentRequest};
use crate::quota_ledger::{BudgetKey, BudgetRequest, Grant, Pools};
use crate::settings::{FleetConfig, Process};

/// Requests in a lease: three may be lost in a row before a lease is over.
const REQUESTS_PER_LEASE: f64 = 4.0;
/// The same where something was denied for want of units, or no leader is known.
const URGENT_REQUESTS_PER_LEASE: f64 = 20.0;
/// A leader is told of a lease that shrank after such a part of a lease, as others wait for the units.
const CONFIRMATIONS_PER_LEASE: f64 = 40.0;
/// Budgets in one request: under 1,400 bytes of them.
const BUDGETS_PER_REQUEST: usize = 24;
/// Requests whose time is remembered. Replies to older ones count for nothing.
const REMEMBERED_REQUESTS: usize = 256;
/// Budgets, with their subjects, that a router keeps a quota of.
const QUOTAS_AT_MOST: usize = 4096;

pub(super) struct QuotaClient {
    quotas: BTreeMap<BudgetKey, LocalQuota>,
    /// The leader's name, as far as it is known.
    leader: Option<String>,
    /// The newest term that was heard of.
    term: Ballot,
    /// Counts the voters that are asked in turn while no leader is known.
    voter_turn: usize,
    last_request_id: u64,
    sent: VecDeque<SentRequest>,
    /// When the first request was sent that is not answered yet.
    unanswered_since: Option<f64>,
    request_at: f64,
    requested_at: f64,
}

/// Requests for one member.
pub(super) struct Requests {
    pub(super) to: String,
    pub(super) requests: Vec<QuotaRequest>,
}

impl QuotaClient {
    pub(super) fn start(now: f64, config: &FleetConfig, seed: u64) -> QuotaClient {
        let mut client = QuotaClient {
            quotas: BTreeMap::new(),
            leader: None,
            term: Ballot::default(),
            voter_turn: (seed % 64) as usize,
            last_request_id: 0,
            sent: VecDeque::new(),
            unanswered_since: None,
            request_at: now,
            requested_at: f64::NEG_INFINITY,
        };
        for budget in &config.budgets {
            client.track(now, config, BudgetKey { budget: budget.id, subject: 0 });
        }
        client
    }

    /// The quota of a key, made at its first use; none of an unknown budget, or where there are too many.
    pub(super) fn track(
        &mut self,
        now: f64,
        config: &FleetConfig,
        key: BudgetKey,
    ) -> Option<&mut LocalQuota> {
        let budget = config.budget(key.budget)?;
        if !self.quotas.contains_key(&key) && self.quotas.len() >= QUOTAS_AT_MOST {
            return None;
        }
        let ignored_request_id = self.last_request_id;
        let new = || LocalQuota::new(now, budget.kind, budget.total, ignored_request_id);
        Some(self.quotas.entry(key).or_insert_with(new))
    }

    pub(super) fn quota(&self, key: BudgetKey) -> Option<&LocalQuota> {
        self.quotas.get(&key)
    }

    pub(super) fn quota_mut(&mut self, key: BudgetKey) -> Option<&mut LocalQuota> {
        self.quotas.get_mut(&key)
    }

    pub(super) fn quotas(&self) -> impl Iterator<Item = (&BudgetKey, &LocalQuota)> {
        self.quotas.iter()
    }

    pub(super) fn quotas_mut(&mut self) -> impl Iterator<Item = (&BudgetKey, &mut LocalQuota)> {
        self.quotas.iter_mut()
    }

    pub(super) fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// Whether any leader has answered.
    pub(super) fn was_answered(&self) -> bool {
        self.term != Ballot::default()
    }

    pub(super) fn request_at(&self) -> f64 {
        self.request_at
    }

    /// Asks with the next tick.
    pub(super) fn request_now(&mut self, now: f64) {
        self.request_at = now;
    }

    /// Asks as soon as it may again: at once, unless it has just asked.
    pub(super) fn request_soon(&mut self, now: f64, config: &FleetConfig) {
        let allowed_at = self.requested_at + config.lease / URGENT_REQUESTS_PER_LEASE;
        self.request_at = self.request_at.min(allowed_at.max(now));
    }

    pub(super) fn set_total(&mut self, now: f64, budget: u64, total: u64) {
        for (_, quota) in self.quotas.iter_mut().filter(|(key, _)| key.budget == budget) {
            quota.set_total(now, total);
        }
    }

    /// Requests for all budgets, to the leader or, where none is known, to a voter in turn.
    pub(super) fn requests(
        &mut self,
        now: f64,
        config: &FleetConfig,
        electorate: u64,
        counters: &mut Counters,
    ) -> Requests {
        self.give_up_silent_leader(now, config, counters);
        let to = self.next_receiver(config);
        self.quotas.retain(|key, quota| key.subject == 0 || !quota.is_idle(now));
        let is_short = self.quotas.values().any(LocalQuota::is_short);
        let budgets = self.budget_requests(now);
        let chunks = budgets.chunks(BUDGETS_PER_REQUEST);
        let requests = chunks.map(|chunk| self.request(now, electorate, chunk)).collect();
        self.unanswered_since.get_or_insert(now);
        self.requested_at = now;
        let is_urgent = is_short || self.leader.is_none();
        let per_lease = if is_urgent { URGENT_REQUESTS_PER_LEASE } else { REQUESTS_PER_LEASE };
        self.request_at = now + config.lease / per_lease;
        Requests { to, requests }
    }

    fn give_up_silent_leader(&mut self, now: f64, config: &FleetConfig, counters: &mut Counters) {
        let patience = config.lease / REQUESTS_PER_LEASE;
        if self.unanswered_since.is_some_and(|since| now >= since + patience) {
            counters.unanswered += 1;
            self.unanswered_since = None;
            self.leader = None;
        }
    }

    fn next_receiver(&mut self, config: &FleetConfig) -> String {
        if let Some(leader) = &self.leader {
            return leader.clone();
        }
        self.voter_turn += 1;
        config.voters[self.voter_turn % config.voters.len()].clone()
    }

    fn budget_requests(&mut self, now: f64) -> Vec<BudgetRequest> {
        let term = self.term;
        let request = |(key, quota): (&BudgetKey, &mut LocalQuota)| BudgetRequest {
            key: *key,
            total: quota.total(),
            demand: quota.take_demand(now),
            in_use: quota.in_use_at(now),
            held: quota.held(now, term),
        };
        self.quotas.iter_mut().map(request).collect()
    }

    fn request(&mut self, now: f64, electorate: u64, budgets: &[BudgetRequest]) -> QuotaRequest {
        self.last_request_id += 1;
        if self.sent.len() >= REMEMBERED_REQUESTS {
            self.sent.pop_front();
        }
        self.sent.push_back(SentRequest { id: self.last_request_id, sent_at: now });
        QuotaRequest {
            request_id: self.last_request_id,
            seen: self.term,
            electorate,
            leaving: false,
            budgets: budgets.to_vec(),
        }
    }

    fn sent_request(&self, request_id: u64) -> Option<SentRequest> {
        self.sent.iter().find(|sent| sent.id == request_id).copied()
    }

    /// Takes in a leader's reply.
    pub(super) fn handle_reply(
        &mut self,
        now: f64,
        config: &FleetConfig,
        from: &Process,
        reply: &QuotaReply,
        events: &mut Vec<Event>,
    ) -> ReplyUse {
        let Some(request) = self.sent_request(reply.request_id) else { return ReplyUse::Stale };
        if reply.term < self.term {
            return ReplyUse::Stale;
        }
        self.unanswered_since = None;
        if self.leader.as_ref() != Some(&from.name) {
            self.leader = Some(from.name.clone());
            events.push(Event::LeaderFound(from.name.clone()));
        }
        if reply.term > self.term {
            // The new leader grants nothing until it hears that this router knows of its term.
            self.term = reply.term;
            self.request_at = now;
        }
        for grant in &reply.grants {
            self.apply_grant(now, config, grant, request, events);
        }
        ReplyUse::Applied
    }

    fn apply_grant(
        &mut self,
        now: f64,
        config: &FleetConfig,
        grant: &Grant,
        request: SentRequest,
        events: &mut Vec<Event>,
    ) {
        let Some(quota) = self.quotas.get_mut(&grant.key) else { return };
        let durations =
            Pools { demand: config.lease, floor: config.floor_lease }.map(|lease| config.holder_lease(lease));
        let before = quota.leased(now);
        if quota.apply_grant(now, self.term, grant, request, durations) {
            let confirm_at = now + config.lease / CONFIRMATIONS_PER_LEASE;
            self.request_at = self.request_at.min(confirm_at);
        }
        let (key, units) = (grant.key, quota.leased(now));
        events.push(Event::QuotaGranted {
            key,
            term: self.term,
            serial: grant.serial,
            units,
            expires_at: quota.expires_at(),
        });
        let (own, used) = (quota.total(), grant.total);
        if used < own && before != units {
            events.push(Event::SmallerTotal { key, own, used });
        }
    }

    /// Takes in the answer of a member that is not leader.
    pub(super) fn handle_not_leader(&mut self, now: f64, answer: NotLeader) {
        if self.sent_request(answer.request_id).is_none() {
            return;
        }
        let is_news = answer.leader.is_some() && answer.leader != self.leader;
        self.leader = answer.leader;
        self.unanswered_since = None;
        if is_news {
            self.request_at = now;
        }
    }

    /// Goes on as a process that was granted nothing; what is in use stays so.
    pub(super) fn restart(&mut self, now: f64) {
        for quota in self.quotas.values_mut() {
            quota.drop_leases(now, self.last_request_id);
        }
        self.sent.clear();
        self.unanswered_since = None;
        self.request_at = now;
    }

    /// Gives everything back. Returns what to send to the leader, if one is known.
    pub(super) fn leave(
        &mut self,
        now: f64,
        electorate: u64,
        events: &mut Vec<Event>,
    ) -> Option<LeaveNotice> {
        for (key, quota) in &mut self.quotas {
            quota.release_all(now);
            events.push(Event::QuotaGranted {
                key: *key,
                term: self.term,
                serial: u64::MAX,
                units: Pools::default(),
                expires_at: Pools { demand: now, floor: now },
            });
        }
        self.last_request_id += 1;
        let leaving = QuotaRequest {
            request_id: self.last_request_id,
            seen: self.term,
            electorate,
            leaving: true,
            budgets: Vec::new(),
        };
        self.leader.clone().map(|leader| LeaveNotice { leader, request: leaving })
    }
}

/// What a member that leaves sends to the leader.
pub(super) struct LeaveNotice {
    /// The leader's name.
    pub(super) leader: String,
    pub(super) request: QuotaRequest,
}

/// Whether a reply counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReplyUse {
    Applied,
    /// It answers no request that is remembered, or is of an earlier term.
    Stale,
}
