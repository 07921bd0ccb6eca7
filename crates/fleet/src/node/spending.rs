//! Acquires and releases units of this process's quotas, and sets the demand that it requests.

use super::FleetNode;
use crate::local_quota::LocalQuota;
use crate::quota_ledger::BudgetKey;
use crate::settings::BudgetTotal;

impl FleetNode {
    /// Acquires a unit; returns false if none is available. `now` must be read from the clock for this call.
    #[must_use]
    pub fn acquire(&mut self, now: f64, key: BudgetKey) -> bool {
        let quota = self.quota_client.track(now, &self.config, key);
        let acquired = quota.is_some_and(|quota| quota.acquire(now));
        if !acquired {
            self.quota_client.request_soon(now, &self.config);
        }
        acquired
    }

    /// Releases a unit of a concurrency budget; see [`LocalQuota::release`].
    pub fn release(&mut self, now: f64, key: BudgetKey, confirmed: bool) {
        if let Some(quota) = self.quota_client.quota_mut(key) {
            quota.release(now, confirmed);
        }
    }

    /// Returns whether a unit could be acquired now.
    pub fn is_available(&mut self, now: f64, key: BudgetKey) -> bool {
        let quota = self.quota_client.track(now, &self.config, key);
        quota.is_some_and(|quota| quota.is_available(now))
    }

    /// Records that callers wait for `units` units beyond those in use, and requests them.
    pub fn record_waiting(&mut self, now: f64, key: BudgetKey, units: u64) {
        if let Some(quota) = self.quota_client.track(now, &self.config, key) {
            quota.record_waiting(units);
            self.quota_client.request_soon(now, &self.config);
        }
    }

    /// Starts requesting units of a budget before any is needed.
    pub fn track(&mut self, now: f64, key: BudgetKey) {
        let _ = self.quota_client.track(now, &self.config, key);
    }

    /// Returns the units that may be in use now.
    pub fn spendable(&self, now: f64, key: BudgetKey) -> u64 {
        self.quota_client.quota(key).map_or(0, |quota| quota.spendable(now))
    }

    /// Returns the units that are in use now.
    pub fn in_use(&mut self, now: f64, key: BudgetKey) -> u64 {
        self.quota_client.quota_mut(key).map_or(0, |quota| quota.in_use_at(now))
    }

    /// Returns the units in use by abandoned operations whose end is not confirmed.
    pub fn unconfirmed_in_use(&self, key: BudgetKey) -> u64 {
        self.quota_client.quota(key).map_or(0, LocalQuota::unconfirmed_in_use)
    }

    /// Returns the tokens of a rate budget that can be spent now.
    pub fn tokens(&mut self, now: f64, key: BudgetKey) -> f64 {
        let quota = self.quota_client.track(now, &self.config, key);
        quota.map_or(0.0, |quota| quota.tokens(now))
    }

    /// Changes totals after the settings were reloaded. The other settings cannot change: see
    /// [`FleetConfig::shared_settings_hash`](crate::settings::FleetConfig::shared_settings_hash).
    pub fn set_totals(&mut self, now: f64, totals: &[BudgetTotal]) {
        for BudgetTotal { id, total } in totals.iter().copied() {
            for budget in self.config.budgets.iter_mut().filter(|budget| budget.id == id) {
                budget.total = total;
            }
            self.quota_client.set_total(now, id, total);
        }
        // Reports the new totals to the leader at once, not with the next regular request.
        self.quota_client.request_now(now);
    }
}
