//! Blocking-style interface to routing, for network code: [`Facade::pick`], [`Facade::report`], [`Facade::tick`]. The
//! facade makes no decisions; it keeps those of the [`Router`] until the caller collects them.
//!
//! Times that other processes report (positions, start times) are passed in as they were reported, in Unix seconds like
//! `now`. The router gets them converted to its own clock, which may be wrong ([`crate::clock_offset`]).
//!
//! A single event loop can't block in `pick`, so `pick` returns [`Decision::Wait`] instead, and the caller picks the
//! request again once [`Facade::tick`] names it. After each `pick` and `report`, call `tick` until it returns nothing.

use std::collections::VecDeque;

use crate::Router;
use crate::clock_offset::{OffsetChange, PositionSource};
use crate::interface::{
    AttemptOutcome, AttemptResult, EndpointUpdate, FleetQuota, LoadReport, Request, RoutingConfig, Transport,
};
use crate::time_conversion::TimeConversion;

/// The request that [`Facade::pick`] decides on.
pub enum PickRequest {
    /// A request that has just arrived.
    New(Request),
    /// A waiting request that `tick` has named.
    Waiting(usize),
}

/// What the caller has to do for a request now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send an attempt.
    Dispatch {
        /// The endpoint to send it to.
        endpoint: usize,
        /// Seconds after which the attempt times out; 0 means that it times out when its client does.
        timeout: f64,
    },
    /// Wait until [`Facade::tick`] names the request.
    Wait,
    /// Final answer: nothing took effect, and the client may safely retry.
    Reject {
        /// Seconds after which the client may retry.
        retry_after: f64,
    },
    /// Final answer: the request failed, and may or may not have taken effect.
    Abort,
}

/// An event that the router has to be informed of.
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
        /// What the answer itself shows.
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
        /// What the endpoint reported, if it answered.
        report: LoadReport,
    },
    /// An endpoint reported its state without the end of an attempt or health check.
    EndpointReported {
        /// The endpoint.
        endpoint: usize,
        /// What its answer itself shows.
        observed: LoadReport,
        /// The load report that came with the answer.
        report: Option<LoadReport>,
    },
    /// The endpoint list, or those of its entries that have changed.
    EndpointList(&'a [EndpointUpdate]),
    /// The quotas that the fleet grants this router.
    Quota(&'a FleetQuota),
    /// A request for the endpoint list got no answer.
    EndpointListFailed,
    /// The client left before its answer.
    ClientGone(usize),
}

/// A due action, as returned by [`Facade::tick`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RoutingAction {
    /// Pick that request again.
    Pick(usize),
    /// Cancel the request's attempt; its end still has to be reported.
    CancelAttempt(usize),
    /// Send a health check to that endpoint.
    HealthCheck(usize),
}

/// A router with a blocking-style interface.
pub struct Facade {
    router: Router,
    times: TimeConversion,
    pending: Pending,
}

/// Decisions of the router that network code has not collected yet.
#[derive(Default)]
struct Pending {
    /// Has as many entries as requests were ever held at once; a slot is free again once its request is over and no
    /// attempt of it is in flight.
    slots: Vec<Slot>,
    free: Vec<usize>,
    /// Emptied by each call of `tick`.
    due: VecDeque<RoutingAction>,
    picking: Option<usize>,
    now: f64,
    wake_at: f64,
    violations: u64,
}

#[derive(Clone, Copy, Default)]
struct Slot {
    is_taken: bool,
    /// Made by the router and not collected yet.
    decision: Option<Decision>,
    /// The request has its final answer, or its client left.
    is_over: bool,
    in_flight: u32,
}

impl Facade {
    /// Returns a router that knows no endpoints.
    #[must_use]
    pub fn start(now: f64, config: RoutingConfig) -> Facade {
        let mut pending = Pending { now, ..Pending::default() };
        let router = Router::start(now, config, &mut pending);
        Facade { router, times: TimeConversion::default(), pending }
    }

    /// Returns the request's index and what to do for the request. The index belongs to it until it is over and no
    /// attempt of it is in flight.
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

    /// Processes an event.
    pub fn report(&mut self, now: f64, event: RoutingEvent) {
        self.pending.now = now;
        match event {
            RoutingEvent::AttemptEnded { request, endpoint, outcome, elapsed, observed, report } => {
                let (observed, report) = self.convert_answer(now, endpoint, observed, report);
                let slot = &mut self.pending.slots[request];
                let known = slot.is_taken && slot.in_flight > 0;
                self.pending.check_invariant(known, "an attempt that was picked ends once");
                if known {
                    let slot = &mut self.pending.slots[request];
                    slot.in_flight -= 1;
                    slot.is_over |= outcome == AttemptOutcome::Completed;
                    let has_final_answer = slot.is_over;
                    let result = AttemptResult {
                        request,
                        endpoint,
                        outcome,
                        elapsed,
                        has_final_answer,
                        observed,
                        report,
                    };
                    self.router.on_attempt_result(now, &result, &mut self.pending);
                    self.pending.free_if_over(request);
                }
            }
            RoutingEvent::HealthCheckEnded { endpoint, outcome, report } => {
                let report = self.convert_report(now, endpoint, PositionSource::Report, report);
                self.router.on_health_check(now, endpoint, outcome, report, &mut self.pending);
            }
            RoutingEvent::EndpointReported { endpoint, observed, report } => {
                let (observed, report) = self.convert_answer(now, endpoint, observed, report);
                self.router.on_endpoint_report(now, endpoint, observed, report, &mut self.pending);
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

    /// Converts what an answer shows, and the load report that came with it, to the router's clock.
    fn convert_answer(
        &mut self,
        now: f64,
        endpoint: usize,
        observed: LoadReport,
        report: Option<LoadReport>,
    ) -> (LoadReport, Option<LoadReport>) {
        let observed = self.convert_report(now, endpoint, PositionSource::Answer, observed);
        let report = report.map(|report| self.convert_report(now, endpoint, PositionSource::Report, report));
        (observed, report)
    }

    /// Converts the position in a report to the router's clock. The position itself may change what is known of the
    /// clock offset.
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

    /// Returns the seconds since a commit that a client identifies by its position, for [`Request::seconds_since_write`].
    #[must_use]
    pub fn since_commit(&self, now: f64, position: f64) -> f64 {
        self.times.since_commit(now, position)
    }

    /// Handles a client that left before its answer.
    fn client_gone(&mut self, now: f64, request: usize) {
        let slot = self.pending.slots[request];
        self.pending
            .check_invariant(slot.is_taken && !slot.is_over, "a client leaves only before its final answer");
        if !slot.is_taken || slot.is_over {
            return;
        }
        self.pending.slots[request].is_over = true;
        match self.pending.slots[request].decision.take() {
            // Decided and not collected: the router no longer holds the request.
            Some(Decision::Reject { .. } | Decision::Abort) => {}
            Some(Decision::Dispatch { endpoint, .. }) => {
                self.router.on_client_gone(request);
                let (outcome, observed) = (AttemptOutcome::NeverSent, LoadReport::default());
                let result = AttemptResult {
                    request,
                    endpoint,
                    outcome,
                    elapsed: 0.0,
                    has_final_answer: true,
                    observed,
                    report: None,
                };
                self.router.on_attempt_result(now, &result, &mut self.pending);
            }
            Some(Decision::Wait) | None => self.router.on_client_gone(request),
        }
        self.pending.free_if_over(request);
    }

    /// Returns the actions that are due; none is named twice for the same reason.
    pub fn tick(&mut self, now: f64) -> VecDeque<RoutingAction> {
        self.pending.now = now;
        if now >= self.pending.wake_at {
            self.pending.wake_at = f64::INFINITY;
            self.router.on_tick(now, &mut self.pending);
        }
        std::mem::take(&mut self.pending.due)
    }

    /// Returns the endpoints that have left the list and that routing no longer needs.
    #[must_use]
    pub fn forgettable_endpoints(&self, now: f64) -> Vec<usize> {
        self.router.forgettable_endpoints(now)
    }

    /// Forgets these endpoints, except those that routing still needs. Returns the forgotten ones; the caller may reuse
    /// their indices for other endpoints.
    pub fn forget_endpoints(&mut self, now: f64, endpoints: &[usize]) -> Vec<usize> {
        let forgotten = self.router.forget_endpoints(now, endpoints);
        forgotten.iter().for_each(|endpoint| self.times.forget(*endpoint));
        forgotten
    }

    /// Returns whether the endpoint is treated as not warm yet.
    #[must_use]
    pub fn is_warming(&self, now: f64, endpoint: usize) -> bool {
        self.router.is_warming(now, endpoint)
    }

    /// Returns whether an attempt that was picked may still be sent; to be checked when its bytes are about to be
    /// written.
    #[must_use]
    pub fn may_send_attempt(&self, now: f64, request: usize, endpoint: usize) -> bool {
        self.router.may_send_attempt(now, request, endpoint)
    }

    /// Returns within how many seconds a health check that was just requested has to be answered, its connection included. `usual`
    /// is the limit of the settings; it is longer for an endpoint that did not answer within that.
    pub fn health_check_time_limit(&mut self, endpoint: usize, usual: f64) -> f64 {
        self.router.health_check_time_limit(endpoint, usual)
    }

    /// Returns whether a health check that was decided on may still be sent.
    #[must_use]
    pub fn may_send_health_check(&self, endpoint: usize) -> bool {
        self.router.may_send_health_check(endpoint)
    }

    /// Returns the number of requests in a group that wait for an endpoint to accept them.
    #[must_use]
    pub fn waiting(&self, group: usize) -> usize {
        self.router.waiting(group)
    }

    /// Returns when `tick` has to be called next, if nothing else happens before.
    #[must_use]
    pub fn wake_at(&self) -> f64 {
        self.pending.wake_at
    }

    /// Returns the number of invariant violations so far.
    #[must_use]
    pub fn invariant_violations(&self) -> u64 {
        self.pending.violations
    }
}

impl Pending {
    /// Checks an invariant: a violation panics in a debug build, and is counted in a release build.
    fn check_invariant(&mut self, holds: bool, what: &str) {
        debug_assert!(holds, "{what}");
        self.violations += u64::from(!holds);
    }

    /// Allocates a free slot for a new request.
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

    /// Keeps a decision until it is collected, and adds the request to the due actions unless it is being picked right
    /// now.
    fn record_decision(&mut self, index: usize, decision: Decision) {
        let free = self.slots[index].decision.is_none() && !self.slots[index].is_over;
        self.check_invariant(free, "a request has one decision at a time, and none after its final answer");
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

    /// Does nothing: on sockets discovery is watched from the start, whether requested or not.
    fn request_endpoint_list(&mut self) {}

    fn log(&mut self, _text: &str) {}
}
