//! A slow discovery under load: endpoints drain, leave and are replaced, and the primary changes, while discovery takes its time, is
//! silent, or tells new versions all the time. No statement is sent to an endpoint after the pages' bound, its replacement gets some,
//! and each statement is answered. Runs a few seeds; `SLOW_DISCOVERY_SOAK_SEEDS` sets another number, `SLOW_DISCOVERY_SOAK_FIRST`
//! the first of them.

mod support;

use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ottersill_testkit::stand_in::{AnswerDelay, MembershipChange, StandInStore};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use support::load::{Tally, send_requests};
use support::*;

const SEEDS: u64 = 3;
const CLIENTS: usize = 8;
/// Connections of a crowd, which send nothing.
const CROWD: usize = 120;
/// Time without a change, in which the router learns the endpoints' roles and discovery's pace.
const WARM_UP: Duration = Duration::from_secs(4);
/// A change counts as known this long after discovery had it and could be reached.
const KNOWN_LIMIT: Duration = Duration::from_secs(6);
/// The drain grace, the slack of a time limit on sockets, and the time for which a router may be held up.
const SEND_SLACK: Duration = Duration::from_millis(250 + 50 + 150);
/// Time after the bound in which nothing may be sent to an endpoint that drains, and in which its replacement is sent something.
const WATCHED_TIME: Duration = Duration::from_secs(2);
/// Time between two versions where discovery tells new ones all the time.
const VERSION_INTERVAL: Duration = Duration::from_millis(150);
/// The pages' earliest kill after SIGTERM: the longest statement timeout of the example configuration, and 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(2700);
/// Connections to discovery that a router may begin in a second, as docs/design.md states.
const MAX_CALLS_IN_A_SECOND: usize = 20;

/// When discovery begins to be slow.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SlowFrom {
    /// Before the router starts.
    Start,
    /// While the router runs.
    Service,
    /// With a new configuration that names another discovery.
    Reload,
    /// After a silence, in which it forgets the calls that wait.
    Silence(Duration),
}

/// A run: how slow discovery is, since when, and what happens beside it.
#[derive(Clone, Debug)]
struct Scenario {
    seed: u64,
    delay: AnswerDelay,
    slow_from: SlowFrom,
    /// Whether discovery has a new version every [`VERSION_INTERVAL`], mostly without a change.
    has_new_versions: bool,
    has_crowd: bool,
    /// Signals while the clients send: `-HUP` without a change, or `-STOP` for at most 150 ms.
    signals: Vec<(&'static str, Duration)>,
}

impl Scenario {
    fn new(delay: AnswerDelay, slow_from: SlowFrom) -> Scenario {
        Scenario { seed: 0, delay, slow_from, has_new_versions: false, has_crowd: false, signals: Vec::new() }
    }

    fn draw(seed: u64) -> Scenario {
        let mut random = SmallRng::seed_from_u64(seed);
        let milliseconds = Duration::from_millis;
        let delay = match random.random_range(0..4) {
            0 => AnswerDelay::Parallel(milliseconds(200)..=milliseconds(1950)),
            1 => AnswerDelay::OneAtATime(milliseconds(random.random_range(200..=1500))),
            _ => AnswerDelay::fixed(milliseconds(random.random_range(200..=1950))),
        };
        let slow_from = match random.random_range(0..4) {
            0 => SlowFrom::Start,
            1 => SlowFrom::Service,
            2 => SlowFrom::Reload,
            _ => SlowFrom::Silence(milliseconds(random.random_range(500..=5000))),
        };
        let mut signal = |_| {
            let name = if random.random() { "-HUP" } else { "-STOP" };
            (name, milliseconds(random.random_range(10..150)))
        };
        let signals = (0..4).map(&mut signal).collect();
        Scenario {
            seed,
            delay,
            slow_from,
            has_new_versions: random.random_range(0..3) == 0,
            has_crowd: random.random_range(0..3) == 0,
            signals,
        }
    }
}

fn unix_seconds() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is before 1970").as_secs_f64()
}

/// Endpoints that take over from others in one change of the list.
struct Replacement {
    change: MembershipChange,
    /// When discovery had the change and could be reached, in Unix seconds.
    changed_at: f64,
}

/// The parts of a run.
struct Run {
    store: StandInStore,
    router: Router,
    replacements: Vec<Replacement>,
    violations: Vec<String>,
}

impl Run {
    /// Starts a store, of whose endpoints the first is the primary and the last two are not listed yet, and a router.
    fn start(scenario: &Scenario) -> std::io::Result<Run> {
        let store = StandInStore::default();
        store.seed_answer_delays(scenario.seed);
        store.send_changes_only();
        store.forget_calls_in_silence();
        for _ in 0..4 {
            store.add_endpoint("127.0.0.1:0")?;
        }
        for _ in 0..2 {
            store.add_unlisted_endpoint("127.0.0.1:0", 1)?;
        }
        let discovery = store.add_discovery("127.0.0.1:0")?;
        if scenario.slow_from == SlowFrom::Start {
            store.set_answer_delay(scenario.delay.clone());
        }
        let router = Router::spawn(&config_text(discovery, &[]), None).wait_until_ready();
        Ok(Run { store, router, replacements: Vec::new(), violations: Vec::new() })
    }

    /// Makes discovery slow, in the way of the scenario. Returns once it is.
    fn slow_down(&self, scenario: &Scenario) {
        if let SlowFrom::Silence(length) = scenario.slow_from {
            self.store.set_discovery_silent(true);
            thread::sleep(length);
        }
        self.store.set_answer_delay(scenario.delay.clone());
        self.store.set_discovery_silent(false);
        if scenario.slow_from == SlowFrom::Reload {
            let other = self.store.add_discovery("127.0.0.1:0").expect("discovery did not start");
            let text = std::fs::read_to_string(&self.router.config).expect("configuration could not be read");
            let mut config: serde_json::Value = serde_json::from_str(&text).expect("no configuration");
            config["discovery"] = other.to_string().into();
            std::fs::write(&self.router.config, config.to_string())
                .expect("configuration could not be written");
            self.router.signal("-HUP");
        }
    }

    /// Replaces endpoints, and waits until that has to be known and has been watched for some time.
    fn replace(&mut self, change: MembershipChange, scenario: &Scenario) {
        self.store.change_members(&change);
        self.replacements.push(Replacement { change, changed_at: unix_seconds() });
        let until = Instant::now() + KNOWN_LIMIT + SEND_SLACK + WATCHED_TIME;
        for (name, length) in &scenario.signals {
            thread::sleep(Duration::from_millis(500));
            self.router.send_signal(name);
            if *name == "-STOP" {
                thread::sleep(*length);
                self.router.send_signal("-CONT");
            }
        }
        while Instant::now() < until {
            thread::sleep(VERSION_INTERVAL);
            if scenario.has_new_versions {
                self.store.change_members(&MembershipChange::default());
            }
        }
    }

    /// Checks that nothing is sent to an endpoint after it has to be known as gone, and that its replacement is sent something.
    fn check_replacements(&mut self) {
        for Replacement { change, changed_at } in &self.replacements {
            let limit = changed_at + KNOWN_LIMIT.as_secs_f64() + SEND_SLACK.as_secs_f64();
            for endpoint in change.leaving.iter().chain(&change.left) {
                let executions = self.store.executions(*endpoint);
                let late = executions.iter().filter(|execution| execution.started_at > limit).count();
                if late > 0 {
                    self.violations.push(format!("{late} statements to endpoint {endpoint} after it left"));
                }
            }
            for endpoint in &change.joining {
                let executions = self.store.executions(*endpoint);
                let by = limit + WATCHED_TIME.as_secs_f64();
                if !executions.iter().any(|execution| execution.started_at < by) {
                    self.violations.push(format!("no statement to endpoint {endpoint} after it joined"));
                }
            }
        }
        let writes = (0..self.store.endpoint_count()).flat_map(|endpoint| self.store.executions(endpoint));
        let last_write = writes.filter(|execution| execution.wrote).map(|write| write.started_at);
        let last_change = self.replacements.last().map_or(0.0, |replacement| replacement.changed_at);
        if last_write.fold(0.0, f64::max) < last_change + KNOWN_LIMIT.as_secs_f64() {
            self.violations.push("no write after the last change".to_string());
        }
    }

    /// Checks how often the router connected to discovery in any second.
    fn check_call_rate(&mut self) {
        let calls = self.store.discovery_calls();
        let in_a_second = |from: &f64| calls.iter().filter(|at| (*from..*from + 1.0).contains(*at)).count();
        let most = calls.iter().map(in_a_second).max().unwrap_or(0);
        if most > MAX_CALLS_IN_A_SECOND {
            self.violations.push(format!("{most} calls to discovery in a second"));
        }
    }
}

/// Plays a scenario. Returns a summary, or what was violated.
fn play(scenario: &Scenario) -> Result<String, String> {
    let mut run = Run::start(scenario).map_err(|error| error.to_string())?;
    let (tally, stop) = (Mutex::new(Tally::default()), AtomicBool::new(false));
    let address: SocketAddr = run.router.address;
    thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| {
                while !stop.load(Ordering::Relaxed) {
                    let until = Instant::now() + Duration::from_secs(1);
                    if send_requests(address, until, &tally).is_err() {
                        tally.lock().expect("tally lock is poisoned").connections_ended += 1;
                        thread::sleep(Duration::from_millis(20));
                    }
                }
            });
        }
        let crowd_size = if scenario.has_crowd { CROWD } else { 0 };
        let crowd: Vec<_> = (0..crowd_size).filter_map(|_| TcpStream::connect(address).ok()).collect();
        thread::sleep(WARM_UP);
        run.slow_down(scenario);
        run.replace(MembershipChange { leaving: vec![1], left: vec![2], joining: vec![4] }, scenario);
        // Endpoint 3 becomes the primary.
        run.replace(
            MembershipChange { leaving: vec![0], joining: vec![5], ..MembershipChange::default() },
            scenario,
        );
        run.router.send_signal("-TERM");
        thread::sleep(KILL_AFTER);
        stop.store(true, Ordering::Relaxed);
        drop(crowd);
    });
    run.check_replacements();
    run.check_call_rate();
    let Run { store, router, mut violations, .. } = run;
    let (log, status) = router.wait_for_exit();
    if !status.success() || !log.contains("invariant_violations_total=0") {
        violations.push(format!("{status:?}: {}", log.lines().last().unwrap_or_default()));
    }
    let tally = tally.into_inner().expect("tally lock is poisoned");
    violations.extend(tally.violations);
    let rows = tally.answers.get("row").copied().unwrap_or(0);
    if rows < 500 {
        violations.push(format!("too few rows to judge: {rows}"));
    }
    let calls = store.discovery_calls().len();
    let summary = format!("{scenario:?}: {rows} rows, {calls} calls to discovery");
    if violations.is_empty() { Ok(summary) } else { Err(format!("{summary}: {violations:?}")) }
}

const fn milliseconds(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// Guards against a router that never hears a slow discovery (review/10), in each way in which discovery becomes slow.
#[rstest]
#[case::from_the_start(SlowFrom::Start)]
#[case::in_service(SlowFrom::Service)]
#[case::from_a_reload_on(SlowFrom::Reload)]
#[case::after_a_silence(SlowFrom::Silence(milliseconds(3000)))]
fn changes_of_the_list_are_known_in_time(
    #[case] slow_from: SlowFrom,
    #[values(
        AnswerDelay::fixed(milliseconds(1950)),
        AnswerDelay::Parallel(milliseconds(200)..=milliseconds(1950)),
        AnswerDelay::OneAtATime(milliseconds(900)),
    )]
    delay: AnswerDelay,
) {
    let outcome = play(&Scenario::new(delay, slow_from));
    assert!(outcome.is_ok(), "{outcome:?}");
}

/// The same for the other delays that were measured, alone and with a new version every 150 ms.
#[rstest]
#[case::a_fifth(200)]
#[case::within_the_grace_of_a_long_poll(900)]
#[case::near_the_former_limit(1300)]
#[case::beyond_the_former_limit(1600)]
#[case::review(1800)]
fn changes_are_known_in_time_with_and_without_new_versions(
    #[case] delay_ms: u64,
    #[values(false, true)] has_new_versions: bool,
) {
    let scenario = Scenario::new(AnswerDelay::fixed(milliseconds(delay_ms)), SlowFrom::Service);
    let outcome = play(&Scenario { has_new_versions, ..scenario });
    assert!(outcome.is_ok(), "{outcome:?}");
}

fn from_environment(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn changes_are_known_in_time_in_drawn_scenarios() {
    let first = from_environment("SLOW_DISCOVERY_SOAK_FIRST").unwrap_or(1);
    let seeds = from_environment("SLOW_DISCOVERY_SOAK_SEEDS").unwrap_or(SEEDS);
    let failures: Vec<String> = (first..first + seeds)
        .filter_map(|seed| play(&Scenario::draw(seed)).map(|summary| println!("{summary}")).err())
        .collect();
    assert!(failures.is_empty(), "{} of {seeds} seeds failed:\n{}", failures.len(), failures.join("\n"));
}
