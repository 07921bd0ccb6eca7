//! Routing in blocking style, for network code: [`Facade::pick`], [`Facade::report`], [`Facade::tick`].
//! Nothing here decides; it keeps what the [`Router`] asked for until it is picked up.
//!
//! Times that others tell (positions, start times) are handed in as they were told, in Unix seconds like `now`. The router gets
//! them on its own clock, which may be wrong ([`crate::clock_offset`]).
//!
//! One loop can't block in `pick`, so it answers [`Decision::Wait`] instead, and what waits is picked again once
//! [`Facade::tick`] names it. After each `pick` and `report` call `tick` until it names nothing.

use std::collections::VecDeque;

use crate::Router;
use crate::clock_offset::{OffsetChange, PositionSource};
use crate::interface::{
    AttemptOutcome, AttemptResult, EndpointUpdate, FleetQuota, LoadReport, Request, RoutingConfig, Transport,
};
use crate::time_conversion::TimeConversion;

/// What [`Facade::pick`] is called for.
pub enum PickRequest {
    /// A request that has just arrived.
    New(Request),
    /// One that `tick` has named.
    Waiting(usize),
}

/// What to do now for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send an attempt.
    Dispatch {
        /// To that endpoint.
        endpoint: usize,
        /// Seconds after which it counts as not answered; 0 means when its client gives up.
        timeout: f64,
    },
    /// Wait until [`Facade::tick`] names the request.
    Wait,
    /// Final: nothing took effect, trying again is harmless.
    Reject {
        /// Seconds after which its client may try again.
        retry_after: f64,
    },
    /// Final, and promises nothing.
    Abort,
}

/// What was learnt.
pub enum RoutingEvent<'a> {
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: usize,
        /// The endpoint.
        endpoint: usize,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Seconds from its start to its end.
        elapsed: f64,
        /// What the answer itself showed.
        observed: LoadReport,
        /// The load report that came with the answer.
        report: Option<LoadReport>,
    },
    /// A health check ended.
    HealthCheckEnded {
        /// The endpoint.
        endpoint: usize,
        /// How it ended.
        outcome: AttemptOutcome,
        /// What the endpoint said, if it answered.
        report: LoadReport,
    },
    /// The endpoint list, or entries of it that have changed.
    EndpointList(&'a [EndpointUpdate]),
    /// What the fleet leaves this router of its budgets.
    Quota(&'a FleetQuota),
    /// The endpoint list was asked for and did not come.
    EndpointListFailed,
    /// The client left before its answer.
    ClientGone(usize),
}

/// What [`Facade::tick`] names as due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RoutingAction {
    /// Pick that request again.
    Pick(usize),
    /// Cancel the request's attempt; its end is still to be reported.
    CancelAttempt(usize),
    /// Health-check that endpoint.
    HealthCheck(usize),
}

/// A router in blocking style.
pub struct Facade {
    router: Router,
    times: TimeConversion,
    pending: Pending,
}

/// What the router asked for and network code has not picked up yet.
#[derive(Default)]
struct Pending {
    /// As many as there were ever requests at once; a slot is free again once its request is over and no attempt is in
    /// flight.
    slots: Vec<Slot>,
    free: Vec<usize>,
    /// Emptied by each `tick`.
    due: VecDeque<RoutingAction>,
    picking: Option<usize>,
    now: f64,
    wake_at: f64,
    violations: u64,
}

#[derive(Clone, Copy, Default)]
struct Slot {
    is_taken: bool,
    /// Decided, and not picked up yet.
    decision: Option<Decision>,
    /// The request has its final answer, or its client left.
    is_over: bool,
    in_flight: u32,
}

impl Facade {
    /// A router that knows no endpoint yet.
    #[must_use]
    pub fn start(now: f64, config: RoutingConfig) -> Facade {
        let mut pending = Pending { now, ..Pending::default() };
        let router = Router::start(now, config, &mut pending);
        Facade { router, times: TimeConversion::default(), pending }
    }

    /// The request's number, which is its own until it is over and no attempt of it is in flight, and what to do.
    pub fn pick(&mut self, now: f64, pick_request: PickRequest) -> (usize, Decision) {
        self.pending.now = now;
        let index = match pick_request {
            PickRequest::New(request) => {
                let index = self.pending.allocate();
                self.pending.picking = Some(index);
                self.router.on_request(now, index, request, &mut self.pending);
                self.pending.picking = None;
                index
            }
            PickRequest::Waiting(index) => index,
        };
        let decision = self.pending.slots[index].decision.take().unwrap_or(Decision::Wait);
        match decision {
            Decision::Dispatch { .. } => self.pending.slots[index].in_flight += 1,
            Decision::Reject { .. } | Decision::Abort => {
                self.pending.slots[index].is_over = true;
                self.pending.free_if_over(index);
            }
            Decision::Wait => {}
        }
        (index, decision)
    }

    /// Takes in what was learnt.
    pub fn report(&mut self, now: f64, event: RoutingEvent) {
        self.pending.now = now;
        match event {
            RoutingEvent::AttemptEnded { request, endpoint, outcome, elapsed, observed, report } => {
                let observed = self.convert_report(now, endpoint, PositionSource::Answer, observed);
                let report =
                    report.map(|report| self.convert_report(now, endpoint, PositionSource::Report, report));
                let slot = &mut self.pending.slots[request];
                let known = slot.is_taken && slot.in_flight > 0;
                self.pending.check_invariant(known, "an execution that was picked ends once");
                if known {
                    let slot = &mut self.pending.slots[request];
                    slot.in_flight -= 1;
                    slot.is_over |= outcome == AttemptOutcome::Completed;
                    let closed = slot.is_over;
                    let result =
                        AttemptResult { request, endpoint, outcome, elapsed, closed, observed, report };
                    self.router.on_attempt_result(now, &result, &mut self.pending);
                    self.pending.free_if_over(request);
                }
            }
            RoutingEvent::HealthCheckEnded { endpoint, outcome, report } => {
                let report = self.convert_report(now, endpoint, PositionSource::Report, report);
                self.router.on_health_check(now, endpoint, outcome, report, &mut self.pending);
            }
            RoutingEvent::EndpointList(list) => {
                let list = self.times.local_updates(now, list);
                self.router.on_endpoint_list(now, &list, &mut self.pending);
            }
            RoutingEvent::Quota(quotas) => self.router.on_quota(now, quotas, &mut self.pending),
            RoutingEvent::EndpointListFailed => self.router.on_endpoint_list_failed(),
            RoutingEvent::ClientGone(request) => self.client_gone(now, request),
        }
    }

    /// A report with its position on the router's clock, of which the position itself may tell something new.
    fn convert_report(
        &mut self,
        now: f64,
        endpoint: usize,
        source: PositionSource,
        report: LoadReport,
    ) -> LoadReport {
        let change = self.times.observe(now, endpoint, source, &report);
        if change == OffsetChange::Stepped {
            self.router.on_clock_step(now);
        }
        if change != OffsetChange::None {
            let started = self.times.started_endpoints();
            self.router.on_endpoint_list(now, &started, &mut self.pending);
        }
        self.times.local_report(now, endpoint, source, report)
    }

    /// Seconds since a commit that a client names by its position, for [`Request::since_write`].
    #[must_use]
    pub fn since_commit(&self, now: f64, position: f64) -> f64 {
        self.times.since_commit(now, position)
    }

    /// The client left before its answer.
    fn client_gone(&mut self, now: f64, request: usize) {
        let slot = self.pending.slots[request];
        self.pending.check_invariant(slot.is_taken && !slot.is_over, "a client leaves before its answer");
        if !slot.is_taken || slot.is_over {
            return;
        }
        self.pending.slots[request].is_over = true;
        match self.pending.slots[request].decision.take() {
            // Decided, and not picked up: the router no longer holds it.
            Some(Decision::Reject { .. } | Decision::Abort) => {}
            Some(Decision::Dispatch { endpoint, .. }) => {
                self.router.on_client_gone(request);
                let (outcome, observed) = (AttemptOutcome::NeverSent, LoadReport::default());
                let result = AttemptResult {
                    request,
                    endpoint,
                    outcome,
                    elapsed: 0.0,
                    closed: true,
                    observed,
                    report: None,
                };
                self.router.on_attempt_result(now, &result, &mut self.pending);
            }
            Some(Decision::Wait) | None => self.router.on_client_gone(request),
        }
        self.pending.free_if_over(request);
    }

    /// What is due now; nothing is named twice for the same reason.
    pub fn tick(&mut self, now: f64) -> VecDeque<RoutingAction> {
        self.pending.now = now;
        if now >= self.pending.wake_at {
            self.pending.wake_at = f64::INFINITY;
            self.router.on_tick(now, &mut self.pending);
        }
        std::mem::take(&mut self.pending.due)
    }

    /// The endpoints that left the list and of which routing needs nothing any more.
    #[must_use]
    pub fn forgettable_endpoints(&self, now: f64) -> Vec<usize> {
        self.router.forgettable_endpoints(now)
    }

    /// Forgets these endpoints, but for those that routing still needs. Returns which it has forgotten: their indices may
    /// be listed as other endpoints' from now on.
    pub fn forget_endpoints(&mut self, now: f64, endpoints: &[usize]) -> Vec<usize> {
        let forgotten = self.router.forget_endpoints(now, endpoints);
        forgotten.iter().for_each(|endpoint| self.times.forget(*endpoint));
        forgotten
    }

    /// Whether an endpoint is taken for one that is not warm yet.
    #[must_use]
    pub fn is_warming(&self, now: f64, endpoint: usize) -> bool {
        self.router.is_warming(now, endpoint)
    }

    /// Whether an attempt that was picked may still be sent; to be asked when its bytes are about to go out.
    #[must_use]
    pub fn may_begin(&self, now: f64, request: usize, endpoint: usize) -> bool {
        self.router.may_begin(now, request, endpoint)
    }

    /// The same of a health check.
    #[must_use]
    pub fn may_check_health(&self, endpoint: usize) -> bool {
        self.router.may_check_health(endpoint)
    }

    /// Requests that wait in a group for an endpoint that may take them.
    #[must_use]
    pub fn waiting(&self, group: usize) -> usize {
        self.router.waiting(group)
    }

    /// When `tick` wants to be called, if nothing else happens before.
    #[must_use]
    pub fn wake_at(&self) -> f64 {
        self.pending.wake_at
    }

    /// How often something that must hold did not.
    #[must_use]
    pub fn invariant_violations(&self) -> u64 {
        self.pending.violations
    }
}

impl Pending {
    /// What must hold: panics in a debug build, counts a violation in a release build.
    fn check_invariant(&mut self, holds: bool, what: &str) {
        debug_assert!(holds, "{what}");
        self.violations += u64::from(!holds);
    }

    /// A free slot for a new request.
    fn allocate(&mut self) -> usize {
        let index = self.free.pop().unwrap_or(self.slots.len());
        self.slots.resize(self.slots.len().max(index + 1), Slot::default());
        self.slots[index] = Slot { is_taken: true, ..Slot::default() };
        index
    }

    /// Frees the slot of a request that is over, once no attempt of it is in flight.
    fn free_if_over(&mut self, index: usize) {
        let slot = self.slots[index];
        if slot.is_taken && slot.is_over && slot.in_flight == 0 && slot.decision.is_none() {
            self.slots[index].is_taken = false;
            self.free.push(index);
        }
    }

    /// Keeps a choice until it is picked up, and names the request as due unless it is being picked right now.
    fn record_decision(&mut self, index: usize, decision: Decision) {
        let free = self.slots[index].decision.is_none() && !self.slots[index].is_over;
        self.check_invariant(free, "one choice at a time, and none after the last");
        self.slots[index].decision = Some(decision);
        if self.picking != Some(index) {
            self.due.push_back(RoutingAction::Pick(index));
        }
    }
}

impl Transport for Pending {
    fn start_attempt(&mut self, request: usize, endpoint: usize, timeout: f64) {
        self.record_decision(request, Decision::Dispatch { endpoint, timeout });
    }

    fn reject(&mut self, request: usize, retry_after: f64) {
        self.record_decision(request, Decision::Reject { retry_after });
    }

    fn abort(&mut self, request: usize) {
        self.record_decision(request, Decision::Abort);
    }

    fn cancel_attempt(&mut self, request: usize, _attempt: u32) {
        self.due.push_back(RoutingAction::CancelAttempt(request));
    }

    fn start_health_check(&mut self, endpoint: usize) {
        self.due.push_back(RoutingAction::HealthCheck(endpoint));
    }

    fn schedule_tick(&mut self, after: f64) {
        self.wake_at = self.now + after;
    }

    /// On sockets discovery is watched from the start, whether asked for or not.
    fn request_endpoint_list(&mut self) {}

    fn log(&mut self, _text: &str) {}
}
