//! Statements are routed by what their text does, not by the workload that they name.

use std::thread;
use std::time::{Duration, Instant};

use ottersill_testkit::stand_in::Behaviour;
use rstest::rstest;

use crate::fixture::{Service, poll, read, read_as, service, service_within};
use crate::support::machine::own_time_since;

fn read_of(text: &str, number: u32) -> String {
    format!("{text} /* id=f{number:x},c=get,d=400,cluster=1 */")
}

fn taken_each(service: &Service) -> [usize; 3] {
    [0, 1, 2].map(|host| service.store.received(host).len())
}

/// What a text does counts, not the name that its client gives it: the primary alone, and once.
#[rstest]
#[case::writes("WITH a AS (DELETE FROM kv WHERE name = '1f' RETURNING 1) SELECT * FROM a")]
#[case::may_write("SELECT unheard_of(name) FROM kv WHERE name = '1f'")]
#[case::locks("SELECT content FROM kv WHERE name = '1f' FOR UPDATE")]
#[case::hidden_comment("SELECT nextval('1f /* id=1,c=get,d=400,cluster=1 */')")]
fn a_read_that_may_write_goes_to_the_primary_and_never_again(#[case] text: &str) {
    let service = service(1024);
    let mut client = service.client();
    let before = taken_each(&service);
    for number in 0..5 {
        client.query(&read_of(text, number)).expect("an answer");
    }
    let after = taken_each(&service);
    assert_eq!([0, 1, 2].map(|host| after[host] - before[host]), [5, 0, 0]);
    service.all(Behaviour::ResetsConnection);
    assert_eq!(client.query(&read_of(text, 9)).expect("an answer"), "C40003");
    assert_eq!(taken_each(&service)[0], after[0] + 1, "what may have run is not sent again");
}

#[rstest]
#[case::session("SET search_path = 'evil'")]
#[case::transaction("BEGIN")]
#[case::call("SELECT pg_advisory_lock(1)")]
#[case::several("SELECT 1; DELETE FROM kv WHERE name = '1f'")]
fn what_belongs_to_a_session_is_refused_with_a_reason(#[case] text: &str) {
    let service = service(1024);
    let mut client = service.client();
    let before = service.taken();
    assert_eq!(client.query(&read_of(text, 1)).expect("an answer"), "C0A000");
    assert_eq!(service.taken(), before);
    assert!(client.query(&read(2000)).expect("an answer").starts_with("row:"));
}

/// A view may hide a write from any reading: the replica says so, and stays good for everybody's reads.
#[test]
fn a_replica_that_refuses_a_hidden_write_keeps_its_reads() {
    let service = service(1024);
    service.store.add_view_with_side_effects("sly_view");
    let mut client = service.client();
    // One that answered slowly at first, on a busy machine, gets few reads for a while.
    poll("replicas share the reads", || {
        let before = taken_each(&service);
        (0..40)
            .for_each(|n| assert!(client.query(&read_as(n, 2000)).expect("an answer").starts_with("row:")));
        let after = taken_each(&service);
        (1..3).all(|host| after[host] - before[host] > 5)
    });
    for number in 0..8 {
        let query = read_of("SELECT * FROM sly_view WHERE name = '1f'", number);
        assert!(client.query(&query).expect("an answer").starts_with("row:"), "the primary takes it");
    }
    let before = taken_each(&service);
    (0..40).for_each(|n| assert!(client.query(&read_as(n, 2000)).expect("an answer").starts_with("row:")));
    let after = taken_each(&service);
    assert!((1..3).all(|host| after[host] - before[host] > 5), "{before:?} {after:?}");
    // By now the shape is known for what it does, and no replica is asked.
    client.query(&read_of("SELECT * FROM sly_view WHERE name = '2f'", 99)).expect("an answer");
    assert_eq!(taken_each(&service)[1..], after[1..]);
}

/// The longest that a read may take beside the flood.
const SLOWEST: Duration = Duration::from_millis(500);

/// One client sends ever-new shapes as fast as it can: another's reads go on, and the book keeps to its budget.
#[test]
fn a_flood_of_new_shapes_holds_up_nobody() {
    let mut service = service_within(1024, 32);
    let mut usual = service.client();
    let mut client = service.client();
    let flood = thread::spawn(move || {
        let started = Instant::now();
        let mut sent = 0;
        while started.elapsed() < Duration::from_secs(2) {
            let text = format!("SELECT a{sent}, lower(b) FROM c_{sent} WHERE d = '1f'");
            client.query(&read_of(&text, 1000 + sent)).expect("an answer");
            sent += 1;
        }
        sent
    });
    let mut slowest = Duration::ZERO;
    while !flood.is_finished() {
        let started = Instant::now();
        assert!(usual.query(&read(2000)).expect("an answer").starts_with("row:"));
        let took = started.elapsed();
        slowest = slowest.max(if took < SLOWEST { took } else { own_time_since(started) });
    }
    let sent = flood.join().expect("the flood");
    // Some thousand on a machine left alone; beside sixty other tests on a busy one it was 225.
    assert!(sent > 100, "{sent} shapes are no flood");
    assert!(slowest < SLOWEST, "{slowest:?}");
    service.signal("-TERM");
    let (_, log) = service.exit();
    let line = log.lines().find(|line| line.contains(" fingerprint cache ")).expect("a line on shapes");
    let bytes = line.split("bytes=").nth(1).and_then(|rest| rest.split(' ').next()?.parse::<u64>().ok());
    assert!(bytes.is_some_and(|bytes| bytes <= 32 * 1024 * 1024 / 64), "{line}");
}
