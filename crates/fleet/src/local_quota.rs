//! The units of one budget that this router may spend, checked against the clock whenever a unit is acquired.

use std::collections::VecDeque;

use crate::convert::{truncate_to_units, units_to_f64};
use crate::election::Ballot;
use crate::quota_ledger::{Grant, HeldQuota, Pools};
use crate::settings::LimitKind;

/// Period over which demand is measured. It is short compared to a lease, so that a router's share follows its traffic.
const DEMAND_SAMPLE_PERIOD_SECONDS: f64 = 0.5;
/// Factor applied to the measured demand, to leave room for growth until the next grant.
const DEMAND_HEADROOM_FACTOR: f64 = 1.25;
/// Demand below this many units is treated as none.
const NEGLIGIBLE_DEMAND_UNITS: f64 = 0.01;
/// Age of the last demand sample, in sample periods, after which a quota without demand is idle.
const IDLE_SAMPLE_PERIODS: f64 = 20.0;

/// Which units of a budget a router may spend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaState {
    /// No units may be spent.
    Empty,
    /// Only the floor may be spent.
    Floor,
    /// Units of the demand pool may be spent.
    Part,
}

/// A request that was sent to the leader.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentRequest {
    /// Increases with each request of a process.
    pub id: u64,
    /// When the request was sent, in seconds. Leases granted in answer to it count from then.
    pub sent_at: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Lease {
    units: u64,
    expires_at: f64,
    /// Serial of the grant that the lease comes from.
    serial: u64,
    /// Term of that grant.
    term: Ballot,
}

impl Lease {
    fn units_at(self, now: f64) -> u64 {
        if now < self.expires_at { self.units } else { 0 }
    }
}

/// One router's quota of one budget.
#[derive(Clone, Debug, PartialEq)]
pub struct LocalQuota {
    kind: LimitKind,
    /// The total in this router's own settings, which bounds its spending regardless of the leader's grants.
    total: u64,
    leases: Pools<Lease>,
    state: QuotaState,
    /// Tokens of a rate budget, as of `refreshed_at`.
    tokens: f64,
    refreshed_at: f64,
    /// Operations of a concurrency budget that are in flight.
    in_flight: u64,
    /// Latest end of each abandoned operation that may still be running, in ascending order.
    unconfirmed_in_use: VecDeque<f64>,
    /// Units that callers tried to acquire since the last sample.
    requested_units: f64,
    /// Largest number of units in use or denied since the last sample.
    peak_in_use: f64,
    /// Smoothed demand of the recent samples, in units.
    recent_demand: f64,
    sampled_at: f64,
    /// Units that callers are waiting for; reset by the next request.
    waiting: u64,
    denied_since_request: u64,
    /// Grants in answer to requests up to this one are ignored, because the ledger may no longer count their units.
    last_ignored_request_id: u64,
    acquired: u64,
    denied: u64,
}

impl LocalQuota {
    /// Creates a quota without a lease. Grants in answer to requests up to `last_ignored_request_id` are ignored.
    pub fn new(now: f64, kind: LimitKind, total: u64, last_ignored_request_id: u64) -> LocalQuota {
        LocalQuota {
            kind,
            total,
            leases: Pools::default(),
            state: QuotaState::Empty,
            tokens: 0.0,
            refreshed_at: now,
            in_flight: 0,
            unconfirmed_in_use: VecDeque::new(),
            requested_units: 0.0,
            peak_in_use: 0.0,
            recent_demand: 0.0,
            sampled_at: now,
            waiting: 0,
            denied_since_request: 0,
            last_ignored_request_id,
            acquired: 0,
            denied: 0,
        }
    }

    /// Returns the units of both pools that may be in use now.
    pub fn spendable(&self, now: f64) -> u64 {
        self.leased(now).sum().min(self.total)
    }

    /// Returns the units that are leased now.
    pub fn leased(&self, now: f64) -> Pools<u64> {
        self.leases.map(|lease| lease.units_at(now))
    }

    /// Returns when the leases expire.
    pub fn expires_at(&self) -> Pools<f64> {
        self.leases.map(|lease| lease.expires_at)
    }

    /// Updates the state; returns whether it changed.
    pub fn update_state(&mut self, now: f64) -> bool {
        let leased = self.leased(now);
        let next = match (leased.demand, leased.floor) {
            (0, 0) => QuotaState::Empty,
            (0, _) => QuotaState::Floor,
            _ => QuotaState::Part,
        };
        std::mem::replace(&mut self.state, next) != next
    }

    /// Returns the state as of the last [`update_state`](LocalQuota::update_state).
    pub fn state(&self) -> QuotaState {
        self.state
    }

    /// Removes unconfirmed operations that must have ended, and refills tokens up to now. The elapsed time adds
    /// tokens at the rate of the units that may be spent now, so a lease that has expired meanwhile adds none.
    fn refresh(&mut self, now: f64) {
        while self.unconfirmed_in_use.front().is_some_and(|ended_at| *ended_at <= now) {
            self.unconfirmed_in_use.pop_front();
        }
        if let LimitKind::Rate { refill_seconds } = self.kind {
            let depth = units_to_f64(self.spendable(now));
            let refilled = depth * (now - self.refreshed_at).max(0.0) / refill_seconds;
            self.tokens = (self.tokens + refilled).min(depth);
        }
        self.refreshed_at = now.max(self.refreshed_at);
    }

    /// Returns the units in use, including those of abandoned operations that may still be running.
    pub fn in_use(&self) -> u64 {
        self.in_flight + self.unconfirmed_in_use()
    }

    /// Returns the units in use as of `now`.
    pub fn in_use_at(&mut self, now: f64) -> u64 {
        self.refresh(now);
        self.in_use()
    }

    /// Returns the units in use by abandoned operations whose end is not confirmed. Each is counted for the full hold.
    pub fn unconfirmed_in_use(&self) -> u64 {
        self.unconfirmed_in_use.len() as u64
    }

    /// Returns the tokens of a rate budget that can be spent now.
    pub fn tokens(&mut self, now: f64) -> f64 {
        self.refresh(now);
        self.tokens
    }

    /// Returns whether a unit could be acquired now.
    pub fn is_available(&mut self, now: f64) -> bool {
        self.refresh(now);
        match self.kind {
            LimitKind::Rate { .. } => self.tokens >= 1.0,
            LimitKind::Concurrency { .. } => self.in_use() < self.spendable(now),
        }
    }

    /// Acquires a unit; returns false if none is available. `now` must be read from the clock for this call.
    #[must_use]
    pub fn acquire(&mut self, now: f64) -> bool {
        let acquired = self.is_available(now);
        self.requested_units += 1.0;
        if acquired {
            self.acquired += 1;
            match self.kind {
                LimitKind::Rate { .. } => self.tokens -= 1.0,
                LimitKind::Concurrency { .. } => self.in_flight += 1,
            }
        } else {
            self.denied_since_request += 1;
            self.denied += 1;
        }
        let in_use_or_denied = units_to_f64(self.in_use() + self.denied_since_request);
        self.peak_in_use = self.peak_in_use.max(in_use_or_denied);
        acquired
    }

    /// Releases a unit of a concurrency budget. Unless the end of its operation is `confirmed`, the unit is counted for
    /// the full hold, because an abandoned operation may still be running.
    pub fn release(&mut self, now: f64, confirmed: bool) {
        let LimitKind::Concurrency { hold_seconds } = self.kind else { return };
        self.in_flight = self.in_flight.saturating_sub(1);
        if !confirmed {
            self.unconfirmed_in_use.push_back(now + hold_seconds);
        }
    }

    /// Records that callers wait for `units` units beyond those in use. The next request includes them in the demand.
    pub fn record_waiting(&mut self, units: u64) {
        self.denied_since_request = self.denied_since_request.max(units);
        self.waiting = self.waiting.max(units);
        self.peak_in_use = self.peak_in_use.max(units_to_f64(self.in_use() + units));
    }

    /// Returns whether units were denied or waited for since the last request.
    pub fn has_unmet_demand(&self) -> bool {
        self.denied_since_request > 0
    }

    /// Returns the units to request now, derived from the recent demand; zero if there was none. Resets the denied and
    /// waiting units.
    pub fn take_demand(&mut self, now: f64) -> u64 {
        self.refresh(now);
        self.sample_demand(now);
        self.denied_since_request = 0;
        let waiting = std::mem::take(&mut self.waiting);
        let demand = self.recent_demand.max(units_to_f64(self.in_use() + waiting));
        if demand < NEGLIGIBLE_DEMAND_UNITS {
            0
        } else {
            truncate_to_units((demand * DEMAND_HEADROOM_FACTOR).max(demand.ceil()))
        }
    }

    /// Updates the recent demand. An increase takes effect at once, a decrease over one or two sample periods.
    fn sample_demand(&mut self, now: f64) {
        let elapsed = now - self.sampled_at;
        if elapsed < DEMAND_SAMPLE_PERIOD_SECONDS / 2.0 {
            return;
        }
        let sample = match self.kind {
            LimitKind::Rate { refill_seconds } => self.requested_units * refill_seconds / elapsed,
            LimitKind::Concurrency { .. } => self.peak_in_use,
        };
        let weight = (elapsed / DEMAND_SAMPLE_PERIOD_SECONDS).min(1.0);
        let smoothed = self.recent_demand + weight * (sample - self.recent_demand);
        self.recent_demand = sample.max(smoothed);
        (self.requested_units, self.peak_in_use, self.sampled_at) = (0.0, units_to_f64(self.in_use()), now);
    }

    /// Returns the leases to report to the leader of `term`.
    pub fn held(&self, now: f64, term: Ballot) -> Pools<HeldQuota> {
        self.leases.map(|lease| {
            let serial = if lease.term == term { lease.serial } else { 0 };
            HeldQuota { units: lease.units_at(now), serial }
        })
    }

    /// Replaces the leases by those of a grant, unless a newer grant was applied before. The leases last `durations`
    /// seconds from when `request`, which the grant answers, was sent. Returns whether fewer units may be spent than
    /// before, which the router has to report to the leader.
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
        if request.id <= self.last_ignored_request_id || (term, grant.serial) <= (newest.term, newest.serial)
        {
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

    /// Releases all leases permanently: later grants are ignored.
    pub fn release_all(&mut self, now: f64) {
        self.drop_leases(now, u64::MAX);
    }

    /// Drops all leases, and ignores grants in answer to requests up to `last_ignored_request_id`. Units in use are still
    /// counted.
    pub fn drop_leases(&mut self, now: f64, last_ignored_request_id: u64) {
        self.leases = Pools::default();
        self.last_ignored_request_id = last_ignored_request_id;
        self.refresh(now);
    }

    /// Returns the total in this router's own settings.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Changes the total in this router's own settings.
    pub fn set_total(&mut self, now: f64, total: u64) {
        self.total = total;
        self.refresh(now);
    }

    /// Returns the number of units acquired since this quota was created.
    pub fn acquired(&self) -> u64 {
        self.acquired
    }

    /// Returns the number of units denied since this quota was created.
    pub fn denied(&self) -> u64 {
        self.denied
    }

    /// Returns whether no units are in use, the recent demand is negligible, and the last sample is more than
    /// `IDLE_SAMPLE_PERIODS` old.
    pub fn is_idle(&mut self, now: f64) -> bool {
        self.in_use_at(now) == 0
            && self.recent_demand < NEGLIGIBLE_DEMAND_UNITS
            && now > self.sampled_at + IDLE_SAMPLE_PERIODS * DEMAND_SAMPLE_PERIOD_SECONDS
    }
}
