//! A seeded simulation around one router: clients, endpoints that fail and change, discovery.

use std::collections::BTreeMap;

use ottersill_routing::Router;
use ottersill_routing::interface::*;

use crate::transcript::{Action, Recorder, bits, ending_word, listed_words, optional, report_words};

/// Something that happens to the endpoints of the scenario while it runs.
#[derive(Clone, Copy)]
pub enum Change {
    Hang,
    Crash,
    Crowd,
    Slow,
    Recover,
    Failover,
    Drain,
    Remove,
    Restore,
    Restart,
    Join,
}

#[derive(Clone, Copy, PartialEq)]
enum Health {
    Up,
    /// Takes attempts, answers health checks only.
    Hung,
    /// Refuses connections.
    Down,
    /// Rejects attempts.
    Refused,
    Slow,
}

pub struct Scenario {
    pub terms: RoutingConfig,
    /// How often each workload is asked for, relative to the others.
    pub weights: Vec<u64>,
    pub groups: usize,
    pub endpoints_in_group: usize,
    pub sites: usize,
    pub requests_per_second: f64,
    pub seconds: f64,
    /// Time of a usual answer as a fraction of the workload's SLO time.
    pub service_time: f64,
    /// Largest replication lag in seconds.
    pub lag: f64,
    /// Attempts in a thousand that fail at a healthy endpoint.
    pub failures: u64,
    pub changes: Vec<Change>,
    /// Requests in a thousand whose client leaves early.
    pub hangups: u64,
    /// Timer calls in a thousand that come late.
    pub stalls: u64,
    pub sessions: u64,
    /// The session's last write is told with its requests.
    pub tells_writes: bool,
    pub repeats: u64,
    pub hidden_writes: u64,
    pub with_work: bool,
    pub tells_utilization: bool,
    pub with_parts: bool,
}

/// SplitMix64.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn below(&mut self, count: usize) -> usize {
        (self.next() % count as u64) as usize
    }

    /// True this many times in a thousand.
    fn chance(&mut self, per_mille: u64) -> bool {
        self.next() % 1000 < per_mille
    }
}

#[derive(Clone, Copy)]
enum Event {
    Arrival,
    Begin { request: usize, serial: u64 },
    End { request: usize, serial: u64 },
    CheckEnds { endpoint: usize },
    Hangup { request: usize, taken: u64 },
    Timer,
    Change,
    FleetQuota,
    List,
}

#[derive(Clone, Copy)]
struct Attempt {
    endpoint: usize,
    sent: f64,
    timeout: f64,
    outcome: AttemptOutcome,
    serial: u64,
}

#[derive(Clone, Copy)]
struct SimulatedRequest {
    statement: Request,
    hidden_write: bool,
    /// Tells this use of the index from earlier ones.
    taken: u64,
    over: bool,
    free: bool,
    attempt: Option<Attempt>,
}

struct Endpoint {
    listed: EndpointUpdate,
    health: Health,
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
    /// By time, as its bits order like it, and by number.
    events: BTreeMap<(u64, u64), Event>,
    requests: Vec<SimulatedRequest>,
    free: Vec<usize>,
    endpoints: Vec<Endpoint>,
    primaries: Vec<usize>,
}

impl Simulation {
    pub fn new(scenario: Scenario) -> Simulation {
        let mut recorder = Recorder::default();
        let router = Router::start(1000.0, scenario.terms.clone(), &mut recorder);
        let mut simulation = Simulation {
            random: Random(scenario.terms.seed ^ 0xD16E_5757),
            router,
            recorder,
            now: 1000.0,
            serial: 0,
            events: BTreeMap::new(),
            requests: Vec::new(),
            free: Vec::new(),
            endpoints: Vec::new(),
            primaries: vec![0; scenario.groups],
            scenario,
        };
        for group in 0..simulation.scenario.groups {
            simulation.primaries[group] = simulation.endpoints.len();
            (0..simulation.scenario.endpoints_in_group).for_each(|_| simulation.add_endpoint(group, None));
        }
        simulation.carry_out();
        if !simulation.scenario.terms.list_on_request {
            simulation.schedule(0.0, Event::List);
        }
        simulation.schedule(0.01, Event::Arrival);
        simulation.schedule(0.5, Event::Change);
        if simulation.scenario.with_parts {
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

    /// Runs the scenario to its end.
    pub fn run(mut self) -> Recorder {
        let until = self.now + self.scenario.seconds;
        while self.now < until {
            let ((due, _), event) = self.events.pop_first().expect("a timer is always scheduled");
            // After a stall of the router all that was due meanwhile comes late.
            self.now = self.now.max(f64::from_bits(due));
            self.take(event);
            self.carry_out();
        }
        self.recorder
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Begin { request, serial } => self.begin(request, serial),
            Event::End { request, serial } => self.end(request, serial),
            Event::CheckEnds { endpoint } => self.check_ends(endpoint),
            Event::Hangup { request, taken } => self.hang_up(request, taken),
            Event::Timer => self.timer(),
            Event::Change => self.change(),
            Event::FleetQuota => self.parts(),
            Event::List => {
                let all: Vec<usize> = (0..self.endpoints.len()).collect();
                self.list(&all);
            }
        }
    }

    fn carry_out(&mut self) {
        for action in std::mem::take(&mut self.recorder.actions) {
            match action {
                Action::Send { request, endpoint, timeout } => self.send(request, endpoint, timeout),
                Action::Final { request } => {
                    self.requests[request].over = true;
                    self.settle(request);
                }
                Action::Cancel { request } => self.cancel(request),
                Action::Check { endpoint } => self.check(endpoint),
                Action::Wake { after } => {
                    self.schedule(after, Event::Timer);
                }
                Action::Follow => self.request_endpoint_list(),
            }
        }
    }

    fn request_endpoint_list(&mut self) {
        if self.random.chance(500) {
            self.recorder.line(format_args!("list-failed {}", bits(self.now)));
            self.router.on_endpoint_list_failed();
        } else {
            self.schedule(0.005, Event::List);
        }
    }

    fn arrive(&mut self) {
        let gap = 2.0 * self.random.unit() / self.scenario.requests_per_second;
        self.schedule(gap, Event::Arrival);
        let (statement, hidden_write) = self.draw_statement();
        self.serial += 1;
        let taken = self.serial;
        let request = self.free.pop().unwrap_or(self.requests.len());
        let entry =
            SimulatedRequest { statement, hidden_write, taken, over: false, free: false, attempt: None };
        if request == self.requests.len() {
            self.requests.push(entry);
        } else {
            self.requests[request] = entry;
        }
        let early = self.random.chance(self.scenario.hangups);
        let patience = statement.time_left * if early { self.random.unit() } else { 1.0 };
        self.schedule(patience, Event::Hangup { request, taken });
        let Request {
            workload,
            group,
            tenant,
            session,
            time_left,
            seconds_since_write,
            is_flagged_retry: repeat,
            may_write: writes,
            work,
        } = statement;
        let work = work.map_or("-".to_string(), |work| {
            format!(
                "{} {} {}",
                bits(work.fingerprint_seconds),
                bits(work.workload_seconds),
                bits(work.log_standard_error)
            )
        });
        self.recorder.line(format_args!(
            "request {} {request} {workload} {group} {} {} {} {} {repeat} {writes} {work}",
            bits(self.now),
            tenant.map_or("-".to_string(), |tenant| tenant.to_string()),
            session.map_or("-".to_string(), |session| session.to_string()),
            bits(time_left),
            optional(seconds_since_write),
        ));
        self.router.on_request(self.now, request, statement, &mut self.recorder);
    }

    fn draw_statement(&mut self) -> (Request, bool) {
        let workload = self.draw_workload();
        let terms = self.scenario.terms.workloads[workload].clone();
        let repeat = self.random.chance(self.scenario.repeats);
        let left_of_it =
            if repeat || self.random.chance(self.scenario.repeats) { self.random.unit() } else { 1.0 };
        let tenants = self.scenario.terms.tenant_rates.len();
        let session =
            (self.scenario.sessions > 0).then(|| self.random.next() % self.scenario.sessions.max(1));
        let seconds_since_write = self.scenario.tells_writes.then(|| 3.0 * self.random.unit());
        let usual = terms.slo_time * self.scenario.service_time;
        let work = (self.scenario.with_work && self.random.chance(800)).then(|| WorkEstimate {
            fingerprint_seconds: usual * 4.0 * self.random.unit(),
            workload_seconds: usual,
            log_standard_error: self.random.unit(),
        });
        let reads = terms.consistency != Consistency::Primary;
        let statement = Request {
            workload,
            group: self.random.below(self.scenario.groups),
            tenant: (tenants > 0).then(|| self.random.below(tenants.max(1))),
            session,
            time_left: terms.statement_timeout * left_of_it,
            seconds_since_write,
            is_flagged_retry: repeat && self.random.chance(700),
            may_write: reads && self.random.chance(self.scenario.hidden_writes),
            work,
        };
        (statement, reads && self.random.chance(self.scenario.hidden_writes))
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
        unreachable!("the weights add up to their total")
    }

    fn send(&mut self, request: usize, endpoint: usize, timeout: f64) {
        self.serial += 1;
        let serial = self.serial;
        let attempt =
            Attempt { endpoint, sent: self.now, timeout, outcome: AttemptOutcome::NeverSent, serial };
        self.requests[request].attempt = Some(attempt);
        self.endpoints[endpoint].attempts += 1;
        // A connection has to come up first, at times.
        let delay = if self.random.chance(100) { 0.03 * self.random.unit() } else { 0.0 };
        self.schedule(delay, Event::Begin { request, serial });
    }

    fn attempt(&mut self, request: usize, serial: u64) -> Option<&mut Attempt> {
        self.requests[request].attempt.as_mut().filter(|attempt| attempt.serial == serial)
    }

    fn begin(&mut self, request: usize, serial: u64) {
        let Some(attempt) = self.attempt(request, serial).copied() else { return };
        let may = self.router.may_send_attempt(self.now, request, attempt.endpoint);
        self.recorder.line(format_args!("begin {} {request} {} {may}", bits(self.now), attempt.endpoint));
        if !may {
            return self.end(request, serial);
        }
        let (outcome, elapsed) = self.draw_ending(request, &attempt);
        let timeout = if attempt.timeout > 0.0 { attempt.timeout } else { f64::INFINITY };
        let (outcome, elapsed) =
            if elapsed > timeout { (AttemptOutcome::TimedOut, timeout) } else { (outcome, elapsed) };
        if let Some(attempt) = self.attempt(request, serial) {
            attempt.outcome = outcome;
        }
        self.schedule(elapsed, Event::End { request, serial });
    }

    fn draw_ending(&mut self, request: usize, attempt: &Attempt) -> (AttemptOutcome, f64) {
        let SimulatedRequest { statement, hidden_write, .. } = self.requests[request];
        let terms = &self.scenario.terms.workloads[statement.workload];
        let (consistency, slo_time) = (terms.consistency, terms.slo_time);
        let endpoint = &self.endpoints[attempt.endpoint];
        let (health, lag) = (endpoint.health, endpoint.lag);
        let crowd = 1.0 + endpoint.attempts as f64 / (8.0 * endpoint.listed.size);
        let is_primary = self.primaries[endpoint.listed.group] == attempt.endpoint;
        let quick = 0.001 + 0.002 * self.random.unit();
        match health {
            Health::Down => return (AttemptOutcome::ConnectFailed, quick),
            Health::Refused => return (AttemptOutcome::Refused, quick),
            Health::Hung => return (AttemptOutcome::TimedOut, statement.time_left),
            Health::Up | Health::Slow => {}
        }
        let old = matches!(consistency, Consistency::Bounded(bound) if lag > bound)
            && self.scenario.terms.endpoints_check_reads;
        if !is_primary && (consistency == Consistency::Primary || statement.may_write) || old {
            return (AttemptOutcome::WrongEndpoint, quick);
        }
        if hidden_write && !is_primary {
            return (AttemptOutcome::ReadOnly, quick);
        }
        let slow = if health == Health::Slow { 6.0 } else { 1.0 };
        let own =
            statement.work.map_or(slo_time * self.scenario.service_time, |work| work.fingerprint_seconds);
        let elapsed = own * crowd * slow * (0.3 + 1.4 * self.random.unit());
        if self.random.chance(self.scenario.failures) {
            let endings = [
                AttemptOutcome::Error,
                AttemptOutcome::Refused,
                AttemptOutcome::TimedOut,
                AttemptOutcome::Reset,
                AttemptOutcome::ConnectFailed,
                AttemptOutcome::WrongEndpoint,
            ];
            return (endings[self.random.below(endings.len())], elapsed);
        }
        if elapsed > statement.time_left {
            (AttemptOutcome::TimedOut, statement.time_left)
        } else {
            (AttemptOutcome::Completed, elapsed)
        }
    }

    fn report_of(&mut self, endpoint: usize, age: f64) -> LoadReport {
        let Endpoint { listed, lag, .. } = &self.endpoints[endpoint];
        let is_primary = self.primaries[listed.group] == endpoint;
        let lag = if is_primary { 0.0 } else { *lag };
        let utilization = 1.1 * self.random.unit();
        LoadReport {
            role: Some(if is_primary { Role::Primary } else { Role::Replica }),
            lsn: Some(self.now - lag - age),
            utilization: self.scenario.tells_utilization.then_some(utilization),
        }
    }

    fn end(&mut self, request: usize, serial: u64) {
        let Some(attempt) = self.attempt(request, serial).copied() else { return };
        self.requests[request].attempt = None;
        self.endpoints[attempt.endpoint].attempts -= 1;
        let SimulatedRequest { statement, over, .. } = self.requests[request];
        let answered = matches!(
            attempt.outcome,
            AttemptOutcome::Completed | AttemptOutcome::WrongEndpoint | AttemptOutcome::ReadOnly
        );
        let mut observed = LoadReport::default();
        if answered && self.random.chance(900) {
            observed = self.report_of(attempt.endpoint, 0.0);
            observed.utilization = None;
            let writes =
                self.scenario.terms.workloads[statement.workload].consistency == Consistency::Primary;
            let tells_position =
                if writes { attempt.outcome == AttemptOutcome::Completed } else { self.random.chance(300) };
            observed.lsn = observed.lsn.filter(|_| tells_position);
        }
        let reports =
            answered && self.scenario.terms.reports == ReportSource::WithAnswers && self.random.chance(700);
        let age = 0.2 * self.random.unit();
        let report = reports.then(|| self.report_of(attempt.endpoint, age));
        let closed = over || attempt.outcome == AttemptOutcome::Completed;
        let result = AttemptResult {
            request,
            endpoint: attempt.endpoint,
            outcome: attempt.outcome,
            elapsed: self.now - attempt.sent,
            has_final_answer: closed,
            observed,
            report,
        };
        self.recorder.line(format_args!(
            "result {} {request} {} {} {} {closed} {} {}",
            bits(self.now),
            attempt.endpoint,
            ending_word(attempt.outcome),
            bits(result.elapsed),
            report_words(&observed),
            report.map_or("-".to_string(), |report| report_words(&report)),
        ));
        self.requests[request].over = closed;
        self.router.on_attempt_result(self.now, &result, &mut self.recorder);
        self.settle(request);
    }

    /// Frees the request's index once it has its final answer and no attempt is out.
    fn settle(&mut self, index: usize) {
        let request = &mut self.requests[index];
        if request.over && request.attempt.is_none() && !request.free {
            request.free = true;
            self.free.push(index);
        }
    }

    fn cancel(&mut self, request: usize) {
        self.serial += 1;
        let serial = self.serial;
        let Some(attempt) = &mut self.requests[request].attempt else { return };
        attempt.serial = serial;
        attempt.outcome = AttemptOutcome::Cancelled;
        self.schedule(0.0005, Event::End { request, serial });
    }

    fn hang_up(&mut self, request: usize, taken: u64) {
        let SimulatedRequest { taken: now_taken, over, .. } = self.requests[request];
        if over || taken != now_taken {
            return;
        }
        self.requests[request].over = true;
        self.recorder.line(format_args!("client-gone {} {request}", bits(self.now)));
        self.router.on_client_gone(request);
        self.settle(request);
    }

    fn check(&mut self, endpoint: usize) {
        let may = self.router.may_send_health_check(endpoint);
        self.recorder.line(format_args!("may-check {endpoint} {may}"));
        let lost = self.random.chance(self.scenario.failures);
        let elapsed = match self.endpoints[endpoint].health {
            Health::Down => 0.3,
            _ if lost => 0.5,
            _ => 0.001 + 0.003 * self.random.unit(),
        };
        self.schedule(elapsed, Event::CheckEnds { endpoint });
    }

    fn check_ends(&mut self, endpoint: usize) {
        let lost = self.random.chance(self.scenario.failures);
        let outcome = match self.endpoints[endpoint].health {
            Health::Down => [AttemptOutcome::ConnectFailed, AttemptOutcome::TimedOut][self.random.below(2)],
            Health::Refused => [AttemptOutcome::Refused, AttemptOutcome::Completed][self.random.below(2)],
            _ if lost => [AttemptOutcome::Reset, AttemptOutcome::TimedOut, AttemptOutcome::NeverSent]
                [self.random.below(3)],
            _ => AttemptOutcome::Completed,
        };
        let told =
            outcome == AttemptOutcome::Completed && self.scenario.terms.reports != ReportSource::NoReports;
        let mut report = self.report_of(endpoint, 0.0);
        if outcome != AttemptOutcome::Completed {
            report = LoadReport::default();
        } else if !told {
            report.lsn = None;
        }
        self.recorder.line(format_args!(
            "checked {} {endpoint} {} {}",
            bits(self.now),
            ending_word(outcome),
            report_words(&report)
        ));
        self.router.on_health_check(self.now, endpoint, outcome, report, &mut self.recorder);
    }

    fn timer(&mut self) {
        if self.random.chance(self.scenario.stalls) {
            self.now += 0.05 + 0.7 * self.random.unit();
        }
        self.recorder.line(format_args!("timer {}", bits(self.now)));
        self.router.on_tick(self.now, &mut self.recorder);
        let group = self.random.below(self.scenario.groups);
        self.recorder.line(format_args!("waiting {group} {}", self.router.waiting(group)));
    }

    fn list(&mut self, endpoints: &[usize]) {
        let list: Vec<EndpointUpdate> =
            endpoints.iter().map(|endpoint| self.endpoints[*endpoint].listed).collect();
        self.recorder.line(format_args!("list {}", bits(self.now)));
        for listed in &list {
            self.recorder.line(format_args!("listed {}", listed_words(listed)));
        }
        self.router.on_endpoint_list(self.now, &list, &mut self.recorder);
        for endpoint in endpoints {
            let cold = self.router.is_warming(self.now, *endpoint);
            self.recorder.line(format_args!("warming {endpoint} {cold}"));
        }
    }

    /// What the fleet leaves this router at some of the endpoints.
    fn parts(&mut self) {
        self.schedule(0.1, Event::FleetQuota);
        let mut endpoints = Vec::new();
        for endpoint in 0..self.endpoints.len() {
            if self.random.chance(400) {
                let units = self.random.chance(700).then(|| (12.0 * self.random.unit()).floor());
                let tokens = self.random.chance(700).then(|| 3.0 * self.random.unit());
                endpoints.push(EndpointQuota { endpoint, in_flight_quota: units, tokens });
            }
        }
        let routers = self.random.chance(100).then(|| 1 + self.random.below(4));
        let retries = self.random.chance(500).then(|| 4.0 * self.random.unit());
        let words: Vec<String> = endpoints
            .iter()
            .map(|part| {
                format!("{} {} {}", part.endpoint, optional(part.in_flight_quota), optional(part.tokens))
            })
            .collect();
        let count = routers.map_or("-".to_string(), |routers| routers.to_string());
        let (words, tries) = (words.join(","), optional(retries));
        self.recorder.line(format_args!("quotas {} {count} {tries} {words}", bits(self.now)));
        self.router.on_quota(self.now, &FleetQuota { endpoints, routers, retries }, &mut self.recorder);
    }

    fn change(&mut self) {
        let gap = 0.1 + 0.3 * self.random.unit();
        self.schedule(gap, Event::Change);
        let endpoint = self.random.below(self.endpoints.len());
        let group = self.endpoints[endpoint].listed.group;
        self.endpoints[endpoint].lag = self.scenario.lag * self.random.unit();
        if self.scenario.changes.is_empty() {
            return;
        }
        let change = self.scenario.changes[self.random.below(self.scenario.changes.len())];
        let target = &mut self.endpoints[endpoint];
        match change {
            Change::Hang => target.health = Health::Hung,
            Change::Crash => target.health = Health::Down,
            Change::Crowd => target.health = Health::Refused,
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
            Change::Drain | Change::Remove | Change::Restore | Change::Restart => self.list(&[endpoint]),
            Change::Join => self.list(&[self.endpoints.len() - 1]),
            _ => {}
        }
    }
}
