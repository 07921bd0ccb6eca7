//! Handles the end of attempts and health checks: counts them and reports them to the routing module.

use ottersill_routing::facade::RoutingEvent;
use ottersill_routing::interface::{AttemptOutcome, LoadReport, Role};

use crate::backend::FinishedAssignment;
use crate::backend::connection::Assignment;
use crate::backend::reply::Reply;
use crate::counters::Counters;
use crate::event_loop::EventLoop;
use crate::in_flight::RequestPhase;

impl EventLoop {
    /// Counts and reports the end of a connection's assignment, and answers the client if its request was completed.
    pub(super) fn finish_assignment(&mut self, finished: FinishedAssignment) {
        match finished.assignment {
            Some(Assignment::Request(request_id)) => self.finish_attempt(request_id, finished),
            Some(Assignment::HealthCheck) => self.finish_health_check(&finished),
            None => {}
        }
    }

    fn finish_attempt(&mut self, request_id: usize, finished: FinishedAssignment) {
        let FinishedAssignment { endpoint, assigned_at, outcome, mut reply, .. } = finished;
        let elapsed = self.context.now() - assigned_at;
        self.record_for_fingerprint(request_id, endpoint, elapsed, outcome, &reply);
        // With the other outcomes the statement may still be running at the endpoint.
        let is_over =
            !matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::Reset);
        self.release_attempt_quota(endpoint, is_over);
        let phase = self.requests.get(request_id).map(|request| request.phase);
        if phase.is_some() && !outcome.had_no_effect() && outcome != AttemptOutcome::Completed {
            self.requests.record_may_have_run(request_id);
        }
        let is_abandoned = matches!(phase, Some(RequestPhase::Abandoned(_)));
        if is_abandoned {
            self.record_abandoned_write(request_id, outcome);
            self.requests.transition(request_id, RequestPhase::Vacant, &mut self.context.counters);
        } else if outcome == AttemptOutcome::Completed {
            self.complete(request_id, reply.take_client_messages());
        } else {
            self.requests.transition(request_id, RequestPhase::Waiting, &mut self.context.counters);
        }
        self.report_attempt(request_id, endpoint, outcome, elapsed, &reply);
    }

    /// Records that a write may have run whose client has left.
    fn record_abandoned_write(&mut self, request_id: usize, outcome: AttemptOutcome) {
        let Some(request) = self.requests.get(request_id) else { return };
        if request.may_write && (request.may_have_run || !outcome.had_no_effect()) {
            self.statement_ids.record_executed_write(self.context.now(), request.id);
        }
    }

    /// Records the result of an attempt under its fingerprint, for later statements with the same fingerprint.
    fn record_for_fingerprint(
        &mut self,
        request_id: usize,
        endpoint: usize,
        elapsed: f64,
        outcome: AttemptOutcome,
        reply: &Reply,
    ) {
        let cache_key = self.requests.get(request_id).and_then(|request| request.cache_key);
        let Some(cache_key) = cache_key else { return };
        let at_replica = reply.piggybacked.role == Some(Role::Replica);
        match outcome {
            AttemptOutcome::Completed => {
                self.statements.record_completion(
                    self.context.now(),
                    cache_key,
                    endpoint,
                    elapsed,
                    at_replica,
                );
            }
            AttemptOutcome::ReadOnly if at_replica => self.statements.record_read_only_rejection(cache_key),
            _ => {}
        }
    }

    fn finish_health_check(&mut self, finished: &FinishedAssignment) {
        let (outcome, report) = match finished.outcome {
            AttemptOutcome::Completed | AttemptOutcome::Error | AttemptOutcome::Refused => {
                finished.reply.health_check_result()
            }
            outcome => (outcome, LoadReport::default()),
        };
        self.report_health_check(finished.endpoint, outcome, report);
    }

    /// Counts the end of an attempt and reports it to the routing module.
    pub(super) fn report_attempt(
        &mut self,
        request_id: usize,
        endpoint: usize,
        outcome: AttemptOutcome,
        elapsed: f64,
        reply: &Reply,
    ) {
        *counter_of(outcome, &mut self.context.counters) += 1;
        self.report(RoutingEvent::AttemptEnded {
            request: request_id,
            endpoint,
            outcome,
            elapsed,
            observed: reply.piggybacked,
            report: reply.load_report,
        });
    }

    /// Counts the end of a health check and reports it to the routing module.
    pub(super) fn report_health_check(
        &mut self,
        endpoint: usize,
        outcome: AttemptOutcome,
        report: LoadReport,
    ) {
        self.context.counters.health_checks_failed += u64::from(outcome != AttemptOutcome::Completed);
        self.report(RoutingEvent::HealthCheckEnded { endpoint, outcome, report });
    }
}

/// Returns the counter of attempts with this outcome.
fn counter_of(outcome: AttemptOutcome, counters: &mut Counters) -> &mut u64 {
    match outcome {
        AttemptOutcome::Completed => &mut counters.attempts_completed,
        AttemptOutcome::Error => &mut counters.attempts_error,
        AttemptOutcome::Refused => &mut counters.attempts_refused,
        AttemptOutcome::TimedOut => &mut counters.attempts_timed_out,
        AttemptOutcome::ConnectFailed => &mut counters.attempts_connect_failed,
        AttemptOutcome::Reset => &mut counters.attempts_connection_reset,
        AttemptOutcome::Cancelled => &mut counters.attempts_cancelled,
        AttemptOutcome::NeverSent => &mut counters.attempts_not_sent,
        AttemptOutcome::WrongEndpoint => &mut counters.attempts_wrong_endpoint,
        AttemptOutcome::ReadOnly => &mut counters.attempts_read_only,
    }
}
