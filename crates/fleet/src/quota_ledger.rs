//! The leader's record of the units that each router may spend, and the grants that follow from it.
//!
//! The sum of all routers' units stays within the total for these reasons. A lease is counted until it expires by the
//! leader's own clock, or until its holder has reported that it uses a newer grant. Operations in flight are counted for
//! their holder even after its lease has expired. A new leader has no record of its predecessor's grants. Until all of
//! them must have expired, it only renews the units that each holder reports to hold *now*, in a request that names the
//! new term. All of these units are still in the predecessor's ledger, to which no more are added, so the old leases and
//! their renewals together stay within the total.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::allocation::{Demand, allocate};
use crate::election::Ballot;
use crate::settings::{Budget, FleetConfig, Process};

/// Largest number of accounts, which take about 40 MB. Requests that need another account are refused.
const MAX_ACCOUNTS: usize = 200_000;
/// Leases after its holder's last request for which an account without outstanding units is kept.
const IDLE_ACCOUNT_RETENTION_LEASES: f64 = 2.0;

/// One value for each of the two pools that a budget is divided into.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pools<T> {
    /// The value for the pool that is divided by demand.
    pub demand: T,
    /// The value for the pool that is reserved for floors.
    pub floor: T,
}

impl<T> Pools<T> {
    /// Applies a function to both values.
    pub fn map<U>(self, mut each: impl FnMut(T) -> U) -> Pools<U> {
        Pools { demand: each(self.demand), floor: each(self.floor) }
    }
}

impl Pools<u64> {
    /// Returns the units of both pools together.
    pub fn sum(self) -> u64 {
        self.demand + self.floor
    }
}

/// Identifies a budget, and its subject if the budget applies separately to each subject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BudgetKey {
    /// The budget's id.
    pub budget: u64,
    /// The [`name_hash`](crate::settings::name_hash) of the subject; zero if the budget has none.
    pub subject: u64,
}

/// A holder's report of its lease of one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldQuota {
    /// Units held; zero once the lease has expired.
    pub units: u64,
    /// Serial of the newest grant that the holder uses; zero if there is none, or if it was made in an earlier term.
    pub serial: u64,
}

/// A holder's report and request for one budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetRequest {
    /// The budget.
    pub key: BudgetKey,
    /// The total in the holder's own settings.
    pub total: u64,
    /// Units that the holder could use.
    pub demand: u64,
    /// Units that the holder has in use.
    pub in_use: u64,
    /// Units that the holder has leases for now.
    pub held: Pools<HeldQuota>,
}

/// Units that a holder may spend. A grant replaces all earlier grants of its budget to the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The budget.
    pub key: BudgetKey,
    /// The total that was divided.
    pub total: u64,
    /// Units granted of each pool.
    pub units: Pools<u64>,
    /// Sequence number of the grant within its term.
    pub serial: u64,
}

/// Reason for which a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The leader's settings contain no budget with this id.
    #[error("no budget has the id {0:016x}")]
    UnknownBudget(u64),
    /// The ledger is full.
    #[error("the ledger is full: it holds {MAX_ACCOUNTS} accounts")]
    LedgerFull,
    /// A later request of the same holder arrived first.
    #[error("request {0} arrived after a later request of the same holder")]
    OutOfOrder(u64),
}

/// One holder's account of one budget, as shown to operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LedgerEntry {
    /// The budget.
    pub key: BudgetKey,
    /// The process that holds the units.
    pub holder: Process,
    /// Units that the holder may have in use, by pool.
    pub outstanding: Pools<u64>,
    /// Units that the holder reported to be in use.
    pub in_use: u64,
    /// Units that the holder could use.
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

/// Units that one holder may have of one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct PoolAccount {
    /// The lease that the holder last reported to use.
    reported: Lease,
    /// The largest number of units granted since then, which the holder may already use.
    granted: Lease,
}

impl PoolAccount {
    fn outstanding(&self, now: f64) -> u64 {
        self.reported.units_at(now).max(self.granted.units_at(now))
    }

    /// Records the lease that the holder reports. Drops the earlier leases once the holder uses the newest grant, because
    /// it never returns to an older one.
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

/// One holder's account of one budget.
#[derive(Clone, Debug, Default, PartialEq)]
struct Account {
    pools: Pools<PoolAccount>,
    /// Units in use, which are counted even if no lease covers them.
    in_use: Lease,
    demand: u64,
    total: u64,
    /// Serial of the last grant.
    serial: u64,
    /// The last request.
    request_id: u64,
    /// Serial of the last grant that contained a unit of the demand pool.
    last_served: u64,
    last_request_at: f64,
}

impl Account {
    /// Returns the units that this holder may have in use. Units in use beyond its floor count towards the demand pool,
    /// because operations may stay in flight after their lease has expired.
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
        (self.request_id, self.last_request_at) = (request_id, now);
        (self.demand, self.total) = (request.demand, request.total);
        self.pools.demand.confirm(request.held.demand, self.serial);
        self.pools.floor.confirm(request.held.floor, self.serial);
        // Operations in use now end within `hold`. Those that begin later are covered by the lease, which is counted
        // separately.
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

    /// Records that the holder spends no more units. Its operations in flight end within `hold` seconds.
    fn record_leave(&mut self, now: f64, request_id: u64, hold: f64) {
        // Rejects requests that were sent earlier and arrive later, which would report fewer units in use.
        self.request_id = self.request_id.max(request_id);
        // Operations that began since the last report are covered by the holder's leases.
        let units = self.outstanding(now).sum();
        self.pools = Pools::default();
        self.in_use = Lease { units, expires_at: now + hold };
        (self.demand, self.last_request_at) = (0, f64::NEG_INFINITY);
    }
}

type Accounts = BTreeMap<Process, Account>;

/// The ledger of one leader's term.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaLedger {
    term: Ballot,
    opened_at: f64,
    /// Accounts by budget and holder.
    accounts: BTreeMap<BudgetKey, Accounts>,
    account_count: usize,
    last_serial: u64,
    last_sweep_at: f64,
}

impl QuotaLedger {
    /// Creates an empty ledger for a term that begins now.
    pub fn new(now: f64, term: Ballot) -> QuotaLedger {
        QuotaLedger {
            term,
            opened_at: now,
            accounts: BTreeMap::new(),
            account_count: 0,
            last_serial: 0,
            last_sweep_at: now,
        }
    }

    /// Returns the term that this ledger belongs to.
    pub fn term(&self) -> Ballot {
        self.term
    }

    /// Returns when all grants of earlier leaders for `lease` seconds must have ended, along with their operations, which
    /// may last `hold` seconds longer. Until then leases are renewed but not increased.
    pub fn settled_at(&self, lease: f64, hold: f64) -> f64 {
        self.opened_at + lease + hold
    }

    /// Records a holder's report and grants the units available to it.
    ///
    /// The holder has to name this ledger's term in its request. This ensures that the units it reports were in the
    /// predecessor's ledger when this term began, and that the report is no older. `request_id` increases with each
    /// request of a holder.
    ///
    /// # Errors
    /// Returns a [`RequestError`] if nothing is granted; earlier grants stay valid.
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
        let hold = budget.kind.hold_seconds();
        let leases = Pools { demand: config.lease_seconds, floor: config.floor_lease_seconds };
        let settled = leases.map(|lease| now >= self.settled_at(lease, hold));
        let accounts = self.accounts.entry(request.key).or_default();
        let account = accounts.entry(holder.clone()).or_default();
        account.record_request(now, request_id, request, hold)?;
        let division = BudgetDivision { now, config, budget, accounts };
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
        if self.account_count >= MAX_ACCOUNTS {
            return Err(RequestError::LedgerFull);
        }
        self.account_count += 1;
        self.accounts.entry(key).or_default().insert(holder.clone(), Account::default());
        Ok(())
    }

    /// Records that a holder has left.
    pub fn holder_left(&mut self, now: f64, holder: &Process, request_id: u64, config: &FleetConfig) {
        for (key, accounts) in &mut self.accounts {
            let hold = config.budget(key.budget).map_or(0.0, |budget| budget.kind.hold_seconds());
            if let Some(account) = accounts.get_mut(holder) {
                account.record_leave(now, request_id, hold);
            }
        }
    }

    /// Removes accounts that have no outstanding units and whose holder has stopped sending requests; runs at most once
    /// in a lease.
    fn sweep(&mut self, now: f64, config: &FleetConfig) {
        if now < self.last_sweep_at + config.lease_seconds {
            return;
        }
        self.last_sweep_at = now;
        for accounts in self.accounts.values_mut() {
            accounts.retain(|_, account| {
                account.outstanding(now).sum() > 0
                    || now < account.last_request_at + IDLE_ACCOUNT_RETENTION_LEASES * config.lease_seconds
            });
        }
        self.accounts.retain(|_, accounts| !accounts.is_empty());
        self.account_count = self.accounts.values().map(BTreeMap::len).sum();
    }

    /// Returns the units of a budget that all holders together may have in use.
    pub fn outstanding(&self, now: f64, key: BudgetKey) -> u64 {
        let accounts = self.accounts.get(&key).into_iter().flat_map(BTreeMap::values);
        accounts.map(|account| account.outstanding(now).sum()).sum()
    }

    /// Returns every holder's account of every budget.
    pub fn entries(&self, now: f64) -> Vec<LedgerEntry> {
        let mut entries = Vec::with_capacity(self.account_count);
        for (key, accounts) in &self.accounts {
            entries.extend(accounts.iter().map(|(holder, account)| LedgerEntry {
                key: *key,
                holder: holder.clone(),
                outstanding: account.outstanding(now),
                in_use: account.in_use.units_at(now),
                demand: account.demand,
            }));
        }
        entries
    }
}

/// The inputs for dividing one budget among its holders.
struct BudgetDivision<'a> {
    now: f64,
    config: &'a FleetConfig,
    budget: &'a Budget,
    accounts: &'a Accounts,
}

impl BudgetDivision<'_> {
    /// Returns the total to divide: the smallest one in the settings of the leader and of all active holders.
    fn total(&self) -> u64 {
        let active = self.accounts.values().filter(|account| self.is_active(account));
        active.fold(self.budget.total, |total, account| total.min(account.total))
    }

    /// Returns the units for `holder`: its share, limited to the units that all other holders leave. Until a pool has
    /// settled, the units that the holder reports to hold are used in place of its share.
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

    /// Returns the holder's share by demand among all active holders.
    fn fair_share(&self, holder: &Process, shared: u64) -> u64 {
        let demand = |account: &Account| Demand {
            units: if self.is_active(account) { account.demand } else { 0 },
            last_served: account.last_served,
        };
        let demands: Vec<Demand> = self.accounts.values().map(demand).collect();
        let index = self.accounts.keys().position(|other| other == holder);
        index.map_or(0, |index| allocate(shared, &demands)[index])
    }

    /// Whether the account's holder has sent a request within the last lease.
    fn is_active(&self, account: &Account) -> bool {
        self.now < account.last_request_at + self.config.lease_seconds
    }
}
