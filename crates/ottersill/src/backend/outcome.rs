//! How attempts and health checks end: counted, and reported to the routing module.

use ottersill_routing::facade::RoutingEvent;
use ottersill_routing::interface::AttemptOutcome;
use ottersill_routing::interface::LoadReport;
use ottersill_routing::interface::Role;

use crate::backend::connection::Assignment;
use crate::backend::reply::Reply;
use crate::event_loop::EventLoop;
use crate::in_flight::RequestPhase;

impl EventLoop {
    /// ReportSource the end of what the line carried.
    pub(crate) fn finish_assignment(
        &mut self,
        load: Option<Assignment>,
        host: usize,
        since: f64,
        ending: AttemptOutcome,
        mut reply: Reply,
    ) {
        match load {
            Some(Assignment::Request(request_id)) => {
                let request = self.requests.get(request_id);
                let proved = !matches!(
                    ending,
                    AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::Reset
                );
                let ran = request.is_some() && !ending.had_no_effect() && ending != AttemptOutcome::Completed;
                let orphan = matches!(request.map(|request| request.phase), Some(RequestPhase::Abandoned(_)));
                if let Some(place) = request.and_then(|request| request.cache_key) {
                    let only_reads = reply.piggybacked.role == Some(Role::Replica);
                    match ending {
                        AttemptOutcome::Completed => {
                            self.fingerprints.record_completion(
                                self.now,
                                place,
                                host,
                                self.now - since,
                                only_reads,
                            );
                        }
                        AttemptOutcome::ReadOnly if only_reads => {
                            self.fingerprints.record_read_only_rejection(place)
                        }
                        _ => {}
                    }
                }
                self.release_attempt_quota(host, proved);
                if ran {
                    self.requests.note_may_have_run(request_id);
                }
                if orphan {
                    self.requests.transition(request_id, RequestPhase::Vacant, &mut self.counters);
                } else if ending == AttemptOutcome::Completed {
                    self.complete(request_id, reply.take_client_messages());
                } else {
                    self.requests.transition(request_id, RequestPhase::Waiting, &mut self.counters);
                }
                self.report_attempt(request_id, host, ending, self.now - since, &reply);
            }
            Some(Assignment::HealthCheck)
                if matches!(
                    ending,
                    AttemptOutcome::Completed | AttemptOutcome::Error | AttemptOutcome::Full
                ) =>
            {
                let (ending, report) = reply.health_check_result();
                self.report_health_check(host, ending, report);
            }
            Some(Assignment::HealthCheck) => self.report_health_check(host, ending, LoadReport::default()),
            None => {}
        }
    }

    pub(crate) fn report_attempt(
        &mut self,
        request_id: usize,
        host: usize,
        ending: AttemptOutcome,
        took: f64,
        reply: &Reply,
    ) {
        let counter = match ending {
            AttemptOutcome::Completed => &mut self.counters.attempts_completed,
            AttemptOutcome::Error => &mut self.counters.attempts_error,
            AttemptOutcome::Full => &mut self.counters.attempts_refused,
            AttemptOutcome::TimedOut => &mut self.counters.attempts_timed_out,
            AttemptOutcome::ConnectFailed => &mut self.counters.attempts_connect_failed,
            AttemptOutcome::Reset => &mut self.counters.attempts_connection_reset,
            AttemptOutcome::Cancelled => &mut self.counters.attempts_cancelled,
            AttemptOutcome::NeverSent => &mut self.counters.attempts_not_sent,
            AttemptOutcome::Miss => &mut self.counters.attempts_wrong_endpoint,
            AttemptOutcome::ReadOnly => &mut self.counters.attempts_read_only,
        };
        *counter += 1;
        self.report(RoutingEvent::AttemptEnded {
            stmt: request_id,
            host,
            ending,
            took,
            note: reply.piggybacked,
            report: reply.load_report,
        });
    }

    pub(crate) fn report_health_check(&mut self, host: usize, ending: AttemptOutcome, report: LoadReport) {
        self.counters.health_checks_failed += u64::from(ending != AttemptOutcome::Completed);
        self.report(RoutingEvent::HealthCheckEnded { host, ending, report });
    }
}
