//! What the result of an attempt tells of its group, its endpoint and its class.

use crate::concurrency_limit::{Observation, PRIMARY_READ_FRACTION};
use crate::ids::{EndpointId, Id, RequestId};
use crate::interface::{Ending, Needs, Outcome, Role};
use crate::outlier;
use crate::request::Request;
use crate::state::RouterState;

impl RouterState {
    /// Notes what a result says of the effects of its request: an attempt that may have run, a text that writes, a write
    /// of a session.
    pub(crate) fn record_effect(&mut self, now: f64, id: RequestId, outcome: &Outcome) {
        let endpoint = EndpointId::new(outcome.host);
        let had_no_effect = outcome.ending.never_ran();
        let request = *self.requests.get(id);
        let is_read_only = outcome.ending == Ending::ReadOnly;
        if let Some(session) = self.remembered_session(&request) {
            // An answer that broke off behind its row, or before, tells no commit; it was no later than now.
            let told = outcome.note.lsn.filter(|_| outcome.ending == Ending::Completed);
            let commit = (!had_no_effect).then(|| told.unwrap_or(now));
            self.watermarks.end_write(request.group, session, commit);
        }
        let request = self.requests.get_mut(id);
        if !had_no_effect && outcome.ending != Ending::Completed {
            request.record_possible_effect(endpoint);
        }
        if is_read_only {
            // The text writes, which its reading missed; no endpoint is worse for it.
            request.class = self.classes.as_write(request.class);
        }
    }

    /// Notes what a result says of the roles and positions of its endpoint; `request` is as it was before.
    pub(crate) fn learn_of_role(&mut self, now: f64, request: &Request, outcome: &Outcome) {
        let id = EndpointId::new(outcome.host);
        let needs_primary = self.classes.get(request.class).needs() == Needs::Primary;
        let is_refused = matches!(outcome.ending, Ending::Miss | Ending::ReadOnly);
        if outcome.ending == Ending::Miss && !needs_primary {
            // It would reject the next read too, and where it waits first that read would come late.
            self.endpoints[id].position.record_rejected_read();
        }
        self.hear(now, id, outcome.note, true);
        if let Some(report) = outcome.report {
            if report.role.is_some() {
                self.endpoints[id].role.record_sends_reports();
            }
            self.hear(now, id, report, false);
        }
        // One that calls itself the primary in the same answer refused what the text asks for.
        let claims_primary = outcome.note.role == Some(Role::Primary);
        if is_refused && needs_primary && !claims_primary {
            self.deny_primary(now, id);
        } else if self.may_be_lost(request, outcome) {
            self.unseat(id);
        }
    }

    /// Whether the result may mean that the endpoint is lost as a primary. One that has answered others since is not: that
    /// time-out tells of load (departure 7 of docs/design.md).
    fn may_be_lost(&self, request: &Request, outcome: &Outcome) -> bool {
        let endpoint = &self.endpoints[EndpointId::new(outcome.host)];
        match outcome.ending {
            Ending::TimedOut => endpoint.last_answer_at() < request.sent_at,
            Ending::ConnectFailed | Ending::Reset => true,
            _ => false,
        }
    }

    /// Learns from a result; `request` is as it was before.
    pub(crate) fn learn(&mut self, now: f64, request: &Request, outcome: &Outcome) {
        // A request that is long itself tells of no overload; one that is short could hide it.
        let latency = (outcome.took - request.extra_work).max(0.0);
        self.learn_of_group(now, request, outcome, latency);
        self.learn_of_endpoint(now, request, outcome, latency);
        self.learn_of_class(request, outcome, latency);
        // A retry that was answered in full is not counted.
        if outcome.ending == Ending::Completed && request.possible_effect.is_some() {
            self.retries.refund();
        }
    }

    /// Guards against overload that no router sees by itself: adjusts the group's admission ratio (departure 18 of
    /// docs/design.md).
    fn learn_of_group(&mut self, now: f64, request: &Request, outcome: &Outcome, latency: f64) {
        let slo_time = self.classes.get(request.class).settings().slo_time;
        if outcome.ending == Ending::Completed {
            self.latency_pressure.record(latency / slo_time);
        }
        let tells_of_load = match outcome.ending {
            Ending::Completed | Ending::Full => true,
            // A time-out tells of load only if answers take long too; else an answer was lost.
            Ending::TimedOut => self.latency_pressure.is_high(),
            _ => false,
        };
        let is_late = outcome.ending == Ending::Full || outcome.took.min(latency) > slo_time;
        let group = self.endpoints[EndpointId::new(outcome.host)].group();
        let group = &mut self.replica_sets[group];
        let since_result = group.record_result(now);
        if tells_of_load && !self.stalls.has_stalled_since(request.sent_at) {
            group.admit_ratio.record(since_result, is_late);
        }
    }

    fn learn_of_endpoint(&mut self, now: f64, request: &Request, outcome: &Outcome, latency: f64) {
        let id = EndpointId::new(outcome.host);
        let slo_time = self.classes.get(request.class).settings().slo_time;
        let has_stalled = self.stalls.has_stalled_since(request.sent_at);
        let endpoint = &mut self.endpoints[id];
        let since_answer = now - endpoint.last_answer_at();
        let has_answered_others = endpoint.last_answer_at() > request.sent_at;
        let relative_latency = (!has_stalled).then_some(latency / slo_time);
        let observation = endpoint.limit.observe(since_answer, relative_latency, self.terms.routers);
        match outcome.ending {
            Ending::Completed => {
                endpoint.record_answer(now);
                self.learn_of_success(id, &observation);
            }
            Ending::Error => {
                endpoint.record_answer(now);
                endpoint.limit.record_failure(&observation);
            }
            Ending::Full => {
                endpoint.record_answer(now);
                endpoint.limit.record_full(now, &observation);
            }
            Ending::Miss | Ending::ReadOnly => endpoint.record_answer(now),
            Ending::TimedOut | Ending::Cancelled => {
                endpoint.outlier.record_no_answer();
                if has_answered_others {
                    endpoint.limit.record_isolated_time_out(&observation);
                } else {
                    endpoint.limit.record_failure(&observation);
                }
            }
            Ending::ConnectFailed | Ending::Reset => {
                if outlier::failed_connection_ejects(since_answer) {
                    self.eject(now, id, true);
                }
            }
            Ending::NeverSent => {}
        }
    }

    fn learn_of_success(&mut self, id: EndpointId, observation: &Observation) {
        let endpoint = &mut self.endpoints[id];
        if endpoint.outlier.readmit() {
            endpoint.limit.begin_recovery();
        }
        // Reads fill their part of the primary at most, and it is full with that.
        let is_primary = self.replica_sets[endpoint.group()].tracker.is_primary(id);
        let fraction = if is_primary { PRIMARY_READ_FRACTION } else { 1.0 };
        endpoint.limit.record_success(observation, fraction);
    }

    fn learn_of_class(&mut self, request: &Request, outcome: &Outcome, latency: f64) {
        let has_stalled = self.stalls.has_stalled_since(request.sent_at);
        let class = self.classes.get_mut(request.class);
        if outcome.ending == Ending::Completed {
            class.record_work(Some(latency));
            if !has_stalled {
                class.record_latency(latency);
            }
        } else if !outcome.ending.never_ran() {
            class.record_work(None);
        }
    }
}
