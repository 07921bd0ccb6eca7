//! Arrival of a request: estimates its cost and priority, sets the time by which it has to be sent, and decides whether
//! it is admitted.

use crate::admission;
use crate::convert::count_to_f64;
use crate::ids::{ClassId, GroupId, Id, RequestId};
use crate::interface::{Request, WorkEstimate};
use crate::request::{RequestState, TrackedRequest};
use crate::retry::ClientAttempt;
use crate::state::RouterState;
use crate::stats::ClassStats;

/// Time left with which an attempt is likely to be answered in time, in estimated latencies.
const SAFE_MARGIN_LATENCIES: f64 = 1.4;
/// Time left with which an immediate attempt is still worthwhile, in estimated latencies.
const URGENT_MARGIN_LATENCIES: f64 = 0.7;
/// Seconds after its arrival for which a request with little time left may be sent with the smaller margin.
const URGENT_WINDOW_SECONDS: f64 = 0.002;
/// Standard error of the logarithm of a fingerprint's work, from which on the estimate is ignored.
const MAX_WORK_SPREAD: f64 = 0.7;

impl RouterState {
    /// Registers a request; it waits from now on.
    pub(crate) fn register(&mut self, now: f64, id: RequestId, statement: &Request) {
        let request = self.build_request(now, statement);
        self.replica_set_mut(request.group);
        self.requests.insert(id, request);
        self.retries.deposit_for_request();
        self.health_checks.deposit_for_request();
        self.transition(id, RequestState::Waiting);
        self.record_demand(id);
    }

    /// Builds the record of a request from its statement and from the statistics of its class.
    fn build_request(&mut self, now: f64, statement: &Request) -> TrackedRequest {
        let class_id = self.classes.classify(statement.workload, statement.may_write);
        let client = self.detect_client_retry(class_id, statement);
        let class = self.classes.get(class_id);
        let extra_work = statement.work.map_or(0.0, discounted_extra_work);
        let estimate = class.estimate(extra_work);
        let time_left = useful_time(class, statement, client);
        let priority_weight = class.settings().priority_weight;
        let share_factor = self.tenant_factor(now, statement.tenant);
        TrackedRequest {
            class: class_id,
            group: GroupId::new(statement.group),
            session: statement.session,
            arrived_at: now,
            time_left: statement.time_left,
            start_by: latest_start(now, time_left, estimate),
            watermark: statement.seconds_since_write.map_or(0.0, |since| now - since),
            extra_work,
            priority: admission::priority(priority_weight, estimate, share_factor),
            sample_counter: self.sampler.counter(),
            weight: if client.is_retry { 0.0 } else { priority_weight },
            attempts: 0,
            sent_at: now,
            last_endpoint: None,
            possible_effect: None,
        }
    }

    /// Detects whether the request is a client's retry, as far as that can be determined.
    fn detect_client_retry(&mut self, class: ClassId, statement: &Request) -> ClientAttempt {
        let class = self.classes.get_mut(class);
        let statement_timeout = class.settings().statement_timeout;
        class.client_retries().observe(statement.is_flagged_retry, statement.time_left, statement_timeout)
    }

    /// Returns the factor on the request's priority, which depends on whether its tenant is within its share (departure
    /// 11 of docs/design.md).
    fn tenant_factor(&mut self, now: f64, tenant: Option<usize>) -> f64 {
        let Some(tenant) = tenant else { return 1.0 };
        let rate = self.config.tenant_rates[tenant] / count_to_f64(self.config.routers);
        if self.tenants.take(now, tenant, rate) { 1.0 } else { self.config.over_share_factor }
    }

    /// Adds the request to the demand of its group.
    fn record_demand(&mut self, id: RequestId) {
        let request = self.requests.get(id);
        let (group, weight) = (request.group, request.weight);
        let is_write = self.classes.get(request.class).is_write();
        let is_long = self.is_long_read(request);
        if is_write {
            self.demands.record_write(group, weight);
        } else if !is_long {
            self.demands.record_read(group, weight);
        }
    }

    /// Returns whether the request is a long read, according to its estimate.
    fn is_long_read(&self, request: &TrackedRequest) -> bool {
        let class = self.classes.get(request.class);
        self.classes.is_long_read(class, class.estimate(request.extra_work))
    }

    /// Returns whether a request that was just registered is admitted, by a sample against its group's admission ratio
    /// (departures 4 and 18 of docs/design.md).
    pub(crate) fn is_admitted(&self, now: f64, id: RequestId) -> bool {
        let request = self.requests.get(id);
        let is_write = self.classes.get(request.class).is_write();
        let is_long = self.is_long_read(request);
        let ratio = self.replica_sets[request.group].admit_ratio(now, is_write, is_long);
        self.sampler.current(id.index()) <= ratio
    }
}

/// Seconds of work that a request takes beyond the usual work of its class, discounted by the uncertainty of the
/// estimate (departure 22 of docs/design.md).
fn discounted_extra_work(work: WorkEstimate) -> f64 {
    let confidence = (1.0 - work.log_standard_error / MAX_WORK_SPREAD).max(0.0);
    confidence * (work.fingerprint_seconds - work.workload_seconds)
}

/// Seconds within which an answer still has value for the client (departure 10 of docs/design.md).
fn useful_time(class: &ClassStats, statement: &Request, client: ClientAttempt) -> f64 {
    let settings = class.settings();
    if settings.late_value_fraction > 0.0 {
        return statement.time_left;
    }
    statement.time_left.min(settings.slo_time - client.elapsed)
}

/// Latest time at which an attempt is sent; a later one would be answered too late. A request that has little time left
/// is still worth an immediate attempt.
fn latest_start(now: f64, time_left: f64, estimate: f64) -> f64 {
    let safe = time_left - SAFE_MARGIN_LATENCIES * estimate;
    let urgent = (time_left - URGENT_MARGIN_LATENCIES * estimate).min(URGENT_WINDOW_SECONDS);
    now + safe.max(urgent)
}
