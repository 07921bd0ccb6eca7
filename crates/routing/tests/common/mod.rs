//! A small group under one router, and a transport that writes down what it is asked.
#![allow(dead_code, reason = "each test binary uses its own part")]

mod settings;

use ottersill_routing::Router;
use ottersill_routing::interface::*;
use settings::{request_class, routing_config};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Done {
    Execute(usize, usize),
    Reject(usize),
    Abort(usize),
    Cancel(usize),
    Probe(usize),
}

#[derive(Default)]
pub struct Book(pub Vec<Done>);

impl Transport for Book {
    fn start_attempt(&mut self, request: usize, endpoint: usize, _time_out: f64) {
        self.0.push(Done::Execute(request, endpoint));
    }
    fn reject(&mut self, request: usize, _retry_after: f64) {
        self.0.push(Done::Reject(request));
    }
    fn abort(&mut self, request: usize) {
        self.0.push(Done::Abort(request));
    }
    fn cancel_attempt(&mut self, request: usize, _execution: u32) {
        self.0.push(Done::Cancel(request));
    }
    fn start_health_check(&mut self, endpoint: usize) {
        self.0.push(Done::Probe(endpoint));
    }
    fn schedule_tick(&mut self, _after: f64) {}
    fn request_endpoint_list(&mut self) {}
    fn log(&mut self, _text: &str) {}
}

pub const READ: usize = 0;
pub const REPORT: usize = 1;
pub const WRITE: usize = 2;
pub const MARKED: usize = 3;

pub fn terms(checks: bool) -> RoutingConfig {
    let marked = Effect::Deduplicated { within: DeduplicationScope::Group, window: 0.5 };
    let workloads = vec![
        request_class(Consistency::Bounded(1.0), Effect::Idempotent, 3.0, 0.3, 0.75),
        request_class(Consistency::Any, Effect::Idempotent, 6.0, 3.0, 6.0),
        request_class(Consistency::Primary, Effect::NonIdempotent, 4.0, 0.6, 2.0),
        request_class(Consistency::Primary, marked, 4.0, 0.6, 2.0),
    ];
    RoutingConfig { endpoints_check_reads: checks, ..routing_config(workloads) }
}

pub fn statement(workload: usize, time_left: f64) -> Request {
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

pub fn listed(endpoint: usize, state: EndpointState) -> EndpointUpdate {
    let order = [3, 1, 0, 2, 4][endpoint];
    EndpointUpdate { endpoint, order, group: 0, site: Some(0), size: 1.0, state, started_at: None }
}

pub struct World {
    pub router: Router,
    pub book: Book,
    pub now: f64,
    next: usize,
}

impl World {
    /// Four members at one site, none heard of yet; the clock stands at 100.
    pub fn new(terms: RoutingConfig) -> World {
        let mut book = Book::default();
        let router = Router::start(100.0, terms, &mut book);
        let mut world = World { router, book, now: 100.0, next: 0 };
        (0..4).for_each(|endpoint| world.list(endpoint, EndpointState::Ready, None));
        world
    }

    /// Host 0 is the primary, the others are replicas that lag this much.
    pub fn settled(checks: bool, lags: [f64; 3]) -> World {
        let mut world = World::new(terms(checks));
        world.report(0, Role::Primary, 0.0);
        (1..4).for_each(|endpoint| world.report(endpoint, Role::Replica, lags[endpoint - 1]));
        world.book.0.clear();
        world
    }

    pub fn list(&mut self, endpoint: usize, state: EndpointState, started_at: Option<f64>) {
        let listed = EndpointUpdate { started_at, ..listed(endpoint, state) };
        self.router.on_endpoint_list(self.now, &[listed], &mut self.book);
    }

    pub fn report(&mut self, endpoint: usize, role: Role, lag: f64) {
        let report = LoadReport { role: Some(role), lsn: Some(self.now - lag), utilization: None };
        self.router.on_health_check(self.now, endpoint, AttemptOutcome::Completed, report, &mut self.book);
    }

    pub fn ask(&mut self, workload: usize) -> usize {
        let time_left = terms(true).workloads[workload].statement_timeout;
        self.ask_with(workload, time_left)
    }

    pub fn ask_and_place(&mut self, workload: usize) -> Vec<usize> {
        let request = self.ask(workload);
        self.sent_to(request)
    }

    pub fn ask_with(&mut self, workload: usize, time_left: f64) -> usize {
        self.ask_for(statement(workload, time_left))
    }

    pub fn ask_for(&mut self, request: Request) -> usize {
        self.next += 1;
        self.router.on_request(self.now, self.next - 1, request, &mut self.book);
        self.next - 1
    }

    pub fn end(&mut self, request: usize, endpoint: usize, outcome: AttemptOutcome, role: Option<Role>) {
        let observed = LoadReport { role, lsn: None, utilization: None };
        let closed = outcome == AttemptOutcome::Completed;
        let result = AttemptResult {
            request,
            endpoint,
            outcome,
            elapsed: 0.05,
            has_final_answer: closed,
            observed,
            report: None,
        };
        self.router.on_attempt_result(self.now, &result, &mut self.book);
    }

    /// Lets time pass, beat by beat.
    pub fn pass(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            self.now += 0.02;
            self.router.on_tick(self.now, &mut self.book);
        }
    }

    pub fn sent_to(&self, request: usize) -> Vec<usize> {
        let sent = |done: &Done| match done {
            Done::Execute(sent, endpoint) if *sent == request => Some(*endpoint),
            _ => None,
        };
        self.book.0.iter().filter_map(sent).collect()
    }

    pub fn count(&self, done: Done) -> usize {
        self.book.0.iter().filter(|other| **other == done).count()
    }
}

/// How many of so many statements, asked at once, go to that host before they wait.
pub fn held_at(world: &mut World, workload: usize, endpoint: usize) -> usize {
    let asked: Vec<usize> = (0..60).map(|_| world.ask(workload)).collect();
    asked.iter().filter(|request| world.sent_to(**request) == [endpoint]).count()
}

pub fn work(own: f64, usual: f64, spread: f64) -> Option<WorkEstimate> {
    Some(WorkEstimate { fingerprint_seconds: own, workload_seconds: usual, log_standard_error: spread })
}
