//! What estimates by statement fingerprint gain in routing decisions: one workload with cheap and heavy statements, the
//! facade and the fingerprint cache over endpoints that queue, on a simulated clock. Each seed is run twice, with the
//! estimates and without them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use ottersill_routing::Router;
use ottersill_routing::facade::{Decision, Facade, PickRequest, RoutingAction, RoutingEvent};
use ottersill_routing::interface::*;
use ottersill_statement::fingerprint::Key;
use ottersill_statement::fingerprint_cache::{CacheKey, FingerprintCache};

const ENDPOINTS: usize = 4;
const CORES: usize = 2;
const CHEAP_WORK_SECONDS: f64 = 0.01;
const HEAVY_WORK_SECONDS: f64 = 1.0;
const SLO_TIME_SECONDS: f64 = 1.25;
const STATEMENT_TIMEOUT_SECONDS: f64 = 3.75;
/// A debug build is twenty times slower and simulates less; the figures in the docs are those of a release build.
const SIMULATED_SECONDS: f64 = if cfg!(debug_assertions) { 5.0 } else { 12.0 };
const SEEDS: u64 = if cfg!(debug_assertions) { 2 } else { 4 };

fn config(seed: u64) -> RoutingConfig {
    let workload = WorkloadSettings {
        consistency: Consistency::Bounded(1.0),
        effect: Effect::Idempotent,
        priority_weight: 1.0,
        late_value_fraction: 0.3,
        slo_time: SLO_TIME_SECONDS,
        statement_timeout: STATEMENT_TIMEOUT_SECONDS,
    };
    RoutingConfig {
        seed,
        routers: 1,
        site: None,
        workloads: vec![workload],
        tenant_rates: Vec::new(),
        over_share_factor: 1.0,
        reports: ReportSource::WithAnswers,
        endpoints_check_reads: true,
        must_remember_writes: false,
        list_on_request: false,
        may_check_health: true,
        may_cancel_attempts: true,
        max_attempts: 4,
        max_retry_after: 0.5,
        only_draining_excludes: false,
        initial_capacity_fraction: 1.0,
        warmup_seconds: 1.0,
        overload_multiple: 3.0,
        overload_seconds: 1.0,
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    AttemptEnd { request: usize, endpoint: usize, completed: bool, sent: u64 },
    Arrival,
}

/// Converts seconds to whole microseconds, which have a total order.
fn micros(at: f64) -> u64 {
    (at * 1e6) as u64
}

struct Simulation {
    facade: Facade,
    cache: FingerprintCache,
    uses_estimates: bool,
    now: f64,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    free_at: [[f64; CORES]; ENDPOINTS],
    /// By the index of the request: arrival time, work in seconds, and key of its fingerprint in the cache.
    requests: Vec<(f64, f64, Option<CacheKey>)>,
    draws: u64,
    seed: u64,
    /// Counts of cheap and heavy requests: arrived, answered in time, answered late.
    arrived_count: [f64; 2],
    in_time: [f64; 2],
    late: [f64; 2],
}

impl Simulation {
    /// Returns a number from 0 to 1 that depends on the seed and the number of earlier draws.
    fn random_fraction(&mut self) -> f64 {
        self.draws += 1;
        let mut x =
            self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ self.draws.wrapping_mul(0xd134_2543_de82_ef95);
        x = (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
        x = (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
        ((x ^ (x >> 32)) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn run(seed: u64, load: f64, uses_estimates: bool) -> Simulation {
        let config = config(seed);
        let typical_latencies = config.workloads.iter().map(Router::initial_latency).collect();
        let cache = FingerprintCache::new(0.0, Key::from_seed(seed), 1 << 20, typical_latencies);
        let mut simulation = Simulation {
            facade: Facade::start(0.0, config),
            cache,
            uses_estimates,
            now: 0.0,
            events: BinaryHeap::new(),
            free_at: [[0.0; CORES]; ENDPOINTS],
            requests: Vec::new(),
            draws: 0,
            seed,
            arrived_count: [0.0; 2],
            in_time: [0.0; 2],
            late: [0.0; 2],
        };
        let list: Vec<EndpointUpdate> = (0..ENDPOINTS)
            .map(|endpoint| EndpointUpdate {
                endpoint,
                size: 1.0,
                order: endpoint as u64,
                ..EndpointUpdate::default()
            })
            .collect();
        simulation.facade.report(0.0, RoutingEvent::EndpointList(&list));
        simulation.events.push(Reverse((micros(0.1), Event::Arrival)));
        // One request in fifty is heavy, which makes two thirds of the work.
        let rate =
            load * (ENDPOINTS * CORES) as f64 / (0.98 * CHEAP_WORK_SECONDS + 0.02 * HEAVY_WORK_SECONDS);
        while simulation.now < SIMULATED_SECONDS {
            let next = simulation.events.peek().map_or(f64::INFINITY, |event| event.0.0 as f64 / 1e6);
            let tick = simulation.facade.wake_at();
            simulation.now = simulation.now.max(next.min(tick));
            if next <= tick {
                let Some(Reverse((_, event))) = simulation.events.pop() else { break };
                match event {
                    Event::Arrival => {
                        let gap = -simulation.random_fraction().max(1e-12).ln() / rate;
                        simulation.events.push(Reverse((micros(simulation.now + gap), Event::Arrival)));
                        simulation.arrive();
                    }
                    Event::AttemptEnd { request, endpoint, completed, sent } => {
                        simulation.end(request, endpoint, completed, sent);
                    }
                }
            }
            simulation.perform_actions();
        }
        simulation
    }

    fn arrive(&mut self) {
        let heavy = self.random_fraction() < 0.02;
        let bell: f64 = (0..3).map(|_| self.random_fraction() - 0.5).sum();
        let work = if heavy { HEAVY_WORK_SECONDS } else { CHEAP_WORK_SECONDS } * (bell * 0.5).exp();
        let text: &[u8] = if heavy {
            b"SELECT sum(kg) FROM picked GROUP BY day"
        } else {
            b"SELECT kg FROM picked WHERE id = 7"
        };
        let fingerprint = self.cache.scan(text).fingerprint;
        let lookup = self.cache.lookup(self.now, 0, text, fingerprint);
        let estimate = lookup.estimate.filter(|_| self.uses_estimates);
        let request = Request {
            workload: 0,
            group: 0,
            tenant: None,
            session: None,
            time_left: STATEMENT_TIMEOUT_SECONDS,
            seconds_since_write: None,
            is_flagged_retry: false,
            may_write: false,
            work: estimate.map(|e| WorkEstimate {
                fingerprint_seconds: e.work_seconds,
                workload_seconds: e.typical_work_seconds,
                log_standard_error: e.log_standard_error,
            }),
        };
        self.arrived_count[usize::from(heavy)] += 1.0;
        let (index, decision) = self.facade.pick(self.now, PickRequest::New(request));
        let entry = (self.now, work, lookup.key);
        self.requests.resize(self.requests.len().max(index + 1), entry);
        self.requests[index] = entry;
        self.act(index, decision);
    }

    fn act(&mut self, request: usize, decision: Decision) {
        let Decision::Dispatch { endpoint, timeout } = decision else { return };
        let (arrived, work, _) = self.requests[request];
        let cores = &mut self.free_at[endpoint];
        let core = (0..CORES).min_by(|a, b| cores[*a].total_cmp(&cores[*b])).unwrap_or(0);
        let ended = self.now.max(cores[core]) + work;
        // An endpoint continues a statement for which no client waits any more.
        cores[core] = ended;
        let deadline = arrived + STATEMENT_TIMEOUT_SECONDS;
        let until = if timeout > 0.0 { deadline.min(self.now + timeout) } else { deadline };
        let event =
            Event::AttemptEnd { request, endpoint, completed: ended <= until, sent: micros(self.now) };
        self.events.push(Reverse((micros(ended.min(until)), event)));
    }

    fn end(&mut self, request: usize, endpoint: usize, completed: bool, sent: u64) {
        let (arrived, work, key) = self.requests[request];
        let elapsed = self.now - sent as f64 / 1e6;
        let outcome = if completed { AttemptOutcome::Completed } else { AttemptOutcome::TimedOut };
        if completed {
            let (heavy, in_time) =
                (usize::from(work > 10.0 * CHEAP_WORK_SECONDS), self.now - arrived <= SLO_TIME_SECONDS);
            *if in_time { &mut self.in_time[heavy] } else { &mut self.late[heavy] } += 1.0;
            if let Some(key) = key {
                self.cache.record_completion(self.now, key, endpoint, elapsed, true);
            }
        }
        let observed = self.observed(endpoint);
        self.facade.report(
            self.now,
            RoutingEvent::AttemptEnded {
                request,
                endpoint,
                outcome,
                elapsed,
                observed,
                report: Some(observed),
            },
        );
    }

    fn observed(&self, endpoint: usize) -> LoadReport {
        let role = if endpoint == 0 { Role::Primary } else { Role::Replica };
        LoadReport { role: Some(role), lsn: Some(self.now), utilization: None }
    }

    fn perform_actions(&mut self) {
        loop {
            let due = self.facade.tick(self.now);
            if due.is_empty() {
                return;
            }
            for due in due {
                match due {
                    RoutingAction::Pick(request) => {
                        let (request, decision) = self.facade.pick(self.now, PickRequest::Waiting(request));
                        self.act(request, decision);
                    }
                    // The attempt ends by its own event.
                    RoutingAction::CancelAttempt(_) => {}
                    RoutingAction::HealthCheck(endpoint) => {
                        let report = self.observed(endpoint);
                        self.facade.report(
                            self.now,
                            RoutingEvent::HealthCheckEnded {
                                endpoint,
                                outcome: AttemptOutcome::Completed,
                                report,
                            },
                        );
                    }
                }
            }
        }
    }

    /// Fraction of the maximal value earned; every request has the same value.
    fn earned_fraction(&self) -> f64 {
        let sum = |counts: [f64; 2]| counts[0] + counts[1];
        (sum(self.in_time) + 0.3 * sum(self.late)) / sum(self.arrived_count)
    }
}

#[test]
fn fingerprint_estimates_earn_more_in_a_mixed_workload() {
    println!("load  earned without, with   difference  (standard error)   cheap in time      heavy in time");
    let all = [(0.5, -0.01), (0.9, 0.0), (1.2, 0.0), (1.6, 0.0)];
    for (load, min_gain) in all.into_iter().skip(if cfg!(debug_assertions) { 3 } else { 0 }) {
        let pairs: Vec<(Simulation, Simulation)> = (1..=SEEDS)
            .map(|seed| (Simulation::run(seed, load, false), Simulation::run(seed, load, true)))
            .collect();
        let n = pairs.len() as f64;
        let mean =
            |value: &dyn Fn(&(Simulation, Simulation)) -> f64| pairs.iter().map(value).sum::<f64>() / n;
        let gain = mean(&|pair| pair.1.earned_fraction() - pair.0.earned_fraction());
        let variance = mean(&|pair| (pair.1.earned_fraction() - pair.0.earned_fraction() - gain).powi(2));
        let error = (variance / (n - 1.0)).sqrt();
        let in_time_fraction = |of: usize| {
            (
                mean(&|pair| pair.0.in_time[of] / pair.0.arrived_count[of]),
                mean(&|pair| pair.1.in_time[of] / pair.1.arrived_count[of]),
            )
        };
        println!(
            "{load:4}  {:14.3} {:5.3}   {gain:+10.3}  ({error:.3})            {:.3?}   {:.3?}",
            mean(&|pair| pair.0.earned_fraction()),
            mean(&|pair| pair.1.earned_fraction()),
            in_time_fraction(0),
            in_time_fraction(1)
        );
        assert!(gain + 2.0 * error > min_gain, "at load {load}: {gain} within {error}");
    }
}
