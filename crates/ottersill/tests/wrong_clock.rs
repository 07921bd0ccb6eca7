//! A router on a machine whose clock is wrong. The tests shift the clocks of the store, of discovery and of the clients
//! instead of the machine's clock.

mod support;

use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ottersill_testkit::stand_in::StandInStore;
use rstest::rstest;
use support::Router;

const HOUR_MS: i64 = 3_600_000;
/// The first is the primary.
const ENDPOINTS: usize = 5;
/// Index of a replica whose data is older than any read allows.
const LAGGING: usize = 4;
const LAG_MS: i64 = 20_000;
/// Endpoints answer a read without checking their staleness.
const UNCHECKED: (&str, &str) = ("\"when_behind\": \"wait\"", "\"when_behind\": \"none\"");

/// Outcome of the requests.
#[derive(Debug)]
struct Outcome {
    answered: usize,
    at_replicas: usize,
    at_lagging: usize,
    at_first_replica: usize,
    health_checks: usize,
}

/// Creates a store whose clocks are off by `shift_ms`; the last replica lags in addition.
fn store(shift_ms: i64) -> StandInStore {
    let store = StandInStore::default();
    for endpoint in 0..ENDPOINTS {
        store.add_endpoint("127.0.0.1:0").expect("endpoint did not start");
        let lag_ms = if endpoint == LAGGING { LAG_MS } else { 0 };
        store.set_clock_offset(endpoint, shift_ms - lag_ms);
    }
    store
}

/// Starts a router, writes, reads 60 times in 3 s, and writes again. A session read requires a commit of one second ago
/// by the store's clock.
fn send_requests(store: &StandInStore, reads: &str, shift_ms: i64) -> Outcome {
    let discovery = store.add_discovery("127.0.0.1:0").expect("discovery did not start");
    let class_read = format!("\"class_read\": [\"{reads}\", \"write\"]");
    let settings = support::config_text(
        discovery,
        &[UNCHECKED, ("\"class_read\": [\"bounded\", \"write\"]", &class_read)],
    );
    let router = Router::spawn(&settings, None).wait_until_ready();
    let mut client = router.client();
    let mut count_answered = |query: &str| {
        usize::from(client.query(query).expect("no answer from the router").starts_with("row:"))
    };
    let mut answered = count_answered(&support::write(0, 1000));
    for number in 0..60 {
        let since_unix_epoch =
            SystemTime::now().duration_since(UNIX_EPOCH).expect("system time is before 1970");
        let after = since_unix_epoch.as_millis() as i64 + shift_ms - 1000;
        let read = support::read(number, 1000);
        let read = if reads == "session" {
            read.replace("cluster=1", &format!("cluster=1,after={after}"))
        } else {
            read
        };
        answered += count_answered(&read);
        thread::sleep(Duration::from_millis(50));
    }
    answered += count_answered(&support::write(1, 1000));
    router.signal("-TERM");
    let (log, _) = router.wait_for_exit();
    let received: Vec<usize> = (0..ENDPOINTS).map(|endpoint| store.received(endpoint).len()).collect();
    Outcome {
        answered,
        at_replicas: received[1..].iter().sum(),
        at_lagging: received[LAGGING],
        at_first_replica: received[1],
        health_checks: counter(&log, " health_checks="),
    }
}

/// The last value of a counter in the log.
fn counter(log: &str, name: &str) -> usize {
    let (_, value) = log.rsplit_once(name).expect("counter is not in the log");
    value
        .chars()
        .take_while(char::is_ascii_digit)
        .collect::<String>()
        .parse()
        .expect("counter is not a number")
}

/// Guards against treating all replication positions as implausible where the router's clock is behind, and all data as
/// stale where it is ahead.
#[rstest]
#[case::clocks_agree(0, 40)]
#[case::the_router_is_an_hour_behind(HOUR_MS, 25)]
#[case::the_router_is_an_hour_ahead(-HOUR_MS, 25)]
fn reads_go_to_replicas_within_the_staleness_bound(
    #[case] shift_ms: i64,
    #[case] at_replicas: usize,
    #[values("bounded", "session")] reads: &str,
) {
    let outcome = send_requests(&store(shift_ms), reads, shift_ms);
    assert_eq!((outcome.answered, outcome.at_lagging), (62, 0), "{outcome:?}");
    assert!(outcome.at_replicas >= at_replicas && outcome.health_checks <= 30, "{outcome:?}");
}

/// Guards against sending the full load to a replica that has just started: it warms up for 10 s, and by its size it
/// would get a quarter of the reads.
#[rstest]
#[case::clocks_agree(0)]
#[case::the_router_is_an_hour_behind(HOUR_MS)]
#[case::the_router_is_an_hour_ahead(-HOUR_MS)]
fn an_endpoint_that_has_just_started_warms_up(#[case] shift_ms: i64) {
    let store = store(shift_ms);
    store.set_just_started(1);
    let outcome = send_requests(&store, "any", shift_ms);
    assert_eq!(outcome.answered, 62, "{outcome:?}");
    assert!(outcome.at_first_replica <= 9 && outcome.health_checks <= 30, "{outcome:?}");
}

/// The clock of one endpoint is wrong, and the router's is not: the other endpoints serve the reads, and the lagging
/// replica serves no read of data that may be too old.
#[rstest]
#[case::a_replica_ahead(LAGGING, HOUR_MS, 40)]
#[case::a_replica_behind(LAGGING, -HOUR_MS, 40)]
#[case::the_primary_ahead(0, HOUR_MS, 40)]
#[case::the_primary_behind(0, -HOUR_MS, 40)]
fn one_wrong_clock_does_not_affect_other_endpoints(
    #[case] wrong: usize,
    #[case] shift_ms: i64,
    #[case] at_replicas: usize,
) {
    let store = store(0);
    store.set_clock_offset(wrong, shift_ms);
    let outcome = send_requests(&store, "bounded", 0);
    assert_eq!((outcome.answered, outcome.at_lagging), (62, 0), "{outcome:?}");
    assert!(outcome.at_replicas >= at_replicas && outcome.health_checks <= 30, "{outcome:?}");
}
