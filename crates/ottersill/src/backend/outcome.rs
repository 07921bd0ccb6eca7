//! How attempts and health checks end: counted, and reported to the routing module.

use ottersill_routing::facade::RoutingEvent;
use ottersill_routing::interface::{AttemptOutcome, LoadReport, Role};
use ottersill_statement::fingerprint_cache::CacheKey;

use crate::backend::connection::Assignment;
use crate::backend::reply::Reply;
use crate::event_loop::EventLoop;
use crate::in_flight::RequestPhase;

impl EventLoop {
    /// Counts and reports the end of what a connection carried, and answers the client if that completed its request.
    pub(crate) fn finish_assignment(
        &mut self,
        assignment: Option<Assignment>,
        endpoint: usize,
        assigned_at: f64,
        outcome: AttemptOutcome,
        reply: Reply,
    ) {
        match assignment {
            Some(Assignment::Request(request_id)) => {
                self.finish_attempt(request_id, endpoint, assigned_at, outcome, reply);
            }
            Some(Assignment::HealthCheck) => self.finish_health_check(endpoint, outcome, &reply),
            None => {}
        }
    }

    fn finish_attempt(
        &mut self,
        request_id: usize,
        endpoint: usize,
        assigned_at: f64,
        outcome: AttemptOutcome,
        mut reply: Reply,
    ) {
        let elapsed = self.clock.now() - assigned_at;
        let request = self.requests.get(request_id);
        let is_known = request.is_some();
        let is_abandoned = request.is_some_and(|request| matches!(request.phase, RequestPhase::Abandoned(_)));
        if let Some(cache_key) = request.and_then(|request| request.cache_key) {
            self.record_for_fingerprint(cache_key, endpoint, elapsed, outcome, &reply);
        }
        // Otherwise it may run on.
        let is_over =
            !matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::Reset);
        self.release_attempt_quota(endpoint, is_over);
        if is_known && !outcome.had_no_effect() && outcome != AttemptOutcome::Completed {
            self.requests.note_may_have_run(request_id);
        }
        if is_abandoned {
            self.requests.transition(request_id, RequestPhase::Vacant, &mut self.counters);
        } else if outcome == AttemptOutcome::Completed {
            self.complete(request_id, reply.take_client_messages());
        } else {
            self.requests.transition(request_id, RequestPhase::Waiting, &mut self.counters);
        }
        self.report_attempt(request_id, endpoint, outcome, elapsed, &reply);
    }

    /// Notes for later statements of the same text what this attempt tells of them.
    fn record_for_fingerprint(
        &mut self,
        cache_key: CacheKey,
        endpoint: usize,
        elapsed: f64,
        outcome: AttemptOutcome,
        reply: &Reply,
    ) {
        let at_replica = reply.piggybacked.role == Some(Role::Replica);
        match outcome {
            AttemptOutcome::Completed => {
                self.fingerprints.record_completion(
                    self.clock.now(),
                    cache_key,
                    endpoint,
                    elapsed,
                    at_replica,
                );
            }
            AttemptOutcome::ReadOnly if at_replica => self.fingerprints.record_read_only_rejection(cache_key),
            _ => {}
        }
    }

    fn finish_health_check(&mut self, endpoint: usize, outcome: AttemptOutcome, reply: &Reply) {
        match outcome {
            AttemptOutcome::Completed | AttemptOutcome::Error | AttemptOutcome::Refused => {
                let (outcome, report) = reply.health_check_result();
                self.report_health_check(endpoint, outcome, report);
            }
            _ => self.report_health_check(endpoint, outcome, LoadReport::default()),
        }
    }

    /// Counts the end of an attempt, and reports it to the routing module.
    pub(crate) fn report_attempt(
        &mut self,
        request_id: usize,
        endpoint: usize,
        outcome: AttemptOutcome,
        elapsed: f64,
        reply: &Reply,
    ) {
        let counter = match outcome {
            AttemptOutcome::Completed => &mut self.counters.attempts_completed,
            AttemptOutcome::Error => &mut self.counters.attempts_error,
            AttemptOutcome::Refused => &mut self.counters.attempts_refused,
            AttemptOutcome::TimedOut => &mut self.counters.attempts_timed_out,
            AttemptOutcome::ConnectFailed => &mut self.counters.attempts_connect_failed,
            AttemptOutcome::Reset => &mut self.counters.attempts_connection_reset,
            AttemptOutcome::Cancelled => &mut self.counters.attempts_cancelled,
            AttemptOutcome::NeverSent => &mut self.counters.attempts_not_sent,
            AttemptOutcome::WrongEndpoint => &mut self.counters.attempts_wrong_endpoint,
            AttemptOutcome::ReadOnly => &mut self.counters.attempts_read_only,
        };
        *counter += 1;
        self.report(RoutingEvent::AttemptEnded {
            request: request_id,
            endpoint,
            outcome,
            elapsed,
            observed: reply.piggybacked,
            report: reply.load_report,
        });
    }

    /// Counts the end of a health check, and reports it to the routing module.
    pub(crate) fn report_health_check(
        &mut self,
        endpoint: usize,
        outcome: AttemptOutcome,
        report: LoadReport,
    ) {
        self.counters.health_checks_failed += u64::from(outcome != AttemptOutcome::Completed);
        self.report(RoutingEvent::HealthCheckEnded { endpoint, outcome, report });
    }
}
