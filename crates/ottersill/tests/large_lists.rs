//! Endpoint lists of thousands that are bad in one way or another, read by the built program: none holds up a statement,
//! fills the memory or the log.

mod support;

use std::time::{Duration, Instant};

use ottersill_testkit::scripted_peer::{DiscoveryCall, ReceivedStatement};
use rstest::rstest;
use support::*;

/// Endpoints beside the two that serve, in groups that nobody asks for.
const OTHERS: usize = 3200;
/// Lists that follow each other at once.
const LISTS: usize = 40;
/// After so many of them what the router needs is there.
const FIRST_LISTS: usize = 10;
/// What it may need more for the rest of them, in kB: replica sets and a hash of each name stay, 200 a list.
/// With all that is known of each endpoint it was 2,300.
const MAX_GROWTH_KB: u64 = 12_000;
/// How long a statement's client waits, in milliseconds; no list may take that long.
const TIME_LEFT_MS: u32 = 1000;

/// What is wrong with the lists.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// Each names one endpoint twice.
    Repeats,
    /// Each names other endpoints than the one before.
    ChangesAll,
    /// Each calls the endpoints gone that the one before called ready, and back.
    Flaps,
    /// Each says the same.
    IsOld,
    /// Each ends in the middle of an entry, and with it the connection.
    IsCut,
}

fn entry(name: &str, dial: &str, group: usize, health: &str) -> String {
    format!(r#"{{"host":"{name}","dial":"{dial}","site":"here","block":{group},"health":"{health}"}}"#)
}

/// The list of that number; the two endpoints that serve are always ready.
fn list(fixture: &Fixture, fault: Fault, number: usize) -> String {
    let (first, health) = match fault {
        Fault::ChangesAll => (number * OTHERS, "active"),
        Fault::Flaps if number % 2 == 1 => (0, "left"),
        _ => (0, "active"),
    };
    let other = |number: usize| entry(&format!("host-{number}"), "127.0.0.1:1", 2 + number / 5, health);
    let mut entries: Vec<String> = (first..first + OTHERS).map(other).collect();
    entries.push(entry("one", &fixture.primary.address.to_string(), 1, "active"));
    entries.push(entry("two", &fixture.replica.address.to_string(), 1, "active"));
    if fault == Fault::Repeats {
        entries.push(entry("host-7", "127.0.0.1:2", 3, "leaving"));
    }
    format!(r#"{{"seq":{},"whole":true,"hosts":[{}]}}"#, number + 2, entries.join(","))
}

fn answer(mut call: DiscoveryCall, fault: Fault, list: &str) {
    if fault == Fault::IsCut {
        call.write(&format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
            list.len(),
            &list[..list.len() / 2]
        ));
        call.close();
    } else {
        call.answer(list);
    }
}

/// The next statement. The primary serves a read too where answers of the replica have been late, as on a busy machine.
fn next_at_either(fixture: &Fixture) -> ReceivedStatement {
    let started = Instant::now();
    while started.elapsed() < PATIENCE {
        for endpoint in [&fixture.replica, &fixture.primary] {
            if let Some(statement) = endpoint.next_within(Duration::from_millis(5)) {
                return statement;
            }
        }
    }
    panic!("a statement comes");
}

fn resident_kb(router: &Router) -> u64 {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", router.process.id())).expect("its status");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("its memory");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("a number")
}

/// The value of a counter as it was logged at the end.
fn counter(log: &str, name: &str) -> u64 {
    let (_, value) = log.rsplit_once(&format!("{name}=")).expect("the counter");
    value.chars().take_while(char::is_ascii_digit).collect::<String>().parse().expect("a number")
}

/// Guards against a log line for each entry of each list, of which most were dropped and others' with them, and against
/// memory that grows with each name. A list that is cut was right already.
#[rstest]
fn no_list_holds_up_statements_or_fills_memory(
    #[values(Fault::Repeats, Fault::ChangesAll, Fault::Flaps, Fault::IsOld, Fault::IsCut)] fault: Fault,
) {
    let fixture = Fixture::start(&[]);
    let mut client = fixture.router.client();
    let mut resident_before = 0;
    for number in 0..LISTS {
        answer(fixture.discovery.next_call(), fault, &list(&fixture, fault, number));
        client.send(&read(10 + number as u32, TIME_LEFT_MS)).expect("a query");
        next_at_either(&fixture).answer("in time");
        assert_eq!(client.read_answer().expect("an answer"), "row:in time SELECT 1", "beside list {number}");
        if number == FIRST_LISTS {
            resident_before = resident_kb(&fixture.router);
        }
    }
    let last = fixture.discovery.next_within(Duration::from_secs(6)).expect("it asks on");
    let growth = resident_kb(&fixture.router).saturating_sub(resident_before);
    println!("{fault:?}: {resident_before} kB, and {growth} kB more");
    assert!(growth < MAX_GROWTH_KB, "{growth} kB more after {} lists", LISTS - FIRST_LISTS);
    drop((client, last));
    let Fixture { router, .. } = fixture;
    router.signal("-TERM");
    let (log, _) = router.end();
    assert_eq!(counter(&log, "log_lines_dropped"), 0);
    assert!(log.lines().filter(|line| line.contains(" INFO endpoint ")).count() <= 2 * LISTS, "{log}");
    assert_eq!(counter(&log, "invariant_violations_total"), 0);
}
