//! Calls that fail by a seed, under load: every request gets exactly one answer in its time, nothing takes effect twice, and
//! all is well again once nothing fails any more. A dozen seeds; `SYSCALL_FAULT_SEEDS` asks for more.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use ottersill_testkit::audit::duplicate_writes;
use ottersill_testkit::stand_in::{Client, StandInStore};
use support::faults::Faults;
use support::machine::own_time_since;
use support::{Router, config_text};

const SEEDS: u64 = 12;
/// Routers at a time.
const BESIDE: usize = 4;
const CLIENTS: usize = 6;
/// How long calls fail.
const TROUBLE: Duration = Duration::from_millis(2500);
/// How long clients wait, and what the protocol page adds to that.
const DEADLINE_MS: u64 = 1500;
const SLACK: Duration = Duration::from_millis(500);

/// What became of requests.
#[derive(Debug, Default)]
struct Tally {
    /// By the answer's first word.
    answers: BTreeMap<String, usize>,
    /// Connections that ended instead of an answer.
    broken: usize,
    faults: Vec<String>,
}

/// One connection's requests; an error where it ended before an answer.
fn converse(router: SocketAddr, until: Instant, tally: &Mutex<Tally>) -> std::io::Result<()> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let mut client = Client::connect(router)?;
    client.socket.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS) + 4 * SLACK))?;
    client.read_answer()?;
    while Instant::now() < until {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let told = format!("/* id=e{number:x},c=CLASS,d={DEADLINE_MS},cluster=1 */");
        let text = if number % 4 == 0 {
            let told = told.replace("CLASS", "put");
            format!(
                "INSERT INTO kv (name, content) VALUES ('k{number}', '\\x{number:08x}') RETURNING content {told}"
            )
        } else {
            format!("SELECT content FROM kv WHERE name = 'k' {}", told.replace("CLASS", "get"))
        };
        let sent = Instant::now();
        let answer = client.query(&text)?;
        let bound = Duration::from_millis(DEADLINE_MS) + SLACK;
        let mut took = sent.elapsed();
        if took > bound {
            took = own_time_since(sent);
        }
        let mut tally = tally.lock().expect("a tally");
        if took > bound {
            tally.faults.push(format!("{took:?}: {text}"));
        }
        let outcome = if answer.starts_with("row:") { "row" } else { &answer[..answer.len().min(6)] };
        *tally.answers.entry(outcome.to_string()).or_default() += 1;
        drop(tally);
        thread::sleep(Duration::from_millis(5));
    }
    // A second answer would be read in place of this one.
    let last = client.query("")?;
    if last != "empty" {
        tally.lock().expect("a tally").faults.push(format!("a second answer: {last}"));
    }
    Ok(())
}

fn play(seed: u64) -> Result<String, String> {
    let store = StandInStore::default();
    for _ in 0..3 {
        store.add_endpoint("127.0.0.1:0").map_err(|e| e.to_string())?;
    }
    let discovery = store.add_discovery("127.0.0.1:0").map_err(|e| e.to_string())?;
    let calls = "accept4+connect+socket+recv+sendmsg+setsockopt+getsockopt+getpeername+fcntl+shutdown+epoll_ctl+epoll_wait+\
                 poll+stdout";
    let faults = Faults::new(format!("seed={seed},rate=0.02,calls={calls}"));
    let router = Router::spawn_in(&config_text(discovery, &[]), None, &faults.environment()).until_ready();
    let tally = Mutex::new(Tally::default());
    faults.arm();
    let until = Instant::now() + TROUBLE;
    thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| {
                while Instant::now() < until {
                    if converse(router.at, until, &tally).is_err() {
                        tally.lock().expect("a tally").broken += 1;
                    }
                }
            });
        }
    });
    let occurred = faults.disarm();
    let mut tally = tally.into_inner().expect("a tally");
    // A client's connection breaks only where the system says that it is broken.
    let breaks = |fault: &&String| {
        let (call, error) = fault.split_once(' ').unwrap_or_default();
        matches!(call, "recv@client" | "sendmsg@client") && !matches!(error, "EINTR" | "SHORT")
    };
    let breaks = occurred.iter().filter(breaks).count();
    if tally.broken > breaks {
        tally.faults.push(format!("{} connections ended, {breaks} calls said so", tally.broken));
    }
    let executed: Vec<_> = (0..store.endpoint_count()).flat_map(|host| store.executions(host)).collect();
    tally.faults.extend(duplicate_writes(&executed));
    let after = Mutex::new(Tally::default());
    let recovered = (0..50).any(|_| {
        thread::sleep(Duration::from_millis(100));
        let before = after.lock().expect("a tally").answers.get("row").copied();
        let served = converse(router.at, Instant::now() + Duration::from_millis(50), &after).is_ok();
        served && after.lock().expect("a tally").answers.get("row").copied() > before
    });
    if !recovered {
        tally.faults.push(format!("not served 5 s later: {after:?}"));
    }
    router.signal("-TERM");
    let (count, answers) = (occurred.len(), &tally.answers);
    let summary = format!("seed {seed}: {count} faults, {answers:?}, {} of {breaks} broken", tally.broken);
    let (log, status) = router.end();
    if !status.success() || !log.contains("invariant_violations_total=0") {
        tally.faults.push(format!("{status:?}: {}", log.lines().last().unwrap_or_default()));
    }
    if tally.faults.is_empty() { Ok(summary) } else { Err(format!("{summary}: {:?}", tally.faults)) }
}

#[test]
fn every_request_gets_one_answer_whatever_fails() {
    let asked = std::env::var("SYSCALL_FAULT_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    let seeds: u64 = asked.unwrap_or(SEEDS);
    let next = AtomicU64::new(1);
    let broken = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..BESIDE {
            scope.spawn(|| {
                while let Some(seed) =
                    Some(next.fetch_add(1, Ordering::Relaxed)).filter(|seed| *seed <= seeds)
                {
                    match play(seed) {
                        Ok(summary) => println!("{summary}"),
                        Err(fault) => broken.lock().expect("a list").push(fault),
                    }
                }
            });
        }
    });
    let broken = broken.into_inner().expect("a list");
    assert!(broken.is_empty(), "{} of {seeds}:\n{}", broken.len(), broken.join("\n"));
}
