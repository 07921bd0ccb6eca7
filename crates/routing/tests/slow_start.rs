//! Slow start summed over all routers: how often a warming host is sent more than the settings allow it, and how
//! much of what they allow it is sent. Many routers, each an instance of the module that knows nothing of the
//! others, share some groups of simulated hosts, one of which starts cold.
//!
//! `SLOW_START_WARM_UPS=6000 cargo test --release -p ottersill-core --test slow_start -- --nocapture` plays more
//! warm-ups than CI does.

mod common;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use common::{MARKED, READ, terms};
use ottersill_routing::Router;
use ottersill_routing::interface::*;

/// Warm-ups played where the environment names no other number.
const WARM_UPS: u64 = 240;
const WARM_UPS_VARIABLE: &str = "SLOW_START_WARM_UPS";
/// Warm-ups for each one that may exceed the bound.
const WARM_UPS_PER_EXCESS: usize = 1000;
/// The mean part of what a cold host is allowed that it has to be sent: as much as before routers kept to the bound, over
/// the warm-ups that CI plays.
const LEAST_GIVEN: f64 = 0.31;
const ROUTER_COUNTS: [usize; 6] = [1, 3, 20, 30, 300, 900];
const THREADS: u64 = 4;

const HOSTS_PER_GROUP: usize = 4;
/// Seconds between two calls of the module's timer.
const TIMER_PERIOD: f64 = 0.02;
/// Seconds that an execution takes on an idle host, and that a probe takes.
const SERVICE_TIME: f64 = 0.02;
const PROBE_TIME: f64 = 0.002;
/// Seconds of work that a host queues before it turns executions away.
const QUEUE_TIME: f64 = 0.25;
/// Seconds that routers run before the host starts, unless all were just restarted.
const SETTLING_TIME: f64 = 2.5;
/// Part of the statements that write; as many as load a primary like its replicas.
const WRITE_SHARE: f64 = 0.2;
/// How often a client comes back that was rejected: never, as usual, too often.
const CLIENT_RETRIES: [u32; 3] = [0, 3, 8];
const START: f64 = 100.0;

/// A seeded generator (SplitMix64), so that a warm-up is the same each time it is played.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Between 0 and 1, neither of them included.
    fn unit(&mut self) -> f64 {
        ((self.next() >> 12) as f64 + 0.5) / (1_u64 << 52) as f64
    }

    fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    fn below(&mut self, count: usize) -> usize {
        (self.next() % count as u64) as usize
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cold {
    OneReplica,
    /// The old primary is gone, and after a gap without one the host that starts takes its place.
    Primary,
    HalfTheGroup,
    WholeGroup,
}

/// What is drawn for one warm-up. The group with number 0 has the cold hosts.
#[derive(Clone, Debug)]
struct Scenario {
    terms: RoutingConfig,
    cold: Cold,
    /// Two replicas of the group with the cold host have left for good.
    half_gone: bool,
    /// What the settings allow the cold host in the first span.
    allowed_at_start: f64,
    /// Executions a second that a warm host can do.
    capacity: f64,
    /// Statements a second that each group is offered, without repeats.
    offered: Vec<f64>,
    /// Traffic of each router, relative to the others.
    router_weights: Vec<f64>,
    restarted: bool,
    client_retries: u32,
    marks_repeats: bool,
    /// Seconds without a primary where the cold host becomes the new one.
    primary_gap: f64,
}

impl Scenario {
    fn draw(seed: u64) -> Scenario {
        let mut random = Random(seed);
        let routers = ROUTER_COUNTS[seed as usize % ROUTER_COUNTS.len()];
        let terms = RoutingConfig {
            seed,
            routers,
            site: None,
            initial_capacity_fraction: random.between(0.15, 0.4),
            warmup_seconds: random.between(3.0, 6.0),
            overload_multiple: random.between(2.0, 3.0),
            overload_seconds: random.between(0.8, 1.5),
            ..terms(true)
        };
        let allowed_at_start = (random.between(3.0_f64.ln(), 400.0_f64.ln())).exp();
        let capacity = allowed_at_start
            / (terms.overload_multiple * terms.initial_capacity_fraction * terms.overload_seconds);
        let group_capacity = capacity * HOSTS_PER_GROUP as f64;
        let three_times_the_mean = random.chance(0.4);
        let offered = if three_times_the_mean {
            let mean = random.between(0.2, 0.5) * group_capacity;
            vec![3.0 * mean, mean / 3.0, mean / 3.0, mean / 3.0]
        } else {
            vec![random.between(0.3, 1.3) * group_capacity; 2]
        };
        let cold = match random.below(10) {
            0..4 => Cold::OneReplica,
            4..7 => Cold::Primary,
            7..9 => Cold::HalfTheGroup,
            _ => Cold::WholeGroup,
        };
        let half_gone = matches!(cold, Cold::OneReplica | Cold::Primary) && random.chance(0.25);
        Scenario {
            half_gone,
            router_weights: (0..routers).map(|_| random.between(1.0, 5.0)).collect(),
            restarted: random.chance(0.3),
            client_retries: CLIENT_RETRIES[random.below(CLIENT_RETRIES.len())],
            marks_repeats: random.chance(0.5),
            primary_gap: random.between(0.3, 1.5),
            terms,
            cold,
            allowed_at_start,
            capacity,
            offered,
        }
    }

    fn cold_hosts(&self) -> Vec<usize> {
        match self.cold {
            Cold::OneReplica | Cold::Primary => vec![1],
            Cold::HalfTheGroup => vec![2, 3],
            Cold::WholeGroup => vec![0, 1, 2, 3],
        }
    }

    /// When the cold host starts.
    fn cold_start(&self) -> f64 {
        START + if self.restarted { 0.0 } else { SETTLING_TIME }
    }

    fn end(&self) -> f64 {
        self.cold_start() + self.terms.warmup_seconds
    }

    /// What the settings allow a host that is so many seconds old.
    fn allowed(&self, age: f64) -> f64 {
        self.terms.overload_multiple * self.capacity * self.part(age) * self.terms.overload_seconds
    }

    fn part(&self, age: f64) -> f64 {
        let grown = (age / self.terms.warmup_seconds).clamp(0.0, 1.0);
        self.terms.initial_capacity_fraction + (1.0 - self.terms.initial_capacity_fraction) * grown
    }

    fn allowed_in_all(&self) -> f64 {
        let mean_part = f64::midpoint(self.terms.initial_capacity_fraction, 1.0);
        self.terms.overload_multiple * self.capacity * mean_part * self.terms.warmup_seconds
    }
}

/// More than this in a span, and a host that is allowed so much falls.
fn bound(allowed: f64) -> f64 {
    if allowed < 30.0 { allowed + 3.0 * allowed.sqrt() + 3.0 } else { allowed + 2.0 * allowed.sqrt() + 2.0 }
}

#[derive(Clone, Copy)]
enum Action {
    Execute { slot: usize, endpoint: usize },
    Reject { slot: usize, retry_after: f64 },
    Abort { slot: usize },
    Probe { endpoint: usize },
}

/// Keeps what the module asks for until the simulation carries it out.
#[derive(Default)]
struct Actions(Vec<Action>);

impl Transport for Actions {
    fn start_attempt(&mut self, slot: usize, endpoint: usize, _time_out: f64) {
        self.0.push(Action::Execute { slot, endpoint });
    }
    fn reject(&mut self, slot: usize, retry_after: f64) {
        self.0.push(Action::Reject { slot, retry_after });
    }
    fn abort(&mut self, slot: usize) {
        self.0.push(Action::Abort { slot });
    }
    fn cancel_attempt(&mut self, _slot: usize, _execution: u32) {}
    fn start_health_check(&mut self, endpoint: usize) {
        self.0.push(Action::Probe { endpoint });
    }
    fn schedule_tick(&mut self, _after: f64) {}
    fn request_endpoint_list(&mut self) {}
    fn log(&mut self, _text: &str) {}
}

#[derive(Clone, Copy)]
struct ClientRequest {
    router: usize,
    group: usize,
    workload: usize,
    retries: u32,
}

struct Instance {
    router: Router,
    /// The request that each of the module's statement numbers stands for.
    slots: Vec<Option<ClientRequest>>,
    free: Vec<usize>,
}

impl Instance {
    fn open(&mut self, request: ClientRequest) -> usize {
        let slot = self.free.pop().unwrap_or(self.slots.len());
        if slot == self.slots.len() {
            self.slots.push(None);
        }
        self.slots[slot] = Some(request);
        slot
    }

    fn close(&mut self, slot: usize) -> ClientRequest {
        self.free.push(slot);
        self.slots[slot].take().expect("a statement is closed once")
    }
}

struct Host {
    role: Role,
    listed: EndpointUpdate,
    /// When its queue will be empty.
    free_at: f64,
    /// When it was sent what lies within the last span, while it warms up.
    sent: VecDeque<f64>,
    /// The span that it is in, counted from its start, and what it was sent in this one.
    span: u64,
    sent_in_span: usize,
    /// What it was sent in all spans, but no more in each than it was allowed.
    sent_as_allowed: usize,
    exceeded: bool,
}

#[derive(Clone, Copy)]
enum Event {
    Timers,
    Arrival,
    Retry(ClientRequest),
    Executed { router: usize, slot: usize, endpoint: usize, outcome: AttemptOutcome, elapsed: f64 },
    Probed { router: usize, endpoint: usize },
    ColdStart,
    NewPrimary,
}

/// Earliest first; those at the same time in the order in which they were scheduled.
#[derive(Clone, Copy)]
struct Scheduled {
    at: f64,
    number: u64,
    event: Event,
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.number.cmp(&other.number))
    }
}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Scheduled {}

/// What came of one warm-up.
#[derive(Clone, Copy, Debug)]
struct WarmUp {
    exceeded: bool,
    /// The most that a cold host was sent in a span, as a part of the bound.
    nearest: f64,
    /// What the cold hosts were sent, as a part of what they were allowed, and no more than that in any span.
    given: f64,
    /// Requests of the group with the cold hosts that were answered, as a part of those offered.
    answered: f64,
}

struct Simulation {
    scenario: Scenario,
    random: Random,
    now: f64,
    instances: Vec<Instance>,
    hosts: Vec<Host>,
    events: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
    /// Running sums, to draw from.
    router_sums: Vec<f64>,
    group_sums: Vec<f64>,
    offered: usize,
    answered: usize,
    nearest: f64,
}

fn running_sums(weights: &[f64]) -> Vec<f64> {
    let add = |sum: &mut f64, weight: &f64| {
        *sum += weight;
        Some(*sum)
    };
    weights.iter().scan(0.0, add).collect()
}

impl Simulation {
    fn new(scenario: Scenario) -> Simulation {
        let host_count = scenario.offered.len() * HOSTS_PER_GROUP;
        let endpoint = |index: usize| Host {
            role: if index % HOSTS_PER_GROUP == 0 { Role::Primary } else { Role::Replica },
            listed: EndpointUpdate {
                endpoint: index,
                order: index as u64,
                group: index / HOSTS_PER_GROUP,
                site: None,
                size: 1.0,
                state: EndpointState::Ready,
                started_at: None,
            },
            free_at: 0.0,
            sent: VecDeque::new(),
            span: 0,
            sent_in_span: 0,
            sent_as_allowed: 0,
            exceeded: false,
        };
        let instance = |number: usize| {
            let seed = scenario.terms.seed.wrapping_mul(1_000_003).wrapping_add(number as u64);
            let terms = RoutingConfig { seed, ..scenario.terms.clone() };
            let router = Router::start(START, terms, &mut Actions::default());
            Instance { router, slots: Vec::new(), free: Vec::new() }
        };
        Simulation {
            random: Random(scenario.terms.seed ^ 0xa5a5),
            now: START,
            instances: (0..scenario.router_weights.len()).map(instance).collect(),
            hosts: (0..host_count).map(endpoint).collect(),
            events: BinaryHeap::new(),
            scheduled: 0,
            router_sums: running_sums(&scenario.router_weights),
            group_sums: running_sums(&scenario.offered),
            offered: 0,
            answered: 0,
            nearest: 0.0,
            scenario,
        }
    }

    fn play(mut self) -> WarmUp {
        if self.scenario.half_gone {
            [2, 3]
                .into_iter()
                .for_each(|endpoint: usize| self.hosts[endpoint].listed.state = EndpointState::Removed);
        }
        // Routers that were just restarted find the cold hosts in their first list.
        if self.scenario.restarted {
            self.cold_start();
        }
        let all: Vec<usize> = (0..self.hosts.len()).collect();
        self.list(&all);
        self.schedule(0.0, Event::Timers);
        self.schedule(0.0, Event::Arrival);
        if !self.scenario.restarted {
            self.schedule(SETTLING_TIME, Event::ColdStart);
        }
        let end = self.scenario.end();
        while let Some(Reverse(next)) = self.events.pop() {
            if next.at >= end {
                break;
            }
            self.now = next.at;
            self.handle(next.event);
        }
        let cold = self.scenario.cold_hosts();
        let sent: usize = cold.iter().map(|endpoint| self.hosts[*endpoint].sent_as_allowed).sum();
        WarmUp {
            exceeded: cold.iter().any(|endpoint| self.hosts[*endpoint].exceeded),
            nearest: self.nearest,
            given: sent as f64 / (self.scenario.allowed_in_all() * cold.len() as f64),
            answered: self.answered as f64 / self.offered.max(1) as f64,
        }
    }

    fn schedule(&mut self, after: f64, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse(Scheduled { at: self.now + after, number: self.scheduled, event }));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Timers => {
                (0..self.instances.len()).for_each(|router| {
                    let now = self.now;
                    self.call(router, |module, front| module.on_tick(now, front));
                });
                self.schedule(TIMER_PERIOD, Event::Timers);
            }
            Event::Arrival => self.arrive(),
            Event::Retry(request) => self.offer(request),
            Event::Executed { router, slot, endpoint, outcome, elapsed } => {
                self.executed(router, slot, endpoint, outcome, elapsed);
            }
            Event::Probed { router, endpoint } => {
                let (now, report) = (self.now, self.report(endpoint));
                self.call(router, |module, front| {
                    module.on_health_check(now, endpoint, AttemptOutcome::Completed, report, front);
                });
            }
            Event::ColdStart => {
                self.cold_start();
                let mut told = self.scenario.cold_hosts();
                if self.scenario.cold == Cold::Primary {
                    told.push(0);
                }
                self.list(&told);
            }
            Event::NewPrimary => self.hosts[1].role = Role::Primary,
        }
    }

    fn cold_start(&mut self) {
        for endpoint in self.scenario.cold_hosts() {
            self.hosts[endpoint].listed.started_at = Some(self.now);
            self.hosts[endpoint].free_at = 0.0;
        }
        if self.scenario.cold == Cold::Primary {
            self.hosts[0].listed.state = EndpointState::Removed;
            self.hosts[0].role = Role::Replica;
            self.schedule(self.scenario.primary_gap, Event::NewPrimary);
        }
    }

    fn list(&mut self, hosts: &[usize]) {
        let list: Vec<EndpointUpdate> = hosts.iter().map(|endpoint| self.hosts[*endpoint].listed).collect();
        for router in 0..self.instances.len() {
            let now = self.now;
            self.call(router, |module, front| module.on_endpoint_list(now, &list, front));
        }
    }

    fn arrive(&mut self) {
        let rate: f64 = self.scenario.offered.iter().sum();
        let gap = -self.random.unit().ln() / rate;
        self.schedule(gap, Event::Arrival);
        let workload = if self.random.chance(WRITE_SHARE) { MARKED } else { READ };
        let router = draw(&mut self.random, &self.router_sums);
        let group = draw(&mut self.random, &self.group_sums);
        self.offered += usize::from(group == 0 && self.now >= self.scenario.cold_start());
        self.offer(ClientRequest { router, group, workload, retries: 0 });
    }

    fn offer(&mut self, request: ClientRequest) {
        let statement = Request {
            workload: request.workload,
            group: request.group,
            tenant: None,
            session: None,
            time_left: self.scenario.terms.workloads[request.workload].statement_timeout,
            seconds_since_write: None,
            is_flagged_retry: request.retries > 0 && self.scenario.marks_repeats,
            may_write: false,
            work: None,
        };
        let slot = self.instances[request.router].open(request);
        let now = self.now;
        self.call(request.router, |module, front| module.on_request(now, slot, statement, front));
    }

    /// Calls one router's module and carries out what it asks for.
    fn call(&mut self, router: usize, call: impl FnOnce(&mut Router, &mut Actions)) {
        let mut actions = Actions::default();
        call(&mut self.instances[router].router, &mut actions);
        for action in actions.0 {
            match action {
                Action::Execute { slot, endpoint } => self.start_attempt(router, slot, endpoint),
                Action::Reject { slot, retry_after } => self.rejected(router, slot, retry_after),
                Action::Abort { slot } => {
                    self.instances[router].close(slot);
                }
                Action::Probe { endpoint } => self.schedule(PROBE_TIME, Event::Probed { router, endpoint }),
            }
        }
    }

    fn rejected(&mut self, router: usize, slot: usize, retry_after: f64) {
        let request = self.instances[router].close(slot);
        if request.retries < self.scenario.client_retries {
            let after = retry_after * self.random.between(1.0, 1.5);
            self.schedule(after, Event::Retry(ClientRequest { retries: request.retries + 1, ..request }));
        }
    }

    fn start_attempt(&mut self, router: usize, slot: usize, endpoint: usize) {
        self.count(endpoint);
        let part = self.hosts[endpoint].listed.started_at.map_or(1.0, |at| self.scenario.part(self.now - at));
        let at = &mut self.hosts[endpoint];
        let (outcome, elapsed) = if at.free_at - self.now > QUEUE_TIME {
            (AttemptOutcome::Refused, PROBE_TIME)
        } else {
            at.free_at = at.free_at.max(self.now) + 1.0 / (self.scenario.capacity * part);
            (AttemptOutcome::Completed, at.free_at - self.now + SERVICE_TIME)
        };
        self.schedule(elapsed, Event::Executed { router, slot, endpoint, outcome, elapsed });
    }

    /// Holds an execution against what its host may be sent in a span.
    fn count(&mut self, endpoint: usize) {
        let Some(started_at) = self.hosts[endpoint].listed.started_at else { return };
        let age = self.now - started_at;
        let (allowed, span) =
            (self.scenario.allowed(age), (age / self.scenario.terms.overload_seconds) as u64);
        let limit = bound(allowed);
        let at = &mut self.hosts[endpoint];
        (at.sent_in_span, at.span) = (if at.span == span { at.sent_in_span + 1 } else { 1 }, span);
        at.sent_as_allowed += usize::from(at.sent_in_span as f64 <= allowed);
        at.sent.push_back(self.now);
        while at.sent.front().is_some_and(|sent| *sent <= self.now - self.scenario.terms.overload_seconds) {
            at.sent.pop_front();
        }
        at.exceeded |= at.sent.len() as f64 > limit;
        self.nearest = self.nearest.max(at.sent.len() as f64 / limit);
    }

    fn executed(
        &mut self,
        router: usize,
        slot: usize,
        endpoint: usize,
        outcome: AttemptOutcome,
        elapsed: f64,
    ) {
        let closed = outcome == AttemptOutcome::Completed;
        if closed {
            let request = self.instances[router].close(slot);
            self.answered += usize::from(request.group == 0 && self.now >= self.scenario.cold_start());
        }
        let report = self.report(endpoint);
        let result = AttemptResult {
            request: slot,
            endpoint,
            outcome,
            elapsed,
            has_final_answer: closed,
            observed: report,
            report: closed.then_some(report),
        };
        let now = self.now;
        self.call(router, |module, front| module.on_attempt_result(now, &result, front));
    }

    fn report(&self, endpoint: usize) -> LoadReport {
        LoadReport { role: Some(self.hosts[endpoint].role), lsn: Some(self.now), utilization: None }
    }
}

/// An index, as likely as its weight.
fn draw(random: &mut Random, running_sums: &[f64]) -> usize {
    let target = random.unit() * running_sums.last().copied().unwrap_or_default();
    running_sums.partition_point(|sum| *sum < target).min(running_sums.len() - 1)
}

fn play_all(seeds: std::ops::Range<u64>) -> Vec<(Scenario, WarmUp)> {
    let play_some = |first: u64| -> Vec<(Scenario, WarmUp)> {
        let mine = seeds.clone().filter(|seed| seed % THREADS == first);
        let play = |seed| (Scenario::draw(seed), Simulation::new(Scenario::draw(seed)).play());
        mine.map(play).collect()
    };
    std::thread::scope(|scope| {
        let play_some = &play_some;
        let threads: Vec<_> = (0..THREADS).map(|first| scope.spawn(move || play_some(first))).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("a warm-up panicked")).collect()
    })
}

/// One line on those of the warm-ups that a condition holds for.
fn summarize(name: &str, played: &[(Scenario, WarmUp)], of: impl Fn(&Scenario) -> bool) {
    let chosen: Vec<&WarmUp> = played.iter().filter(|(s, _)| of(s)).map(|(_, warm_up)| warm_up).collect();
    let count = chosen.len().max(1) as f64;
    let mean = |value: fn(&WarmUp) -> f64| chosen.iter().map(|w| value(w)).sum::<f64>() / count;
    println!(
        "{name:<24} {:>5} warm-ups, {:>4} exceeded the bound, given {:.3} of what is allowed, answered {:.3}",
        chosen.len(),
        chosen.iter().filter(|w| w.exceeded).count(),
        mean(|w| w.given),
        mean(|w| w.answered),
    );
}

#[test]
fn all_routers_together_keep_to_what_a_warming_host_is_allowed() {
    let named = std::env::var(WARM_UPS_VARIABLE).ok().and_then(|number| number.parse().ok());
    let played = play_all(0..named.unwrap_or(WARM_UPS));
    summarize("all", &played, |_| true);
    for routers in ROUTER_COUNTS {
        summarize(&format!("{routers} routers"), &played, |s| s.router_weights.len() == routers);
    }
    for cold in [Cold::OneReplica, Cold::Primary, Cold::HalfTheGroup, Cold::WholeGroup] {
        summarize(&format!("{cold:?}"), &played, |s| s.cold == cold);
    }
    let calm = |s: &Scenario| s.offered.len() == 2;
    summarize("three times the mean", &played, |s| !calm(s));
    summarize("half of the group gone", &played, |s| s.half_gone);
    summarize("even groups", &played, calm);
    summarize("even, no retries", &played, |s| calm(s) && s.client_retries == 0);
    summarize("clients retry", &played, |s| s.client_retries > 0);
    summarize("just restarted", &played, |s| s.restarted);
    summarize("allowed under 30", &played, |s| s.allowed_at_start < 30.0);
    for (scenario, warm_up) in played.iter().filter(|(_, w)| w.exceeded).take(20) {
        println!(
            "seed {}: {} routers, {:?}, half gone {}, {:.0} allowed at the start, offered {:.2} of capacity, restarted {}, \
             retries {}, marked {}: {:.2} of the bound",
            scenario.terms.seed,
            scenario.router_weights.len(),
            scenario.cold,
            scenario.half_gone,
            scenario.allowed_at_start,
            scenario.offered[0] / (scenario.capacity * HOSTS_PER_GROUP as f64),
            scenario.restarted,
            scenario.client_retries,
            scenario.marks_repeats,
            warm_up.nearest,
        );
    }
    let exceeded = played.iter().filter(|(_, warm_up)| warm_up.exceeded).count();
    assert!(exceeded * WARM_UPS_PER_EXCESS <= played.len(), "{exceeded} of {} warm-ups", played.len());
    let given = played.iter().map(|(_, warm_up)| warm_up.given).sum::<f64>() / played.len() as f64;
    assert!(given >= LEAST_GIVEN, "cold hosts idle: {given:.3}");
}
