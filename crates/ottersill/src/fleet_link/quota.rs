//! The fleet's budgets: what of them is this router's, told to the routing module, spent and given back.

use ottersill_config::fleet::BudgetKind;
use ottersill_fleet::membership::Presence;
use ottersill_fleet::node::FleetNode;
use ottersill_fleet::quota_ledger::BudgetKey;
use ottersill_fleet::settings::label;
use ottersill_routing::interface::{EndpointQuota, FleetQuota};

use crate::discovery::registry::Endpoint;
use crate::fleet_link::demand::{AttemptQuota, FleetDemand};
use crate::fleet_link::{FleetLink, MembershipState};
use crate::reactor::Context;

impl FleetLink {
    /// What this router may spend now, for the routing module. Tells the fleet what waits for more.
    pub fn update_quota(&mut self, demand: &FleetDemand, context: &mut Context) -> &FleetQuota {
        let now = context.clock.read();
        self.quota.endpoints.clear();
        for (index, endpoint) in demand.endpoints.iter() {
            let units = self.attempt_units(now, endpoint, demand);
            let tokens = self.warming_tokens(now, context.now(), index, demand);
            if units.is_some() || tokens.is_some() {
                self.quota.endpoints.push(EndpointQuota { endpoint: index, units, tokens });
            }
        }
        self.quota.routers = self.fleet().map(present_members);
        let retries = self.budget_key(BudgetKind::Retries, "");
        self.quota.retries = retries.map(|key| self.fleet().map_or(0.0, |fleet| fleet.tokens(now, key)));
        self.reset_timer(context);
        &self.quota
    }

    /// How many attempts this router may have in flight at an endpoint; none where no budget limits that.
    fn attempt_units(&mut self, now: f64, endpoint: &Endpoint, demand: &FleetDemand) -> Option<f64> {
        let key = self.budget_key(BudgetKind::AttemptsPerEndpoint, &endpoint.name)?;
        let Some(fleet) = self.fleet() else { return Some(0.0) };
        fleet.track(now, key);
        let waiting = demand.routing.waiting(endpoint.listed.group) as u64;
        if waiting > 0 && !fleet.is_available(now, key) {
            fleet.note_waiting(now, key, waiting);
        }
        let units = fleet.spendable(now, key).saturating_sub(fleet.lingering(key));
        #[expect(clippy::cast_precision_loss, reason = "no budget has 2^52 units")]
        let units = units as f64;
        Some(units)
    }

    /// How many attempts this router may send to an endpoint that warms up; none where it is warm, or no budget limits that.
    /// What a warm one had of the budget is given back when nobody asks for it. `iteration_at` is the time by which the
    /// routing module judges.
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
        // Nothing waits for a warming endpoint as long as a warm one has room: who has traffic wants a share.
        if demand.requests_in_flight > 0 && tokens < 1.0 {
            fleet.note_waiting(now, key, 1);
        }
        Some(tokens)
    }

    /// Whether the fleet's budgets let an attempt go out now, and counts it if they do. `now` is read from the clock for this.
    #[must_use]
    pub fn acquire_attempt(&mut self, now: f64, attempt: AttemptQuota) -> bool {
        if attempt.is_retry && !self.acquire(now, BudgetKind::Retries, "") {
            return false;
        }
        // What is taken for one budget and not had of the next is lost to this router for a while, and to nobody else.
        (!attempt.is_warming || self.acquire(now, BudgetKind::AttemptsPerWarmingEndpoint, attempt.endpoint))
            && self.acquire(now, BudgetKind::AttemptsPerEndpoint, attempt.endpoint)
    }

    /// An attempt at that endpoint that was counted is over; `proved` if it is known to run no more.
    pub fn release_attempt(&mut self, now: f64, endpoint: &str, proved: bool) {
        let Some(key) = self.budget_key(BudgetKind::AttemptsPerEndpoint, endpoint) else { return };
        if let MembershipState::Joined { fleet, .. } = &mut self.state {
            fleet.release(now, key, proved);
            self.audit.record_release(fleet, now, key, proved);
        }
    }

    /// Whether a unit was there at this instant, and is spent. `now` is read from the clock for this. Without a budget for
    /// that everything may be done.
    #[must_use]
    pub fn acquire(&mut self, now: f64, of: BudgetKind, subject: &str) -> bool {
        let Some(key) = self.budget_key(of, subject) else { return true };
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

    /// The budget for that, if there is one, and its subject: an endpoint's name, or nothing.
    fn budget_key(&self, of: BudgetKind, subject: &str) -> Option<BudgetKey> {
        let index = self.file.budget_kinds.iter().position(|kind| *kind == of)?;
        let subject = if of.is_per_endpoint() { label(subject) } else { 0 };
        Some(BudgetKey { budget: self.file.fleet.budgets[index].id, subject })
    }
}

fn present_members(fleet: &mut FleetNode) -> usize {
    fleet.members().filter(|member| member.presence == Presence::Here).count()
}
