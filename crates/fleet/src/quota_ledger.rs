//! The leader's record of the units that every router may spend, and the grants that follow from it.
//!
//! Why the sum stays within the total: a lease is counted until the leader's own time for it is over, or until its holder
//! has reported that it goes by a newer grant. Operations in flight are counted for their holder even when its lease is
//! over. A new leader knows nothing of what its predecessor granted. Until all of that must be over it only renews what
//! each holder reports that it holds *now*, in a request that names the new term: all of that is still in the
//! predecessor's ledger, to which nothing is added any more, so the old leases and their renewals together stay within
//! the total.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::allocation::{Demand, allocate};
use crate::election::Ballot;
use crate::settings::{Budget, FleetConfig, Process};

/// Accounts that are kept at most, some forty megabytes. Requests beyond them are refused.
const ACCOUNTS_AT_MOST: usize = 200_000;
/// An account of which nothing is outstanding is kept so many leases after its holder was last heard.
const IDLE_LEASES: f64 = 2.0;

/// One value for each of the two pools that a budget is divided into.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pools<T> {
    /// Of the pool that is divided by demand.
    pub demand: T,
    /// Of the pool that is reserved for floors.
    pub floor: T,
}

impl<T> Pools<T> {
    /// The same function applied to both values.
    pub fn map<U>(self, mut each: impl FnMut(T) -> U) -> Pools<U> {
        Pools { demand: each(self.demand), floor: each(self.floor) }
    }
}

impl Pools<u64> {
    /// Units of both pools.
    pub fn sum(self) -> u64 {
        self.demand + self.floor
    }
}

/// Names a budget, and its subject where there is one budget for each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BudgetKey {
    /// The budget's id.
    pub budget: u64,
    /// The label of the subject; zero where there is none.
    pub subject: u64,
}

/// What a holder reports of its lease of one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldQuota {
    /// Units; zero once the lease is over.
    pub units: u64,
    /// The newest grant that it goes by; zero if that was made in an earlier term, or never.
    pub serial: u64,
}

/// What a holder asks for of one budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetRequest {
    /// The budget.
    pub key: BudgetKey,
    /// The total by the holder's own settings.
    pub total: u64,
    /// Units that it could use.
    pub demand: u64,
    /// Units that it has in use.
    pub in_use: u64,
    /// What it holds now.
    pub held: Pools<HeldQuota>,
}

/// Units that a holder may spend, in place of all that was granted to it before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The budget.
    pub key: BudgetKey,
    /// The total that was divided.
    pub total: u64,
    /// Units of each pool.
    pub units: Pools<u64>,
    /// Numbers the grants of a term.
    pub serial: u64,
}

/// Why nothing was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// No budget of this id is in the leader's settings.
    #[error("no budget has the id {0:016x}")]
    UnknownBudget(u64),
    /// The ledger is full.
    #[error("the ledger holds {ACCOUNTS_AT_MOST} accounts, which is its limit")]
    LedgerFull,
    /// The request was overtaken by a later one of the same holder.
    #[error("request {0} came after a later one")]
    OutOfOrder(u64),
}

/// One holder's part of one budget, for operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LedgerLine {
    /// The budget.
    pub key: BudgetKey,
    /// Who holds it.
    pub holder: Process,
    /// Units that it may have in use, by pool.
    pub outstanding: Pools<u64>,
    /// Units that it reported to be in use.
    pub in_use: u64,
    /// Units that it could use.
    pub demand: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Lease {
    units: u64,
    expires_at: f64,
}

impl Lease {
    fn units_at(self, now: f64) -> u64 {
        if now < self.expires_at { self.units } else { 0 }
    }
}

/// What one holder may have of one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct PoolAccount {
    /// What the holder goes by, as it last reported.
    reported: Lease,
    /// The most of what was granted since; the holder may go by it already.
    granted: Lease,
}

impl PoolAccount {
    fn outstanding(&self, now: f64) -> u64 {
        self.reported.units_at(now).max(self.granted.units_at(now))
    }

    /// A holder that goes by the newest grant goes by no older one again, so all of those are over.
    fn confirm(&mut self, held: HeldQuota, newest_serial: u64) {
        if held.serial >= newest_serial {
            let expires_at = self.granted.expires_at.max(self.reported.expires_at);
            self.reported = Lease { units: held.units, expires_at };
            self.granted = Lease::default();
        }
    }

    fn record_grant(&mut self, now: f64, units: u64, expires_at: f64) {
        self.granted = Lease { units: self.granted.units_at(now).max(units), expires_at };
    }
}

/// One holder's part of one budget.
#[derive(Clone, Debug, Default, PartialEq)]
struct Account {
    pools: Pools<PoolAccount>,
    /// Units in use, which count even when no lease covers them.
    in_use: Lease,
    demand: u64,
    total: u64,
    /// The last grant, and the request that it answered.
    serial: u64,
    request_id: u64,
    /// The last grant with a unit of the demand pool.
    last_served: u64,
    heard_at: f64,
}

impl Account {
    /// Units that this holder may have in use. Units in use beyond its floor count with the demand pool, as a lease that
    /// is over leaves operations in flight.
    fn outstanding(&self, now: f64) -> Pools<u64> {
        let leased = self.pools.map(|pool| pool.outstanding(now));
        let beyond_floor = self.in_use.units_at(now).saturating_sub(leased.floor);
        Pools { demand: leased.demand.max(beyond_floor), floor: leased.floor }
    }

    fn record_request(
        &mut self,
        now: f64,
        request_id: u64,
        request: &BudgetRequest,
        hold: f64,
    ) -> Result<(), RequestError> {
        if request_id <= self.request_id {
            return Err(RequestError::OutOfOrder(request_id));
        }
        (self.request_id, self.heard_at) = (request_id, now);
        (self.demand, self.total) = (request.demand, request.total);
        self.pools.demand.confirm(request.held.demand, self.serial);
        self.pools.floor.confirm(request.held.floor, self.serial);
        // What is in use now ends within the hold; what begins from now on is within the lease, which counts itself.
        self.in_use = Lease { units: request.in_use, expires_at: now + hold };
        Ok(())
    }

    fn record_grant(&mut self, now: f64, serial: u64, units: Pools<u64>, expires_at: Pools<f64>) {
        self.pools.demand.record_grant(now, units.demand, expires_at.demand);
        self.pools.floor.record_grant(now, units.floor, expires_at.floor);
        self.serial = serial;
        if units.demand > 0 {
            self.last_served = serial;
        }
    }

    /// The holder spends nothing more; what it has in flight ends within the hold.
    fn record_leaving(&mut self, now: f64, request_id: u64, hold: f64) {
        // A request that was sent before and comes later would report fewer units in use.
        self.request_id = self.request_id.max(request_id);
        // What it began since its last report was within its leases.
        let units = self.outstanding(now).sum();
        self.pools = Pools::default();
        self.in_use = Lease { units, expires_at: now + hold };
        (self.demand, self.heard_at) = (0, f64::NEG_INFINITY);
    }
}

type Accounts = BTreeMap<Process, Account>;

/// The ledger of one term of one leader.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaLedger {
    term: Ballot,
    opened_at: f64,
    /// By budget and holder.
    accounts: BTreeMap<BudgetKey, Accounts>,
    account_count: usize,
    last_serial: u64,
    swept_at: f64,
}

impl QuotaLedger {
    /// An empty ledger of a term that begins now.
    pub fn new(now: f64, term: Ballot) -> QuotaLedger {
        QuotaLedger {
            term,
            opened_at: now,
            accounts: BTreeMap::new(),
            account_count: 0,
            last_serial: 0,
            swept_at: now,
        }
    }

    /// The term that it belongs to.
    pub fn term(&self) -> Ballot {
        self.term
    }

    /// When everything that an earlier leader granted for `lease` seconds must be over. Until then leases are renewed
    /// and none grows.
    pub fn settled_at(&self, lease: f64, hold: f64) -> f64 {
        self.opened_at + lease + hold
    }

    /// Records what a holder reports and grants what there is for it.
    ///
    /// The holder has to name this ledger's term in its request: what it reports was then in the predecessor's ledger
    /// when this term began, and is no older. `request_id` grows with each request of a holder.
    ///
    /// # Errors
    /// [`RequestError`]; nothing is granted, and what was granted before stays.
    pub fn request(
        &mut self,
        now: f64,
        config: &FleetConfig,
        holder: &Process,
        request_id: u64,
        request: &BudgetRequest,
    ) -> Result<Grant, RequestError> {
        let id = request.key.budget;
        let budget = config.budget(id).ok_or(RequestError::UnknownBudget(id))?;
        self.sweep(now, config);
        self.open_account(request.key, holder)?;
        let hold = budget.kind.hold();
        let leases = Pools { demand: config.lease, floor: config.floor_lease };
        let settled = leases.map(|lease| now >= self.settled_at(lease, hold));
        let accounts = self.accounts.entry(request.key).or_default();
        let account = accounts.entry(holder.clone()).or_default();
        account.record_request(now, request_id, request, hold)?;
        let division = Division { now, config, budget, accounts };
        let total = division.total();
        let units = division.grant(total, holder, request.held, settled);
        self.last_serial += 1;
        let serial = self.last_serial;
        let granted = accounts.entry(holder.clone()).or_default();
        granted.record_grant(now, serial, units, leases.map(|lease| now + lease + hold));
        Ok(Grant { key: request.key, total, units, serial })
    }

    fn open_account(&mut self, key: BudgetKey, holder: &Process) -> Result<(), RequestError> {
        if self.accounts.get(&key).is_some_and(|accounts| accounts.contains_key(holder)) {
            return Ok(());
        }
        if self.account_count >= ACCOUNTS_AT_MOST {
            return Err(RequestError::LedgerFull);
        }
        self.account_count += 1;
        self.accounts.entry(key).or_default().insert(holder.clone(), Account::default());
        Ok(())
    }

    /// Records that a holder has left.
    pub fn holder_left(&mut self, now: f64, holder: &Process, request_id: u64, config: &FleetConfig) {
        for (key, accounts) in &mut self.accounts {
            let hold = config.budget(key.budget).map_or(0.0, |budget| budget.kind.hold());
            if let Some(account) = accounts.get_mut(holder) {
                account.record_leaving(now, request_id, hold);
            }
        }
    }

    /// Once in a lease, drops accounts of which nothing is outstanding and whose holder is silent.
    fn sweep(&mut self, now: f64, config: &FleetConfig) {
        if now < self.swept_at + config.lease {
            return;
        }
        self.swept_at = now;
        for accounts in self.accounts.values_mut() {
            accounts.retain(|_, account| {
                account.outstanding(now).sum() > 0 || now < account.heard_at + IDLE_LEASES * config.lease
            });
        }
        self.accounts.retain(|_, accounts| !accounts.is_empty());
        self.account_count = self.accounts.values().map(BTreeMap::len).sum();
    }

    /// Units of a budget that all holders together may have in use.
    pub fn outstanding(&self, now: f64, key: BudgetKey) -> u64 {
        let accounts = self.accounts.get(&key).into_iter().flat_map(BTreeMap::values);
        accounts.map(|account| account.outstanding(now).sum()).sum()
    }

    /// Every holder's part of every budget.
    pub fn lines(&self, now: f64) -> Vec<LedgerLine> {
        let mut lines = Vec::with_capacity(self.account_count);
        for (key, accounts) in &self.accounts {
            lines.extend(accounts.iter().map(|(holder, account)| LedgerLine {
                key: *key,
                holder: holder.clone(),
                outstanding: account.outstanding(now),
                in_use: account.in_use.units_at(now),
                demand: account.demand,
            }));
        }
        lines
    }
}

/// One division of one budget among its holders.
struct Division<'a> {
    now: f64,
    config: &'a FleetConfig,
    budget: &'a Budget,
    accounts: &'a Accounts,
}

impl Division<'_> {
    /// Members whose settings differ go by the smallest total of those that are heard.
    fn total(&self) -> u64 {
        let heard = self.accounts.values().filter(|account| self.is_heard(account));
        heard.fold(self.budget.total, |total, account| total.min(account.total))
    }

    /// Units for that holder: its share, and no more than all others leave. Until a pool has settled, what it reports to
    /// hold takes the place of its share.
    fn grant(
        &self,
        total: u64,
        holder: &Process,
        held: Pools<HeldQuota>,
        settled: Pools<bool>,
    ) -> Pools<u64> {
        let own = self.accounts.get(holder).map_or_else(Pools::default, |own| own.outstanding(self.now));
        let others = self.outstanding_of_others(holder);
        let free = total.saturating_sub(others.sum());
        let reserved = self.config.reserved_for_floors(self.budget).min(total);
        let shared = total - reserved;
        let floor = if settled.floor { self.budget.floor } else { held.floor.units };
        let floor = floor.min(reserved.saturating_sub(others.floor)).min(free.saturating_sub(own.demand));
        let share = if settled.demand { self.fair_share(holder, shared) } else { held.demand.units };
        let share = share.min(shared.saturating_sub(others.demand));
        Pools { demand: share.min(free.saturating_sub(own.floor.max(floor))), floor }
    }

    fn outstanding_of_others(&self, holder: &Process) -> Pools<u64> {
        let others = self.accounts.iter().filter(|(other, _)| *other != holder);
        others.fold(Pools::default(), |sum, (_, account)| {
            let outstanding = account.outstanding(self.now);
            Pools { demand: sum.demand + outstanding.demand, floor: sum.floor + outstanding.floor }
        })
    }

    /// The holder's share by demand, among all that are heard.
    fn fair_share(&self, holder: &Process, shared: u64) -> u64 {
        let demand = |account: &Account| Demand {
            units: if self.is_heard(account) { account.demand } else { 0 },
            last_served: account.last_served,
        };
        let demands: Vec<Demand> = self.accounts.values().map(demand).collect();
        let index = self.accounts.keys().position(|other| other == holder);
        index.map_or(0, |index| allocate(shared, &demands)[index])
    }

    fn is_heard(&self, account: &Account) -> bool {
        self.now < account.heard_at + self.config.lease
    }
}
