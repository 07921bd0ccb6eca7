//! An iteration of the event loop that is stalled: the test calls its steps one by one, on real connections, so that time passes and
//! peers act between two steps.

mod support;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use ottersill::backend::connection::Assignment;
use ottersill::client::connection::ConnectionPhase;
use ottersill::event_loop::EventLoop;
use ottersill::lifecycle::config::Config;
use ottersill::reactor::Reactor;
use ottersill_testkit::scripted_peer::{ReceivedStatement, ScriptedEndpoint, endpoint_list};
use ottersill_testkit::stand_in::Client;
use slog::{Discard, Logger, o};
use support::*;

/// The longest time for which a router may be stalled.
const STALL: Duration = Duration::from_millis(150);

struct Fixture {
    events: Reactor,
    event_loop: EventLoop,
    address: SocketAddr,
    primary: ScriptedEndpoint,
    replica: ScriptedEndpoint,
}

impl Fixture {
    /// Starts a router that knows the roles of its endpoints and has a connection to each.
    fn start() -> Fixture {
        let (primary, replica) = (
            ScriptedEndpoint::start(true).expect("endpoint did not start"),
            ScriptedEndpoint::start(false).expect("endpoint did not start"),
        );
        // No discovery service listens there.
        let text =
            config_text(SocketAddr::from(([127, 0, 0, 1], 1)), &[LONG_STATEMENT_TIMEOUT, LONG_SLO_TIME]);
        let config = Config::parse(text.as_bytes()).expect("configuration is rejected");
        let limits = config.limits.connection_limits().expect("limits are rejected");
        let timeouts = config.settings.backend_timeouts().expect("settings are rejected");
        let routing_config = config.settings.routing_config(config.seed).expect("settings are rejected");
        let names = config.settings.names();
        let events = Reactor::try_new().expect("reactor did not start");
        let log = Logger::root(Discard, o!());
        let handle = events.handle();
        let mut event_loop =
            EventLoop::new(routing_config, names, timeouts, limits, config.discovery, log, handle);
        let endpoints =
            endpoint_list(1, &[("one", primary.address, "active"), ("two", replica.address, "active")]);
        event_loop.apply_endpoint_list(&serde_json::from_str(&endpoints).expect("list is rejected"));
        let address = event_loop.listen(SocketAddr::from(([127, 0, 0, 1], 0)), 64).expect("listen failed");
        let mut fixture = Fixture { events, event_loop, address, primary, replica };
        let mut client = fixture.client();
        client.send(&read(0, 9000)).expect("query could not be sent");
        fixture.next_statement(|fixture| &fixture.replica).answer("first");
        fixture.poll_for(Duration::from_millis(50));
        client.send(&write(1, 9000)).expect("query could not be sent");
        let second = fixture.next_statement(|fixture| &fixture.primary);
        // The write takes most of the work, so the primary gets no fraction of the reads.
        fixture.poll_for(Duration::from_millis(300));
        second.answer("second");
        fixture.poll_for(Duration::from_millis(50));
        fixture
    }

    fn poll_once(&mut self) {
        self.events
            .dispatch(Some(Duration::from_millis(2)), self.event_loop.readiness())
            .expect("event loop failed");
        self.event_loop.poll_once();
    }

    fn poll_for(&mut self, within: Duration) {
        let started = Instant::now();
        while started.elapsed() < within {
            self.poll_once();
        }
    }

    /// Polls until the endpoint receives a statement.
    fn next_statement(&mut self, endpoint: impl Fn(&Fixture) -> &ScriptedEndpoint) -> ReceivedStatement {
        let started = Instant::now();
        loop {
            self.poll_once();
            if let Some(arrival) = endpoint(self).next_within(Duration::from_millis(1)) {
                return arrival;
            }
            assert!(started.elapsed() < TIMEOUT, "the endpoint received no statement");
        }
    }

    /// Connects a client and polls until it has been greeted.
    fn client(&mut self) -> Client {
        let client = Client::connect(self.address).expect("connection failed");
        client.socket.set_read_timeout(Some(TIMEOUT)).expect("read timeout could not be set");
        self.poll_for(Duration::from_millis(50));
        client
    }
}

/// Guards against a retry for a client that is gone: the router reads from the client, the iteration is stalled, the client closes,
/// and the same iteration retries its statement without checking the client again.
#[test]
fn a_retry_does_not_begin_for_a_client_that_closes_in_the_same_iteration() {
    let mut fixture = Fixture::start();
    let mut client = fixture.client();
    client.send(&read(7, 8000)).expect("query could not be sent");
    fixture.next_statement(|fixture| &fixture.replica).fail("53300");
    wait_until_unread_from(fixture.replica.address);
    let event_loop = &mut fixture.event_loop;
    let busy =
        event_loop.clients().iter().find(|(_, client)| matches!(client.phase, ConnectionPhase::Busy(_)));
    let read_first = busy.map(|(id, _)| id).expect("no client with a statement in flight");
    event_loop.on_client_ready(read_first);
    let client_address = client.socket.local_addr().expect("no address");
    drop(client);
    wait_until_end_received(fixture.address, client_address);
    let carrying = event_loop
        .backends()
        .iter()
        .find(|(_, backend)| matches!(backend.assignment, Some(Assignment::Request(_))));
    let backend = carrying.map(|(id, _)| id).expect("no connection carries the statement");
    event_loop.on_backend_ready(backend);
    event_loop.run_routing_actions();
    fixture.poll_for(Duration::from_millis(100));
    assert!(fixture.primary.next_within(Duration::from_millis(50)).is_none());
    assert_eq!(fixture.event_loop.invariant_violations(), 0);
}

/// Guards against sending an outdated time left: the router reads the clock, is stalled, and then reads a query and sends it on with
/// the time that was left before the stall.
#[test]
fn a_statement_carries_the_time_left_when_it_is_sent() {
    let mut fixture = Fixture::start();
    let mut client = fixture.client();
    let event_loop = &mut fixture.event_loop;
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
    let arrival = fixture.next_statement(|fixture| &fixture.replica);
    let left = arrival.text.rsplit(",d=").next().and_then(|d| d.split(',').next()?.parse().ok());
    let left = Duration::from_millis(left.expect("no time left in the comment"));
    let waited = arrival.received_at.saturating_duration_since(sent);
    // Two thirds of the 150 ms of slack are granted to a busy machine.
    assert!(left + waited <= Duration::from_millis(2100), "{left:?} {waited:?}");
}
