//! Faulty endpoint lists with thousands of entries, read by the built program: none delays a statement, or fills the
//! memory or the log.

mod support;

use std::time::{Duration, Instant};

use ottersill_testkit::scripted_peer::{DiscoveryCall, ReceivedStatement};
use rstest::rstest;
use support::*;

/// Endpoints besides the two that serve, in groups that no client uses.
const OTHER_ENDPOINTS: usize = 3200;
/// Number of lists, which follow each other without a pause.
const LIST_COUNT: usize = 40;
/// Number of lists after which the baseline of the memory is taken.
const BASELINE_LISTS: usize = 10;
/// Limit of the memory growth over the remaining lists, in kB. Replica sets and a hash of each endpoint name are kept,
/// which is 200 kB a list; keeping everything known of each endpoint took 2,300 kB a list.
const MAX_GROWTH_KB: u64 = 12_000;
/// Deadline of each statement, in milliseconds; processing a list must not take that long.
const DEADLINE_MS: u32 = 1000;

/// The fault of the lists.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// Each list names one endpoint twice.
    DuplicateEndpoint,
    /// Each list names other endpoints than the one before.
    ReplacesAll,
    /// The lists alternately report the endpoints as active and as left.
    Flaps,
    /// Each list has the same content.
    Unchanged,
    /// Each list and its connection end in the middle of an entry.
    Truncated,
}

fn entry(name: &str, dial: &str, group: usize, health: &str) -> String {
    format!(r#"{{"host":"{name}","dial":"{dial}","site":"here","block":{group},"health":"{health}"}}"#)
}

/// Returns the list with this number; the two endpoints that serve are always active.
fn list(fixture: &Fixture, fault: Fault, number: usize) -> String {
    let (first, health) = match fault {
        Fault::ReplacesAll => (number * OTHER_ENDPOINTS, "active"),
        Fault::Flaps if number % 2 == 1 => (0, "left"),
        _ => (0, "active"),
    };
    let other = |number: usize| entry(&format!("host-{number}"), "127.0.0.1:1", 2 + number / 5, health);
    let mut entries: Vec<String> = (first..first + OTHER_ENDPOINTS).map(other).collect();
    entries.push(entry("one", &fixture.primary.address.to_string(), 1, "active"));
    entries.push(entry("two", &fixture.replica.address.to_string(), 1, "active"));
    if fault == Fault::DuplicateEndpoint {
        entries.push(entry("host-7", "127.0.0.1:2", 3, "leaving"));
    }
    format!(r#"{{"seq":{},"whole":true,"hosts":[{}]}}"#, number + 2, entries.join(","))
}

fn answer(mut call: DiscoveryCall, fault: Fault, list: &str) {
    if fault == Fault::Truncated {
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

/// Waits for the next statement at either endpoint. The primary serves reads too where answers of the replica have been
/// late, as on a busy machine.
fn next_at_either(fixture: &Fixture) -> ReceivedStatement {
    let started = Instant::now();
    while started.elapsed() < TIMEOUT {
        for endpoint in [&fixture.replica, &fixture.primary] {
            if let Some(statement) = endpoint.next_within(Duration::from_millis(5)) {
                return statement;
            }
        }
    }
    panic!("no statement arrived within {TIMEOUT:?}");
}

fn resident_kb(router: &Router) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", router.process.id()))
        .expect("/proc/PID/status cannot be read");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("no VmRSS in /proc/PID/status");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("VmRSS is not a number")
}

/// The value of a counter in the last log line that holds it.
fn counter(log: &str, name: &str) -> u64 {
    let (_, value) = log.rsplit_once(&format!("{name}=")).expect("counter is not in the log");
    value
        .chars()
        .take_while(char::is_ascii_digit)
        .collect::<String>()
        .parse()
        .expect("counter is not a number")
}

/// Guards against a log line for each entry of each list, by which most of these lines and other log lines were
/// dropped, and against memory that grows with each endpoint name.
#[rstest]
fn faulty_lists_delay_no_statement_and_fill_no_memory(
    #[values(Fault::DuplicateEndpoint, Fault::ReplacesAll, Fault::Flaps, Fault::Unchanged, Fault::Truncated)]
    fault: Fault,
) {
    let fixture = Fixture::start(&[]);
    let mut client = fixture.router.client();
    let mut resident_before = 0;
    for number in 0..LIST_COUNT {
        answer(fixture.discovery.next_call(), fault, &list(&fixture, fault, number));
        client.send(&read(10 + number as u32, DEADLINE_MS)).expect("sending the query failed");
        next_at_either(&fixture).answer("in time");
        assert_eq!(
            client.read_answer().expect("no answer from the router"),
            "row:in time SELECT 1",
            "at list {number}"
        );
        if number == BASELINE_LISTS {
            resident_before = resident_kb(&fixture.router);
        }
    }
    let next_call =
        fixture.discovery.next_within(Duration::from_secs(6)).expect("no further call to discovery");
    let growth = resident_kb(&fixture.router).saturating_sub(resident_before);
    println!("{fault:?}: {resident_before} kB resident, growth {growth} kB");
    assert!(
        growth < MAX_GROWTH_KB,
        "resident memory grew by {growth} kB over {} lists",
        LIST_COUNT - BASELINE_LISTS
    );
    drop((client, next_call));
    let Fixture { router, .. } = fixture;
    router.signal("-TERM");
    let (log, _) = router.wait_for_exit();
    assert_eq!(counter(&log, "log_lines_dropped"), 0);
    assert!(log.lines().filter(|line| line.contains(" INFO endpoint ")).count() <= 2 * LIST_COUNT, "{log}");
    assert_eq!(counter(&log, "invariant_violations_total"), 0);
}
