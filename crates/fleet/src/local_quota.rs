//! What this router may spend of one budget, looked at against the clock at the moment of spending.

use crate::election::Ballot;
use crate::quota_ledger::{DEMAND_POOL, FLOOR_POOL, Grant, HeldQuota, POOLS};
use crate::settings::Kind;

/// Seconds over which demand is looked at: short beside a lease, so that a part follows its router's traffic.
const SAMPLE_PERIOD: f64 = 0.5;
/// Asked for beyond what was wanted of late, so that there is room before the next answer.
const HEADROOM: f64 = 1.25;

/// What a router has of a budget at this instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaState {
    /// Nothing may be spent.
    Empty,
    /// Nobody divides for it, or there is nothing beyond its floor.
    Floor,
    Part,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Lease {
    amount: u64,
    until: f64,
    /// Of which grant, and in which tenure.
    serial: u64,
    term: Ballot,
}

#[derive(Clone, Debug, PartialEq)]
pub struct LocalQuota {
    kind: Kind,
    /// The whole by this router's own file: a bound even where a keeper says otherwise.
    total: u64,
    leases: [Lease; POOLS],
    standing: QuotaState,
    /// Rate: tokens that are there, as of `counted_at`.
    tokens: f64,
    refreshed_at: f64,
    /// In hand: how many, and until when each of those counts that were given up, in order.
    in_flight: u64,
    lingering: std::collections::VecDeque<f64>,
    /// What was wanted since the last look, and what that came to.
    wanted: f64,
    peak_in_use: f64,
    recent: f64,
    /// Units that something waits for, until the next question.
    waiting: u64,
    sampled_at: f64,
    /// Questions up to this one were an earlier purse's: their answers may speak of rights that are on no books.
    since_request_id: u64,
    /// What was turned away since the last question.
    pub denied_since_request: u64,
    pub spent: u64,
    pub denied: u64,
}

impl LocalQuota {
    pub fn new(now: f64, kind: Kind, total: u64, since_request_id: u64) -> LocalQuota {
        LocalQuota {
            kind,
            total,
            leases: [Lease::default(); POOLS],
            standing: QuotaState::Empty,
            tokens: 0.0,
            refreshed_at: now,
            in_flight: 0,
            lingering: std::collections::VecDeque::new(),
            wanted: 0.0,
            peak_in_use: 0.0,
            recent: 0.0,
            waiting: 0,
            sampled_at: now,
            since_request_id,
            denied_since_request: 0,
            spent: 0,
            denied: 0,
        }
    }

    /// Units that may be spent now, and until when.
    pub fn lease(&self, now: f64) -> (u64, f64) {
        let live = self.leases.iter().filter(|lease| now < lease.until && lease.amount > 0);
        let (sum, until) =
            live.fold((0, f64::INFINITY), |(sum, until), lease| (sum + lease.amount, lease.until.min(until)));
        (sum.min(self.total), until)
    }

    pub fn amounts(&self, now: f64) -> [u64; POOLS] {
        self.leases.map(|lease| if now < lease.until { lease.amount } else { 0 })
    }

    pub fn until(&self) -> [f64; POOLS] {
        self.leases.map(|lease| lease.until)
    }

    /// Every change of what it stands at; true if it changed.
    pub fn transition(&mut self, now: f64) -> bool {
        let [part, floor] = self.amounts(now);
        let next = match (part, floor) {
            (0, 0) => QuotaState::Empty,
            (0, _) => QuotaState::Floor,
            _ => QuotaState::Part,
        };
        std::mem::replace(&mut self.standing, next) != next
    }

    pub fn standing(&self) -> QuotaState {
        self.standing
    }

    /// Lets tokens come back up to now, and takes those away that the right no longer holds. Time that has passed counts
    /// by the least right of it: what ran out meanwhile earned nothing.
    fn refresh(&mut self, now: f64) {
        while self.lingering.front().is_some_and(|until| *until <= now) {
            self.lingering.pop_front();
        }
        if let Kind::Rate { every } = self.kind {
            let (lease, _) = self.lease(now);
            let earned = lease as f64 * (now - self.refreshed_at).max(0.0) / every;
            self.tokens = (self.tokens + earned).min(lease as f64);
        }
        self.refreshed_at = now.max(self.refreshed_at);
    }

    pub fn in_use(&self) -> u64 {
        self.in_flight + self.lingering.len() as u64
    }

    /// Spends a unit if there is one at this instant; the clock is to be read for this call.
    pub fn acquire(&mut self, now: f64) -> bool {
        self.refresh(now);
        self.wanted += 1.0;
        let (lease, _) = self.lease(now);
        let taken = match self.kind {
            Kind::Rate { .. } => self.tokens >= 1.0,
            Kind::Concurrency { .. } => self.in_use() < lease,
        };
        if taken {
            self.spent += 1;
            match self.kind {
                Kind::Rate { .. } => self.tokens -= 1.0,
                Kind::Concurrency { .. } => self.in_flight += 1,
            }
        } else {
            self.denied_since_request += 1;
            self.denied += 1;
        }
        let use_now = self.in_use() as f64 + self.denied_since_request as f64;
        self.peak_in_use = self.peak_in_use.max(use_now);
        taken
    }

    /// Whether a unit could be had now, without having it.
    pub fn is_available(&mut self, now: f64) -> bool {
        self.refresh(now);
        match self.kind {
            Kind::Rate { .. } => self.tokens >= 1.0,
            Kind::Concurrency { .. } => self.in_use() < self.lease(now).0,
        }
    }

    /// Something waits for a unit that this purse has not; asks for as many as that.
    pub fn note_waiting(&mut self, units: u64) {
        self.denied_since_request = self.denied_since_request.max(units);
        self.waiting = self.waiting.max(units);
        self.peak_in_use = self.peak_in_use.max((self.in_use() + units) as f64);
    }

    /// Units in use that are counted out to their hold, as it is not known whether they are over.
    pub fn lingering(&self) -> u64 {
        self.lingering.len() as u64
    }

    /// Tokens of a rate that are there now.
    pub fn tokens(&mut self, now: f64) -> f64 {
        self.refresh(now);
        self.tokens
    }

    /// A thing in hand has ended; `proved` if it is known to be over where it ran, else it counts for the whole hold, as
    /// what was given up may be running still.
    pub fn release(&mut self, now: f64, confirmed: bool) {
        let Kind::Concurrency { hold } = self.kind else { return };
        self.in_flight = self.in_flight.saturating_sub(1);
        if !confirmed {
            self.lingering.push_back(now + hold);
        }
    }

    /// Units it could use, by what was wanted of late, with some room; zero where nothing was.
    pub fn demand(&mut self, now: f64) -> u64 {
        self.refresh(now);
        let span = now - self.sampled_at;
        if span >= SAMPLE_PERIOD / 2.0 {
            let recent = match self.kind {
                Kind::Rate { every } => self.wanted * every / span,
                Kind::Concurrency { .. } => self.peak_in_use,
            };
            let weight = (span / SAMPLE_PERIOD).min(1.0);
            // What grows is asked for at once, what falls is given back over a look or two.
            self.recent = recent.max(self.recent + weight * (recent - self.recent));
            (self.wanted, self.peak_in_use, self.sampled_at) = (0.0, self.in_use() as f64, now);
        }
        self.denied_since_request = 0;
        let asked = self.recent.max((self.in_use() + std::mem::take(&mut self.waiting)) as f64);
        if asked < 0.01 { 0 } else { (asked * HEADROOM).max(asked.ceil()) as u64 }
    }

    pub fn used(&mut self, now: f64) -> u64 {
        self.refresh(now);
        self.in_use()
    }

    /// What to say of the own rights to a keeper of that tenure.
    pub fn report(&self, now: f64, term: Ballot) -> [HeldQuota; POOLS] {
        let amounts = self.amounts(now);
        [DEMAND_POOL, FLOOR_POOL].map(|pool| {
            let lease = self.leases[pool];
            let serial = if lease.term == term { lease.serial } else { 0 };
            HeldQuota { amount: amounts[pool], serial }
        })
    }

    /// Goes by a grant, if it is newer than what it goes by; `asked` says which question it answers and when that left,
    /// and `leases` are counted short. True if it has less now than before, which the keeper is to be told.
    pub fn apply_grant(
        &mut self,
        now: f64,
        term: Ballot,
        grant: &Grant,
        asked: (u64, f64),
        leases: [f64; POOLS],
    ) -> bool {
        let (request_id, asked_at) = asked;
        let last = self.leases[DEMAND_POOL];
        if request_id <= self.since_request_id || (term, grant.serial) <= (last.term, last.serial) {
            return false;
        }
        self.refresh(now);
        let before = self.amounts(now);
        for (pool, lease) in self.leases.iter_mut().enumerate() {
            let (amount, until) = (grant.amounts[pool], asked_at + leases[pool]);
            *lease = Lease { amount, until, serial: grant.serial, term };
        }
        let less = self.amounts(now).iter().zip(before).any(|(after, before)| *after < before);
        self.refresh(now);
        less
    }

    /// Gives all rights back, for good.
    pub fn release_all(&mut self, now: f64) {
        self.drop_leases(now, u64::MAX);
    }

    /// Goes by no right any more, until one that answers a question after that one. What is in hand stays so.
    pub fn drop_leases(&mut self, now: f64, since_request_id: u64) {
        self.leases = [Lease::default(); POOLS];
        self.since_request_id = since_request_id;
        self.refresh(now);
    }

    pub fn set_total(&mut self, now: f64, total: u64) {
        self.total = total;
        self.refresh(now);
    }

    pub fn total(&self) -> u64 {
        self.total
    }

    /// Nothing is held or in use, and nothing was wanted for a while.
    pub fn is_idle(&mut self, now: f64) -> bool {
        self.refresh(now);
        self.in_use() == 0 && self.recent < 0.01 && now > self.sampled_at + 20.0 * SAMPLE_PERIOD
    }
}
