//! What knowing shapes gains in decisions: one workload with cheap and heavy shapes, the facade and the book over hosts
//! that queue, on a clock of the test's own. Each seed is played twice, with the book's word and without it.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use ottersill_routing::Router;
use ottersill_routing::facade::{Decision, Facade, PickRequest, RoutingAction, RoutingEvent};
use ottersill_routing::interface::*;
use ottersill_statement::fingerprint::Key;
use ottersill_statement::fingerprint_cache::{CacheKey, FingerprintCache};

const HOSTS: usize = 4;
const CORES: usize = 2;
const CHEAP: f64 = 0.01;
const HEAVY: f64 = 1.0;
const SLO: f64 = 1.25;
const TIMEOUT: f64 = 3.75;
/// A debug build takes twenty times as long: it plays less, and the figures of the docs are a release build's.
const SECONDS: f64 = if cfg!(debug_assertions) { 5.0 } else { 12.0 };
const SEEDS: u64 = if cfg!(debug_assertions) { 2 } else { 4 };

fn config(seed: u64) -> RoutingConfig {
    let workload = WorkloadSettings {
        consistency: Consistency::Bounded(1.0),
        effect: Effect::Idempotent,
        priority_weight: 1.0,
        late_value_fraction: 0.3,
        slo_time: SLO,
        statement_timeout: TIMEOUT,
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
    Ended { request: usize, endpoint: usize, completed: bool, sent: u64 },
    Arrives,
}

/// Microseconds order totally.
fn micros(at: f64) -> u64 {
    (at * 1e6) as u64
}

struct Day {
    facade: Facade,
    book: FingerprintCache,
    knows: bool,
    now: f64,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    free_at: [[f64; CORES]; HOSTS],
    /// By the statement's number: when it came, its own work, where its shape is kept.
    held: Vec<(f64, f64, Option<CacheKey>)>,
    draws: u64,
    seed: u64,
    /// Cheap and heavy: asked, in time, late.
    asked: [f64; 2],
    in_time: [f64; 2],
    late: [f64; 2],
}

impl Day {
    /// A number from 0 to 1, the same for the same seed and place in the order of asking.
    fn chance(&mut self) -> f64 {
        self.draws += 1;
        let mut x =
            self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ self.draws.wrapping_mul(0xd134_2543_de82_ef95);
        x = (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
        x = (x ^ (x >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
        ((x ^ (x >> 32)) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn play(seed: u64, load: f64, knows: bool) -> Day {
        let config = config(seed);
        let usual = config.workloads.iter().map(Router::initial_latency).collect();
        let book = FingerprintCache::new(0.0, Key::from_seed(seed), 1 << 20, usual);
        let mut day = Day {
            facade: Facade::start(0.0, config),
            book,
            knows,
            now: 0.0,
            events: BinaryHeap::new(),
            free_at: [[0.0; CORES]; HOSTS],
            held: Vec::new(),
            draws: 0,
            seed,
            asked: [0.0; 2],
            in_time: [0.0; 2],
            late: [0.0; 2],
        };
        let list: Vec<EndpointUpdate> = (0..HOSTS)
            .map(|endpoint| EndpointUpdate {
                endpoint,
                size: 1.0,
                order: endpoint as u64,
                ..EndpointUpdate::default()
            })
            .collect();
        day.facade.report(0.0, RoutingEvent::EndpointList(&list));
        day.events.push(Reverse((micros(0.1), Event::Arrives)));
        // One in fifty is heavy: two thirds of the work.
        let rate = load * (HOSTS * CORES) as f64 / (0.98 * CHEAP + 0.02 * HEAVY);
        while day.now < SECONDS {
            let next = day.events.peek().map_or(f64::INFINITY, |event| event.0.0 as f64 / 1e6);
            let tick = day.facade.wake_at();
            day.now = day.now.max(next.min(tick));
            if next <= tick {
                let Some(Reverse((_, event))) = day.events.pop() else { break };
                match event {
                    Event::Arrives => {
                        let gap = -day.chance().max(1e-12).ln() / rate;
                        day.events.push(Reverse((micros(day.now + gap), Event::Arrives)));
                        day.arrive();
                    }
                    Event::Ended { request, endpoint, completed, sent } => {
                        day.end(request, endpoint, completed, sent);
                    }
                }
            }
            day.carry_out();
        }
        day
    }

    fn arrive(&mut self) {
        let heavy = self.chance() < 0.02;
        let bell: f64 = (0..3).map(|_| self.chance() - 0.5).sum();
        let work = if heavy { HEAVY } else { CHEAP } * (bell * 0.5).exp();
        let text: &[u8] = if heavy {
            b"SELECT sum(kg) FROM picked GROUP BY day"
        } else {
            b"SELECT kg FROM picked WHERE id = 7"
        };
        let shape = self.book.scan(text).fingerprint;
        let word = self.book.lookup(self.now, 0, text, shape);
        let known = word.estimate.filter(|_| self.knows);
        let request = Request {
            workload: 0,
            group: 0,
            tenant: None,
            session: None,
            time_left: TIMEOUT,
            seconds_since_write: None,
            is_flagged_retry: false,
            may_write: false,
            work: known.map(|e| WorkEstimate {
                fingerprint_seconds: e.work_seconds,
                workload_seconds: e.typical_work_seconds,
                log_standard_error: e.log_standard_error,
            }),
        };
        self.asked[usize::from(heavy)] += 1.0;
        let (index, choice) = self.facade.pick(self.now, PickRequest::New(request));
        let held = (self.now, work, word.key);
        self.held.resize(self.held.len().max(index + 1), held);
        self.held[index] = held;
        self.act(index, choice);
    }

    fn act(&mut self, request: usize, choice: Decision) {
        let Decision::Dispatch { endpoint, timeout } = choice else { return };
        let (arrived, work, _) = self.held[request];
        let cores = &mut self.free_at[endpoint];
        let core = (0..CORES).min_by(|a, b| cores[*a].total_cmp(&cores[*b])).unwrap_or(0);
        let ended = self.now.max(cores[core]) + work;
        // A host goes on with what nobody waits for any more.
        cores[core] = ended;
        let patience = arrived + TIMEOUT;
        let until = if timeout > 0.0 { patience.min(self.now + timeout) } else { patience };
        let event = Event::Ended { request, endpoint, completed: ended <= until, sent: micros(self.now) };
        self.events.push(Reverse((micros(ended.min(until)), event)));
    }

    fn end(&mut self, request: usize, endpoint: usize, completed: bool, sent: u64) {
        let (arrived, work, place) = self.held[request];
        let elapsed = self.now - sent as f64 / 1e6;
        let outcome = if completed { AttemptOutcome::Completed } else { AttemptOutcome::TimedOut };
        if completed {
            let (heavy, in_time) = (usize::from(work > 10.0 * CHEAP), self.now - arrived <= SLO);
            *if in_time { &mut self.in_time[heavy] } else { &mut self.late[heavy] } += 1.0;
            if let Some(place) = place {
                self.book.record_completion(self.now, place, endpoint, elapsed, true);
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

    fn carry_out(&mut self) {
        loop {
            let due = self.facade.tick(self.now);
            if due.is_empty() {
                return;
            }
            for due in due {
                match due {
                    RoutingAction::Pick(request) => {
                        let (request, choice) = self.facade.pick(self.now, PickRequest::Waiting(request));
                        self.act(request, choice);
                    }
                    // Its end comes by itself.
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

    /// The share of what could be earned, all being worth the same.
    fn earned(&self) -> f64 {
        let sum = |counts: [f64; 2]| counts[0] + counts[1];
        (sum(self.in_time) + 0.3 * sum(self.late)) / sum(self.asked)
    }
}

#[test]
fn knowing_shapes_serves_more_of_a_mix() {
    println!("load  earned without, with   difference  (standard error)   cheap in time      heavy in time");
    let all = [(0.5, -0.01), (0.9, 0.0), (1.2, 0.0), (1.6, 0.0)];
    for (load, least) in all.into_iter().skip(if cfg!(debug_assertions) { 3 } else { 0 }) {
        let pairs: Vec<(Day, Day)> =
            (1..=SEEDS).map(|seed| (Day::play(seed, load, false), Day::play(seed, load, true))).collect();
        let n = pairs.len() as f64;
        let mean = |value: &dyn Fn(&(Day, Day)) -> f64| pairs.iter().map(value).sum::<f64>() / n;
        let gain = mean(&|pair| pair.1.earned() - pair.0.earned());
        let variance = mean(&|pair| (pair.1.earned() - pair.0.earned() - gain).powi(2));
        let error = (variance / (n - 1.0)).sqrt();
        let share = |of: usize| {
            (
                mean(&|pair| pair.0.in_time[of] / pair.0.asked[of]),
                mean(&|pair| pair.1.in_time[of] / pair.1.asked[of]),
            )
        };
        println!(
            "{load:4}  {:14.3} {:5.3}   {gain:+10.3}  ({error:.3})            {:.3?}   {:.3?}",
            mean(&|pair| pair.0.earned()),
            mean(&|pair| pair.1.earned()),
            share(0),
            share(1)
        );
        assert!(gain + 2.0 * error > least, "at load {load}: {gain} within {error}");
    }
}
