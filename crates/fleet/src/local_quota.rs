//! What this router may spend of one budget, checked against the clock at the moment of spending.

use std::collections::VecDeque;

use crate::convert::{units_to_f64, whole_units};
use crate::election::Ballot;
use crate::quota_ledger::{Grant, HeldQuota, Pools};
use crate::settings::Kind;

/// Seconds over which demand is measured: short beside a lease, so that a share follows its router's traffic.
const SAMPLE_PERIOD: f64 = 0.5;
/// Factor on the measured demand, so that there is room until the next answer.
const HEADROOM: f64 = 1.25;
/// A demand below this many units is none.
const NEGLIGIBLE_DEMAND: f64 = 0.01;
/// Sample periods without demand after which a quota is idle.
const IDLE_SAMPLES: f64 = 20.0;

/// What a router has of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaState {
    /// Nothing may be spent.
    Empty,
    /// Only the floor may be spent.
    Floor,
    /// A share of the demand pool may be spent.
    Part,
}

/// A request to the leader.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentRequest {
    /// Grows with each request of a process.
    pub id: u64,
    /// When it was sent: leases that are granted in answer to it count from then.
    pub sent_at: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Lease {
    units: u64,
    expires_at: f64,
    /// The grant that it comes from, and that grant's term.
    serial: u64,
    term: Ballot,
}

impl Lease {
    fn units_at(self, now: f64) -> u64 {
        if now < self.expires_at { self.units } else { 0 }
    }
}

/// One router's part of one budget.
#[derive(Clone, Debug, PartialEq)]
pub struct LocalQuota {
    kind: Kind,
    /// The total by this router's own settings: a bound on what it spends whatever a leader grants.
    total: u64,
    leases: Pools<Lease>,
    state: QuotaState,
    /// Tokens of a rate, as of `refreshed_at`.
    tokens: f64,
    refreshed_at: f64,
    /// Operations of a concurrency limit that are in flight.
    in_flight: u64,
    /// When each operation that was given up, and may be running still, has ended at the latest; in order.
    lingering: VecDeque<f64>,
    /// Units asked for, and the most in use, since the last sample.
    wanted: f64,
    peak_in_use: f64,
    /// Demand by the last samples.
    recent_demand: f64,
    sampled_at: f64,
    /// Units that something waits for, until the next request.
    waiting: u64,
    denied_since_request: u64,
    /// Answers to requests up to this one are not applied: they may grant what the ledger no longer counts.
    ignored_request_id: u64,
    acquired: u64,
    denied: u64,
}

impl LocalQuota {
    /// A quota with no lease. Answers to requests up to `ignored_request_id` are not applied to it.
    pub fn new(now: f64, kind: Kind, total: u64, ignored_request_id: u64) -> LocalQuota {
        LocalQuota {
            kind,
            total,
            leases: Pools::default(),
            state: QuotaState::Empty,
            tokens: 0.0,
            refreshed_at: now,
            in_flight: 0,
            lingering: VecDeque::new(),
            wanted: 0.0,
            peak_in_use: 0.0,
            recent_demand: 0.0,
            sampled_at: now,
            waiting: 0,
            denied_since_request: 0,
            ignored_request_id,
            acquired: 0,
            denied: 0,
        }
    }

    /// Units that may be in use now, of both pools.
    pub fn spendable(&self, now: f64) -> u64 {
        self.leased(now).sum().min(self.total)
    }

    /// Units that are leased now.
    pub fn leased(&self, now: f64) -> Pools<u64> {
        self.leases.map(|lease| lease.units_at(now))
    }

    /// When the leases expire.
    pub fn expires_at(&self) -> Pools<f64> {
        self.leases.map(|lease| lease.expires_at)
    }

    /// Brings the state up to date; true if it changed.
    pub fn update_state(&mut self, now: f64) -> bool {
        let leased = self.leased(now);
        let next = match (leased.demand, leased.floor) {
            (0, 0) => QuotaState::Empty,
            (0, _) => QuotaState::Floor,
            _ => QuotaState::Part,
        };
        std::mem::replace(&mut self.state, next) != next
    }

    /// The state as of the last [`update_state`](LocalQuota::update_state).
    pub fn state(&self) -> QuotaState {
        self.state
    }

    /// Ends what has lingered long enough, and refills tokens up to now. Time that has passed counts by what may be spent
    /// now, so a lease that expired meanwhile earns nothing.
    fn refresh(&mut self, now: f64) {
        while self.lingering.front().is_some_and(|ended_at| *ended_at <= now) {
            self.lingering.pop_front();
        }
        if let Kind::Rate { every } = self.kind {
            let depth = units_to_f64(self.spendable(now));
            let refilled = depth * (now - self.refreshed_at).max(0.0) / every;
            self.tokens = (self.tokens + refilled).min(depth);
        }
        self.refreshed_at = now.max(self.refreshed_at);
    }

    /// Units in use, those included that may be running still.
    pub fn in_use(&self) -> u64 {
        self.in_flight + self.lingering()
    }

    /// Units in use as of now.
    pub fn in_use_at(&mut self, now: f64) -> u64 {
        self.refresh(now);
        self.in_use()
    }

    /// Units in use whose end is not confirmed: each counts for the whole hold.
    pub fn lingering(&self) -> u64 {
        self.lingering.len() as u64
    }

    /// Tokens of a rate that can be spent now.
    pub fn tokens(&mut self, now: f64) -> f64 {
        self.refresh(now);
        self.tokens
    }

    /// Whether a unit could be acquired now.
    pub fn is_available(&mut self, now: f64) -> bool {
        self.refresh(now);
        match self.kind {
            Kind::Rate { .. } => self.tokens >= 1.0,
            Kind::Concurrency { .. } => self.in_use() < self.spendable(now),
        }
    }

    /// Acquires a unit; false if there is none. `now` has to be read from the clock for this call.
    #[must_use]
    pub fn acquire(&mut self, now: f64) -> bool {
        let acquired = self.is_available(now);
        self.wanted += 1.0;
        if acquired {
            self.acquired += 1;
            match self.kind {
                Kind::Rate { .. } => self.tokens -= 1.0,
                Kind::Concurrency { .. } => self.in_flight += 1,
            }
        } else {
            self.denied_since_request += 1;
            self.denied += 1;
        }
        let wanted_now = units_to_f64(self.in_use() + self.denied_since_request);
        self.peak_in_use = self.peak_in_use.max(wanted_now);
        acquired
    }

    /// Releases a unit of a concurrency limit. Unless its end is `confirmed`, it counts for the whole hold, as what was
    /// given up may be running still.
    pub fn release(&mut self, now: f64, confirmed: bool) {
        let Kind::Concurrency { hold } = self.kind else { return };
        self.in_flight = self.in_flight.saturating_sub(1);
        if !confirmed {
            self.lingering.push_back(now + hold);
        }
    }

    /// Notes that something waits for so many units beyond those in use; the next request asks for them.
    pub fn note_waiting(&mut self, units: u64) {
        self.denied_since_request = self.denied_since_request.max(units);
        self.waiting = self.waiting.max(units);
        self.peak_in_use = self.peak_in_use.max(units_to_f64(self.in_use() + units));
    }

    /// Whether anything was denied since the last request.
    pub fn is_short(&self) -> bool {
        self.denied_since_request > 0
    }

    /// Units to ask for in a request that is sent now, by recent demand; zero where there was none.
    pub fn take_demand(&mut self, now: f64) -> u64 {
        self.refresh(now);
        self.sample_demand(now);
        self.denied_since_request = 0;
        let waiting = std::mem::take(&mut self.waiting);
        let demand = self.recent_demand.max(units_to_f64(self.in_use() + waiting));
        if demand < NEGLIGIBLE_DEMAND { 0 } else { whole_units((demand * HEADROOM).max(demand.ceil())) }
    }

    /// Demand that grows counts at once, demand that falls over a sample period or two.
    fn sample_demand(&mut self, now: f64) {
        let span = now - self.sampled_at;
        if span < SAMPLE_PERIOD / 2.0 {
            return;
        }
        let sample = match self.kind {
            Kind::Rate { every } => self.wanted * every / span,
            Kind::Concurrency { .. } => self.peak_in_use,
        };
        let weight = (span / SAMPLE_PERIOD).min(1.0);
        let smoothed = self.recent_demand + weight * (sample - self.recent_demand);
        self.recent_demand = sample.max(smoothed);
        (self.wanted, self.peak_in_use, self.sampled_at) = (0.0, units_to_f64(self.in_use()), now);
    }

    /// What to report of the leases to a leader of that term.
    pub fn held(&self, now: f64, term: Ballot) -> Pools<HeldQuota> {
        self.leases.map(|lease| {
            let serial = if lease.term == term { lease.serial } else { 0 };
            HeldQuota { units: lease.units_at(now), serial }
        })
    }

    /// Goes by a grant, unless a newer one came before. The leases last `durations` seconds from when `request`, which the
    /// grant answers, was sent. True if less may be spent than before: the leader has to hear of that.
    #[must_use]
    pub fn apply_grant(
        &mut self,
        now: f64,
        term: Ballot,
        grant: &Grant,
        request: SentRequest,
        durations: Pools<f64>,
    ) -> bool {
        let newest = self.leases.demand;
        if request.id <= self.ignored_request_id || (term, grant.serial) <= (newest.term, newest.serial) {
            return false;
        }
        self.refresh(now);
        let before = self.leased(now);
        let lease = |units: u64, duration: f64| Lease {
            units,
            expires_at: request.sent_at + duration,
            serial: grant.serial,
            term,
        };
        self.leases = Pools {
            demand: lease(grant.units.demand, durations.demand),
            floor: lease(grant.units.floor, durations.floor),
        };
        self.refresh(now);
        let after = self.leased(now);
        after.demand < before.demand || after.floor < before.floor
    }

    /// Gives all leases back, for good.
    pub fn release_all(&mut self, now: f64) {
        self.drop_leases(now, u64::MAX);
    }

    /// Drops all leases, and ignores answers to requests up to that one. What is in use stays so.
    pub fn drop_leases(&mut self, now: f64, ignored_request_id: u64) {
        self.leases = Pools::default();
        self.ignored_request_id = ignored_request_id;
        self.refresh(now);
    }

    /// The total by this router's own settings.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Changes the total.
    pub fn set_total(&mut self, now: f64, total: u64) {
        self.total = total;
        self.refresh(now);
    }

    /// Units acquired since it was made.
    pub fn acquired(&self) -> u64 {
        self.acquired
    }

    /// Units denied since it was made.
    pub fn denied(&self) -> u64 {
        self.denied
    }

    /// Whether nothing is in use, and nothing was wanted for a while.
    pub fn is_idle(&mut self, now: f64) -> bool {
        self.in_use_at(now) == 0
            && self.recent_demand < NEGLIGIBLE_DEMAND
            && now > self.sampled_at + IDLE_SAMPLES * SAMPLE_PERIOD
    }
}
