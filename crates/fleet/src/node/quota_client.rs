//! Requests units from the leader and stores the leases that it grants.

use std::collections::{BTreeMap, VecDeque};
use std::ops::RangeInclusive;

use super::{Counters, Event};
use crate::election::Ballot;
use crate::envelope::{NotLeader, QuotaReply, QuotaRequest};
use crate::local_quota::{LocalQuota, SentRequest};
use crate::quota_ledger::{BudgetKey, BudgetRequest, Grant, Pools};
use crate::settings::{FleetConfig, Process};

/// Requests sent in the course of one lease: three in a row may be lost before a lease expires.
const REQUESTS_PER_LEASE: f64 = 4.0;
/// Requests sent in the course of one lease while units are denied or no leader is known.
const URGENT_REQUESTS_PER_LEASE: f64 = 20.0;
/// A router confirms a lease that shrank to the leader after the duration of a lease divided by this number. The delay is
/// short because other routers wait for the units.
const CONFIRMATION_DELAY_DIVISOR: f64 = 40.0;
/// Budgets in one request, which keeps them below 1,400 bytes.
const BUDGETS_PER_REQUEST: usize = 24;
/// Batches of requests whose time of sending is kept; urgent ones of more than ten leases. Replies to older requests are ignored.
const MAX_REMEMBERED_BATCHES: usize = 256;
/// Largest number of budget keys that a router keeps a quota of.
const MAX_QUOTAS: usize = 4096;

pub(super) struct QuotaClient {
    quotas: BTreeMap<BudgetKey, LocalQuota>,
    /// The leader's name, if known.
    leader: Option<String>,
    /// The newest term in any reply.
    term: Ballot,
    /// Position in the round robin over the voters, which receive the requests while no leader is known.
    voter_rotation: usize,
    last_request_id: u64,
    /// The last batches of requests, oldest first.
    sent_batches: VecDeque<SentBatch>,
    /// When the oldest request without an answer was sent.
    unanswered_since: Option<f64>,
    /// When the next request is due.
    next_request_at: f64,
    /// When the last request was sent.
    last_request_at: f64,
}

/// Requests that were sent at the same time, which together name all budgets. The number of requests grows with that of the
/// budgets, so they are remembered as one: each has to be known until its reply arrives.
struct SentBatch {
    request_ids: RangeInclusive<u64>,
    sent_at: f64,
}

/// Requests to be sent to one member.
pub(super) struct RequestBatch {
    pub(super) to: String,
    pub(super) requests: Vec<QuotaRequest>,
}

impl QuotaClient {
    pub(super) fn start(now: f64, config: &FleetConfig, seed: u64) -> QuotaClient {
        let mut client = QuotaClient {
            quotas: BTreeMap::new(),
            leader: None,
            term: Ballot::default(),
            voter_rotation: (seed % 64) as usize,
            last_request_id: 0,
            sent_batches: VecDeque::new(),
            unanswered_since: None,
            next_request_at: now,
            last_request_at: f64::NEG_INFINITY,
        };
        for budget in &config.budgets {
            client.track(now, config, BudgetKey { budget: budget.id, subject: 0 });
        }
        client
    }

    /// Returns the quota of a key and creates it at its first use. Returns `None` if the budget is unknown, or if there are
    /// already `MAX_QUOTAS` others.
    pub(super) fn track(
        &mut self,
        now: f64,
        config: &FleetConfig,
        key: BudgetKey,
    ) -> Option<&mut LocalQuota> {
        let budget = config.budget(key.budget)?;
        if !self.quotas.contains_key(&key) && self.quotas.len() >= MAX_QUOTAS {
            return None;
        }
        let last_ignored_request_id = self.last_request_id;
        let new = || LocalQuota::new(now, budget.kind, budget.total, last_ignored_request_id);
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

    /// Returns whether any leader has answered.
    pub(super) fn has_leader_reply(&self) -> bool {
        self.term != Ballot::default()
    }

    /// Returns when the next request is due.
    pub(super) fn next_request_at(&self) -> f64 {
        self.next_request_at
    }

    /// Schedules a request for the next tick.
    pub(super) fn request_now(&mut self, now: f64) {
        self.next_request_at = now;
    }

    /// Schedules a request for the next tick, or for when the interval between urgent requests has passed.
    pub(super) fn request_soon(&mut self, now: f64, config: &FleetConfig) {
        let allowed_at = self.last_request_at + config.lease_seconds / URGENT_REQUESTS_PER_LEASE;
        self.next_request_at = self.next_request_at.min(allowed_at.max(now));
    }

    pub(super) fn set_total(&mut self, now: f64, budget: u64, total: u64) {
        for (_, quota) in self.quotas.iter_mut().filter(|(key, _)| key.budget == budget) {
            quota.set_total(now, total);
        }
    }

    /// Returns requests for all budgets, to the leader or, if none is known, to the next voter.
    pub(super) fn requests(
        &mut self,
        now: f64,
        config: &FleetConfig,
        shared_settings_hash: u64,
        counters: &mut Counters,
    ) -> RequestBatch {
        self.discard_unresponsive_leader(now, config, counters);
        let to = self.next_recipient(config);
        self.quotas.retain(|key, quota| key.subject == 0 || !quota.is_idle(now));
        let has_unmet_demand = self.quotas.values().any(LocalQuota::has_unmet_demand);
        let budgets = self.budget_requests(now);
        let first_request_id = self.last_request_id + 1;
        let chunks = budgets.chunks(BUDGETS_PER_REQUEST);
        let requests = chunks.map(|chunk| self.request(shared_settings_hash, chunk)).collect();
        self.remember_batch(SentBatch { request_ids: first_request_id..=self.last_request_id, sent_at: now });
        self.unanswered_since.get_or_insert(now);
        self.last_request_at = now;
        let is_urgent = has_unmet_demand || self.leader.is_none();
        let per_lease = if is_urgent { URGENT_REQUESTS_PER_LEASE } else { REQUESTS_PER_LEASE };
        self.next_request_at = now + config.lease_seconds / per_lease;
        RequestBatch { to, requests }
    }

    /// Drops the leader if requests have gone unanswered for one regular request interval.
    fn discard_unresponsive_leader(&mut self, now: f64, config: &FleetConfig, counters: &mut Counters) {
        let timeout = config.lease_seconds / REQUESTS_PER_LEASE;
        if self.unanswered_since.is_some_and(|since| now >= since + timeout) {
            counters.unanswered += 1;
            self.unanswered_since = None;
            self.leader = None;
        }
    }

    fn next_recipient(&mut self, config: &FleetConfig) -> String {
        if let Some(leader) = &self.leader {
            return leader.clone();
        }
        self.voter_rotation += 1;
        config.voters[self.voter_rotation % config.voters.len()].clone()
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

    fn request(&mut self, shared_settings_hash: u64, budgets: &[BudgetRequest]) -> QuotaRequest {
        self.last_request_id += 1;
        QuotaRequest {
            request_id: self.last_request_id,
            newest_known_term: self.term,
            shared_settings_hash,
            leaving: false,
            budgets: budgets.to_vec(),
        }
    }

    fn remember_batch(&mut self, batch: SentBatch) {
        if self.sent_batches.len() >= MAX_REMEMBERED_BATCHES {
            self.sent_batches.pop_front();
        }
        self.sent_batches.push_back(batch);
    }

    fn find_sent_request(&self, request_id: u64) -> Option<SentRequest> {
        let batch = self.sent_batches.iter().find(|batch| batch.request_ids.contains(&request_id))?;
        Some(SentRequest { id: request_id, sent_at: batch.sent_at })
    }

    /// Handles a leader's reply.
    pub(super) fn handle_reply(
        &mut self,
        now: f64,
        config: &FleetConfig,
        from: &Process,
        reply: &QuotaReply,
        events: &mut Vec<Event>,
    ) -> ReplyOutcome {
        let Some(request) = self.find_sent_request(reply.request_id) else { return ReplyOutcome::Stale };
        if reply.term < self.term {
            return ReplyOutcome::Stale;
        }
        self.unanswered_since = None;
        if self.leader.as_ref() != Some(&from.name) {
            self.leader = Some(from.name.clone());
            events.push(Event::LeaderFound(from.name.clone()));
        }
        if reply.term > self.term {
            // The new leader grants nothing until a request of this router names its term.
            self.term = reply.term;
            self.next_request_at = now;
        }
        for grant in &reply.grants {
            self.apply_grant(now, config, grant, request, events);
        }
        ReplyOutcome::Applied
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
        let durations = Pools { demand: config.lease_seconds, floor: config.floor_lease_seconds }
            .map(|lease| config.holder_lease(lease));
        let before = quota.leased(now);
        if quota.apply_grant(now, self.term, grant, request, durations) {
            let confirm_at = now + config.lease_seconds / CONFIRMATION_DELAY_DIVISOR;
            self.next_request_at = self.next_request_at.min(confirm_at);
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

    /// Handles the answer of a member that is not leader.
    pub(super) fn handle_not_leader(&mut self, now: f64, answer: NotLeader) {
        if self.find_sent_request(answer.request_id).is_none() {
            return;
        }
        let names_other_leader = answer.leader.is_some() && answer.leader != self.leader;
        self.leader = answer.leader;
        self.unanswered_since = None;
        if names_other_leader {
            self.next_request_at = now;
        }
    }

    /// Continues as a process without leases. Units in use are still counted.
    pub(super) fn restart(&mut self, now: f64) {
        for quota in self.quotas.values_mut() {
            quota.drop_leases(now, self.last_request_id);
        }
        self.sent_batches.clear();
        self.unanswered_since = None;
        self.next_request_at = now;
    }

    /// Releases all leases permanently. Returns the notice to send to the leader, if one is known.
    pub(super) fn leave(
        &mut self,
        now: f64,
        shared_settings_hash: u64,
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
        let request = QuotaRequest {
            request_id: self.last_request_id,
            newest_known_term: self.term,
            shared_settings_hash,
            leaving: true,
            budgets: Vec::new(),
        };
        self.leader.clone().map(|leader| LeaveNotice { leader, request })
    }
}

/// The notice that a leaving member sends to the leader.
pub(super) struct LeaveNotice {
    /// The leader's name.
    pub(super) leader: String,
    pub(super) request: QuotaRequest,
}

/// Whether a reply was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReplyOutcome {
    Applied,
    /// The reply answers no remembered request, or belongs to an earlier term.
    Stale,
}
