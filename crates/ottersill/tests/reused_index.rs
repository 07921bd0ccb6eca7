//! An endpoint leaves and its index is used for another one, while connections to the old one are still there: nothing goes
//! to the old one by them. The index is free at once, without the usual retention, where more endpoints have left than are
//! listed. None of this was possible before; the tests fail where connections are not asked for before the index is freed.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use ottersill_testkit::scripted_peer::ScriptedEndpoint;
use ottersill_testkit::stand_in::Client;
use rstest::rstest;
use support::*;

/// Long enough for a statement that was sent to be there.
const ARRIVAL: Duration = Duration::from_millis(100);
/// Reads until a new endpoint must have been sent one.
const MAX_READS: u32 = 100;
/// An endpoint of another replica set.
const OTHER: &str = "other";

/// What is open to the endpoint that leaves.
#[derive(Clone, Copy, Debug)]
enum Open {
    /// A connection that carries nothing.
    Idle,
    /// A connection that was not greeted yet, and whose statement went elsewhere as the endpoint left.
    Ungreeted,
}

fn list(version: u64, endpoints: &[(&str, SocketAddr)]) -> String {
    let entry = |(name, at): &(&str, SocketAddr)| {
        let group = if *name == OTHER { 2 } else { 1 };
        format!(r#"{{"host":"{name}","dial":"{at}","site":"here","block":{group},"health":"active"}}"#)
    };
    let entries: Vec<String> = endpoints.iter().map(entry).collect();
    format!(r#"{{"seq":{version},"whole":true,"hosts":[{}]}}"#, entries.join(","))
}

/// Lists of which the second lacks the replica, `two`, and [`OTHER`], so that two have left and one is listed.
fn let_replica_leave(fixture: &Fixture) {
    let (one, two) = (("one", fixture.primary.address), ("two", fixture.replica.address));
    let other = (OTHER, SocketAddr::from(([127, 0, 0, 1], 1)));
    fixture.discovery.next_call().answer(&list(2, &[one, two, other]));
    fixture.discovery.next_call().answer(&list(3, &[one]));
}

/// Lists another replica, which gets a free index.
fn list_another(fixture: &Fixture, version: u64) -> ScriptedEndpoint {
    let another = ScriptedEndpoint::start(false).expect("an endpoint");
    fixture
        .discovery
        .next_call()
        .answer(&list(version, &[("one", fixture.primary.address), ("three", another.address)]));
    another
}

/// Reads until the new replica is sent one, which has to be known as a replica for that. The old one is sent none.
fn read_until_sent_to(fixture: &Fixture, another: &ScriptedEndpoint, client: &mut Client) {
    for number in 100..100 + MAX_READS {
        client.send(&read(number, 2000)).expect("a query");
        let at_another = another.next_within(ARRIVAL);
        let is_at_another = at_another.is_some();
        match at_another.or_else(|| fixture.primary.next_within(ARRIVAL)) {
            Some(statement) => statement.answer("there"),
            None => assert!(fixture.replica.next_within(ARRIVAL).is_none(), "it has left"),
        }
        assert_eq!(client.read_answer().expect("an answer"), "row:there SELECT 1");
        if is_at_another {
            return;
        }
    }
    panic!("the new replica gets nothing");
}

#[rstest]
fn nothing_goes_to_the_old_endpoint_by_its_connections(#[values(Open::Idle, Open::Ungreeted)] open: Open) {
    let fixture = Fixture::start(&[PATIENT]);
    let on_its_way = matches!(open, Open::Ungreeted).then(|| fixture.read_on_its_way(7, 2000));
    let_replica_leave(&fixture);
    if let Some(mut client) = on_its_way {
        fixture.primary.next_statement().answer("elsewhere");
        assert_eq!(client.read_answer().expect("an answer"), "row:elsewhere SELECT 1");
    }
    let another = list_another(&fixture, 4);
    fixture.replica.resume_greeting();
    read_until_sent_to(&fixture, &another, &mut fixture.router.client());
    assert!(fixture.replica.next_within(ARRIVAL).is_none(), "it has left");
}

/// The attempt ends at the endpoint that it was sent to, whose index stands for that one until then.
#[test]
fn an_attempt_in_flight_keeps_the_index() {
    let fixture = Fixture::start(&[LONG, LATE]);
    let mut client = fixture.router.client();
    client.send(&read(7, 9000)).expect("a query");
    let in_flight = fixture.replica.next_statement();
    let_replica_leave(&fixture);
    let another = list_another(&fixture, 4);
    read_until_sent_to(&fixture, &another, &mut fixture.router.client());
    in_flight.answer("late");
    assert_eq!(client.read_answer().expect("an answer"), "row:late SELECT 1");
    let third = list_another(&fixture, 5);
    read_until_sent_to(&fixture, &third, &mut fixture.router.client());
    assert!(fixture.replica.next_within(ARRIVAL).is_none(), "it has left");
}
