//! The fleet's budgets: what of them is this router's, told to the routing module, spent and given back.

use ottersill_config::fleet::BudgetKind;
use ottersill_fleet::membership::Presence;
use ottersill_fleet::node::FleetNode;
use ottersill_routing::facade::RoutingEvent;
use ottersill_routing::interface::EndpointQuota;

use crate::event_loop::EventLoop;
use crate::timers::Timer;

impl EventLoop {
    /// Tells the module what its parts are now, and the fleet what waits for more.
    pub fn update_fleet_quota(&mut self) {
        let Some(mut link) = self.fleet_link.take() else { return };
        let now = self.clock.now();
        link.quota.hosts.clear();
        let in_flight = self.requests.count();
        for (index, host) in self.endpoints.all.iter().enumerate() {
            let waiting = self.facade.waiting(host.listed.group) as u64;
            let units = link.budget_key(BudgetKind::AttemptsPerEndpoint, &host.name).map(|key| {
                link.fleet().map_or(0, |fleet| {
                    fleet.track(now, key);
                    if waiting > 0 && !fleet.is_available(now, key) {
                        fleet.note_waiting(now, key, waiting);
                    }
                    fleet.spendable(now, key).saturating_sub(fleet.lingering(key))
                })
            });
            // One budget a host that is cold; what a warm one had of it is given back when nobody asks for it.
            let cold = self.facade.is_cold(self.now, index);
            let key = link.budget_key(BudgetKind::AttemptsPerWarmingEndpoint, &host.name).filter(|_| cold);
            let tokens = key.map(|key| {
                link.fleet().map_or(0.0, |fleet| {
                    let tokens = fleet.tokens(now, key);
                    // Nothing waits for a cold host as long as a warm one has room: who has traffic wants a part.
                    if in_flight > 0 && tokens < 1.0 {
                        fleet.note_waiting(now, key, 1);
                    }
                    tokens
                })
            });
            let units = units.map(|units| units as f64);
            if units.is_some() || tokens.is_some() {
                link.quota.hosts.push(EndpointQuota { host: index, units, tokens });
            }
        }
        let here = |fleet: &mut FleetNode| fleet.members().filter(|m| m.presence == Presence::Here).count();
        link.quota.routers = link.fleet().map(here);
        link.quota.second_tries = link
            .budget_key(BudgetKind::Retries, "")
            .map(|key| link.fleet().map_or(0.0, |fleet| fleet.tokens(now, key)));
        self.facade.report(self.now, RoutingEvent::Quota(&link.quota));
        let next = link.next_at();
        self.timers.clear(link.timer.take());
        if next.is_finite() {
            link.timer = Some(self.timers.set(next, Timer::Fleet));
        }
        self.fleet_link = Some(link);
    }

    /// Whether the fleet's budgets let an execution go out to that host now, and counts it if they do.
    pub fn acquire_attempt_quota(&mut self, stmt: usize, host: usize) -> bool {
        let now = self.clock.now();
        let again = self.requests.get(stmt).is_some_and(|request| request.may_have_run);
        let Some(link) = &mut self.fleet_link else { return true };
        let name = &self.endpoints.all[host].name;
        if again && !link.acquire(now, BudgetKind::Retries, "") {
            return false;
        }
        // What is taken for one budget and not had of the next is lost to this router for a while, and to nobody else.
        let cold = self.facade.is_cold(self.now, host);
        (!cold || link.acquire(now, BudgetKind::AttemptsPerWarmingEndpoint, name))
            && link.acquire(now, BudgetKind::AttemptsPerEndpoint, name)
    }

    pub fn acquire_quota(&mut self, of: BudgetKind) -> bool {
        let now = self.clock.now();
        self.fleet_link.as_mut().is_none_or(|link| link.acquire(now, of, ""))
    }

    /// An execution that was counted is over; `proved` if it is known to run no more.
    pub fn release_attempt_quota(&mut self, host: usize, proved: bool) {
        let now = self.clock.now();
        if let Some(link) = &mut self.fleet_link {
            link.release(now, BudgetKind::AttemptsPerEndpoint, &self.endpoints.all[host].name, proved);
        }
    }
}
