//! An endpoint leaves and its index is reused for another one while connections to the old endpoint are still open: no statement may
//! be sent to the old endpoint on them. The index is free at once, without the usual retention time, if more endpoints have left than
//! are listed. The tests fail if the router frees an index without checking for connections of its endpoint.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use ottersill_testkit::scripted_peer::ScriptedEndpoint;
use ottersill_testkit::stand_in::Client;
use rstest::rstest;
use support::*;

/// Time within which a statement arrives that was sent.
const ARRIVAL_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of reads of which a new endpoint must have received at least one.
const MAX_READS: u32 = 100;
/// Name of an endpoint of another replica set.
const OTHER_GROUP_ENDPOINT: &str = "other";

/// The connection that is open to the leaving endpoint.
#[derive(Clone, Copy, Debug)]
enum OpenConnection {
    /// A connection without a statement.
    Idle,
    /// A connection on which the endpoint has not greeted yet; its statement was sent to another endpoint when this one left.
    Ungreeted,
}

fn list(version: u64, endpoints: &[(&str, SocketAddr)]) -> String {
    let entry = |(name, at): &(&str, SocketAddr)| {
        let group = if *name == OTHER_GROUP_ENDPOINT { 2 } else { 1 };
        format!(r#"{{"host":"{name}","dial":"{at}","site":"here","block":{group},"health":"active"}}"#)
    };
    let entries: Vec<String> = endpoints.iter().map(entry).collect();
    format!(r#"{{"seq":{version},"whole":true,"hosts":[{}]}}"#, entries.join(","))
}

/// Serves two lists, of which the second lacks the replica `two` and [`OTHER_GROUP_ENDPOINT`], so that two
/// endpoints have left and one is listed.
fn remove_replica(fixture: &Fixture) {
    let (one, two) = (("one", fixture.primary.address), ("two", fixture.replica.address));
    let other = (OTHER_GROUP_ENDPOINT, SocketAddr::from(([127, 0, 0, 1], 1)));
    fixture.discovery.next_call().answer(&list(2, &[one, two, other]));
    fixture.discovery.next_call().answer(&list(3, &[one]));
}

/// Starts another replica and serves a list with it. It gets a free index.
fn add_replica(fixture: &Fixture, version: u64) -> ScriptedEndpoint {
    let another = ScriptedEndpoint::start(false).expect("endpoint did not start");
    fixture
        .discovery
        .next_call()
        .answer(&list(version, &[("one", fixture.primary.address), ("three", another.address)]));
    another
}

/// Sends reads until the new replica receives one, for which the router has to know its role. The old replica must receive none.
fn read_until_received_by(fixture: &Fixture, another: &ScriptedEndpoint, client: &mut Client) {
    for number in 100..100 + MAX_READS {
        client.send(&read(number, 2000)).expect("query could not be sent");
        let at_another = another.next_within(ARRIVAL_TIMEOUT);
        let is_at_another = at_another.is_some();
        match at_another.or_else(|| fixture.primary.next_within(ARRIVAL_TIMEOUT)) {
            Some(statement) => statement.answer("there"),
            None => assert!(
                fixture.replica.next_within(ARRIVAL_TIMEOUT).is_none(),
                "the old replica received a statement"
            ),
        }
        assert_eq!(client.read_answer().expect("no answer"), "row:there SELECT 1");
        if is_at_another {
            return;
        }
    }
    panic!("the new replica received no read");
}

#[rstest]
fn no_statement_is_sent_on_connections_to_the_old_endpoint(
    #[values(OpenConnection::Idle, OpenConnection::Ungreeted)] open: OpenConnection,
) {
    let fixture = Fixture::start(&[LONG_CONNECT_TIMEOUT]);
    let waiting_client =
        matches!(open, OpenConnection::Ungreeted).then(|| fixture.read_waiting_for_connection(7, 2000));
    remove_replica(&fixture);
    if let Some(mut client) = waiting_client {
        fixture.primary.next_statement().answer("elsewhere");
        assert_eq!(client.read_answer().expect("no answer"), "row:elsewhere SELECT 1");
    }
    let another = add_replica(&fixture, 4);
    fixture.replica.resume_greeting();
    read_until_received_by(&fixture, &another, &mut fixture.router.client());
    assert!(fixture.replica.next_within(ARRIVAL_TIMEOUT).is_none(), "the old replica received a statement");
}

/// An attempt ends at the endpoint that it was sent to, whose index is not reused until then.
#[test]
fn an_attempt_in_flight_keeps_the_index() {
    let fixture = Fixture::start(&[LONG_STATEMENT_TIMEOUT, LONG_SLO_TIME]);
    let mut client = fixture.router.client();
    client.send(&read(7, 9000)).expect("query could not be sent");
    let in_flight = fixture.replica.next_statement();
    remove_replica(&fixture);
    let another = add_replica(&fixture, 4);
    read_until_received_by(&fixture, &another, &mut fixture.router.client());
    in_flight.answer("late");
    assert_eq!(client.read_answer().expect("no answer"), "row:late SELECT 1");
    let third = add_replica(&fixture, 5);
    read_until_received_by(&fixture, &third, &mut fixture.router.client());
    assert!(fixture.replica.next_within(ARRIVAL_TIMEOUT).is_none(), "the old replica received a statement");
}
