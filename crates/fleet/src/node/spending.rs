//! What this process may spend: units acquired and released, and what is asked for.

use super::FleetNode;
use crate::local_quota::LocalQuota;
use crate::quota_ledger::BudgetKey;
use crate::settings::BudgetTotal;

impl FleetNode {
    /// Acquires a unit; false if there is none. `now` has to be read from the clock for this call.
    #[must_use]
    pub fn acquire(&mut self, now: f64, key: BudgetKey) -> bool {
        let quota = self.quota_client.track(now, &self.config, key);
        let acquired = quota.is_some_and(|quota| quota.acquire(now));
        if !acquired {
            self.quota_client.request_soon(now, &self.config);
        }
        acquired
    }

    /// Releases a unit of a concurrency limit; see [`LocalQuota::release`].
    pub fn release(&mut self, now: f64, key: BudgetKey, confirmed: bool) {
        if let Some(quota) = self.quota_client.quota_mut(key) {
            quota.release(now, confirmed);
        }
    }

    /// Whether a unit could be acquired now.
    pub fn is_available(&mut self, now: f64, key: BudgetKey) -> bool {
        let quota = self.quota_client.track(now, &self.config, key);
        quota.is_some_and(|quota| quota.is_available(now))
    }

    /// Notes that something waits for so many units beyond those in use, and asks for them.
    pub fn note_waiting(&mut self, now: f64, key: BudgetKey, units: u64) {
        if let Some(quota) = self.quota_client.track(now, &self.config, key) {
            quota.note_waiting(units);
            self.quota_client.request_soon(now, &self.config);
        }
    }

    /// Asks for units of a budget from now on, before any is needed.
    pub fn track(&mut self, now: f64, key: BudgetKey) {
        let _ = self.quota_client.track(now, &self.config, key);
    }

    /// Units that may be in use now.
    pub fn spendable(&self, now: f64, key: BudgetKey) -> u64 {
        self.quota_client.quota(key).map_or(0, |quota| quota.spendable(now))
    }

    /// Units that are in use now.
    pub fn in_use(&mut self, now: f64, key: BudgetKey) -> u64 {
        self.quota_client.quota_mut(key).map_or(0, |quota| quota.in_use_at(now))
    }

    /// Units in use whose end is not confirmed.
    pub fn lingering(&self, key: BudgetKey) -> u64 {
        self.quota_client.quota(key).map_or(0, LocalQuota::lingering)
    }

    /// Tokens of a rate that can be spent now.
    pub fn tokens(&mut self, now: f64, key: BudgetKey) -> f64 {
        let quota = self.quota_client.track(now, &self.config, key);
        quota.map_or(0.0, |quota| quota.tokens(now))
    }

    /// Changes totals after the settings were read again. The other settings stay: see
    /// [`FleetConfig::electorate`](crate::settings::FleetConfig::electorate).
    pub fn set_totals(&mut self, now: f64, totals: &[BudgetTotal]) {
        for BudgetTotal { id, total } in totals.iter().copied() {
            for budget in self.config.budgets.iter_mut().filter(|budget| budget.id == id) {
                budget.total = total;
            }
            self.quota_client.set_total(now, id, total);
        }
        // The leader is to hear of it now, not with the next request.
        self.quota_client.request_now(now);
    }
}
