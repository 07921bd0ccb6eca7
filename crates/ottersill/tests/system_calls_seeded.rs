//! System calls that fail at random from a seed, under load: every request gets exactly one answer in time, no write
//! takes effect twice, and the router serves again once the faults end. Runs a dozen seeds; `SYSCALL_FAULT_SEEDS` sets
//! another number.

mod support;

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use ottersill_testkit::audit::duplicate_writes;
use ottersill_testkit::stand_in::StandInStore;
use support::faults::Faults;
use support::load::{Tally, row_count, send_requests};
use support::{Router, config_text};

const SEEDS: u64 = 12;
/// Routers that run in parallel.
const PARALLEL_ROUTERS: usize = 4;
const CLIENTS: usize = 6;
/// How long system calls fail.
const FAULT_DURATION: Duration = Duration::from_millis(2500);
fn start_router(discovery: SocketAddr, faults: &Faults) -> Router {
    let config = config_text(discovery, &[]);
    Router::spawn_with_environment(&config, None, &faults.environment()).wait_until_ready()
}

fn run_seed(seed: u64) -> Result<String, String> {
    let store = StandInStore::default();
    for _ in 0..3 {
        store.add_endpoint("127.0.0.1:0").map_err(|e| e.to_string())?;
    }
    let discovery = store.add_discovery("127.0.0.1:0").map_err(|e| e.to_string())?;
    let calls = "accept4+connect+socket+recv+sendmsg+setsockopt+getsockopt+getpeername+fcntl+shutdown+epoll_ctl+epoll_wait+\
                 poll+stdout";
    let faults = Faults::new(format!("seed={seed},rate=0.02,calls={calls}"));
    let router = start_router(discovery, &faults);
    let tally = Mutex::new(Tally::default());
    faults.arm();
    let until = Instant::now() + FAULT_DURATION;
    thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| {
                while Instant::now() < until {
                    if send_requests(router.address, until, &tally).is_err() {
                        tally.lock().expect("tally lock is poisoned").connections_ended += 1;
                    }
                }
            });
        }
    });
    let occurred = faults.disarm();
    let mut tally = tally.into_inner().expect("tally lock is poisoned");
    // A client connection may end only where a system call on it has failed.
    let failed_calls = |fault: &&String| {
        let (call, error) = fault.split_once(' ').unwrap_or_default();
        matches!(call, "recv@client" | "sendmsg@client") && !matches!(error, "EINTR" | "SHORT")
    };
    let failed_calls = occurred.iter().filter(failed_calls).count();
    if tally.connections_ended > failed_calls {
        tally.violations.push(format!(
            "{} connections ended, but only {failed_calls} client calls failed",
            tally.connections_ended
        ));
    }
    let executed: Vec<_> =
        (0..store.endpoint_count()).flat_map(|endpoint| store.executions(endpoint)).collect();
    tally.violations.extend(duplicate_writes(&executed));
    let recovery = Mutex::new(Tally::default());
    let recovered = (0..50).any(|_| {
        thread::sleep(Duration::from_millis(100));
        let before = row_count(&recovery);
        let until = Instant::now() + Duration::from_millis(50);
        send_requests(router.address, until, &recovery).is_ok() && row_count(&recovery) > before
    });
    if !recovered {
        tally.violations.push(format!("not served 5 s after the faults: {recovery:?}"));
    }
    router.signal("-TERM");
    let (count, answers) = (occurred.len(), &tally.answers);
    let summary = format!(
        "seed {seed}: {count} faults, {answers:?}, {} connections ended, {failed_calls} client calls failed",
        tally.connections_ended
    );
    let (log, status) = router.wait_for_exit();
    if !status.success() || !log.contains("invariant_violations_total=0") {
        tally.violations.push(format!("{status:?}: {}", log.lines().last().unwrap_or_default()));
    }
    if tally.violations.is_empty() { Ok(summary) } else { Err(format!("{summary}: {:?}", tally.violations)) }
}

#[test]
fn every_request_gets_one_answer_under_system_call_faults() {
    let seeds_from_environment =
        std::env::var("SYSCALL_FAULT_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    let seeds: u64 = seeds_from_environment.unwrap_or(SEEDS);
    let next = AtomicU64::new(1);
    let failures = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..PARALLEL_ROUTERS {
            scope.spawn(|| {
                while let Some(seed) =
                    Some(next.fetch_add(1, Ordering::Relaxed)).filter(|seed| *seed <= seeds)
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
