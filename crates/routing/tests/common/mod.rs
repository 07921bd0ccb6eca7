//! A router with one group of four endpoints, and a transport that records its calls.
#![allow(dead_code, reason = "each test binary uses only some of these items")]

mod settings;

use ottersill_routing::Router;
use ottersill_routing::interface::*;
use settings::{routing_config, workload_settings};

/// A recorded call of [`Transport`], with the index of the request or of the endpoint, or both.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TransportCall {
    StartAttempt(usize, usize),
    Reject(usize),
    Abort(usize),
    CancelAttempt(usize),
    StartHealthCheck(usize),
}

/// Records the calls that the tests examine, in order.
#[derive(Default)]
pub struct RecordingTransport(pub Vec<TransportCall>);

impl Transport for RecordingTransport {
    fn start_attempt(&mut self, request: usize, endpoint: usize, _timeout: f64) {
        self.0.push(TransportCall::StartAttempt(request, endpoint));
    }
    fn reject(&mut self, request: usize, _retry_after: f64) {
        self.0.push(TransportCall::Reject(request));
    }
    fn abort(&mut self, request: usize) {
        self.0.push(TransportCall::Abort(request));
    }
    fn cancel_attempt(&mut self, request: usize, _attempt: u32) {
        self.0.push(TransportCall::CancelAttempt(request));
    }
    fn start_health_check(&mut self, endpoint: usize) {
        self.0.push(TransportCall::StartHealthCheck(endpoint));
    }
    fn schedule_tick(&mut self, _after: f64) {}
    fn request_endpoint_list(&mut self) {}
    fn log(&mut self, _text: &str) {}
}

/// Index of the workload of bounded reads.
pub const READ: usize = 0;
/// Index of the workload of long reads that accept data of any age.
pub const LONG_READ: usize = 1;
/// Index of the workload of writes that must not run twice.
pub const WRITE: usize = 2;
/// Index of the workload of writes with an idempotency key.
pub const DEDUPLICATED_WRITE: usize = 3;

/// Settings of a router with these four workloads. `checks` states whether endpoints reject a read for which they lag
/// too far.
pub fn config(checks: bool) -> RoutingConfig {
    let deduplicated_in_group = Effect::Deduplicated { within: DeduplicationScope::Group, window: 0.5 };
    let workloads = vec![
        workload_settings(Consistency::Bounded(1.0), Effect::Idempotent, 3.0, 0.3, 0.75),
        workload_settings(Consistency::Any, Effect::Idempotent, 6.0, 3.0, 6.0),
        workload_settings(Consistency::Primary, Effect::NonIdempotent, 4.0, 0.6, 2.0),
        workload_settings(Consistency::Primary, deduplicated_in_group, 4.0, 0.6, 2.0),
    ];
    RoutingConfig { endpoints_check_reads: checks, ..routing_config(workloads) }
}

/// A request whose client waits for `time_left` seconds.
pub fn request(workload: usize, time_left: f64) -> Request {
    Request {
        workload,
        group: 0,
        tenant: None,
        session: None,
        time_left,
        seconds_since_write: None,
        is_flagged_retry: false,
        may_write: false,
        work: None,
    }
}

/// The entry of an endpoint in the endpoint list.
pub fn endpoint_update(endpoint: usize, state: EndpointState) -> EndpointUpdate {
    let order = [3, 1, 0, 2, 4][endpoint];
    EndpointUpdate { endpoint, order, group: 0, site: Some(0), size: 1.0, state, started_at: None }
}

/// A router, the calls that it made, and the simulated time in seconds.
pub struct Simulation {
    pub router: Router,
    pub transport: RecordingTransport,
    pub now: f64,
    next_request: usize,
}

impl Simulation {
    /// Lists four endpoints at one site. None of them has reported yet, and the time is 100 s.
    pub fn new(config: RoutingConfig) -> Simulation {
        let mut transport = RecordingTransport::default();
        let router = Router::start(100.0, config, &mut transport);
        let mut simulation = Simulation { router, transport, now: 100.0, next_request: 0 };
        (0..4).for_each(|endpoint| simulation.update_endpoint(endpoint, EndpointState::Ready, None));
        simulation
    }

    /// All endpoints have reported: endpoint 0 is the primary, and the others are replicas with these lags in seconds.
    pub fn with_reports(checks: bool, lags: [f64; 3]) -> Simulation {
        let mut simulation = Simulation::new(config(checks));
        simulation.report(0, Role::Primary, 0.0);
        (1..4).for_each(|endpoint| simulation.report(endpoint, Role::Replica, lags[endpoint - 1]));
        simulation.transport.0.clear();
        simulation
    }

    /// Delivers an endpoint list with this one entry.
    pub fn update_endpoint(&mut self, endpoint: usize, state: EndpointState, started_at: Option<f64>) {
        let update = EndpointUpdate { started_at, ..endpoint_update(endpoint, state) };
        self.router.on_endpoint_list(self.now, &[update], &mut self.transport);
    }

    /// Delivers the answer to a health check; `lag` is in seconds.
    pub fn report(&mut self, endpoint: usize, role: Role, lag: f64) {
        let report = LoadReport { role: Some(role), lsn: Some(self.now - lag), utilization: None };
        self.router.on_health_check(
            self.now,
            endpoint,
            AttemptOutcome::Completed,
            report,
            &mut self.transport,
        );
    }

    /// Sends a request with the statement timeout of its workload and returns its index.
    pub fn send_request(&mut self, workload: usize) -> usize {
        let time_left = config(true).workloads[workload].statement_timeout;
        self.send_request_with_time_left(workload, time_left)
    }

    /// Sends a request and returns the endpoints of the attempts that were started at once.
    pub fn send_and_get_endpoints(&mut self, workload: usize) -> Vec<usize> {
        let request = self.send_request(workload);
        self.sent_to(request)
    }

    pub fn send_request_with_time_left(&mut self, workload: usize, time_left: f64) -> usize {
        self.send(request(workload, time_left))
    }

    pub fn send(&mut self, request: Request) -> usize {
        self.next_request += 1;
        self.router.on_request(self.now, self.next_request - 1, request, &mut self.transport);
        self.next_request - 1
    }

    /// Ends an attempt after 0.05 s. The request has its final answer if the attempt completed.
    pub fn end_attempt(
        &mut self,
        request: usize,
        endpoint: usize,
        outcome: AttemptOutcome,
        role: Option<Role>,
    ) {
        let observed = LoadReport { role, lsn: None, utilization: None };
        let is_completed = outcome == AttemptOutcome::Completed;
        let result = AttemptResult {
            request,
            endpoint,
            outcome,
            elapsed: 0.05,
            has_final_answer: is_completed,
            observed,
            report: None,
        };
        self.router.on_attempt_result(self.now, &result, &mut self.transport);
    }

    /// Advances the time in steps of 0.02 s, with a tick after each.
    pub fn advance(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            self.now += 0.02;
            self.router.on_tick(self.now, &mut self.transport);
        }
    }

    /// Returns the endpoints to which attempts of the request were sent, in order.
    pub fn sent_to(&self, request: usize) -> Vec<usize> {
        let sent = |call: &TransportCall| match call {
            TransportCall::StartAttempt(sent, endpoint) if *sent == request => Some(*endpoint),
            _ => None,
        };
        self.transport.0.iter().filter_map(sent).collect()
    }

    pub fn count(&self, call: TransportCall) -> usize {
        self.transport.0.iter().filter(|other| **other == call).count()
    }
}

/// Sends 60 requests at once and returns how many of them have one attempt, at this endpoint.
pub fn count_sent_to(simulation: &mut Simulation, workload: usize, endpoint: usize) -> usize {
    let requests: Vec<usize> = (0..60).map(|_| simulation.send_request(workload)).collect();
    requests.iter().filter(|request| simulation.sent_to(**request) == [endpoint]).count()
}

/// An estimate of the cost of a request, in seconds of an endpoint's work.
pub fn work_estimate(fingerprint: f64, workload: f64, standard_error: f64) -> Option<WorkEstimate> {
    Some(WorkEstimate {
        fingerprint_seconds: fingerprint,
        workload_seconds: workload,
        log_standard_error: standard_error,
    })
}
