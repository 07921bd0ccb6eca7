//! Keeping track of endpoints beside their answers: reports, health checks, silence, ejection, lagging replicas.

use crate::concurrency_limit::ConcurrencyLimit;
use crate::convert::count_to_u64;
use crate::eligibility::View;
use crate::endpoint::Endpoint;
use crate::health_check::{POLL_INTERVAL, Reasons, URGENT_INTERVAL, WaitingNeeds, checks_all_members};
use crate::ids::{EndpointId, GroupId, Id};
use crate::interface::{AttemptOutcome, Consistency, EndpointState, EndpointUpdate, LoadReport, Transport};
use crate::outlier::{self, SilenceDetector, Verdict};
use crate::primary::RoleClaim;
use crate::selection;
use crate::state::RouterState;

/// Part of the tightest staleness bound from which on a replica counts as lagging.
const LAGGING: f64 = 0.5;

impl RouterState {
    /// Takes over what an endpoint said of itself. An answer speaks of now, a report of its own position.
    pub(crate) fn apply_report(&mut self, now: f64, id: EndpointId, report: LoadReport, in_answer: bool) {
        let is_excluded = self.is_excluded(id);
        let endpoint = &mut self.endpoints[id];
        if let Some(utilization) = report.utilization {
            endpoint.record_utilization(now, utilization);
        }
        let position = report.lsn.filter(|position| *position <= now);
        if let Some(position) = position {
            endpoint.position.record(now, position, in_answer);
            self.watermarks.record_change_of(endpoint.member_of());
        }
        if let Some(role) = report.role {
            let at = if in_answer { now } else { position.unwrap_or(0.0) };
            let claim = RoleClaim { role, at, in_answer };
            let tracker = &mut self.replica_sets[endpoint.group()].tracker;
            tracker.hear(id, &mut endpoint.role, claim, is_excluded);
        }
    }

    /// The endpoint is no primary, as it refused what a primary takes.
    pub(crate) fn deny_primary(&mut self, now: f64, id: EndpointId) {
        let endpoint = &mut self.endpoints[id];
        self.replica_sets[endpoint.group()].tracker.deny(id, &mut endpoint.role, now);
    }

    /// The endpoint may have been lost as a primary.
    pub(crate) fn unseat(&mut self, id: EndpointId) {
        self.replica_sets[self.endpoints[id].group()].tracker.unseat(id);
    }

    /// Ejects an endpoint; it may have been lost as a primary too.
    pub(crate) fn eject(&mut self, now: f64, id: EndpointId, connection_failed: bool) {
        self.endpoints[id].outlier.eject(now, connection_failed, self.config.may_check_health);
        self.unseat(id);
    }

    /// Ejects the endpoints that take attempts and answer none (departure 5 of docs/design.md).
    pub(crate) fn eject_silent(&mut self, now: f64) {
        self.work.requests += count_to_u64(self.requests.in_flight_ids().len());
        let mut detector = SilenceDetector::default();
        for (request, id) in self.requests.in_flight() {
            let endpoint = &self.endpoints[id];
            let class = self.classes.get(request.class);
            let by_endpoint = class.settings().slo_time * endpoint.limit.latency();
            let expected = class.estimate(request.extra_work).max(by_endpoint);
            let last_sign = request.sent_at.max(endpoint.last_answer_at()).max(self.stalls.resumed_at());
            detector.add(id, (now - last_sign) / expected, endpoint.outlier.unanswered());
        }
        for endpoint in detector.silent(self.endpoints.len()) {
            self.eject(now, endpoint, false);
        }
    }

    /// Health-checks the members of a group that polls, and those whose next report decides something (departure 12 of
    /// docs/design.md).
    pub(crate) fn poll(&mut self, now: f64, group: GroupId, transport: &mut impl Transport) {
        // Where nothing waits each check has to be paid for: no member needs a look while nothing is left for that.
        let may_check = !self.requests.waiting(group).is_empty() || self.health_checks.is_available();
        if !self.config.may_check_health || !may_check {
            return;
        }
        self.work.polls += 1;
        let asked_for = selection::replica_to_check(View::new(now, self), group);
        let members = self.members_by_last_check(group);
        let mut free_checks = self.free_checks(now, group).unwrap_or(usize::MAX);
        free_checks = free_checks.saturating_sub(usize::from(asked_for.is_some()));
        let roles = members.iter().map(|member| &self.endpoints[*member].role);
        let group_polls = self.replica_sets[group].tracker.polls(roles);
        for id in members {
            let is_asked_for = asked_for == Some(id);
            let reasons = Reasons {
                group_polls,
                is_asked_for,
                is_free: free_checks > 0,
                ..self.reasons_to_check(now, group, id)
            };
            let health_check = &mut self.endpoints[id].health_check;
            if health_check.is_wanted(now, reasons, &self.health_checks) {
                health_check.begin(now);
                self.health_checks.withdraw();
                transport.start_health_check(id.index());
                free_checks = free_checks.saturating_sub(usize::from(!is_asked_for));
            }
        }
    }

    /// Has more members checked for what still waits after a check of one of them.
    pub(crate) fn poll_further(&mut self, now: f64, group: GroupId, transport: &mut impl Transport) {
        let is_bounded = self.free_checks(now, group).is_some();
        if is_bounded && !self.requests.waiting(group).is_empty() {
            self.poll(now, group, transport);
        }
    }

    /// How many members may be checked without credit for what waits in a group; `None` if there is no bound.
    fn free_checks(&self, now: f64, group: GroupId) -> Option<usize> {
        if checks_all_members(self.config.routers) {
            return None;
        }
        self.waiting_needs(now, group).free_checks(self.config.routers)
    }

    /// What the requests that wait in a group need to have checked.
    fn waiting_needs(&self, now: f64, group: GroupId) -> WaitingNeeds {
        let members = self.replica_sets[group].members().iter().filter(|member| !self.is_excluded(**member));
        let members = members.map(|member| &self.endpoints[*member]);
        let has_primary = self.replica_sets[group].primary().is_some();
        let mut needs = WaitingNeeds {
            time_left: f64::INFINITY,
            in_flight: members.clone().filter(|member| member.health_check.is_in_flight()).count(),
            has_failed: members.clone().any(|member| member.outlier.is_ejected()),
            ..WaitingNeeds::default()
        };
        for request in self.requests.waiting(group).iter().map(|id| self.requests.get(*id)) {
            let class_needs = self.classes.get(request.class).needs();
            let goes_to_primary = matches!(class_needs, Consistency::Primary | Consistency::Fresh);
            needs.needs_primary |= goes_to_primary && !has_primary;
            needs.has_failed |= request.attempts > 0;
            needs.longest_wait = needs.longest_wait.max(now - request.arrived_at);
            needs.time_left = needs.time_left.min(request.start_by - now);
        }
        needs
    }

    /// The members of a group that may be sent something, the one that was checked longest ago first. Of new ones that is an
    /// order drawn by the router's seed, so that all routers together ask them evenly.
    fn members_by_last_check(&self, group: GroupId) -> Vec<EndpointId> {
        let members = self.replica_sets[group].members().iter().copied();
        let mut members: Vec<EndpointId> = members.filter(|member| !self.is_excluded(*member)).collect();
        let checked_at = |member: &EndpointId| self.endpoints[*member].health_check.sent_at();
        members.sort_by(|one, other| checked_at(one).total_cmp(&checked_at(other)));
        members
    }

    /// What speaks for a check of the endpoint.
    fn reasons_to_check(&self, now: f64, group: GroupId, id: EndpointId) -> Reasons {
        let endpoint = &self.endpoints[id];
        let primary = self.replica_sets[group].primary();
        let is_unknown = endpoint.role.is_unknown();
        let is_unsettled = endpoint.outlier.is_ejected() || endpoint.position.rejects_reads();
        let age = now - endpoint.position.known();
        Reasons {
            is_decisive: primary.is_none() || is_unknown || is_unsettled,
            position_ages: primary != Some(id) && age > self.ageing_limit(),
            request_waits: !self.requests.waiting(group).is_empty(),
            is_unknown,
            ..Reasons::default()
        }
    }

    /// The age in seconds from which on a position is about to be too old for some reads; infinite where endpoints check
    /// reads themselves.
    fn ageing_limit(&self) -> f64 {
        match self.tightest_bound {
            Some(bound) if !self.config.endpoints_check_reads => bound - 2.0 * URGENT_INTERVAL,
            _ => f64::INFINITY,
        }
    }

    /// A health check ended in any way but not being sent (departure 5 of docs/design.md).
    pub(crate) fn record_health_check(&mut self, now: f64, id: EndpointId, outcome: AttemptOutcome) {
        let endpoint = &self.endpoints[id];
        let answered = !matches!(
            outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::ConnectFailed | AttemptOutcome::Reset
        );
        let checked_at = endpoint.health_check.sent_at();
        if !answered && outlier::failed_health_check_ejects(checked_at, endpoint.last_answer_at()) {
            self.eject(now, id, false);
        }
        let sample = self.sampler.current(id.index());
        let endpoint = &mut self.endpoints[id];
        if endpoint.outlier.record_health_check(answered) == Verdict::Restarted {
            endpoint.restart(now);
        }
        if outcome == AttemptOutcome::Refused {
            endpoint.health_check.retry_sooner(sample);
        }
    }

    /// Takes over an entry of the endpoint list.
    pub(crate) fn apply_update(&mut self, now: f64, listing: &EndpointUpdate) {
        let id = EndpointId::new(listing.endpoint);
        let initial_limit = ConcurrencyLimit::initial(self.config.routers);
        if id.index() == self.endpoints.len() || self.departures.occupy(id) {
            self.add_endpoint(now, listing, initial_limit);
        }
        let endpoint = &mut self.endpoints[id];
        endpoint.apply_update(listing, initial_limit);
        // One that may still be sent to stays: where only draining binds, each that left without having drained.
        let has_left = listing.state == EndpointState::Removed && endpoint.is_excluded(&self.config);
        self.departures.record(now, id, &mut endpoint.departure, has_left);
        self.watermarks.record_change_of(endpoint.member_of());
        if self.is_excluded(id) {
            self.unseat(id);
        }
    }

    /// Adds an endpoint that was not listed before, or is forgotten.
    fn add_endpoint(&mut self, now: f64, listing: &EndpointUpdate, initial_limit: f64) {
        let id = EndpointId::new(listing.endpoint);
        // Spreads the first health checks of many endpoints over an interval.
        let checked_at = now - POLL_INTERVAL * self.sampler.current(id.index());
        self.endpoints.set(id, Endpoint::new(*listing, initial_limit, checked_at));
        self.health_checks.deposit_for_new_endpoint(self.config.routers);
        self.replica_set_mut(GroupId::new(listing.group)).add(id);
    }

    /// Adjusts what writes each group admits while its replicas lag (departure 4 of docs/design.md). Looks only at groups
    /// where that may change.
    pub(crate) fn adjust_write_throttles(&mut self, now: f64) {
        let Some(bound) = self.tightest_bound else { return };
        let mut groups = std::mem::take(&mut self.throttled_or_heard);
        groups.retain(|group| self.adjust_write_throttle(now, *group, bound * LAGGING));
        self.throttled_or_heard = groups;
        self.demands.tick();
    }

    /// The same for one group; replicas lag from `limit` seconds on. Returns whether the next tick may change it again,
    /// were there no result until then.
    fn adjust_write_throttle(&mut self, now: f64, group: GroupId, limit: f64) -> bool {
        self.work.groups += 1;
        let is_current = self.replica_sets[group].is_heard_often(now);
        let lagging = if is_current { self.lagging_share(now, group, limit) } else { 0.0 };
        let replica_set = &mut self.replica_sets[group];
        replica_set.write_throttle.tick(lagging, &self.demands, group, is_current);
        is_current || !replica_set.write_throttle.admits_all()
    }

    /// The part of a group's usable replicas that lag by more than so many seconds.
    fn lagging_share(&self, now: f64, group: GroupId, limit: f64) -> f64 {
        let view = View::new(now, self);
        let group = &self.replica_sets[group];
        let (mut replicas, mut lagging) = (0, 0);
        for member in group.members() {
            if !group.tracker.is_primary(*member) && view.is_usable(*member) {
                replicas += 1;
                lagging += u32::from(self.endpoints[*member].position.lag() > limit);
            }
        }
        f64::from(lagging) / f64::from(replicas.max(1))
    }

    /// Forgets the positions of all endpoints; all writes that sessions have to see were committed before now.
    pub(crate) fn forget_positions(&mut self, now: f64) {
        for endpoint in self.endpoints.iter_mut() {
            endpoint.position.forget();
        }
        self.watermarks.raise_to(now);
        self.requests.raise_watermarks_to(now);
    }

    /// Forgets the watermarks of sessions that every endpoint of their group has come up to.
    pub(crate) fn forget_watermarks(&mut self) {
        let mut watermarks = std::mem::take(&mut self.watermarks);
        let looked_at = watermarks.forget(|group, position| {
            let is_behind = |member: &EndpointId| {
                !self.is_excluded(*member) && self.endpoints[*member].position.known() < position
            };
            self.replica_sets[group].members().iter().any(is_behind)
        });
        self.watermarks = watermarks;
        self.work.watermarks += looked_at;
    }
}
