//! Statements are routed by the classification of their text, not by the workload that their comment names.

use std::thread;
use std::time::{Duration, Instant};

use ottersill_testkit::stand_in::Behaviour;
use rstest::rstest;

use crate::fixture::{Service, read, read_with_id, start_service, start_service_with_memory, wait_until};
use crate::support::machine::time_without_stalls_since;

fn read_of(text: &str, number: u32) -> String {
    format!("{text} /* id=f{number:x},c=get,d=400,cluster=1 */")
}

/// Number of statements that each endpoint has received; the first is the primary.
fn received_by_endpoint(service: &Service) -> [usize; 3] {
    [0, 1, 2].map(|endpoint| service.store.received(endpoint).len())
}

/// A statement that may write is sent to the primary only, and not again once it may have run, although its comment names a read
/// workload.
#[rstest]
#[case::writes("WITH a AS (DELETE FROM kv WHERE name = '1f' RETURNING 1) SELECT * FROM a")]
#[case::may_write("SELECT unheard_of(name) FROM kv WHERE name = '1f'")]
#[case::locks("SELECT content FROM kv WHERE name = '1f' FOR UPDATE")]
#[case::hidden_comment("SELECT nextval('1f /* id=1,c=get,d=400,cluster=1 */')")]
fn a_statement_that_may_write_goes_to_the_primary_and_is_not_sent_again(#[case] text: &str) {
    let service = start_service(1024);
    let mut client = service.client();
    let before = received_by_endpoint(&service);
    for number in 0..5 {
        client.query(&read_of(text, number)).expect("no answer");
    }
    let after = received_by_endpoint(&service);
    assert_eq!([0, 1, 2].map(|endpoint| after[endpoint] - before[endpoint]), [5, 0, 0]);
    service.set_all_behaviours(Behaviour::ResetsConnection);
    assert_eq!(client.query(&read_of(text, 9)).expect("no answer"), "C40003");
    assert_eq!(
        received_by_endpoint(&service)[0],
        after[0] + 1,
        "a statement that may have run was sent again"
    );
}

#[rstest]
#[case::session("SET search_path = 'evil'")]
#[case::transaction("BEGIN")]
#[case::call("SELECT pg_advisory_lock(1)")]
#[case::several("SELECT 1; DELETE FROM kv WHERE name = '1f'")]
fn statements_that_need_a_session_are_refused(#[case] text: &str) {
    let service = start_service(1024);
    let mut client = service.client();
    let before = service.received_count();
    assert_eq!(client.query(&read_of(text, 1)).expect("no answer"), "C0A000");
    assert_eq!(service.received_count(), before);
    assert!(client.query(&read(2000)).expect("no answer").starts_with("row:"));
}

/// A view can hide a write from the classification. A replica then refuses the statement, and must still get all other reads.
#[test]
fn a_replica_that_refuses_a_hidden_write_still_gets_reads() {
    let service = start_service(1024);
    service.store.add_view_with_side_effects("sly_view");
    let mut client = service.client();
    // On a busy machine a replica that answered slowly at first gets few reads for a while.
    wait_until("each replica gets reads", || {
        let before = received_by_endpoint(&service);
        (0..40).for_each(|n| {
            assert!(client.query(&read_with_id(n, 2000)).expect("no answer").starts_with("row:"));
        });
        let after = received_by_endpoint(&service);
        (1..3).all(|endpoint| after[endpoint] - before[endpoint] > 5)
    });
    for number in 0..8 {
        let query = read_of("SELECT * FROM sly_view WHERE name = '1f'", number);
        assert!(
            client.query(&query).expect("no answer").starts_with("row:"),
            "the primary did not run the statement"
        );
    }
    let before = received_by_endpoint(&service);
    (0..40)
        .for_each(|n| assert!(client.query(&read_with_id(n, 2000)).expect("no answer").starts_with("row:")));
    let after = received_by_endpoint(&service);
    assert!((1..3).all(|endpoint| after[endpoint] - before[endpoint] > 5), "{before:?} {after:?}");
    // The router has recorded that this shape writes, and sends it to no replica.
    client.query(&read_of("SELECT * FROM sly_view WHERE name = '2f'", 99)).expect("no answer");
    assert_eq!(received_by_endpoint(&service)[1..], after[1..]);
}

/// The longest time that a read may take while another client floods the router.
const MAX_READ_TIME: Duration = Duration::from_millis(500);

/// One client sends new statement shapes as fast as it can. The reads of another client must not be delayed, and the fingerprint
/// cache must stay within its memory budget.
#[test]
fn a_flood_of_new_shapes_delays_no_other_client() {
    let mut service = start_service_with_memory(1024, 32);
    let mut reader = service.client();
    let mut client = service.client();
    let flood = thread::spawn(move || {
        let started = Instant::now();
        let mut sent = 0;
        while started.elapsed() < Duration::from_secs(2) {
            let text = format!("SELECT a{sent}, lower(b) FROM c_{sent} WHERE d = '1f'");
            client.query(&read_of(&text, 1000 + sent)).expect("no answer");
            sent += 1;
        }
        sent
    });
    let mut slowest = Duration::ZERO;
    while !flood.is_finished() {
        let started = Instant::now();
        assert!(reader.query(&read(2000)).expect("no answer").starts_with("row:"));
        let took = started.elapsed();
        slowest = slowest.max(if took < MAX_READ_TIME { took } else { time_without_stalls_since(started) });
    }
    let sent = flood.join().expect("flooding client failed");
    // An idle machine reaches some thousand; a busy one with sixty other tests running reached 225.
    assert!(sent > 100, "only {sent} shapes were sent");
    assert!(slowest < MAX_READ_TIME, "{slowest:?}");
    service.signal("-TERM");
    let (_, log) = service.wait_for_exit();
    let line = log
        .lines()
        .find(|line| line.contains(" fingerprint cache "))
        .expect("no log line about the fingerprint cache");
    let bytes = line.split("bytes=").nth(1).and_then(|rest| rest.split(' ').next()?.parse::<u64>().ok());
    assert!(bytes.is_some_and(|bytes| bytes <= 32 * 1024 * 1024 / 64), "{line}");
}
