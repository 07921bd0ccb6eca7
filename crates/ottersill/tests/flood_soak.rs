//! Floods drawn from a seed, beside usual clients, signals and a shutdown: every usual request gets exactly one answer in time, no
//! write takes effect twice, memory stays within its limit, and the router ends by itself. Runs a few seeds; `FLOOD_SOAK_SEEDS`
//! sets another number, `FLOOD_SOAK_FIRST` the first of them.

mod support;

use std::io::ErrorKind;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use ottersill_testkit::audit::duplicate_writes;
use ottersill_testkit::flood::{Flood, FloodInput};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use support::load::{Tally, row_count, send_requests, start_store};
use support::{Router, config_text};

const SEEDS: u64 = 6;
/// Routers that run in parallel.
const PARALLEL_ROUTERS: usize = 2;
const USUAL_CLIENTS: usize = 6;
/// Floods that follow each other in one run.
const FLOODS: usize = 3;
const FLOOD_DURATION: Duration = Duration::from_millis(900);
/// The pages' earliest kill after SIGTERM: the longest statement timeout of the example configuration, and 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(2700);
/// Delay before a client whose connection has ended connects again.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Connections of a crowd, which send nothing.
const CROWD: usize = 120;
const BYTES_PER_KB: u64 = 1024;

/// What one seed draws.
#[derive(Debug)]
struct Schedule {
    /// The input of each flood, with its number of clients.
    floods: Vec<(FloodInput, usize)>,
    /// Connections with half a statement, beside the floods.
    half_sent: usize,
    has_crowd: bool,
    /// Signals during each flood, in a series.
    reloads: usize,
    is_stalled: bool,
    memory_mb: u64,
}

impl Schedule {
    fn draw(seed: u64) -> Schedule {
        let mut random = SmallRng::seed_from_u64(seed);
        let flood = |random: &mut SmallRng| {
            let input = *FloodInput::all().choose(random).expect("there are inputs");
            (input, random.random_range(1..=12))
        };
        Schedule {
            floods: (0..FLOODS).map(|_| flood(&mut random)).collect(),
            half_sent: random.random_range(0..=40),
            has_crowd: random.random_range(0..3) == 0,
            reloads: random.random_range(0..=3),
            is_stalled: random.random_range(0..3) == 0,
            memory_mb: if random.random() { 32 } else { 192 },
        }
    }
}

/// Returns the peak of the process's resident memory, in bytes.
fn peak_memory(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok()).unwrap_or(0) * BYTES_PER_KB
}

/// Runs the floods and signals of a schedule, up to SIGTERM during the last flood, and returns when that was sent.
fn run_schedule(schedule: &Schedule, router: &Router) -> Instant {
    let crowd_size = if schedule.has_crowd { CROWD } else { 0 };
    let crowd: Vec<TcpStream> =
        (0..crowd_size).filter_map(|_| TcpStream::connect(router.address).ok()).collect();
    let mut terminated = Instant::now();
    for (index, (input, flooders)) in schedule.floods.iter().enumerate() {
        let flood = Flood::start(Some(*input), *flooders, schedule.half_sent, &[router.address]);
        for _ in 0..schedule.reloads {
            thread::sleep(Duration::from_millis(50));
            router.send_signal("-HUP");
        }
        if schedule.is_stalled {
            // A flooded router does not wait for events.
            router.send_signal("-STOP");
            thread::sleep(Duration::from_millis(150));
            router.send_signal("-CONT");
        }
        thread::sleep(FLOOD_DURATION);
        if index + 1 == FLOODS {
            terminated = Instant::now();
            router.send_signal("-TERM");
            // The flood goes on while the router shuts down.
            thread::sleep(KILL_AFTER.saturating_sub(terminated.elapsed()));
        }
        flood.stop();
    }
    drop(crowd);
    terminated
}

fn run_seed(seed: u64) -> Result<String, String> {
    let schedule = Schedule::draw(seed);
    let (store, discovery) = start_store().map_err(|error| error.to_string())?;
    let memory = format!("\"memory_mb\": {}", schedule.memory_mb);
    let config = config_text(discovery, &[("\"memory_mb\": 192", &memory)]);
    let router = Router::spawn(&config, None).wait_until_ready();
    let tally = Mutex::new(Tally::default());
    let terminated_at = Mutex::new(None);
    let far_end = Instant::now() + Duration::from_secs(60);
    let peak = AtomicU64::new(0);
    thread::scope(|scope| {
        for _ in 0..USUAL_CLIENTS {
            scope.spawn(|| {
                // Clients use open connections until the router has ended; no new ones are made once it shuts down.
                while terminated_at.lock().expect("lock is poisoned").is_none() {
                    if send_requests(router.address, far_end, &tally).is_err() {
                        tally.lock().expect("tally lock is poisoned").connections_ended += 1;
                        thread::sleep(RECONNECT_DELAY);
                    }
                }
            });
        }
        scope.spawn(|| {
            while terminated_at.lock().expect("lock is poisoned").is_none() {
                peak.fetch_max(peak_memory(router.process.id()), Ordering::Relaxed);
                thread::sleep(Duration::from_millis(20));
            }
        });
        let at = run_schedule(&schedule, &router);
        *terminated_at.lock().expect("lock is poisoned") = Some(at);
    });
    let mut tally = tally.into_inner().expect("tally lock is poisoned");
    let executed: Vec<_> =
        (0..store.endpoint_count()).flat_map(|endpoint| store.executions(endpoint)).collect();
    tally.violations.extend(duplicate_writes(&executed));
    // A request may cross the router's close of its connection; it is unread then, and not executed.
    let is_executed = |id: &str| executed.iter().any(|execution| execution.id == id);
    let is_time_out = |kind: &ErrorKind| matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut);
    let lost = tally.unanswered.iter().filter(|(id, kind)| is_time_out(kind) || is_executed(id));
    let lost: Vec<String> = lost.map(|(id, kind)| format!("no answer: {id}, {kind:?}")).collect();
    tally.violations.extend(lost);
    let peak = peak.into_inner();
    if peak > schedule.memory_mb << 20 {
        tally.violations.push(format!("{peak} bytes of memory"));
    }
    let summary = format!(
        "seed {seed}: {schedule:?}, {:?}, {} connections ended, {} KB at the peak",
        tally.answers,
        tally.connections_ended,
        peak / BYTES_PER_KB
    );
    let (log, status) = router.wait_for_exit();
    if !status.success() || !log.contains("invariant_violations_total=0") {
        tally.violations.push(format!("{status:?}: {}", log.lines().last().unwrap_or_default()));
    }
    if row_count(&Mutex::new(Tally { answers: tally.answers.clone(), ..Tally::default() })).is_none() {
        tally.violations.push("no request was served".to_string());
    }
    if tally.violations.is_empty() { Ok(summary) } else { Err(format!("{summary}: {:?}", tally.violations)) }
}

fn from_environment(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn every_usual_request_gets_one_answer_beside_floods() {
    let first = from_environment("FLOOD_SOAK_FIRST").unwrap_or(1);
    let seeds = from_environment("FLOOD_SOAK_SEEDS").unwrap_or(SEEDS);
    let next = AtomicU64::new(first);
    let failures = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..PARALLEL_ROUTERS {
            scope.spawn(|| {
                while let Some(seed) =
                    Some(next.fetch_add(1, Ordering::Relaxed)).filter(|seed| *seed < first + seeds)
                {
                    match run_seed(seed) {
                        Ok(summary) => println!("{summary}"),
                        Err(failure) => failures.lock().expect("list lock is poisoned").push(failure),
                    }
                }
            });
        }
    });
    let failures = failures.into_inner().expect("list lock is poisoned");
    assert!(failures.is_empty(), "{} of {seeds} seeds failed:\n{}", failures.len(), failures.join("\n"));
}
