//! The fleet's budgets: what of them is this router's, told to the routing module, spent and given back.

use ottersill_config::fleet::BudgetKind;
use ottersill_fleet::membership::Presence;
use ottersill_fleet::node::FleetNode;
use ottersill_routing::facade::RoutingEvent;
use ottersill_routing::interface::EndpointQuota;

use crate::event_loop::EventLoop;
use crate::fleet_link::link::FleetLink;

impl EventLoop {
    /// Tells the routing module what this router may spend now, and the fleet what waits for more.
    pub fn update_fleet_quota(&mut self) {
        let Some(mut link) = self.fleet_link.take() else { return };
        let now = self.clock.read();
        link.quota.endpoints.clear();
        for endpoint in 0..self.endpoints.all.len() {
            let units = self.attempt_units(&mut link, now, endpoint);
            let tokens = self.warming_tokens(&mut link, now, endpoint);
            if units.is_some() || tokens.is_some() {
                link.quota.endpoints.push(EndpointQuota { endpoint, units, tokens });
            }
        }
        link.quota.routers = link.fleet().map(present_members);
        let retries = link.budget_key(BudgetKind::Retries, "");
        link.quota.retries = retries.map(|key| link.fleet().map_or(0.0, |fleet| fleet.tokens(now, key)));
        self.facade.report(self.clock.now(), RoutingEvent::Quota(&link.quota));
        link.reset_timer(&mut self.timers);
        self.fleet_link = Some(link);
    }

    /// How many attempts this router may have in flight at an endpoint; none where no budget limits that.
    fn attempt_units(&self, link: &mut FleetLink, now: f64, endpoint: usize) -> Option<f64> {
        let endpoint = &self.endpoints.all[endpoint];
        let key = link.budget_key(BudgetKind::AttemptsPerEndpoint, &endpoint.name)?;
        let Some(fleet) = link.fleet() else { return Some(0.0) };
        fleet.track(now, key);
        let waiting = self.facade.waiting(endpoint.listed.group) as u64;
        if waiting > 0 && !fleet.is_available(now, key) {
            fleet.note_waiting(now, key, waiting);
        }
        Some(fleet.spendable(now, key).saturating_sub(fleet.lingering(key)) as f64)
    }

    /// How many attempts this router may send to an endpoint that warms up; none where it is warm, or no budget limits that.
    /// What a warm one had of the budget is given back when nobody asks for it.
    fn warming_tokens(&self, link: &mut FleetLink, now: f64, endpoint: usize) -> Option<f64> {
        let name = &self.endpoints.all[endpoint].name;
        let key = link.budget_key(BudgetKind::AttemptsPerWarmingEndpoint, name)?;
        if !self.facade.is_warming(self.clock.now(), endpoint) {
            return None;
        }
        let Some(fleet) = link.fleet() else { return Some(0.0) };
        let tokens = fleet.tokens(now, key);
        // Nothing waits for a warming endpoint as long as a warm one has room: who has traffic wants a share.
        if self.requests.count() > 0 && tokens < 1.0 {
            fleet.note_waiting(now, key, 1);
        }
        Some(tokens)
    }

    /// Whether the fleet's budgets let an attempt go out to that endpoint now, and counts it if they do.
    pub fn acquire_attempt_quota(&mut self, request_id: usize, endpoint: usize) -> bool {
        let now = self.clock.read();
        let is_retry = self.requests.get(request_id).is_some_and(|request| request.may_have_run);
        let Some(link) = &mut self.fleet_link else { return true };
        let name = &self.endpoints.all[endpoint].name;
        if is_retry && !link.acquire(now, BudgetKind::Retries, "") {
            return false;
        }
        // What is taken for one budget and not had of the next is lost to this router for a while, and to nobody else.
        let is_warming = self.facade.is_warming(self.clock.now(), endpoint);
        (!is_warming || link.acquire(now, BudgetKind::AttemptsPerWarmingEndpoint, name))
            && link.acquire(now, BudgetKind::AttemptsPerEndpoint, name)
    }

    /// Whether the fleet's budget for that lets one more be begun now, and counts it if it does.
    pub fn acquire_quota(&mut self, of: BudgetKind) -> bool {
        let now = self.clock.read();
        self.fleet_link.as_mut().is_none_or(|link| link.acquire(now, of, ""))
    }

    /// An attempt that was counted is over; `is_over` if it is known to run no more.
    pub fn release_attempt_quota(&mut self, endpoint: usize, is_over: bool) {
        let now = self.clock.read();
        if let Some(link) = &mut self.fleet_link {
            link.release(now, BudgetKind::AttemptsPerEndpoint, &self.endpoints.all[endpoint].name, is_over);
        }
    }
}

fn present_members(fleet: &mut FleetNode) -> usize {
    fleet.members().filter(|member| member.presence == Presence::Here).count()
}
