//! A seeded simulation of what surrounds one router: its clients, endpoints that fail and change, and discovery.

use std::collections::BTreeMap;

use ottersill_routing::Router;
use ottersill_routing::interface::*;

use crate::transcript::{
    Action, Recorder, endpoint_update_words, hex_bits, load_report_words, optional_hex_bits, outcome_word,
};

/// A change of the endpoints while the scenario runs.
#[derive(Clone, Copy)]
pub enum Change {
    /// An endpoint answers health checks only.
    Hang,
    /// An endpoint refuses connections.
    Crash,
    /// An endpoint rejects attempts because it is full.
    RejectAttempts,
    /// An endpoint becomes slow.
    Slow,
    /// All endpoints become healthy.
    Recover,
    /// An endpoint becomes the primary of its group.
    Failover,
    /// An endpoint is listed as draining.
    Drain,
    /// An endpoint is removed from the list.
    Remove,
    /// An endpoint is listed as ready.
    Restore,
    /// An endpoint is listed as just started.
    Restart,
    /// A group gets another endpoint, which has just started.
    Join,
}

#[derive(Clone, Copy, PartialEq)]
enum Health {
    Up,
    /// Accepts attempts without answering them; answers health checks.
    Hung,
    /// Refuses connections.
    Down,
    /// Rejects attempts.
    Rejecting,
    Slow,
}

pub struct Scenario {
    pub config: RoutingConfig,
    /// Frequency of each workload's requests, relative to the other workloads.
    pub weights: Vec<u64>,
    pub groups: usize,
    pub endpoints_in_group: usize,
    pub sites: usize,
    pub requests_per_second: f64,
    pub duration_seconds: f64,
    /// Latency of a usual answer, as a fraction of the workload's SLO time.
    pub relative_service_time: f64,
    /// Largest replication lag.
    pub max_lag_seconds: f64,
    /// Attempts and health checks in a thousand that fail at a reachable endpoint.
    pub failures_per_mille: u64,
    pub changes: Vec<Change>,
    /// Requests in a thousand whose client disconnects early.
    pub hangups_per_mille: u64,
    /// Ticks in a thousand that come late.
    pub stalls_per_mille: u64,
    /// Number of sessions; 0 for requests without a session.
    pub sessions: u64,
    /// Requests state the time since their session's last write.
    pub states_last_write: bool,
    /// Requests in a thousand that are retries by the client. As many of the other requests also have only a part of their
    /// time left.
    pub client_retries_per_mille: u64,
    /// Reads in a thousand whose text is classified as one that may write. As many reads, drawn separately, write without
    /// being classified so.
    pub hidden_writes_per_mille: u64,
    /// Most requests carry an estimate of their work.
    pub has_work_estimates: bool,
    /// Load reports contain the utilization.
    pub reports_utilization: bool,
    /// The fleet grants quotas.
    pub has_fleet_quotas: bool,
}

/// The SplitMix64 generator.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number from 0 up to, but not including, 1.
    fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn below(&mut self, count: usize) -> usize {
        (self.next() % count as u64) as usize
    }

    /// Returns true with a probability of `per_mille` in a thousand.
    fn chance(&mut self, per_mille: u64) -> bool {
        self.next() % 1000 < per_mille
    }
}

#[derive(Clone, Copy)]
enum Event {
    Arrival,
    AttemptStart { request: usize, serial: u64 },
    AttemptEnd { request: usize, serial: u64 },
    HealthCheckEnd { endpoint: usize },
    ClientHangup { request: usize, generation: u64 },
    Tick,
    Change,
    FleetQuota,
    EndpointList,
}

#[derive(Clone, Copy)]
struct Attempt {
    endpoint: usize,
    /// Time in seconds.
    sent_at: f64,
    /// Timeout in seconds; 0 if the attempt has none.
    timeout: f64,
    outcome: AttemptOutcome,
    /// Distinguishes the attempt's events from those that no longer apply.
    serial: u64,
}

#[derive(Clone, Copy)]
struct SimulatedRequest {
    statement: Request,
    /// The text writes, although its workload reads and `may_write` may be unset.
    hidden_write: bool,
    /// Distinguishes this use of the index from earlier ones.
    generation: u64,
    has_final_answer: bool,
    is_index_free: bool,
    attempt: Option<Attempt>,
}

struct Endpoint {
    listed: EndpointUpdate,
    health: Health,
    /// Replication lag in seconds, while it is a replica.
    lag: f64,
    attempts: usize,
}

pub struct Simulation {
    scenario: Scenario,
    random: Random,
    router: Router,
    recorder: Recorder,
    now: f64,
    serial: u64,
    /// By time and serial number. The bits of a positive `f64` sort in the same order as its value.
    events: BTreeMap<(u64, u64), Event>,
    requests: Vec<SimulatedRequest>,
    free_indices: Vec<usize>,
    endpoints: Vec<Endpoint>,
    /// The primary of each group.
    primaries: Vec<usize>,
}

impl Simulation {
    pub fn new(scenario: Scenario) -> Simulation {
        let mut recorder = Recorder::default();
        let router = Router::start(1000.0, scenario.config.clone(), &mut recorder);
        let mut simulation = Simulation {
            random: Random(scenario.config.seed ^ 0xD16E_5757),
            router,
            recorder,
            now: 1000.0,
            serial: 0,
            events: BTreeMap::new(),
            requests: Vec::new(),
            free_indices: Vec::new(),
            endpoints: Vec::new(),
            primaries: vec![0; scenario.groups],
            scenario,
        };
        for group in 0..simulation.scenario.groups {
            simulation.primaries[group] = simulation.endpoints.len();
            (0..simulation.scenario.endpoints_in_group).for_each(|_| simulation.add_endpoint(group, None));
        }
        simulation.apply_actions();
        if !simulation.scenario.config.list_on_request {
            simulation.schedule(0.0, Event::EndpointList);
        }
        simulation.schedule(0.01, Event::Arrival);
        simulation.schedule(0.5, Event::Change);
        if simulation.scenario.has_fleet_quotas {
            simulation.schedule(0.3, Event::FleetQuota);
        }
        simulation
    }

    fn add_endpoint(&mut self, group: usize, started_at: Option<f64>) {
        let listed = EndpointUpdate {
            endpoint: self.endpoints.len(),
            order: self.random.next(),
            group,
            site: Some(self.random.below(self.scenario.sites)),
            size: [1.0, 1.0, 2.0, 0.5][self.random.below(4)],
            state: EndpointState::Ready,
            started_at,
        };
        self.endpoints.push(Endpoint { listed, health: Health::Up, lag: 0.0, attempts: 0 });
    }

    fn schedule(&mut self, after: f64, event: Event) {
        self.serial += 1;
        self.events.insert(((self.now + after).to_bits(), self.serial), event);
    }

    /// Runs the scenario to its end and returns what was recorded.
    pub fn run(mut self) -> Recorder {
        let until = self.now + self.scenario.duration_seconds;
        while self.now < until {
            let ((due, _), event) = self.events.pop_first().expect("no tick is scheduled");
            // Events that were due during a stall of the router come late.
            self.now = self.now.max(f64::from_bits(due));
            self.handle_event(event);
            self.apply_actions();
        }
        self.recorder
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrival => self.on_arrival(),
            Event::AttemptStart { request, serial } => self.start_attempt(request, serial),
            Event::AttemptEnd { request, serial } => self.end_attempt(request, serial),
            Event::HealthCheckEnd { endpoint } => self.end_health_check(endpoint),
            Event::ClientHangup { request, generation } => self.disconnect_client(request, generation),
            Event::Tick => self.tick(),
            Event::Change => self.change_endpoint(),
            Event::FleetQuota => self.grant_quotas(),
            Event::EndpointList => {
                let all: Vec<usize> = (0..self.endpoints.len()).collect();
                self.send_list(&all);
            }
        }
    }

    fn apply_actions(&mut self) {
        for action in std::mem::take(&mut self.recorder.actions) {
            match action {
                Action::Send { request, endpoint, timeout } => self.send_attempt(request, endpoint, timeout),
                Action::FinalAnswer { request } => {
                    self.requests[request].has_final_answer = true;
                    self.release_index_if_done(request);
                }
                Action::CancelAttempt { request } => self.cancel_attempt(request),
                Action::StartHealthCheck { endpoint } => self.start_health_check(endpoint),
                Action::ScheduleTick { after } => {
                    self.schedule(after, Event::Tick);
                }
                Action::RequestEndpointList => self.request_endpoint_list(),
            }
        }
    }

    fn request_endpoint_list(&mut self) {
        if self.random.chance(500) {
            self.recorder.line(format_args!("list-failed {}", hex_bits(self.now)));
            self.router.on_endpoint_list_failed();
        } else {
            self.schedule(0.005, Event::EndpointList);
        }
    }

    fn on_arrival(&mut self) {
        let gap = 2.0 * self.random.unit() / self.scenario.requests_per_second;
        self.schedule(gap, Event::Arrival);
        let (statement, hidden_write) = self.draw_statement();
        self.serial += 1;
        let generation = self.serial;
        let request = self.free_indices.pop().unwrap_or(self.requests.len());
        let entry = SimulatedRequest {
            statement,
            hidden_write,
            generation,
            has_final_answer: false,
            is_index_free: false,
            attempt: None,
        };
        if request == self.requests.len() {
            self.requests.push(entry);
        } else {
            self.requests[request] = entry;
        }
        let hangs_up_early = self.random.chance(self.scenario.hangups_per_mille);
        let hangs_up_after = statement.time_left * if hangs_up_early { self.random.unit() } else { 1.0 };
        self.schedule(hangs_up_after, Event::ClientHangup { request, generation });
        let Request {
            workload,
            group,
            tenant,
            session,
            time_left,
            seconds_since_write,
            is_flagged_retry,
            may_write,
            work,
        } = statement;
        let work = work.map_or("-".to_string(), |work| {
            format!(
                "{} {} {}",
                hex_bits(work.fingerprint_seconds),
                hex_bits(work.workload_seconds),
                hex_bits(work.log_standard_error)
            )
        });
        self.recorder.line(format_args!(
            "request {} {request} {workload} {group} {} {} {} {} {is_flagged_retry} {may_write} {work}",
            hex_bits(self.now),
            tenant.map_or("-".to_string(), |tenant| tenant.to_string()),
            session.map_or("-".to_string(), |session| session.to_string()),
            hex_bits(time_left),
            optional_hex_bits(seconds_since_write),
        ));
        self.router.on_request(self.now, request, statement, &mut self.recorder);
    }

    /// Returns a request, and whether it is a read whose text writes.
    fn draw_statement(&mut self) -> (Request, bool) {
        let workload = self.draw_workload();
        let settings = self.scenario.config.workloads[workload].clone();
        let is_retry = self.random.chance(self.scenario.client_retries_per_mille);
        let timeout_fraction = if is_retry || self.random.chance(self.scenario.client_retries_per_mille) {
            self.random.unit()
        } else {
            1.0
        };
        let tenants = self.scenario.config.tenant_rates.len();
        let session =
            (self.scenario.sessions > 0).then(|| self.random.next() % self.scenario.sessions.max(1));
        let seconds_since_write = self.scenario.states_last_write.then(|| 3.0 * self.random.unit());
        let workload_seconds = settings.slo_time * self.scenario.relative_service_time;
        let work = (self.scenario.has_work_estimates && self.random.chance(800)).then(|| WorkEstimate {
            fingerprint_seconds: workload_seconds * 4.0 * self.random.unit(),
            workload_seconds,
            log_standard_error: self.random.unit(),
        });
        let is_read = settings.consistency != Consistency::Primary;
        let statement = Request {
            workload,
            group: self.random.below(self.scenario.groups),
            tenant: (tenants > 0).then(|| self.random.below(tenants.max(1))),
            session,
            time_left: settings.statement_timeout * timeout_fraction,
            seconds_since_write,
            is_flagged_retry: is_retry && self.random.chance(700),
            may_write: is_read && self.random.chance(self.scenario.hidden_writes_per_mille),
            work,
        };
        (statement, is_read && self.random.chance(self.scenario.hidden_writes_per_mille))
    }

    fn draw_workload(&mut self) -> usize {
        let total: u64 = self.scenario.weights.iter().sum();
        let mut drawn = self.random.next() % total;
        for (workload, weight) in self.scenario.weights.iter().enumerate() {
            if drawn < *weight {
                return workload;
            }
            drawn -= weight;
        }
        unreachable!("the draw is below the sum of the weights")
    }

    fn send_attempt(&mut self, request: usize, endpoint: usize, timeout: f64) {
        self.serial += 1;
        let serial = self.serial;
        let attempt =
            Attempt { endpoint, sent_at: self.now, timeout, outcome: AttemptOutcome::NeverSent, serial };
        self.requests[request].attempt = Some(attempt);
        self.endpoints[endpoint].attempts += 1;
        // Some attempts need a new connection first.
        let delay = if self.random.chance(100) { 0.03 * self.random.unit() } else { 0.0 };
        self.schedule(delay, Event::AttemptStart { request, serial });
    }

    /// Returns the request's attempt if it still has that serial number.
    fn attempt(&mut self, request: usize, serial: u64) -> Option<&mut Attempt> {
        self.requests[request].attempt.as_mut().filter(|attempt| attempt.serial == serial)
    }

    fn start_attempt(&mut self, request: usize, serial: u64) {
        let Some(attempt) = self.attempt(request, serial).copied() else { return };
        let is_allowed = self.router.may_send_attempt(self.now, request, attempt.endpoint);
        self.recorder.line(format_args!(
            "begin {} {request} {} {is_allowed}",
            hex_bits(self.now),
            attempt.endpoint
        ));
        if !is_allowed {
            return self.end_attempt(request, serial);
        }
        let (outcome, elapsed) = self.draw_outcome(request, &attempt);
        let timeout = if attempt.timeout > 0.0 { attempt.timeout } else { f64::INFINITY };
        let (outcome, elapsed) =
            if elapsed > timeout { (AttemptOutcome::TimedOut, timeout) } else { (outcome, elapsed) };
        if let Some(attempt) = self.attempt(request, serial) {
            attempt.outcome = outcome;
        }
        self.schedule(elapsed, Event::AttemptEnd { request, serial });
    }

    /// Returns the outcome of an attempt and the seconds until it ends, apart from its timeout.
    fn draw_outcome(&mut self, request: usize, attempt: &Attempt) -> (AttemptOutcome, f64) {
        let SimulatedRequest { statement, hidden_write, .. } = self.requests[request];
        let settings = &self.scenario.config.workloads[statement.workload];
        let (consistency, slo_time) = (settings.consistency, settings.slo_time);
        let endpoint = &self.endpoints[attempt.endpoint];
        let (health, lag) = (endpoint.health, endpoint.lag);
        let load_factor = 1.0 + endpoint.attempts as f64 / (8.0 * endpoint.listed.size);
        let is_primary = self.primaries[endpoint.listed.group] == attempt.endpoint;
        let quick_seconds = 0.001 + 0.002 * self.random.unit();
        match health {
            Health::Down => return (AttemptOutcome::ConnectFailed, quick_seconds),
            Health::Rejecting => return (AttemptOutcome::Refused, quick_seconds),
            Health::Hung => return (AttemptOutcome::TimedOut, statement.time_left),
            Health::Up | Health::Slow => {}
        }
        let is_too_stale = matches!(consistency, Consistency::Bounded(bound) if lag > bound)
            && self.scenario.config.endpoints_check_reads;
        if !is_primary && (consistency == Consistency::Primary || statement.may_write) || is_too_stale {
            return (AttemptOutcome::WrongEndpoint, quick_seconds);
        }
        if hidden_write && !is_primary {
            return (AttemptOutcome::ReadOnly, quick_seconds);
        }
        let slowdown = if health == Health::Slow { 6.0 } else { 1.0 };
        let work_seconds = statement
            .work
            .map_or(slo_time * self.scenario.relative_service_time, |work| work.fingerprint_seconds);
        let elapsed = work_seconds * load_factor * slowdown * (0.3 + 1.4 * self.random.unit());
        if self.random.chance(self.scenario.failures_per_mille) {
            let outcomes = [
                AttemptOutcome::Error,
                AttemptOutcome::Refused,
                AttemptOutcome::TimedOut,
                AttemptOutcome::Reset,
                AttemptOutcome::ConnectFailed,
                AttemptOutcome::WrongEndpoint,
            ];
            return (outcomes[self.random.below(outcomes.len())], elapsed);
        }
        if elapsed > statement.time_left {
            (AttemptOutcome::TimedOut, statement.time_left)
        } else {
            (AttemptOutcome::Completed, elapsed)
        }
    }

    /// The report that the endpoint would have sent `age` seconds ago.
    fn load_report(&mut self, endpoint: usize, age: f64) -> LoadReport {
        let Endpoint { listed, lag, .. } = &self.endpoints[endpoint];
        let is_primary = self.primaries[listed.group] == endpoint;
        let lag = if is_primary { 0.0 } else { *lag };
        let utilization = 1.1 * self.random.unit();
        LoadReport {
            role: Some(if is_primary { Role::Primary } else { Role::Replica }),
            lsn: Some(self.now - lag - age),
            utilization: self.scenario.reports_utilization.then_some(utilization),
        }
    }

    fn end_attempt(&mut self, request: usize, serial: u64) {
        let Some(attempt) = self.attempt(request, serial).copied() else { return };
        self.requests[request].attempt = None;
        self.endpoints[attempt.endpoint].attempts -= 1;
        let SimulatedRequest { statement, has_final_answer, .. } = self.requests[request];
        let answered = matches!(
            attempt.outcome,
            AttemptOutcome::Completed | AttemptOutcome::WrongEndpoint | AttemptOutcome::ReadOnly
        );
        let mut observed = LoadReport::default();
        if answered && self.random.chance(900) {
            observed = self.load_report(attempt.endpoint, 0.0);
            observed.utilization = None;
            let is_write =
                self.scenario.config.workloads[statement.workload].consistency == Consistency::Primary;
            let has_position =
                if is_write { attempt.outcome == AttemptOutcome::Completed } else { self.random.chance(300) };
            observed.lsn = observed.lsn.filter(|_| has_position);
        }
        let has_report =
            answered && self.scenario.config.reports == ReportSource::WithAnswers && self.random.chance(700);
        let age = 0.2 * self.random.unit();
        let report = has_report.then(|| self.load_report(attempt.endpoint, age));
        let closed = has_final_answer || attempt.outcome == AttemptOutcome::Completed;
        let result = AttemptResult {
            request,
            endpoint: attempt.endpoint,
            outcome: attempt.outcome,
            elapsed: self.now - attempt.sent_at,
            has_final_answer: closed,
            observed,
            report,
        };
        self.recorder.line(format_args!(
            "result {} {request} {} {} {} {closed} {} {}",
            hex_bits(self.now),
            attempt.endpoint,
            outcome_word(attempt.outcome),
            hex_bits(result.elapsed),
            load_report_words(&observed),
            report.map_or("-".to_string(), |report| load_report_words(&report)),
        ));
        self.requests[request].has_final_answer = closed;
        self.router.on_attempt_result(self.now, &result, &mut self.recorder);
        self.release_index_if_done(request);
    }

    /// Frees the request's index if the request has its final answer and no attempt in flight.
    fn release_index_if_done(&mut self, index: usize) {
        let request = &mut self.requests[index];
        if request.has_final_answer && request.attempt.is_none() && !request.is_index_free {
            request.is_index_free = true;
            self.free_indices.push(index);
        }
    }

    fn cancel_attempt(&mut self, request: usize) {
        self.serial += 1;
        let serial = self.serial;
        let Some(attempt) = &mut self.requests[request].attempt else { return };
        attempt.serial = serial;
        attempt.outcome = AttemptOutcome::Cancelled;
        self.schedule(0.0005, Event::AttemptEnd { request, serial });
    }

    fn disconnect_client(&mut self, request: usize, generation: u64) {
        let SimulatedRequest { generation: current_generation, has_final_answer, .. } =
            self.requests[request];
        if has_final_answer || generation != current_generation {
            return;
        }
        self.requests[request].has_final_answer = true;
        self.recorder.line(format_args!("client-gone {} {request}", hex_bits(self.now)));
        self.router.on_client_gone(request);
        self.release_index_if_done(request);
    }

    fn start_health_check(&mut self, endpoint: usize) {
        let is_allowed = self.router.may_send_health_check(endpoint);
        self.recorder.line(format_args!("may-check {endpoint} {is_allowed}"));
        let fails = self.random.chance(self.scenario.failures_per_mille);
        let elapsed = match self.endpoints[endpoint].health {
            Health::Down => 0.3,
            _ if fails => 0.5,
            _ => 0.001 + 0.003 * self.random.unit(),
        };
        self.schedule(elapsed, Event::HealthCheckEnd { endpoint });
    }

    fn end_health_check(&mut self, endpoint: usize) {
        let fails = self.random.chance(self.scenario.failures_per_mille);
        let outcome = match self.endpoints[endpoint].health {
            Health::Down => [AttemptOutcome::ConnectFailed, AttemptOutcome::TimedOut][self.random.below(2)],
            Health::Rejecting => [AttemptOutcome::Refused, AttemptOutcome::Completed][self.random.below(2)],
            _ if fails => [AttemptOutcome::Reset, AttemptOutcome::TimedOut, AttemptOutcome::NeverSent]
                [self.random.below(3)],
            _ => AttemptOutcome::Completed,
        };
        let reports_position =
            outcome == AttemptOutcome::Completed && self.scenario.config.reports != ReportSource::NoReports;
        let mut report = self.load_report(endpoint, 0.0);
        if outcome != AttemptOutcome::Completed {
            report = LoadReport::default();
        } else if !reports_position {
            report.lsn = None;
        }
        self.recorder.line(format_args!(
            "checked {} {endpoint} {} {}",
            hex_bits(self.now),
            outcome_word(outcome),
            load_report_words(&report)
        ));
        self.router.on_health_check(self.now, endpoint, outcome, report, &mut self.recorder);
    }

    fn tick(&mut self) {
        if self.random.chance(self.scenario.stalls_per_mille) {
            self.now += 0.05 + 0.7 * self.random.unit();
        }
        self.recorder.line(format_args!("timer {}", hex_bits(self.now)));
        self.router.on_tick(self.now, &mut self.recorder);
        let group = self.random.below(self.scenario.groups);
        self.recorder.line(format_args!("waiting {group} {}", self.router.waiting(group)));
    }

    fn send_list(&mut self, endpoints: &[usize]) {
        let list: Vec<EndpointUpdate> =
            endpoints.iter().map(|endpoint| self.endpoints[*endpoint].listed).collect();
        self.recorder.line(format_args!("list {}", hex_bits(self.now)));
        for listed in &list {
            self.recorder.line(format_args!("listed {}", endpoint_update_words(listed)));
        }
        self.router.on_endpoint_list(self.now, &list, &mut self.recorder);
        for endpoint in endpoints {
            let is_warming = self.router.is_warming(self.now, *endpoint);
            self.recorder.line(format_args!("warming {endpoint} {is_warming}"));
        }
    }

    /// Draws quotas for some of the endpoints and passes them to the router.
    fn grant_quotas(&mut self) {
        self.schedule(0.1, Event::FleetQuota);
        let mut endpoints = Vec::new();
        for endpoint in 0..self.endpoints.len() {
            if self.random.chance(400) {
                let in_flight_quota = self.random.chance(700).then(|| (12.0 * self.random.unit()).floor());
                let tokens = self.random.chance(700).then(|| 3.0 * self.random.unit());
                endpoints.push(EndpointQuota { endpoint, in_flight_quota, tokens });
            }
        }
        let routers = self.random.chance(100).then(|| 1 + self.random.below(4));
        let retries = self.random.chance(500).then(|| 4.0 * self.random.unit());
        let words: Vec<String> = endpoints
            .iter()
            .map(|quota| {
                format!(
                    "{} {} {}",
                    quota.endpoint,
                    optional_hex_bits(quota.in_flight_quota),
                    optional_hex_bits(quota.tokens)
                )
            })
            .collect();
        let router_count = routers.map_or("-".to_string(), |routers| routers.to_string());
        let (words, retry_tokens) = (words.join(","), optional_hex_bits(retries));
        self.recorder
            .line(format_args!("quotas {} {router_count} {retry_tokens} {words}", hex_bits(self.now)));
        self.router.on_quota(self.now, &FleetQuota { endpoints, routers, retries }, &mut self.recorder);
    }

    fn change_endpoint(&mut self) {
        let gap = 0.1 + 0.3 * self.random.unit();
        self.schedule(gap, Event::Change);
        let endpoint = self.random.below(self.endpoints.len());
        let group = self.endpoints[endpoint].listed.group;
        self.endpoints[endpoint].lag = self.scenario.max_lag_seconds * self.random.unit();
        if self.scenario.changes.is_empty() {
            return;
        }
        let change = self.scenario.changes[self.random.below(self.scenario.changes.len())];
        let target = &mut self.endpoints[endpoint];
        match change {
            Change::Hang => target.health = Health::Hung,
            Change::Crash => target.health = Health::Down,
            Change::RejectAttempts => target.health = Health::Rejecting,
            Change::Slow => target.health = Health::Slow,
            Change::Recover => self.endpoints.iter_mut().for_each(|endpoint| endpoint.health = Health::Up),
            Change::Failover => self.primaries[group] = endpoint,
            Change::Drain => target.listed.state = EndpointState::Draining,
            Change::Remove => target.listed.state = EndpointState::Removed,
            Change::Restore => target.listed.state = EndpointState::Ready,
            Change::Restart => target.listed.started_at = Some(self.now),
            Change::Join
                if self.endpoints.len() < 3 * self.scenario.groups * self.scenario.endpoints_in_group =>
            {
                self.add_endpoint(group, Some(self.now));
            }
            Change::Join => {}
        }
        match change {
            Change::Drain | Change::Remove | Change::Restore | Change::Restart => self.send_list(&[endpoint]),
            Change::Join => self.send_list(&[self.endpoints.len() - 1]),
            _ => {}
        }
    }
}
