//! This router's quota of the fleet's budgets: reporting it to the routing module, acquiring and releasing it.

use ottersill_config::fleet::BudgetKind;
use ottersill_fleet::membership::Presence;
use ottersill_fleet::node::FleetNode;
use ottersill_fleet::quota_ledger::BudgetKey;
use ottersill_fleet::settings::name_hash;
use ottersill_routing::interface::{EndpointQuota, FleetQuota};

use crate::discovery::registry::Endpoint;
use crate::fleet_link::demand::{AttemptQuotaRequest, FleetDemand};
use crate::fleet_link::{FleetLink, MembershipState};
use crate::reactor::Context;

impl FleetLink {
    /// Returns the quota that this router may spend now, for the routing module. Reports to the fleet what waits for more.
    pub fn update_quota(&mut self, demand: &FleetDemand, context: &mut Context) -> &FleetQuota {
        let now = context.clock.read();
        self.quota.endpoints.clear();
        for (index, endpoint) in demand.endpoints.iter() {
            let units = self.attempt_units(now, endpoint, demand);
            let tokens = self.warming_tokens(now, context.now(), index, demand);
            if units.is_some() || tokens.is_some() {
                self.quota.endpoints.push(EndpointQuota { endpoint: index, in_flight_quota: units, tokens });
            }
        }
        self.quota.routers = self.fleet().map(count_present_members);
        let retries = self.budget_key(BudgetKind::Retries, "");
        self.quota.retries = retries.map(|key| self.fleet().map_or(0.0, |fleet| fleet.tokens(now, key)));
        self.reset_timer(context);
        &self.quota
    }

    /// The number of attempts that this router may have in flight at an endpoint; none if no budget limits that.
    fn attempt_units(&mut self, now: f64, endpoint: &Endpoint, demand: &FleetDemand) -> Option<f64> {
        let key = self.budget_key(BudgetKind::AttemptsPerEndpoint, &endpoint.name)?;
        let Some(fleet) = self.fleet() else { return Some(0.0) };
        fleet.track(now, key);
        let waiting = demand.routing.waiting(endpoint.listed.group) as u64;
        if waiting > 0 && !fleet.is_available(now, key) {
            fleet.record_waiting(now, key, waiting);
        }
        let units = fleet.spendable(now, key).saturating_sub(fleet.unconfirmed_in_use(key));
        #[expect(clippy::cast_precision_loss, reason = "no budget has 2^52 units")]
        let units = units as f64;
        Some(units)
    }

    /// The number of attempts that this router may send to an endpoint that is warming up; none if it is warm, or if no budget
    /// limits that. Quota of an endpoint that has become warm is released once nothing requests it. `iteration_at` is the time
    /// of the event loop's iteration, which the routing module uses.
    fn warming_tokens(
        &mut self,
        now: f64,
        iteration_at: f64,
        endpoint: usize,
        demand: &FleetDemand,
    ) -> Option<f64> {
        let name = &demand.endpoints[endpoint].name;
        let key = self.budget_key(BudgetKind::AttemptsPerWarmingEndpoint, name)?;
        if !demand.routing.is_warming(iteration_at, endpoint) {
            return None;
        }
        let Some(fleet) = self.fleet() else { return Some(0.0) };
        let tokens = fleet.tokens(now, key);
        // No request waits for a warming endpoint while a warm one has room, so a router with any traffic requests a unit.
        if demand.requests_in_flight > 0 && tokens < 1.0 {
            fleet.record_waiting(now, key, 1);
        }
        Some(tokens)
    }

    /// Acquires the quota that an attempt needs, and returns whether it was available. `now` has to be read from the clock for
    /// this call.
    #[must_use]
    pub fn acquire_attempt(&mut self, now: f64, attempt: AttemptQuotaRequest) -> bool {
        if attempt.is_retry && !self.acquire(now, BudgetKind::Retries, "") {
            return false;
        }
        // A unit acquired from one budget is not returned if the next budget has none. Only this router lacks it for a while.
        (!attempt.is_warming || self.acquire(now, BudgetKind::AttemptsPerWarmingEndpoint, attempt.endpoint))
            && self.acquire(now, BudgetKind::AttemptsPerEndpoint, attempt.endpoint)
    }

    /// Releases the quota of an attempt at that endpoint; `proved` if the attempt is known to have ended.
    pub fn release_attempt(&mut self, now: f64, endpoint: &str, proved: bool) {
        let Some(key) = self.budget_key(BudgetKind::AttemptsPerEndpoint, endpoint) else { return };
        if let MembershipState::Joined { fleet, .. } = &mut self.state {
            fleet.release(now, key, proved);
            self.audit.record_release(fleet, now, key, proved);
        }
    }

    /// Acquires a unit of a budget, and returns whether one was available. `now` has to be read from the clock for this call.
    /// If there is no such budget, nothing is limited and the result is `true`.
    #[must_use]
    pub fn acquire(&mut self, now: f64, kind: BudgetKind, subject: &str) -> bool {
        let Some(key) = self.budget_key(kind, subject) else { return true };
        let MembershipState::Joined { fleet, .. } = &mut self.state else {
            self.refused += 1;
            return false;
        };
        let was_acquired = fleet.acquire(now, key);
        if was_acquired {
            self.audit.record_acquisition(fleet, now, key);
        }
        self.refused += u64::from(!was_acquired);
        was_acquired
    }

    /// The key of the budget of that kind, if there is one. The subject is the name of an endpoint; it is not used for a budget
    /// that applies to all endpoints.
    fn budget_key(&self, kind: BudgetKind, subject: &str) -> Option<BudgetKey> {
        let index = self.file.budget_kinds.iter().position(|configured| *configured == kind)?;
        let subject = if kind.is_per_endpoint() { name_hash(subject) } else { 0 };
        Some(BudgetKey { budget: self.file.fleet.budgets[index].id, subject })
    }
}

fn count_present_members(fleet: &mut FleetNode) -> usize {
    fleet.members().filter(|member| member.presence == Presence::Here).count()
}
