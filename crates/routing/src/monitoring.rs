//! Monitors endpoints by means other than the results of attempts: load reports, health checks, silence, ejection,
//! lagging replicas.

use crate::concurrency_limit::ConcurrencyLimit;
use crate::convert::count_to_u64;
use crate::eligibility::View;
use crate::endpoint::Endpoint;
use crate::health_check::{
    CheckReasons, POLL_INTERVAL_SECONDS, URGENT_INTERVAL_SECONDS, WaitingRequests, checks_all_members,
};
use crate::ids::{EndpointId, GroupId, Id};
use crate::interface::{AttemptOutcome, Consistency, EndpointState, EndpointUpdate, LoadReport, Transport};
use crate::outlier::{self, EjectionChange, SilenceDetector};
use crate::primary::RoleClaim;
use crate::selection;
use crate::state::RouterState;

/// Fraction of the tightest staleness bound above which the lag of a replica counts as too large.
const LAGGING_BOUND_FRACTION: f64 = 0.5;

impl RouterState {
    /// Applies what an endpoint reported about itself. An answer describes the current time, a load report the time
    /// of its own replication position.
    pub(crate) fn apply_report(&mut self, now: f64, id: EndpointId, report: LoadReport, in_answer: bool) {
        let is_excluded = self.is_excluded(id);
        let endpoint = &mut self.endpoints[id];
        if let Some(utilization) = report.utilization {
            endpoint.record_utilization(now, utilization);
        }
        let position = report.lsn.filter(|position| *position <= now);
        if let Some(position) = position {
            endpoint.position.record(now, position, in_answer);
            self.watermarks.mark_changed(endpoint.member_group());
        }
        if let Some(role) = report.role {
            let at = if in_answer { now } else { position.unwrap_or(0.0) };
            let claim = RoleClaim { role, at, in_answer };
            let tracker = &mut self.replica_sets[endpoint.group()].tracker;
            tracker.observe_role(id, &mut endpoint.role, claim, is_excluded);
        }
    }

    /// Applies what an answer shows about its endpoint, and the load report that came with it.
    pub(crate) fn apply_answer(
        &mut self,
        now: f64,
        id: EndpointId,
        observed: LoadReport,
        report: Option<LoadReport>,
    ) {
        self.apply_report(now, id, observed, true);
        if let Some(report) = report {
            if report.role.is_some() {
                self.endpoints[id].role.record_sends_reports();
            }
            self.apply_report(now, id, report, false);
        }
    }

    /// Records that the endpoint is not the primary, because it refused a request that a primary accepts.
    pub(crate) fn record_not_primary(&mut self, now: f64, id: EndpointId) {
        let endpoint = &mut self.endpoints[id];
        self.replica_sets[endpoint.group()].tracker.record_not_primary(id, &mut endpoint.role, now);
    }

    /// Clears the primary of the endpoint's group if it is this endpoint, which may have failed.
    pub(crate) fn clear_primary(&mut self, id: EndpointId) {
        self.replica_sets[self.endpoints[id].group()].tracker.clear_primary(id);
    }

    /// Ejects an endpoint. It may have failed as the primary too.
    pub(crate) fn eject(&mut self, now: f64, id: EndpointId, connection_failed: bool) {
        self.endpoints[id].outlier.eject(now, connection_failed, self.config.may_check_health);
        self.clear_primary(id);
    }

    /// Ejects the endpoints that are sent attempts and answer none of them (departure 5 of docs/design.md).
    pub(crate) fn eject_silent(&mut self, now: f64) {
        self.work_counts.requests += count_to_u64(self.requests.in_flight_ids().len());
        let mut detector = SilenceDetector::default();
        for (request, id) in self.requests.in_flight() {
            let endpoint = &self.endpoints[id];
            let class = self.classes.get(request.class);
            let endpoint_latency = class.settings().slo_time * endpoint.limit.relative_latency();
            let expected = class.estimate(request.extra_work).max(endpoint_latency);
            let last_activity_at =
                request.sent_at.max(endpoint.last_answer_at()).max(self.stall_detector.resumed_at());
            detector.add(id, (now - last_activity_at) / expected, endpoint.outlier.unanswered_attempts());
        }
        for endpoint in detector.silent_endpoints(self.endpoints.len()) {
            self.eject(now, endpoint, false);
        }
    }

    /// Sends health checks to the members of a group that polls, and to those on whose next report routing depends
    /// (departure 12 of docs/design.md).
    pub(crate) fn poll(&mut self, now: f64, group: GroupId, transport: &mut impl Transport) {
        // Without waiting requests every check is limited by the budget, so the members need not be examined while it
        // is empty.
        let is_check_possible = !self.requests.waiting(group).is_empty() || self.health_checks.is_available();
        if !self.config.may_check_health || !is_check_possible {
            return;
        }
        self.work_counts.polls += 1;
        let needed_by_read = selection::replica_to_check(View::new(now, self), group);
        let members = self.members_by_last_check(group);
        let mut exempt_checks = self.checks_outside_budget(now, group).unwrap_or(usize::MAX);
        exempt_checks = exempt_checks.saturating_sub(usize::from(needed_by_read.is_some()));
        let roles = members.iter().map(|member| &self.endpoints[*member].role);
        let group_polls = self.replica_sets[group].tracker.needs_polling(roles);
        for id in members {
            let is_needed_by_read = needed_by_read == Some(id);
            let reasons = CheckReasons {
                group_polls,
                is_needed_by_read,
                is_exempt: exempt_checks > 0,
                ..self.check_reasons(now, group, id)
            };
            let health_check = &mut self.endpoints[id].health_check;
            if health_check.should_send(now, reasons, &self.health_checks) {
                health_check.begin(now);
                self.health_checks.withdraw();
                transport.start_health_check(id.index());
                exempt_checks = exempt_checks.saturating_sub(usize::from(!is_needed_by_read));
            }
        }
    }

    /// Sends further checks for the requests that still wait after a check of one member has ended.
    pub(crate) fn poll_further(&mut self, now: f64, group: GroupId, transport: &mut impl Transport) {
        let is_bounded = self.checks_outside_budget(now, group).is_some();
        if is_bounded && !self.requests.waiting(group).is_empty() {
            self.poll(now, group, transport);
        }
    }

    /// How many members may be checked outside the budget for the waiting requests of a group; `None` if unlimited.
    fn checks_outside_budget(&self, now: f64, group: GroupId) -> Option<usize> {
        if checks_all_members(self.config.routers) {
            return None;
        }
        self.summarize_waiting(now, group).checks_outside_budget(self.config.routers)
    }

    /// Summarizes the waiting requests of a group, as far as they decide how many checks are sent.
    fn summarize_waiting(&self, now: f64, group: GroupId) -> WaitingRequests {
        let members = self.replica_sets[group].members().iter().filter(|member| !self.is_excluded(**member));
        let members = members.map(|member| &self.endpoints[*member]);
        let has_primary = self.replica_sets[group].primary().is_some();
        let mut summary = WaitingRequests {
            time_left: f64::INFINITY,
            in_flight: members.clone().filter(|member| member.health_check.is_in_flight()).count(),
            has_failed: members.clone().any(|member| member.outlier.is_ejected()),
            ..WaitingRequests::default()
        };
        for request in self.requests.waiting(group).iter().map(|id| self.requests.get(*id)) {
            let consistency = self.classes.get(request.class).consistency();
            let goes_to_primary = matches!(consistency, Consistency::Primary | Consistency::Fresh);
            summary.needs_primary |= goes_to_primary && !has_primary;
            summary.has_failed |= request.attempts > 0;
            summary.longest_wait = summary.longest_wait.max(now - request.arrived_at);
            summary.time_left = summary.time_left.min(request.start_by - now);
        }
        summary
    }

    /// The members of a group that are not excluded, the one with the oldest check first. New members have random
    /// times of their last check, drawn with the router's seed, so that all routers together check them evenly.
    fn members_by_last_check(&self, group: GroupId) -> Vec<EndpointId> {
        let members = self.replica_sets[group].members().iter().copied();
        let mut members: Vec<EndpointId> = members.filter(|member| !self.is_excluded(*member)).collect();
        let checked_at = |member: &EndpointId| self.endpoints[*member].health_check.sent_at();
        members.sort_by(|one, other| checked_at(one).total_cmp(&checked_at(other)));
        members
    }

    /// The reasons to check an endpoint, but for those that concern the group as a whole.
    fn check_reasons(&self, now: f64, group: GroupId, id: EndpointId) -> CheckReasons {
        let endpoint = &self.endpoints[id];
        let primary = self.replica_sets[group].primary();
        let is_unknown = endpoint.role.is_unknown();
        let is_suspect = endpoint.outlier.is_ejected() || endpoint.position.rejects_reads();
        let age = now - endpoint.position.last_reported();
        CheckReasons {
            is_unresolved: primary.is_none() || is_unknown || is_suspect,
            position_expires_soon: primary != Some(id) && age > self.expiring_age_seconds(),
            has_waiting_request: !self.requests.waiting(group).is_empty(),
            is_unknown,
            ..CheckReasons::default()
        }
    }

    /// The age in seconds above which a replication position will soon be too old for some reads; infinite where
    /// endpoints check the staleness bound of reads themselves.
    fn expiring_age_seconds(&self) -> f64 {
        match self.tightest_bound {
            Some(bound) if !self.config.endpoints_check_reads => bound - 2.0 * URGENT_INTERVAL_SECONDS,
            _ => f64::INFINITY,
        }
    }

    /// Applies the end of a health check that was sent (departure 5 of docs/design.md).
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
        if endpoint.outlier.record_health_check(answered) == EjectionChange::Restarted {
            endpoint.restart(now);
        }
        if outcome == AttemptOutcome::Refused {
            endpoint.health_check.retry_sooner(sample);
        }
    }

    /// Applies an entry of the endpoint list.
    pub(crate) fn apply_update(&mut self, now: f64, listing: &EndpointUpdate) {
        let id = EndpointId::new(listing.endpoint);
        let initial_limit = ConcurrencyLimit::initial(self.config.routers);
        if id.index() == self.endpoints.len() || self.departures.reuse_index(id) {
            self.add_endpoint(now, listing, initial_limit);
        }
        let endpoint = &mut self.endpoints[id];
        endpoint.apply_update(listing, initial_limit);
        // An endpoint that may still be sent requests has not left. Where only draining excludes an endpoint, that is
        // each one that was removed from the list without having been drained.
        let has_left = listing.state == EndpointState::Removed && endpoint.is_excluded(&self.config);
        self.departures.record(now, id, &mut endpoint.departure, has_left);
        self.watermarks.mark_changed(endpoint.member_group());
        if self.is_excluded(id) {
            self.clear_primary(id);
        }
    }

    /// Adds an endpoint that was never listed, or reuses the index of one whose state has been dropped.
    fn add_endpoint(&mut self, now: f64, listing: &EndpointUpdate, initial_limit: f64) {
        let id = EndpointId::new(listing.endpoint);
        // Spreads the first health checks of many endpoints over an interval.
        let checked_at = now - POLL_INTERVAL_SECONDS * self.sampler.current(id.index());
        self.endpoints.set(id, Endpoint::new(*listing, initial_limit, checked_at));
        self.health_checks.deposit_for_new_endpoint(self.config.routers);
        self.replica_set_mut(GroupId::new(listing.group)).add(id);
    }

    /// Adjusts the fraction of writes that each group admits while its replicas lag (departure 4 of docs/design.md).
    /// Examines only the groups in which that fraction may change.
    pub(crate) fn adjust_write_throttles(&mut self, now: f64) {
        let Some(bound) = self.tightest_bound else { return };
        let mut groups = std::mem::take(&mut self.throttled_or_active);
        groups.retain(|group| self.adjust_write_throttle(now, *group, bound * LAGGING_BOUND_FRACTION));
        self.throttled_or_active = groups;
        self.demands.tick();
    }

    /// Adjusts the fraction for one group, in which replicas count as lagging above `limit` seconds. Returns whether
    /// the next tick may change the fraction again if no result arrives until then.
    fn adjust_write_throttle(&mut self, now: f64, group: GroupId, limit: f64) -> bool {
        self.work_counts.groups += 1;
        let is_current = self.replica_sets[group].has_frequent_results(now);
        let lagging = if is_current { self.lagging_fraction(now, group, limit) } else { 0.0 };
        let replica_set = &mut self.replica_sets[group];
        replica_set.write_throttle.tick(lagging, &self.demands, group, is_current);
        is_current || !replica_set.write_throttle.admits_all()
    }

    /// The fraction of a group's usable replicas that lag by more than `limit` seconds.
    fn lagging_fraction(&self, now: f64, group: GroupId, limit: f64) -> f64 {
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

    /// Drops the replication positions of all endpoints. Sessions then require the position `now`, as all of their
    /// writes were committed before.
    pub(crate) fn forget_positions(&mut self, now: f64) {
        for endpoint in self.endpoints.iter_mut() {
            endpoint.position.reset();
        }
        self.watermarks.raise_to(now);
        self.requests.raise_watermarks_to(now);
    }

    /// Drops the watermarks of sessions that every endpoint of their group has reached.
    pub(crate) fn forget_watermarks(&mut self) {
        let mut watermarks = std::mem::take(&mut self.watermarks);
        let examined = watermarks.prune(|group, position| {
            let is_behind = |member: &EndpointId| {
                !self.is_excluded(*member) && self.endpoints[*member].position.last_reported() < position
            };
            self.replica_sets[group].members().iter().any(is_behind)
        });
        self.watermarks = watermarks;
        self.work_counts.watermarks += examined;
    }
}
