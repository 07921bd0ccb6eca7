//! An iteration of the event loop that is stalled: the test calls its steps one by one, on real connections, so that time passes and
//! peers act between two steps.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use ottersill::backend::connection::{Assignment, ConnectionState};
use ottersill::client::connection::ConnectionPhase;
use support::in_process::InProcessRouter;
use support::*;

/// The longest time for which a router may be stalled.
const STALL: Duration = Duration::from_millis(150);

/// Guards against a retry for a client that is gone: the router reads from the client, the iteration is stalled, the client closes,
/// and the same iteration retries its statement without checking the client again.
#[test]
fn a_retry_does_not_begin_for_a_client_that_closes_in_the_same_iteration() {
    let mut router = InProcessRouter::start();
    let mut client = router.client();
    client.send(&read(7, 8000)).expect("query could not be sent");
    router.next_statement(|router| &router.replica).fail("53300");
    wait_until_unread_from(router.replica.address);
    let event_loop = &mut router.event_loop;
    let busy =
        event_loop.clients().iter().find(|(_, client)| matches!(client.phase, ConnectionPhase::Busy(_)));
    let read_first = busy.map(|(id, _)| id).expect("no client with a statement in flight");
    event_loop.on_client_ready(read_first);
    let client_address = client.socket.local_addr().expect("no address");
    drop(client);
    wait_until_end_received(router.address, client_address);
    let carrying = event_loop
        .backends()
        .iter()
        .find(|(_, backend)| matches!(backend.assignment, Some(Assignment::Request(_))));
    let backend = carrying.map(|(id, _)| id).expect("no connection carries the statement");
    event_loop.on_backend_ready(backend);
    event_loop.run_routing_actions();
    router.poll_for(Duration::from_millis(100));
    assert!(router.primary.next_within(Duration::from_millis(50)).is_none());
    assert_eq!(router.event_loop.invariant_violations(), 0);
}

/// Guards against sending an outdated time left: the router reads the clock, is stalled, and then reads a query and sends it on with
/// the time that was left before the stall.
#[test]
fn a_statement_carries_the_time_left_when_it_is_sent() {
    let mut router = InProcessRouter::start();
    let mut client = router.client();
    let event_loop = &mut router.event_loop;
    let (newest, _) = event_loop
        .clients()
        .iter()
        .max_by(|a, b| a.1.connected_at.total_cmp(&b.1.connected_at))
        .expect("no client");
    event_loop.poll_once();
    let sent = Instant::now();
    client.send(&read(7, 2000)).expect("query could not be sent");
    thread::sleep(STALL);
    event_loop.on_client_ready(newest);
    let arrival = router.next_statement(|router| &router.replica);
    let left = arrival.text.rsplit(",d=").next().and_then(|d| d.split(',').next()?.parse().ok());
    let left = Duration::from_millis(left.expect("no time left in the comment"));
    let waited = arrival.received_at.saturating_duration_since(sent);
    // Two thirds of the 150 ms of slack are granted to a busy machine.
    assert!(left + waited <= Duration::from_millis(2100), "{left:?} {waited:?}");
}

/// Guards against an endpoint that counts as failed for the router's own delay: a connection comes up while the router is stalled
/// for longer than the time limit for connecting, so that the startup message is written only after that.
#[test]
fn a_connection_that_came_up_during_a_stall_is_not_failed() {
    // The example's time limit for connecting is 250 ms.
    const LONGER_THAN_CONNECTING: Duration = Duration::from_millis(400);
    let mut router = InProcessRouter::start();
    router.replica.close_idle_connections();
    router.poll_for(Duration::from_millis(50));
    let mut client = router.client();
    client.send(&read(7, 8000)).expect("query could not be sent");
    router.poll_until("a connection is being opened", |router| {
        router.event_loop.backends().iter().any(|(_, backend)| backend.state == ConnectionState::Dialing)
    });
    let failed = router.event_loop.context().counters.backend_connections_failed;
    thread::sleep(LONGER_THAN_CONNECTING);
    router.next_statement(|router| &router.replica).answer("late");
    assert_eq!(router.event_loop.context().counters.backend_connections_failed, failed);
}
