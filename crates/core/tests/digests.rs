//! Guards against unintended changes of behaviour: for the same seed and the same events the router has to answer as
//! before. Each scenario drives one `Router` through its public API with some thousand seeded events, writes every event and
//! every action in the words of this file, and compares the FNV-1a hash of that transcript with a recorded one.
//!
//! If a change of behaviour is meant, the message of the failed assertion has the new digest; the commit says why it
//! changed. `KEEP_TRANSCRIPTS=1` writes each transcript to the target's `tmp` directory, to compare two versions line by line.

use std::collections::BTreeMap;
use std::fmt::Write;

use ottersill_core::Router;
use ottersill_core::interface::*;
use rstest::rstest;

/// Something that happens to the endpoints of the scenario while it runs.
#[derive(Clone, Copy)]
enum Change {
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
    Full,
    Slow,
}

struct Scenario {
    terms: Terms,
    /// How often each workload is asked for, relative to the others.
    weights: Vec<u64>,
    groups: usize,
    endpoints_in_group: usize,
    sites: usize,
    requests_per_second: f64,
    seconds: f64,
    /// Time of a usual answer as a fraction of the workload's SLO time.
    service_time: f64,
    /// Largest replication lag in seconds.
    lag: f64,
    /// Attempts in a thousand that fail at a healthy endpoint.
    failures: u64,
    changes: Vec<Change>,
    /// Requests in a thousand whose client leaves early.
    hangups: u64,
    /// Timer calls in a thousand that come late.
    stalls: u64,
    sessions: u64,
    /// The session's last write is told with its requests.
    tells_writes: bool,
    repeats: u64,
    hidden_writes: u64,
    with_work: bool,
    tells_utilization: bool,
    with_parts: bool,
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

enum Action {
    Send { request: usize, endpoint: usize, time_out: f64 },
    Final { request: usize },
    Cancel { request: usize },
    Check { endpoint: usize },
    Wake { after: f64 },
    Follow,
}

/// Writes down the actions of the router and keeps them for the scenario to carry out.
#[derive(Default)]
struct Recorder {
    transcript: String,
    actions: Vec<Action>,
}

fn bits(value: f64) -> String {
    format!("{:016x}", value.to_bits())
}

fn optional(value: Option<f64>) -> String {
    value.map_or("-".to_string(), bits)
}

impl Recorder {
    fn line(&mut self, line: std::fmt::Arguments) {
        self.transcript.write_fmt(line).expect("strings take all that is written");
        self.transcript.push('\n');
    }

    fn digest(&self) -> u64 {
        let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01B3);
        self.transcript.bytes().fold(0xCBF2_9CE4_8422_2325, step)
    }
}

impl Front for Recorder {
    fn execute(&mut self, request: usize, endpoint: usize, time_out: f64) {
        self.line(format_args!("> send {request} {endpoint} {}", bits(time_out)));
        self.actions.push(Action::Send { request, endpoint, time_out });
    }
    fn reject(&mut self, request: usize, retry_after: f64) {
        self.line(format_args!("> reject {request} {}", bits(retry_after)));
        self.actions.push(Action::Final { request });
    }
    fn abort(&mut self, request: usize) {
        self.line(format_args!("> abort {request}"));
        self.actions.push(Action::Final { request });
    }
    fn cancel(&mut self, request: usize, attempt: u32) {
        self.line(format_args!("> cancel {request} {attempt}"));
        self.actions.push(Action::Cancel { request });
    }
    fn probe(&mut self, endpoint: usize) {
        self.line(format_args!("> check {endpoint}"));
        self.actions.push(Action::Check { endpoint });
    }
    fn wake(&mut self, after: f64) {
        self.line(format_args!("> wake {}", bits(after)));
        self.actions.push(Action::Wake { after });
    }
    fn follow(&mut self) {
        self.line(format_args!("> follow"));
        self.actions.push(Action::Follow);
    }
    fn log(&mut self, text: &str) {
        self.line(format_args!("> log {text}"));
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
    Parts,
    List,
}

#[derive(Clone, Copy)]
struct Attempt {
    endpoint: usize,
    sent: f64,
    time_out: f64,
    ending: Ending,
    serial: u64,
}

#[derive(Clone, Copy)]
struct Request {
    statement: Statement,
    hidden_write: bool,
    /// Tells this use of the index from earlier ones.
    taken: u64,
    over: bool,
    free: bool,
    attempt: Option<Attempt>,
}

struct Endpoint {
    listed: Listed,
    health: Health,
    lag: f64,
    attempts: usize,
}

struct Run {
    scenario: Scenario,
    random: Random,
    router: Router,
    recorder: Recorder,
    now: f64,
    serial: u64,
    /// By time, as its bits order like it, and by number.
    events: BTreeMap<(u64, u64), Event>,
    requests: Vec<Request>,
    free: Vec<usize>,
    endpoints: Vec<Endpoint>,
    primaries: Vec<usize>,
}

fn ending_word(ending: Ending) -> &'static str {
    match ending {
        Ending::Completed => "completed",
        Ending::Error => "error",
        Ending::Full => "full",
        Ending::TimedOut => "timed-out",
        Ending::ConnectFailed => "connect-failed",
        Ending::Reset => "reset",
        Ending::Cancelled => "cancelled",
        Ending::NeverSent => "never-sent",
        Ending::Miss => "miss",
        Ending::ReadOnly => "read-only",
    }
}

fn report_words(report: &Report) -> String {
    let role = match report.role {
        Some(Role::Primary) => "primary",
        Some(Role::Replica) => "replica",
        None => "-",
    };
    format!("{role} {} {}", optional(report.lsn), optional(report.busy))
}

fn listed_words(listed: &Listed) -> String {
    let state = match listed.standing {
        Standing::Ready => "ready",
        Standing::Draining => "draining",
        Standing::Gone => "gone",
    };
    let site = listed.site.map_or("-".to_string(), |site| site.to_string());
    let Listed { host, order, group, size, started_at, .. } = *listed;
    format!("{host} {order} {group} {site} {} {state} {}", bits(size), optional(started_at))
}

impl Run {
    fn new(scenario: Scenario) -> Run {
        let mut recorder = Recorder::default();
        let router = Router::start(1000.0, scenario.terms.clone(), &mut recorder);
        let mut run = Run {
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
        for group in 0..run.scenario.groups {
            run.primaries[group] = run.endpoints.len();
            (0..run.scenario.endpoints_in_group).for_each(|_| run.add_endpoint(group, None));
        }
        run.carry_out();
        if !run.scenario.terms.list_on_request {
            run.schedule(0.0, Event::List);
        }
        run.schedule(0.01, Event::Arrival);
        run.schedule(0.5, Event::Change);
        if run.scenario.with_parts {
            run.schedule(0.3, Event::Parts);
        }
        run
    }

    fn add_endpoint(&mut self, group: usize, started_at: Option<f64>) {
        let listed = Listed {
            host: self.endpoints.len(),
            order: self.random.next(),
            group,
            site: Some(self.random.below(self.scenario.sites)),
            size: [1.0, 1.0, 2.0, 0.5][self.random.below(4)],
            standing: Standing::Ready,
            started_at,
        };
        self.endpoints.push(Endpoint { listed, health: Health::Up, lag: 0.0, attempts: 0 });
    }

    fn schedule(&mut self, after: f64, event: Event) {
        self.serial += 1;
        self.events.insert(((self.now + after).to_bits(), self.serial), event);
    }

    fn run(mut self) -> Recorder {
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
            Event::Parts => self.parts(),
            Event::List => {
                let all: Vec<usize> = (0..self.endpoints.len()).collect();
                self.list(&all);
            }
        }
    }

    fn carry_out(&mut self) {
        for action in std::mem::take(&mut self.recorder.actions) {
            match action {
                Action::Send { request, endpoint, time_out } => self.send(request, endpoint, time_out),
                Action::Final { request } => {
                    self.requests[request].over = true;
                    self.settle(request);
                }
                Action::Cancel { request } => self.cancel(request),
                Action::Check { endpoint } => self.check(endpoint),
                Action::Wake { after } => {
                    self.schedule(after, Event::Timer);
                }
                Action::Follow => self.follow(),
            }
        }
    }

    fn follow(&mut self) {
        if self.random.chance(500) {
            self.recorder.line(format_args!("list-failed {}", bits(self.now)));
            self.router.list_failed();
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
        let entry = Request { statement, hidden_write, taken, over: false, free: false, attempt: None };
        if request == self.requests.len() {
            self.requests.push(entry);
        } else {
            self.requests[request] = entry;
        }
        let early = self.random.chance(self.scenario.hangups);
        let patience = statement.time_left * if early { self.random.unit() } else { 1.0 };
        self.schedule(patience, Event::Hangup { request, taken });
        let Statement { workload, group, tenant, session, time_left, since_write, repeat, writes, work } =
            statement;
        let work = work.map_or("-".to_string(), |work| {
            format!("{} {} {}", bits(work.own), bits(work.usual), bits(work.spread))
        });
        self.recorder.line(format_args!(
            "request {} {request} {workload} {group} {} {} {} {} {repeat} {writes} {work}",
            bits(self.now),
            tenant.map_or("-".to_string(), |tenant| tenant.to_string()),
            session.map_or("-".to_string(), |session| session.to_string()),
            bits(time_left),
            optional(since_write),
        ));
        self.router.statement(self.now, request, statement, &mut self.recorder);
    }

    fn draw_statement(&mut self) -> (Statement, bool) {
        let workload = self.draw_workload();
        let terms = self.scenario.terms.workloads[workload].clone();
        let repeat = self.random.chance(self.scenario.repeats);
        let left_of_it =
            if repeat || self.random.chance(self.scenario.repeats) { self.random.unit() } else { 1.0 };
        let tenants = self.scenario.terms.tenant_rates.len();
        let session =
            (self.scenario.sessions > 0).then(|| self.random.next() % self.scenario.sessions.max(1));
        let since_write = self.scenario.tells_writes.then(|| 3.0 * self.random.unit());
        let usual = terms.slo_time * self.scenario.service_time;
        let work = (self.scenario.with_work && self.random.chance(800)).then(|| Work {
            own: usual * 4.0 * self.random.unit(),
            usual,
            spread: self.random.unit(),
        });
        let reads = terms.needs != Needs::Primary;
        let statement = Statement {
            workload,
            group: self.random.below(self.scenario.groups),
            tenant: (tenants > 0).then(|| self.random.below(tenants.max(1))),
            session,
            time_left: terms.statement_timeout * left_of_it,
            since_write,
            repeat: repeat && self.random.chance(700),
            writes: reads && self.random.chance(self.scenario.hidden_writes),
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

    fn send(&mut self, request: usize, endpoint: usize, time_out: f64) {
        self.serial += 1;
        let serial = self.serial;
        let attempt = Attempt { endpoint, sent: self.now, time_out, ending: Ending::NeverSent, serial };
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
        let may = self.router.may_begin(self.now, request, attempt.endpoint);
        self.recorder.line(format_args!("begin {} {request} {} {may}", bits(self.now), attempt.endpoint));
        if !may {
            return self.end(request, serial);
        }
        let (ending, took) = self.draw_ending(request, &attempt);
        let time_out = if attempt.time_out > 0.0 { attempt.time_out } else { f64::INFINITY };
        let (ending, took) = if took > time_out { (Ending::TimedOut, time_out) } else { (ending, took) };
        if let Some(attempt) = self.attempt(request, serial) {
            attempt.ending = ending;
        }
        self.schedule(took, Event::End { request, serial });
    }

    fn draw_ending(&mut self, request: usize, attempt: &Attempt) -> (Ending, f64) {
        let Request { statement, hidden_write, .. } = self.requests[request];
        let terms = &self.scenario.terms.workloads[statement.workload];
        let (needs, slo_time) = (terms.needs, terms.slo_time);
        let endpoint = &self.endpoints[attempt.endpoint];
        let (health, lag) = (endpoint.health, endpoint.lag);
        let crowd = 1.0 + endpoint.attempts as f64 / (8.0 * endpoint.listed.size);
        let is_primary = self.primaries[endpoint.listed.group] == attempt.endpoint;
        let quick = 0.001 + 0.002 * self.random.unit();
        match health {
            Health::Down => return (Ending::ConnectFailed, quick),
            Health::Full => return (Ending::Full, quick),
            Health::Hung => return (Ending::TimedOut, statement.time_left),
            Health::Up | Health::Slow => {}
        }
        let old =
            matches!(needs, Needs::Bounded(bound) if lag > bound) && self.scenario.terms.members_check_reads;
        if !is_primary && (needs == Needs::Primary || statement.writes) || old {
            return (Ending::Miss, quick);
        }
        if hidden_write && !is_primary {
            return (Ending::ReadOnly, quick);
        }
        let slow = if health == Health::Slow { 6.0 } else { 1.0 };
        let own = statement.work.map_or(slo_time * self.scenario.service_time, |work| work.own);
        let took = own * crowd * slow * (0.3 + 1.4 * self.random.unit());
        if self.random.chance(self.scenario.failures) {
            let endings = [
                Ending::Error,
                Ending::Full,
                Ending::TimedOut,
                Ending::Reset,
                Ending::ConnectFailed,
                Ending::Miss,
            ];
            return (endings[self.random.below(endings.len())], took);
        }
        if took > statement.time_left {
            (Ending::TimedOut, statement.time_left)
        } else {
            (Ending::Completed, took)
        }
    }

    fn report_of(&mut self, endpoint: usize, age: f64) -> Report {
        let Endpoint { listed, lag, .. } = &self.endpoints[endpoint];
        let is_primary = self.primaries[listed.group] == endpoint;
        let lag = if is_primary { 0.0 } else { *lag };
        let busy = 1.1 * self.random.unit();
        Report {
            role: Some(if is_primary { Role::Primary } else { Role::Replica }),
            lsn: Some(self.now - lag - age),
            busy: self.scenario.tells_utilization.then_some(busy),
        }
    }

    fn end(&mut self, request: usize, serial: u64) {
        let Some(attempt) = self.attempt(request, serial).copied() else { return };
        self.requests[request].attempt = None;
        self.endpoints[attempt.endpoint].attempts -= 1;
        let Request { statement, over, .. } = self.requests[request];
        let answered = matches!(attempt.ending, Ending::Completed | Ending::Miss | Ending::ReadOnly);
        let mut note = Report::default();
        if answered && self.random.chance(900) {
            note = self.report_of(attempt.endpoint, 0.0);
            note.busy = None;
            let writes = self.scenario.terms.workloads[statement.workload].needs == Needs::Primary;
            let tells_position =
                if writes { attempt.ending == Ending::Completed } else { self.random.chance(300) };
            note.lsn = note.lsn.filter(|_| tells_position);
        }
        let reports =
            answered && self.scenario.terms.reports == Reports::WithAnswers && self.random.chance(700);
        let age = 0.2 * self.random.unit();
        let report = reports.then(|| self.report_of(attempt.endpoint, age));
        let closed = over || attempt.ending == Ending::Completed;
        let outcome = Outcome {
            stmt: request,
            host: attempt.endpoint,
            ending: attempt.ending,
            took: self.now - attempt.sent,
            closed,
            note,
            report,
        };
        self.recorder.line(format_args!(
            "result {} {request} {} {} {} {closed} {} {}",
            bits(self.now),
            attempt.endpoint,
            ending_word(attempt.ending),
            bits(outcome.took),
            report_words(&note),
            report.map_or("-".to_string(), |report| report_words(&report)),
        ));
        self.requests[request].over = closed;
        self.router.outcome(self.now, &outcome, &mut self.recorder);
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
        attempt.ending = Ending::Cancelled;
        self.schedule(0.0005, Event::End { request, serial });
    }

    fn hang_up(&mut self, request: usize, taken: u64) {
        let Request { taken: now_taken, over, .. } = self.requests[request];
        if over || taken != now_taken {
            return;
        }
        self.requests[request].over = true;
        self.recorder.line(format_args!("client-gone {} {request}", bits(self.now)));
        self.router.hangup(request);
        self.settle(request);
    }

    fn check(&mut self, endpoint: usize) {
        let may = self.router.may_probe(endpoint);
        self.recorder.line(format_args!("may-check {endpoint} {may}"));
        let lost = self.random.chance(self.scenario.failures);
        let took = match self.endpoints[endpoint].health {
            Health::Down => 0.3,
            _ if lost => 0.5,
            _ => 0.001 + 0.003 * self.random.unit(),
        };
        self.schedule(took, Event::CheckEnds { endpoint });
    }

    fn check_ends(&mut self, endpoint: usize) {
        let lost = self.random.chance(self.scenario.failures);
        let ending = match self.endpoints[endpoint].health {
            Health::Down => [Ending::ConnectFailed, Ending::TimedOut][self.random.below(2)],
            Health::Full => [Ending::Full, Ending::Completed][self.random.below(2)],
            _ if lost => [Ending::Reset, Ending::TimedOut, Ending::NeverSent][self.random.below(3)],
            _ => Ending::Completed,
        };
        let told = ending == Ending::Completed && self.scenario.terms.reports != Reports::Nowhere;
        let mut report = self.report_of(endpoint, 0.0);
        if ending != Ending::Completed {
            report = Report::default();
        } else if !told {
            report.lsn = None;
        }
        self.recorder.line(format_args!(
            "checked {} {endpoint} {} {}",
            bits(self.now),
            ending_word(ending),
            report_words(&report)
        ));
        self.router.probed(self.now, endpoint, ending, report, &mut self.recorder);
    }

    fn timer(&mut self) {
        if self.random.chance(self.scenario.stalls) {
            self.now += 0.05 + 0.7 * self.random.unit();
        }
        self.recorder.line(format_args!("timer {}", bits(self.now)));
        self.router.timer(self.now, &mut self.recorder);
        let group = self.random.below(self.scenario.groups);
        self.recorder.line(format_args!("waiting {group} {}", self.router.waiting(group)));
    }

    fn list(&mut self, endpoints: &[usize]) {
        let list: Vec<Listed> = endpoints.iter().map(|endpoint| self.endpoints[*endpoint].listed).collect();
        self.recorder.line(format_args!("list {}", bits(self.now)));
        for listed in &list {
            self.recorder.line(format_args!("listed {}", listed_words(listed)));
        }
        self.router.hosts(self.now, &list, &mut self.recorder);
        for endpoint in endpoints {
            let cold = self.router.is_cold(self.now, *endpoint);
            self.recorder.line(format_args!("warming {endpoint} {cold}"));
        }
    }

    /// What the fleet leaves this router at some of the endpoints.
    fn parts(&mut self) {
        self.schedule(0.1, Event::Parts);
        let mut hosts = Vec::new();
        for host in 0..self.endpoints.len() {
            if self.random.chance(400) {
                let units = self.random.chance(700).then(|| (12.0 * self.random.unit()).floor());
                let tokens = self.random.chance(700).then(|| 3.0 * self.random.unit());
                hosts.push(Part { host, units, tokens });
            }
        }
        let routers = self.random.chance(100).then(|| 1 + self.random.below(4));
        let second_tries = self.random.chance(500).then(|| 4.0 * self.random.unit());
        let words: Vec<String> = hosts
            .iter()
            .map(|part| format!("{} {} {}", part.host, optional(part.units), optional(part.tokens)))
            .collect();
        let count = routers.map_or("-".to_string(), |routers| routers.to_string());
        let (words, tries) = (words.join(","), optional(second_tries));
        self.recorder.line(format_args!("quotas {} {count} {tries} {words}", bits(self.now)));
        self.router.parts(self.now, &Parts { hosts, routers, second_tries }, &mut self.recorder);
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
            Change::Crowd => target.health = Health::Full,
            Change::Slow => target.health = Health::Slow,
            Change::Recover => self.endpoints.iter_mut().for_each(|endpoint| endpoint.health = Health::Up),
            Change::Failover => self.primaries[group] = endpoint,
            Change::Drain => target.listed.standing = Standing::Draining,
            Change::Remove => target.listed.standing = Standing::Gone,
            Change::Restore => target.listed.standing = Standing::Ready,
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

const SHORT_READ: usize = 0;
const LONG_READ: usize = 1;
const WRITE: usize = 2;
const GROUP_WRITE: usize = 3;
const SESSION_READ: usize = 4;
const FRESH_READ: usize = 5;
const SAFE_WRITE: usize = 6;
const SITE_WRITE: usize = 7;
const GLOBAL_WRITE: usize = 8;
const ANY_READ: usize = 9;

fn workloads() -> Vec<Workload> {
    let workload = |needs, effect, importance, slo_time, statement_timeout| Workload {
        needs,
        effect,
        importance,
        late_share: 0.0,
        slo_time,
        statement_timeout,
    };
    let once_in = |within, window| Effect::Deduplicated { within, window };
    vec![
        workload(Needs::Bounded(1.0), Effect::Idempotent, 3.0, 0.3, 0.75),
        workload(Needs::Any, Effect::Idempotent, 6.0, 3.0, 6.0),
        workload(Needs::Primary, Effect::NonIdempotent, 4.0, 0.6, 2.0),
        workload(Needs::Primary, once_in(Within::Group, 0.5), 4.0, 0.6, 2.0),
        workload(Needs::Session, Effect::Idempotent, 2.0, 0.3, 0.8),
        workload(Needs::Fresh, Effect::Idempotent, 5.0, 0.4, 1.0),
        workload(Needs::Primary, Effect::Idempotent, 3.0, 0.5, 1.5),
        workload(Needs::Primary, once_in(Within::Site, 1.0), 4.0, 0.6, 2.0),
        workload(Needs::Primary, once_in(Within::Everywhere, 2.0), 4.0, 0.6, 2.0),
        workload(Needs::Any, Effect::Idempotent, 1.0, 0.25, 0.6),
    ]
}

fn terms(seed: u64) -> Terms {
    Terms {
        seed,
        routers: 1,
        site: Some(0),
        workloads: workloads(),
        tenant_rates: Vec::new(),
        over_share: 0.1,
        reports: Reports::WithAnswers,
        members_check_reads: false,
        remembers_writes: false,
        list_on_request: false,
        may_probe: true,
        may_cancel: true,
        max_executions: 8,
        max_retry_after: 1.0,
        only_draining_bars: false,
        cold_part: 0.2,
        warm_after: 10.0,
        fall_multiple: 2.5,
        fall_span: 1.0,
    }
}

fn weights(pairs: &[(usize, u64)]) -> Vec<u64> {
    let mut weights = vec![0; workloads().len()];
    for (workload, weight) in pairs {
        weights[*workload] = *weight;
    }
    weights
}

/// Two groups of four endpoints under one router, a light load, nothing that fails.
fn calm(seed: u64) -> Scenario {
    Scenario {
        terms: terms(seed),
        weights: weights(&[(SHORT_READ, 6), (LONG_READ, 1), (WRITE, 2)]),
        groups: 2,
        endpoints_in_group: 4,
        sites: 2,
        requests_per_second: 60.0,
        seconds: 40.0,
        service_time: 0.15,
        lag: 0.3,
        failures: 0,
        changes: Vec::new(),
        hangups: 10,
        stalls: 0,
        sessions: 0,
        tells_writes: false,
        repeats: 0,
        hidden_writes: 0,
        with_work: false,
        tells_utilization: false,
        with_parts: false,
    }
}

fn bounded_reads() -> Scenario {
    Scenario { lag: 1.6, ..calm(1) }
}

fn checked_reads() -> Scenario {
    let terms = Terms { members_check_reads: true, ..terms(2) };
    Scenario { terms, lag: 1.6, requests_per_second: 120.0, failures: 10, ..calm(2) }
}

fn remembered_sessions() -> Scenario {
    let terms = Terms { remembers_writes: true, ..terms(3) };
    Scenario {
        terms,
        weights: weights(&[(SESSION_READ, 5), (GROUP_WRITE, 2), (WRITE, 1)]),
        sessions: 30,
        lag: 0.8,
        failures: 30,
        changes: vec![Change::Drain, Change::Restore, Change::Join],
        ..calm(3)
    }
}

fn told_sessions() -> Scenario {
    Scenario {
        weights: weights(&[(SESSION_READ, 5), (SAFE_WRITE, 2), (ANY_READ, 2)]),
        sessions: 30,
        tells_writes: true,
        lag: 2.0,
        changes: vec![Change::Failover, Change::Slow, Change::Recover, Change::Recover],
        ..calm(4)
    }
}

fn fresh_reads() -> Scenario {
    Scenario {
        weights: weights(&[(FRESH_READ, 5), (SAFE_WRITE, 2), (WRITE, 1)]),
        failures: 20,
        changes: vec![Change::Failover, Change::Crash, Change::Recover, Change::Recover],
        ..calm(5)
    }
}

fn writes_of_each_effect() -> Scenario {
    Scenario {
        weights: weights(&[
            (WRITE, 2),
            (GROUP_WRITE, 2),
            (SITE_WRITE, 2),
            (GLOBAL_WRITE, 2),
            (SAFE_WRITE, 2),
        ]),
        failures: 120,
        changes: vec![Change::Failover, Change::Recover, Change::Crash],
        ..calm(6)
    }
}

fn no_health_checks() -> Scenario {
    let terms = Terms { may_probe: false, ..terms(7) };
    let changes = vec![Change::Hang, Change::Recover, Change::Crash, Change::Recover];
    Scenario { terms, failures: 20, lag: 0.6, changes, ..calm(7) }
}

fn hung_endpoints() -> Scenario {
    Scenario {
        weights: weights(&[(SHORT_READ, 6), (ANY_READ, 3), (SAFE_WRITE, 1)]),
        requests_per_second: 150.0,
        changes: vec![Change::Hang, Change::Recover, Change::Recover],
        ..calm(8)
    }
}

fn no_cancelling() -> Scenario {
    let terms = Terms { may_cancel: false, max_executions: 2, ..terms(9) };
    Scenario { terms, ..hung_endpoints() }
}

fn tenants() -> Scenario {
    let terms = Terms { tenant_rates: vec![4.0, 20.0, 60.0], ..terms(10) };
    Scenario { terms, requests_per_second: 250.0, service_time: 0.4, seconds: 20.0, ..calm(10) }
}

fn sites_and_sizes() -> Scenario {
    let terms = Terms { site: Some(2), routers: 3, ..terms(11) };
    Scenario { terms, sites: 3, endpoints_in_group: 6, requests_per_second: 200.0, seconds: 20.0, ..calm(11) }
}

fn warming_endpoints() -> Scenario {
    let terms = Terms { routers: 4, ..terms(12) };
    let changes = vec![Change::Restart, Change::Join, Change::Failover, Change::Crash, Change::Recover];
    Scenario { terms, groups: 3, requests_per_second: 150.0, changes, ..calm(12) }
}

fn fleet_quotas() -> Scenario {
    let terms = Terms { routers: 3, ..terms(13) };
    let changes = vec![Change::Restart, Change::Hang, Change::Recover, Change::Recover];
    Scenario { terms, with_parts: true, failures: 40, requests_per_second: 120.0, changes, ..calm(13) }
}

fn replaced_endpoints() -> Scenario {
    let changes = vec![Change::Drain, Change::Remove, Change::Restore, Change::Join, Change::Failover];
    Scenario { changes, failures: 10, ..calm(14) }
}

fn only_draining_bars() -> Scenario {
    let terms = Terms { only_draining_bars: true, reports: Reports::Nowhere, ..terms(15) };
    Scenario { terms, ..replaced_endpoints() }
}

fn hundreds_of_routers() -> Scenario {
    let terms = Terms { routers: 300, list_on_request: true, reports: Reports::WithProbes, ..terms(16) };
    Scenario {
        terms,
        groups: 6,
        requests_per_second: 40.0,
        seconds: 60.0,
        tells_utilization: true,
        failures: 60,
        changes: vec![Change::Crowd, Change::Recover, Change::Restart, Change::Failover],
        ..calm(16)
    }
}

fn hundreds_of_checking_routers() -> Scenario {
    let terms = Terms { routers: 200, members_check_reads: true, ..terms(17) };
    Scenario { terms, tells_utilization: true, lag: 1.3, service_time: 0.3, ..hundreds_of_routers() }
}

fn overload() -> Scenario {
    Scenario {
        weights: weights(&[(SHORT_READ, 6), (LONG_READ, 1), (WRITE, 2), (ANY_READ, 3)]),
        requests_per_second: 600.0,
        service_time: 0.5,
        seconds: 12.0,
        failures: 30,
        repeats: 200,
        changes: vec![Change::Slow, Change::Recover, Change::Crowd, Change::Recover],
        ..calm(18)
    }
}

fn lagging_replicas() -> Scenario {
    Scenario {
        weights: weights(&[(SHORT_READ, 12), (WRITE, 2), (LONG_READ, 2)]),
        groups: 1,
        requests_per_second: 250.0,
        service_time: 0.4,
        seconds: 25.0,
        lag: 3.0,
        ..calm(19)
    }
}

fn stalling_router() -> Scenario {
    let changes = vec![Change::Hang, Change::Recover, Change::Crash];
    Scenario { stalls: 60, requests_per_second: 150.0, failures: 10, changes, ..calm(20) }
}

fn known_work_and_hidden_writes() -> Scenario {
    Scenario { with_work: true, hidden_writes: 40, requests_per_second: 200.0, seconds: 25.0, ..calm(21) }
}

fn repeats_and_late_answers() -> Scenario {
    let mut terms = terms(22);
    terms.workloads.iter_mut().for_each(|workload| workload.late_share = 0.3);
    let changes = vec![Change::Failover, Change::Crash, Change::Recover];
    Scenario { terms, repeats: 300, failures: 80, service_time: 0.3, hangups: 100, changes, ..calm(22) }
}

fn scarce_retries() -> Scenario {
    Scenario {
        weights: weights(&[(SHORT_READ, 3), (ANY_READ, 5), (SAFE_WRITE, 3)]),
        failures: 350,
        requests_per_second: 100.0,
        ..calm(23)
    }
}

fn reads_that_may_be_long() -> Scenario {
    Scenario {
        weights: weights(&[(SHORT_READ, 3), (ANY_READ, 8), (WRITE, 1)]),
        with_work: true,
        service_time: 0.25,
        requests_per_second: 100.0,
        ..calm(24)
    }
}

#[rstest]
#[case::bounded_reads(bounded_reads, 0xA7A7_C65D_03F3_5FF7)]
#[case::checked_reads(checked_reads, 0x30CC_5F7B_4F9F_AD11)]
#[case::remembered_sessions(remembered_sessions, 0x8647_6707_7FE4_7D55)]
#[case::told_sessions(told_sessions, 0x782B_8F3D_FCE8_EEC6)]
#[case::fresh_reads(fresh_reads, 0xCCD1_9A90_BA09_44E1)]
#[case::writes_of_each_effect(writes_of_each_effect, 0xEF4E_6E47_5F04_8A6D)]
#[case::no_health_checks(no_health_checks, 0x065B_0EDE_BFDA_3854)]
#[case::hung_endpoints(hung_endpoints, 0x4332_41A7_F8E2_DE2C)]
#[case::no_cancelling(no_cancelling, 0xC484_17A8_6ACB_6A28)]
#[case::tenants(tenants, 0xE74A_8B83_22CB_2EBB)]
#[case::sites_and_sizes(sites_and_sizes, 0x1394_ABA2_5F24_BA20)]
#[case::warming_endpoints(warming_endpoints, 0xA338_BD7F_6363_B598)]
#[case::fleet_quotas(fleet_quotas, 0xD045_F57C_93C8_0422)]
#[case::replaced_endpoints(replaced_endpoints, 0xEF5D_09BB_4CF1_BBEE)]
#[case::only_draining_bars(only_draining_bars, 0x353F_3D1D_91D2_3698)]
#[case::hundreds_of_routers(hundreds_of_routers, 0x5CB8_F8BF_C188_A1C8)]
#[case::hundreds_of_checking_routers(hundreds_of_checking_routers, 0x2A8D_3154_60DA_34E9)]
#[case::overload(overload, 0xA588_E1C5_D123_5799)]
#[case::lagging_replicas(lagging_replicas, 0x6305_870B_139B_6A2D)]
#[case::stalling_router(stalling_router, 0xBB63_C625_9B83_C2A4)]
#[case::known_work_and_hidden_writes(known_work_and_hidden_writes, 0xB3E4_CDCB_956B_35BC)]
#[case::repeats_and_late_answers(repeats_and_late_answers, 0x5E53_80B5_4CDB_60C5)]
#[case::scarce_retries(scarce_retries, 0xA1FF_5673_BFE2_4503)]
#[case::reads_that_may_be_long(reads_that_may_be_long, 0x76B7_36D5_E2F3_B9BC)]
fn same_events_same_actions(#[case] scenario: fn() -> Scenario, #[case] expected: u64) {
    let recorder = Run::new(scenario()).run();
    let name = std::thread::current().name().unwrap_or("scenario").replace("::", "-");
    if std::env::var_os("KEEP_TRANSCRIPTS").is_some() {
        let path = format!("{}/{name}.txt", env!("CARGO_TARGET_TMPDIR"));
        std::fs::write(&path, &recorder.transcript).expect("the transcript can be written");
    }
    let (digest, lines) = (recorder.digest(), recorder.transcript.lines().count());
    assert!(lines > 5000, "{name} has only {lines} lines");
    assert_eq!(digest, expected, "{name}: digest 0x{digest:016X} over {lines} lines");
}
