//! The keeper's books: what is out of each budget, and who may have how much of it.
//!
//! What the sum rests on: a right is accounted for until the keeper's own count of its lease is over, or until its
//! holder has said that it goes by a newer one. Units that a holder still has in hand are its own whatever its
//! right. A keeper that is new knows nothing of what the one before granted; until all of that is over it only
//! goes on with what each holder says that it holds *now*, in answer to the new tenure: as all of that is still on
//! the old keeper's books, which nobody adds to, the old rights and what continues them never exceed the whole.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::allocation::allocate;
use crate::election::Ballot;
use crate::settings::{FleetConfig, Process};

/// Each budget is kept in two pots: what is divided by demand, and what is set aside for floors.
pub const POOLS: usize = 2;
pub const DEMAND_POOL: usize = 0;
pub const FLOOR_POOL: usize = 1;

/// What a holder says of a right of its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldQuota {
    /// Units, zero once its time is over.
    pub amount: u64,
    /// The newest grant that it goes by; zero where that came in an earlier tenure, or never.
    pub serial: u64,
}

/// What a holder asks for, budget by budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    pub budget: u64,
    pub subject: u64,
    /// The whole by the holder's own file.
    pub total: u64,
    /// Units that it could spend.
    pub demand: u64,
    /// Units that it has in hand.
    pub in_use: u64,
    pub held: [HeldQuota; POOLS],
}

/// What is granted, in place of all that was granted before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    pub budget: u64,
    pub subject: u64,
    pub total: u64,
    pub amounts: [u64; POOLS],
    pub serial: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Lease {
    amount: u64,
    until: f64,
}

impl Lease {
    fn at(self, now: f64) -> u64 {
        if now < self.until { self.amount } else { 0 }
    }
}

/// One holder's part of one pot.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct PoolLease {
    /// What it goes by, as it said last.
    reported: Lease,
    /// The most of what was granted since, which it may go by already.
    granted: Lease,
}

impl PoolLease {
    fn outstanding(&self, now: f64) -> u64 {
        self.reported.at(now).max(self.granted.at(now))
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Account {
    pools: [PoolLease; POOLS],
    /// In hand beyond any right.
    in_use: Lease,
    demand: u64,
    total: u64,
    /// The last grant, and the question that it answered.
    serial: u64,
    request_id: u64,
    /// When it last had a unit that others wanted as well.
    last_served: u64,
    heard_at: f64,
}

impl Account {
    /// Units of that pot that this holder may have in use. What it has in hand beyond its floor counts with what is
    /// divided by demand, as a right that has run out leaves things in hand.
    fn outstanding(&self, now: f64, pool: usize) -> u64 {
        let right = self.pools[pool].outstanding(now);
        match pool {
            DEMAND_POOL => {
                right.max(self.in_use.at(now).saturating_sub(self.pools[FLOOR_POOL].outstanding(now)))
            }
            _ => right,
        }
    }
}

/// A budget and its subject.
pub type BudgetKey = (u64, u64);

#[derive(Clone, Debug, PartialEq)]
pub struct QuotaLedger {
    term: Ballot,
    since: f64,
    /// By budget, subject and holder. An account goes once nothing of it is out and its holder is not heard of; no more
    /// than `ACCOUNTS` are kept.
    accounts: BTreeMap<BudgetKey, BTreeMap<Process, Account>>,
    count: usize,
    serial: u64,
    swept_at: f64,
}

/// Accounts that are kept at most: some forty megabytes of them. Whoever is beyond gets nothing.
const ACCOUNTS_AT_MOST: usize = 200_000;

/// One line of what is out, for operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LedgerLine {
    pub budget: u64,
    pub subject: u64,
    pub holder: Process,
    pub by_demand: u64,
    pub floor: u64,
    pub in_use: u64,
    pub demand: u64,
}

impl QuotaLedger {
    pub fn new(now: f64, term: Ballot) -> QuotaLedger {
        QuotaLedger { term, since: now, accounts: BTreeMap::new(), count: 0, serial: 0, swept_at: now }
    }

    pub fn term(&self) -> Ballot {
        self.term
    }

    /// What an earlier keeper granted may still be out for so long at the most; until then rights are continued and
    /// none grows.
    pub fn settled_at(&self, lease: f64, hold: f64) -> f64 {
        self.since + lease + hold
    }

    /// Takes in what a holder says and grants what there is for it. The holder has to have spoken in answer to this tenure
    /// (see [`Fleet`](crate::node::Fleet)): what it holds was then on the books when the tenure began, and what it
    /// says is no older than that. `nonce` grows with each of its questions; one that comes late is not heard.
    pub fn request(
        &mut self,
        now: f64,
        config: &FleetConfig,
        holder: &Process,
        request_id: u64,
        entry: &QuotaRequest,
    ) -> Option<Grant> {
        let budget = config.budget(entry.budget)?;
        let (key, hold) = ((entry.budget, entry.subject), budget.kind.hold());
        let leases = [config.lease, config.floor_lease];
        self.sweep(now, config);
        let known = self.accounts.get(&key).is_some_and(|holders| holders.contains_key(holder));
        if !known && self.count >= ACCOUNTS_AT_MOST {
            return None;
        }
        self.count += usize::from(!known);
        let settles = leases.map(|lease| self.settled_at(lease, hold));
        let holders = self.accounts.entry(key).or_default();
        let account = holders.entry(holder.clone()).or_default();
        if request_id <= account.request_id {
            return None;
        }
        (account.request_id, account.heard_at) = (request_id, now);
        (account.demand, account.total) = (entry.demand, entry.total);
        for (part, held) in account.pools.iter_mut().zip(entry.held) {
            if held.serial >= account.serial {
                // It goes by the last grant: all others are over, as it never goes back.
                let until = part.granted.until.max(part.reported.until);
                *part =
                    PoolLease { reported: Lease { amount: held.amount, until }, granted: Lease::default() };
            }
        }
        // What is in hand now ends within the hold; what is begun from now on is within the right, which counts itself.
        account.in_use = Lease { amount: entry.in_use, until: now + hold };
        let own = [account.outstanding(now, DEMAND_POOL), account.outstanding(now, FLOOR_POOL)];
        // Members whose files differ go by the smaller one, as far as they are heard of.
        let heard = holders.values().filter(|other| now < other.heard_at + config.lease);
        let total = heard.fold(budget.total, |total, other| total.min(other.total));
        let set_aside = config.set_aside(budget).min(total);
        let outstanding = |pool: usize| -> u64 {
            let others = holders.iter().filter(|(other, _)| *other != holder);
            others.map(|(_, account)| account.outstanding(now, pool)).sum()
        };
        let others = [outstanding(DEMAND_POOL), outstanding(FLOOR_POOL)];
        let free = total.saturating_sub(others[DEMAND_POOL] + others[FLOOR_POOL]);
        let settling = |pool: usize| now < settles[pool];
        let floor = if settling(FLOOR_POOL) { entry.held[FLOOR_POOL].amount } else { budget.floor };
        let floor = floor
            .min(set_aside.saturating_sub(others[FLOOR_POOL]))
            .min(free.saturating_sub(own[DEMAND_POOL]));
        let by_demand = total - set_aside;
        let part = if settling(DEMAND_POOL) {
            entry.held[DEMAND_POOL].amount
        } else {
            fair_share(now, config, holders, holder, by_demand)
        };
        let part = part.min(by_demand.saturating_sub(others[DEMAND_POOL]));
        let amounts = [part.min(free.saturating_sub(own[FLOOR_POOL].max(floor))), floor];
        self.serial += 1;
        let account = holders.get_mut(holder)?;
        for (pool, amount) in amounts.into_iter().enumerate() {
            let granted = &mut account.pools[pool].granted;
            *granted = Lease { amount: granted.at(now).max(amount), until: now + leases[pool] + hold };
        }
        account.serial = self.serial;
        if amounts[DEMAND_POOL] > 0 {
            account.last_served = self.serial;
        }
        let (budget, subject, serial) = (entry.budget, entry.subject, self.serial);
        Some(Grant { budget, subject, total, amounts, serial })
    }

    /// The holder has left and spends nothing more; what it has in hand ends in its own time.
    pub fn holder_left(&mut self, now: f64, holder: &Process, request_id: u64, config: &FleetConfig) {
        for ((id, _), holders) in &mut self.accounts {
            let hold = config.budget(*id).map_or(0.0, |budget| budget.kind.hold());
            if let Some(account) = holders.get_mut(holder) {
                // A question of before that comes later would count less than that.
                account.request_id = account.request_id.max(request_id);
                // What it began since it last spoke was within its rights.
                let amount = account.outstanding(now, DEMAND_POOL) + account.outstanding(now, FLOOR_POOL);
                account.pools = [PoolLease::default(); POOLS];
                account.in_use = Lease { amount, until: now + hold };
                (account.demand, account.heard_at) = (0, f64::NEG_INFINITY);
            }
        }
    }

    /// Drops accounts of which nothing is out and whose holder is silent.
    fn sweep(&mut self, now: f64, config: &FleetConfig) {
        if now < self.swept_at + config.lease {
            return;
        }
        self.swept_at = now;
        for holders in self.accounts.values_mut() {
            holders.retain(|_, account| {
                let outstanding =
                    account.outstanding(now, DEMAND_POOL) + account.outstanding(now, FLOOR_POOL);
                outstanding > 0 || now < account.heard_at + 2.0 * config.lease
            });
        }
        self.accounts.retain(|_, holders| !holders.is_empty());
        self.count = self.accounts.values().map(BTreeMap::len).sum();
    }

    /// Units that may be in use by all.
    pub fn outstanding(&self, now: f64, key: BudgetKey) -> u64 {
        let holders = self.accounts.get(&key);
        holders
            .into_iter()
            .flat_map(BTreeMap::values)
            .map(|a| a.outstanding(now, DEMAND_POOL) + a.outstanding(now, FLOOR_POOL))
            .sum()
    }

    pub fn lines(&self, now: f64) -> Vec<LedgerLine> {
        let holders = self.accounts.iter().flat_map(|(key, holders)| holders.iter().map(move |h| (key, h)));
        let line = |((budget, subject), (holder, account)): (&BudgetKey, (&Process, &Account))| LedgerLine {
            budget: *budget,
            subject: *subject,
            holder: holder.clone(),
            by_demand: account.outstanding(now, DEMAND_POOL),
            floor: account.outstanding(now, FLOOR_POOL),
            in_use: account.in_use.at(now),
            demand: account.demand,
        };
        holders.map(line).collect()
    }
}

/// The holder's fair part of what is divided by demand, among all that are heard of.
fn fair_share(
    now: f64,
    config: &FleetConfig,
    holders: &BTreeMap<Process, Account>,
    holder: &Process,
    total: u64,
) -> u64 {
    let live = |account: &Account| now < account.heard_at + config.lease;
    let asked: Vec<(u64, u64)> =
        holders.values().map(|a| (if live(a) { a.demand } else { 0 }, a.last_served)).collect();
    let index = holders.keys().position(|other| other == holder);
    index.map_or(0, |index| allocate(total, &asked)[index])
}
