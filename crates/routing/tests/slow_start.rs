//! Slow start summed over all routers: how often a warming endpoint is sent more than the settings allow, and how much
//! of its allowance is used. Many routers, which don't communicate with each other, share a few groups of simulated
//! endpoints. In one group some or all endpoints start cold.
//!
//! `SLOW_START_WARM_UPS=6000 cargo test --release -p ottersill-routing --test slow_start -- --nocapture` simulates more
//! warm-ups than CI does.

mod common;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use common::{DEDUPLICATED_WRITE, READ, config};
use ottersill_routing::Router;
use ottersill_routing::interface::*;

/// Number of simulated warm-ups unless the environment variable states another one.
const DEFAULT_WARM_UPS: u64 = 240;
const WARM_UPS_VARIABLE: &str = "SLOW_START_WARM_UPS";
/// At most one warm-up out of this many may exceed the bound.
const WARM_UPS_PER_EXCESS: usize = 1000;
/// Minimum of the mean fraction of their allowance that cold endpoints are sent: the value before routers respected the
/// bound, over the warm-ups that CI simulates.
const MIN_MEAN_USED_FRACTION: f64 = 0.31;
const ROUTER_COUNTS: [usize; 6] = [1, 3, 20, 30, 300, 900];
const THREADS: u64 = 4;

const ENDPOINTS_PER_GROUP: usize = 4;
/// Seconds between two ticks of a router.
const TICK_INTERVAL_SECONDS: f64 = 0.02;
/// Seconds that an attempt takes at an idle endpoint.
const SERVICE_SECONDS: f64 = 0.02;
/// Seconds that a health check takes, and an attempt that is refused.
const CHECK_SECONDS: f64 = 0.002;
/// Seconds of work that an endpoint queues before it refuses attempts.
const MAX_QUEUE_SECONDS: f64 = 0.25;
/// Seconds that the routers run before the cold endpoints start, unless all routers were just restarted.
const SETTLING_SECONDS: f64 = 2.5;
/// Fraction of the requests that are writes, at which a primary is about as loaded as its replicas.
const WRITE_FRACTION: f64 = 0.2;
/// How often a client retries after rejections: never, as often as usual, or too often.
const CLIENT_RETRY_LIMITS: [u32; 3] = [0, 3, 8];
/// Time on the routers' clocks when they start.
const START_SECONDS: f64 = 100.0;

/// A seeded generator (SplitMix64), so that a warm-up is the same each time it is simulated.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Draws from the open interval between 0 and 1.
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

/// Which endpoints of group 0 start cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ColdEndpoints {
    OneReplica,
    /// The old primary is removed, and after a gap without a primary the endpoint that starts takes its place.
    Primary,
    HalfTheGroup,
    WholeGroup,
}

/// The random settings of one warm-up. The cold endpoints are in group 0.
#[derive(Clone, Debug)]
struct Scenario {
    config: RoutingConfig,
    cold: ColdEndpoints,
    /// Two replicas of the group with the cold endpoint are removed for good.
    is_half_removed: bool,
    /// Attempts that the settings allow the cold endpoint in the first `overload_seconds`.
    initial_allowance: f64,
    /// Attempts per second that a warm endpoint completes.
    capacity: f64,
    /// Requests per second to each group, without retries.
    offered: Vec<f64>,
    /// Traffic of each router, relative to the others.
    router_weights: Vec<f64>,
    /// Whether all routers start at the same time as the cold endpoints.
    routers_restarted: bool,
    /// How often a client retries after rejections.
    max_client_retries: u32,
    /// Whether clients flag their retries as such.
    flags_retries: bool,
    /// Seconds without a primary if the cold endpoint becomes the new one.
    primary_gap_seconds: f64,
}

impl Scenario {
    fn draw(seed: u64) -> Scenario {
        let mut random = Random(seed);
        let routers = ROUTER_COUNTS[seed as usize % ROUTER_COUNTS.len()];
        let config = RoutingConfig {
            seed,
            routers,
            site: None,
            initial_capacity_fraction: random.between(0.15, 0.4),
            warmup_seconds: random.between(3.0, 6.0),
            overload_multiple: random.between(2.0, 3.0),
            overload_seconds: random.between(0.8, 1.5),
            ..config(true)
        };
        let initial_allowance = (random.between(3.0_f64.ln(), 400.0_f64.ln())).exp();
        let capacity = initial_allowance
            / (config.overload_multiple * config.initial_capacity_fraction * config.overload_seconds);
        let group_capacity = capacity * ENDPOINTS_PER_GROUP as f64;
        let has_hot_group = random.chance(0.4);
        let offered = if has_hot_group {
            let mean = random.between(0.2, 0.5) * group_capacity;
            vec![3.0 * mean, mean / 3.0, mean / 3.0, mean / 3.0]
        } else {
            vec![random.between(0.3, 1.3) * group_capacity; 2]
        };
        let cold = match random.below(10) {
            0..4 => ColdEndpoints::OneReplica,
            4..7 => ColdEndpoints::Primary,
            7..9 => ColdEndpoints::HalfTheGroup,
            _ => ColdEndpoints::WholeGroup,
        };
        let is_half_removed =
            matches!(cold, ColdEndpoints::OneReplica | ColdEndpoints::Primary) && random.chance(0.25);
        Scenario {
            is_half_removed,
            router_weights: (0..routers).map(|_| random.between(1.0, 5.0)).collect(),
            routers_restarted: random.chance(0.3),
            max_client_retries: CLIENT_RETRY_LIMITS[random.below(CLIENT_RETRY_LIMITS.len())],
            flags_retries: random.chance(0.5),
            primary_gap_seconds: random.between(0.3, 1.5),
            config,
            cold,
            initial_allowance,
            capacity,
            offered,
        }
    }

    fn cold_endpoints(&self) -> Vec<usize> {
        match self.cold {
            ColdEndpoints::OneReplica | ColdEndpoints::Primary => vec![1],
            ColdEndpoints::HalfTheGroup => vec![2, 3],
            ColdEndpoints::WholeGroup => vec![0, 1, 2, 3],
        }
    }

    /// When the cold endpoints start.
    fn cold_start_at(&self) -> f64 {
        START_SECONDS + if self.routers_restarted { 0.0 } else { SETTLING_SECONDS }
    }

    fn end(&self) -> f64 {
        self.cold_start_at() + self.config.warmup_seconds
    }

    /// Attempts within `overload_seconds` that the settings allow an endpoint that started `age` seconds ago.
    fn allowance(&self, age: f64) -> f64 {
        self.config.overload_multiple
            * self.capacity
            * self.capacity_fraction(age)
            * self.config.overload_seconds
    }

    /// Fraction of its capacity that an endpoint has `age` seconds after its start.
    fn capacity_fraction(&self, age: f64) -> f64 {
        let warmup_progress = (age / self.config.warmup_seconds).clamp(0.0, 1.0);
        self.config.initial_capacity_fraction
            + (1.0 - self.config.initial_capacity_fraction) * warmup_progress
    }

    /// Attempts that the settings allow an endpoint during its whole warm-up.
    fn total_allowance(&self) -> f64 {
        let mean_fraction = f64::midpoint(self.config.initial_capacity_fraction, 1.0);
        self.config.overload_multiple * self.capacity * mean_fraction * self.config.warmup_seconds
    }
}

/// Number of attempts within `overload_seconds` beyond which an endpoint with this allowance fails.
fn bound(allowance: f64) -> f64 {
    if allowance < 30.0 {
        allowance + 3.0 * allowance.sqrt() + 3.0
    } else {
        allowance + 2.0 * allowance.sqrt() + 2.0
    }
}

/// A call of [`Transport`]; `slot` is the index of the request.
#[derive(Clone, Copy)]
enum Call {
    StartAttempt { slot: usize, endpoint: usize },
    Reject { slot: usize, retry_after: f64 },
    Abort { slot: usize },
    Check { endpoint: usize },
}

/// Records the calls of a router until the simulation carries them out.
#[derive(Default)]
struct Calls(Vec<Call>);

impl Transport for Calls {
    fn start_attempt(&mut self, slot: usize, endpoint: usize, _timeout: f64) {
        self.0.push(Call::StartAttempt { slot, endpoint });
    }
    fn reject(&mut self, slot: usize, retry_after: f64) {
        self.0.push(Call::Reject { slot, retry_after });
    }
    fn abort(&mut self, slot: usize) {
        self.0.push(Call::Abort { slot });
    }
    fn cancel_attempt(&mut self, _slot: usize, _attempt: u32) {}
    fn start_health_check(&mut self, endpoint: usize) {
        self.0.push(Call::Check { endpoint });
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

/// One router and the requests that it has.
struct RouterInstance {
    router: Router,
    /// The request of each index that the router was given; `None` for free indices.
    slots: Vec<Option<ClientRequest>>,
    free_slots: Vec<usize>,
}

impl RouterInstance {
    fn open_slot(&mut self, request: ClientRequest) -> usize {
        let slot = self.free_slots.pop().unwrap_or(self.slots.len());
        if slot == self.slots.len() {
            self.slots.push(None);
        }
        self.slots[slot] = Some(request);
        slot
    }

    fn close_slot(&mut self, slot: usize) -> ClientRequest {
        self.free_slots.push(slot);
        self.slots[slot].take().expect("slot is already free")
    }
}

struct Endpoint {
    role: Role,
    update: EndpointUpdate,
    /// When its queue will be empty, in seconds.
    idle_at: f64,
    /// Times of the attempts of the last `overload_seconds`, if it has started cold.
    recent_attempts: VecDeque<f64>,
    /// Number of whole `overload_seconds` since its start, and the attempts in the current one.
    period: u64,
    attempts_in_period: usize,
    /// Attempts that it was sent, without those beyond its allowance in a period.
    attempts_within_allowance: usize,
    /// Whether it was ever sent more than the bound.
    exceeded: bool,
}

#[derive(Clone, Copy)]
enum Event {
    Ticks,
    Arrival,
    Retry(ClientRequest),
    AttemptEnded { router: usize, slot: usize, endpoint: usize, outcome: AttemptOutcome, elapsed: f64 },
    Checked { router: usize, endpoint: usize },
    ColdStart,
    NewPrimary,
}

/// An event, ordered by time; events of the same time keep the order in which they were scheduled.
#[derive(Clone, Copy)]
struct Scheduled {
    at: f64,
    sequence: u64,
    event: Event,
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.sequence.cmp(&other.sequence))
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

/// The result of one warm-up.
#[derive(Clone, Copy, Debug)]
struct WarmUpResult {
    exceeded: bool,
    /// The most attempts that a cold endpoint was sent within `overload_seconds`, as a fraction of the bound.
    peak_fraction_of_bound: f64,
    /// Attempts that the cold endpoints were sent as a fraction of their allowance, without those beyond the allowance
    /// of a period.
    used_fraction: f64,
    /// Fraction of the requests to the group with the cold endpoints that were answered.
    answered_fraction: f64,
}

struct Simulation {
    scenario: Scenario,
    random: Random,
    now: f64,
    instances: Vec<RouterInstance>,
    endpoints: Vec<Endpoint>,
    events: BinaryHeap<Reverse<Scheduled>>,
    scheduled_count: u64,
    /// Running sums of the weights, to draw indices from.
    router_sums: Vec<f64>,
    group_sums: Vec<f64>,
    /// Requests to the group with the cold endpoints since these started, and those of them that were answered.
    offered: usize,
    answered: usize,
    peak_fraction_of_bound: f64,
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
        let endpoint_count = scenario.offered.len() * ENDPOINTS_PER_GROUP;
        let endpoint = |index: usize| Endpoint {
            role: if index % ENDPOINTS_PER_GROUP == 0 { Role::Primary } else { Role::Replica },
            update: EndpointUpdate {
                endpoint: index,
                order: index as u64,
                group: index / ENDPOINTS_PER_GROUP,
                site: None,
                size: 1.0,
                state: EndpointState::Ready,
                started_at: None,
            },
            idle_at: 0.0,
            recent_attempts: VecDeque::new(),
            period: 0,
            attempts_in_period: 0,
            attempts_within_allowance: 0,
            exceeded: false,
        };
        let instance = |index: usize| {
            let seed = scenario.config.seed.wrapping_mul(1_000_003).wrapping_add(index as u64);
            let config = RoutingConfig { seed, ..scenario.config.clone() };
            let router = Router::start(START_SECONDS, config, &mut Calls::default());
            RouterInstance { router, slots: Vec::new(), free_slots: Vec::new() }
        };
        Simulation {
            random: Random(scenario.config.seed ^ 0xa5a5),
            now: START_SECONDS,
            instances: (0..scenario.router_weights.len()).map(instance).collect(),
            endpoints: (0..endpoint_count).map(endpoint).collect(),
            events: BinaryHeap::new(),
            scheduled_count: 0,
            router_sums: running_sums(&scenario.router_weights),
            group_sums: running_sums(&scenario.offered),
            offered: 0,
            answered: 0,
            peak_fraction_of_bound: 0.0,
            scenario,
        }
    }

    fn run(mut self) -> WarmUpResult {
        if self.scenario.is_half_removed {
            [2, 3]
                .into_iter()
                .for_each(|endpoint: usize| self.endpoints[endpoint].update.state = EndpointState::Removed);
        }
        // Routers that were just restarted find the cold endpoints in their first endpoint list.
        if self.scenario.routers_restarted {
            self.start_cold_endpoints();
        }
        let all: Vec<usize> = (0..self.endpoints.len()).collect();
        self.send_endpoint_list(&all);
        self.schedule(0.0, Event::Ticks);
        self.schedule(0.0, Event::Arrival);
        if !self.scenario.routers_restarted {
            self.schedule(SETTLING_SECONDS, Event::ColdStart);
        }
        let end = self.scenario.end();
        while let Some(Reverse(next)) = self.events.pop() {
            if next.at >= end {
                break;
            }
            self.now = next.at;
            self.handle_event(next.event);
        }
        let cold = self.scenario.cold_endpoints();
        let sent: usize =
            cold.iter().map(|endpoint| self.endpoints[*endpoint].attempts_within_allowance).sum();
        WarmUpResult {
            exceeded: cold.iter().any(|endpoint| self.endpoints[*endpoint].exceeded),
            peak_fraction_of_bound: self.peak_fraction_of_bound,
            used_fraction: sent as f64 / (self.scenario.total_allowance() * cold.len() as f64),
            answered_fraction: self.answered as f64 / self.offered.max(1) as f64,
        }
    }

    fn schedule(&mut self, after: f64, event: Event) {
        self.scheduled_count += 1;
        self.events.push(Reverse(Scheduled { at: self.now + after, sequence: self.scheduled_count, event }));
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Ticks => {
                (0..self.instances.len()).for_each(|router| {
                    let now = self.now;
                    self.call(router, |routing, calls| routing.on_tick(now, calls));
                });
                self.schedule(TICK_INTERVAL_SECONDS, Event::Ticks);
            }
            Event::Arrival => self.on_arrival(),
            Event::Retry(request) => self.send_request(request),
            Event::AttemptEnded { router, slot, endpoint, outcome, elapsed } => {
                self.on_attempt_ended(router, slot, endpoint, outcome, elapsed);
            }
            Event::Checked { router, endpoint } => {
                let (now, report) = (self.now, self.report(endpoint));
                self.call(router, |routing, calls| {
                    routing.on_health_check(now, endpoint, AttemptOutcome::Completed, report, calls);
                });
            }
            Event::ColdStart => {
                self.start_cold_endpoints();
                let mut changed = self.scenario.cold_endpoints();
                if self.scenario.cold == ColdEndpoints::Primary {
                    changed.push(0);
                }
                self.send_endpoint_list(&changed);
            }
            Event::NewPrimary => self.endpoints[1].role = Role::Primary,
        }
    }

    fn start_cold_endpoints(&mut self) {
        for endpoint in self.scenario.cold_endpoints() {
            self.endpoints[endpoint].update.started_at = Some(self.now);
            self.endpoints[endpoint].idle_at = 0.0;
        }
        if self.scenario.cold == ColdEndpoints::Primary {
            self.endpoints[0].update.state = EndpointState::Removed;
            self.endpoints[0].role = Role::Replica;
            self.schedule(self.scenario.primary_gap_seconds, Event::NewPrimary);
        }
    }

    fn send_endpoint_list(&mut self, endpoints: &[usize]) {
        let list: Vec<EndpointUpdate> =
            endpoints.iter().map(|endpoint| self.endpoints[*endpoint].update).collect();
        for router in 0..self.instances.len() {
            let now = self.now;
            self.call(router, |routing, calls| routing.on_endpoint_list(now, &list, calls));
        }
    }

    fn on_arrival(&mut self) {
        let rate: f64 = self.scenario.offered.iter().sum();
        let gap = -self.random.unit().ln() / rate;
        self.schedule(gap, Event::Arrival);
        let workload = if self.random.chance(WRITE_FRACTION) { DEDUPLICATED_WRITE } else { READ };
        let router = draw_index(&mut self.random, &self.router_sums);
        let group = draw_index(&mut self.random, &self.group_sums);
        self.offered += usize::from(group == 0 && self.now >= self.scenario.cold_start_at());
        self.send_request(ClientRequest { router, group, workload, retries: 0 });
    }

    fn send_request(&mut self, request: ClientRequest) {
        let statement = Request {
            workload: request.workload,
            group: request.group,
            tenant: None,
            session: None,
            time_left: self.scenario.config.workloads[request.workload].statement_timeout,
            seconds_since_write: None,
            is_flagged_retry: request.retries > 0 && self.scenario.flags_retries,
            may_write: false,
            work: None,
        };
        let slot = self.instances[request.router].open_slot(request);
        let now = self.now;
        self.call(request.router, |routing, calls| routing.on_request(now, slot, statement, calls));
    }

    /// Calls one router and carries out the actions that it requests.
    fn call(&mut self, router: usize, call: impl FnOnce(&mut Router, &mut Calls)) {
        let mut calls = Calls::default();
        call(&mut self.instances[router].router, &mut calls);
        for requested in calls.0 {
            match requested {
                Call::StartAttempt { slot, endpoint } => self.start_attempt(router, slot, endpoint),
                Call::Reject { slot, retry_after } => self.on_reject(router, slot, retry_after),
                Call::Abort { slot } => {
                    self.instances[router].close_slot(slot);
                }
                Call::Check { endpoint } => self.schedule(CHECK_SECONDS, Event::Checked { router, endpoint }),
            }
        }
    }

    fn on_reject(&mut self, router: usize, slot: usize, retry_after: f64) {
        let request = self.instances[router].close_slot(slot);
        if request.retries < self.scenario.max_client_retries {
            let after = retry_after * self.random.between(1.0, 1.5);
            self.schedule(after, Event::Retry(ClientRequest { retries: request.retries + 1, ..request }));
        }
    }

    fn start_attempt(&mut self, router: usize, slot: usize, endpoint: usize) {
        self.count_attempt(endpoint);
        let capacity_fraction = self.endpoints[endpoint]
            .update
            .started_at
            .map_or(1.0, |at| self.scenario.capacity_fraction(self.now - at));
        let target = &mut self.endpoints[endpoint];
        let (outcome, elapsed) = if target.idle_at - self.now > MAX_QUEUE_SECONDS {
            (AttemptOutcome::Refused, CHECK_SECONDS)
        } else {
            target.idle_at =
                target.idle_at.max(self.now) + 1.0 / (self.scenario.capacity * capacity_fraction);
            (AttemptOutcome::Completed, target.idle_at - self.now + SERVICE_SECONDS)
        };
        self.schedule(elapsed, Event::AttemptEnded { router, slot, endpoint, outcome, elapsed });
    }

    /// Counts an attempt and compares the attempts of the last `overload_seconds` with the bound.
    fn count_attempt(&mut self, endpoint: usize) {
        let Some(started_at) = self.endpoints[endpoint].update.started_at else { return };
        let age = self.now - started_at;
        let (allowance, period) =
            (self.scenario.allowance(age), (age / self.scenario.config.overload_seconds) as u64);
        let limit = bound(allowance);
        let target = &mut self.endpoints[endpoint];
        (target.attempts_in_period, target.period) =
            (if target.period == period { target.attempts_in_period + 1 } else { 1 }, period);
        target.attempts_within_allowance += usize::from(target.attempts_in_period as f64 <= allowance);
        target.recent_attempts.push_back(self.now);
        while target
            .recent_attempts
            .front()
            .is_some_and(|sent| *sent <= self.now - self.scenario.config.overload_seconds)
        {
            target.recent_attempts.pop_front();
        }
        target.exceeded |= target.recent_attempts.len() as f64 > limit;
        self.peak_fraction_of_bound =
            self.peak_fraction_of_bound.max(target.recent_attempts.len() as f64 / limit);
    }

    fn on_attempt_ended(
        &mut self,
        router: usize,
        slot: usize,
        endpoint: usize,
        outcome: AttemptOutcome,
        elapsed: f64,
    ) {
        let is_completed = outcome == AttemptOutcome::Completed;
        if is_completed {
            let request = self.instances[router].close_slot(slot);
            self.answered += usize::from(request.group == 0 && self.now >= self.scenario.cold_start_at());
        }
        let report = self.report(endpoint);
        let result = AttemptResult {
            request: slot,
            endpoint,
            outcome,
            elapsed,
            has_final_answer: is_completed,
            observed: report,
            report: is_completed.then_some(report),
        };
        let now = self.now;
        self.call(router, |routing, calls| routing.on_attempt_result(now, &result, calls));
    }

    fn report(&self, endpoint: usize) -> LoadReport {
        LoadReport { role: Some(self.endpoints[endpoint].role), lsn: Some(self.now), utilization: None }
    }
}

/// Draws an index with a probability in proportion to its weight.
fn draw_index(random: &mut Random, running_sums: &[f64]) -> usize {
    let target = random.unit() * running_sums.last().copied().unwrap_or_default();
    running_sums.partition_point(|sum| *sum < target).min(running_sums.len() - 1)
}

fn run_all(seeds: std::ops::Range<u64>) -> Vec<(Scenario, WarmUpResult)> {
    let run_some = |first: u64| -> Vec<(Scenario, WarmUpResult)> {
        let own_seeds = seeds.clone().filter(|seed| seed % THREADS == first);
        let run = |seed| (Scenario::draw(seed), Simulation::new(Scenario::draw(seed)).run());
        own_seeds.map(run).collect()
    };
    std::thread::scope(|scope| {
        let run_some = &run_some;
        let threads: Vec<_> = (0..THREADS).map(|first| scope.spawn(move || run_some(first))).collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("simulation of a warm-up panicked"))
            .collect()
    })
}

/// Prints one line about the warm-ups for which the condition holds.
fn summarize(name: &str, results: &[(Scenario, WarmUpResult)], condition: impl Fn(&Scenario) -> bool) {
    let selected: Vec<&WarmUpResult> =
        results.iter().filter(|(s, _)| condition(s)).map(|(_, result)| result).collect();
    let count = selected.len().max(1) as f64;
    let mean = |value: fn(&WarmUpResult) -> f64| selected.iter().map(|w| value(w)).sum::<f64>() / count;
    println!(
        "{name:<24} {:>5} warm-ups, {:>4} exceeded the bound, used {:.3} of the allowance, answered {:.3}",
        selected.len(),
        selected.iter().filter(|w| w.exceeded).count(),
        mean(|w| w.used_fraction),
        mean(|w| w.answered_fraction),
    );
}

#[test]
fn all_routers_together_respect_the_allowance_of_a_warming_endpoint() {
    let configured = std::env::var(WARM_UPS_VARIABLE).ok().and_then(|number| number.parse().ok());
    let results = run_all(0..configured.unwrap_or(DEFAULT_WARM_UPS));
    summarize("all", &results, |_| true);
    for routers in ROUTER_COUNTS {
        summarize(&format!("{routers} routers"), &results, |s| s.router_weights.len() == routers);
    }
    for cold in [
        ColdEndpoints::OneReplica,
        ColdEndpoints::Primary,
        ColdEndpoints::HalfTheGroup,
        ColdEndpoints::WholeGroup,
    ] {
        summarize(&format!("{cold:?}"), &results, |s| s.cold == cold);
    }
    let has_even_load = |s: &Scenario| s.offered.len() == 2;
    summarize("group 0 at 3x the mean", &results, |s| !has_even_load(s));
    summarize("half the group removed", &results, |s| s.is_half_removed);
    summarize("even load", &results, has_even_load);
    summarize("even load, no retries", &results, |s| has_even_load(s) && s.max_client_retries == 0);
    summarize("clients retry", &results, |s| s.max_client_retries > 0);
    summarize("routers restarted", &results, |s| s.routers_restarted);
    summarize("allowance under 30", &results, |s| s.initial_allowance < 30.0);
    for (scenario, result) in results.iter().filter(|(_, w)| w.exceeded).take(20) {
        println!(
            "seed {}: {} routers, {:?}, half removed {}, initial allowance {:.0}, offered {:.2} of capacity, restarted {}, \
             retries {}, flagged {}: {:.2} of the bound",
            scenario.config.seed,
            scenario.router_weights.len(),
            scenario.cold,
            scenario.is_half_removed,
            scenario.initial_allowance,
            scenario.offered[0] / (scenario.capacity * ENDPOINTS_PER_GROUP as f64),
            scenario.routers_restarted,
            scenario.max_client_retries,
            scenario.flags_retries,
            result.peak_fraction_of_bound,
        );
    }
    let exceeded = results.iter().filter(|(_, result)| result.exceeded).count();
    assert!(
        exceeded * WARM_UPS_PER_EXCESS <= results.len(),
        "{exceeded} of {} warm-ups exceeded the bound",
        results.len()
    );
    let used_fraction =
        results.iter().map(|(_, result)| result.used_fraction).sum::<f64>() / results.len() as f64;
    assert!(
        used_fraction >= MIN_MEAN_USED_FRACTION,
        "cold endpoints were sent {used_fraction:.3} of their allowance on average"
    );
}
