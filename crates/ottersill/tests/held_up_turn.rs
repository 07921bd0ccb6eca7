//! A turn of the loop that is held up: its parts are called one by one here, on real connections, so that time passes and peers
//! act between two of them.

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

/// As long as a router may be held up.
const DELAY: Duration = Duration::from_millis(150);

struct Fixture {
    events: Reactor,
    event_loop: EventLoop,
    at: SocketAddr,
    primary: ScriptedEndpoint,
    replica: ScriptedEndpoint,
}

impl Fixture {
    /// A router that knows its hosts' roles and has a connection to each.
    fn set() -> Fixture {
        let (primary, replica) =
            (ScriptedEndpoint::start(true).expect("a host"), ScriptedEndpoint::start(false).expect("a host"));
        // Nobody answers there.
        let text = config_text(SocketAddr::from(([127, 0, 0, 1], 1)), &[LONG, LATE]);
        let config = Config::parse(text.as_bytes()).expect("a configuration");
        let limits = config.limits.connection_limits().expect("limits");
        let timeouts = config.settings.backend_timeouts().expect("settings");
        let routing_config = config.settings.routing_config(config.seed).expect("settings");
        let names = config.settings.names();
        let events = Reactor::try_new().expect("a loop");
        let log = Logger::root(Discard, o!());
        let handle = events.handle();
        let mut event_loop =
            EventLoop::new(routing_config, names, timeouts, limits, config.discovery, log, handle);
        let hosts =
            endpoint_list(1, &[("one", primary.address, "active"), ("two", replica.address, "active")]);
        event_loop.apply_endpoint_list(&serde_json::from_str(&hosts).expect("a list"));
        let at = event_loop.listen(SocketAddr::from(([127, 0, 0, 1], 0)), 64).expect("a listener");
        let mut fixture = Fixture { events, event_loop, at, primary, replica };
        let mut client = fixture.client();
        client.send(&read(0, 9000)).expect("a query");
        fixture.arrival(|fixture| &fixture.replica).answer("first");
        fixture.poll_for(Duration::from_millis(50));
        client.send(&write(1, 9000)).expect("a query");
        let second = fixture.arrival(|fixture| &fixture.primary);
        // Writes that take most of the work leave the primary no part of the reads.
        fixture.poll_for(Duration::from_millis(300));
        second.answer("second");
        fixture.poll_for(Duration::from_millis(50));
        fixture
    }

    fn poll_once(&mut self) {
        self.events.dispatch(Some(Duration::from_millis(2)), self.event_loop.readiness()).expect("the loop");
        self.event_loop.poll_once();
    }

    fn poll_for(&mut self, within: Duration) {
        let began = Instant::now();
        while began.elapsed() < within {
            self.poll_once();
        }
    }

    fn arrival(&mut self, host: impl Fn(&Fixture) -> &ScriptedEndpoint) -> ReceivedStatement {
        let began = Instant::now();
        loop {
            self.poll_once();
            if let Some(arrival) = host(self).next_within(Duration::from_millis(1)) {
                return arrival;
            }
            assert!(began.elapsed() < PATIENCE, "a statement comes");
        }
    }

    /// A client that has been greeted.
    fn client(&mut self) -> Client {
        let client = Client::connect(self.at).expect("a connection");
        client.socket.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        self.poll_for(Duration::from_millis(50));
        client
    }
}

/// The client is read, the turn is held up, the client goes, and in the same turn its statement is sent elsewhere: it was not
/// looked at again.
#[test]
fn a_further_execution_does_not_begin_for_a_client_that_goes_in_the_same_turn() {
    let mut fixture = Fixture::set();
    let mut client = fixture.client();
    client.send(&read(7, 8000)).expect("a query");
    fixture.arrival(|fixture| &fixture.replica).fail("53300");
    until_unread_from(fixture.replica.address);
    let event_loop = &mut fixture.event_loop;
    let busy =
        event_loop.clients().iter().find(|(_, client)| matches!(client.phase, ConnectionPhase::Busy(_)));
    let read_first = busy.map(|(id, _)| id).expect("a client whose statement is in hand");
    event_loop.on_client_ready(read_first);
    let gone = client.socket.local_addr().expect("an address");
    drop(client);
    until_the_end_is_there(fixture.at, gone);
    let carries = event_loop
        .backends()
        .iter()
        .find(|(_, line)| matches!(line.assignment, Some(Assignment::Request(_))));
    let line = carries.map(|(id, _)| id).expect("a connection that carries it");
    event_loop.on_backend_ready(line);
    event_loop.run_routing_actions();
    fixture.poll_for(Duration::from_millis(100));
    assert!(fixture.primary.next_within(Duration::from_millis(50)).is_none());
    assert_eq!(fixture.event_loop.invariant_violations(), 0);
}

/// The clock is read, the router is held up, and a query is read and sent on: it told the time that was left before the delay.
#[test]
fn a_statement_tells_what_is_left_as_its_bytes_go() {
    let mut fixture = Fixture::set();
    let mut client = fixture.client();
    let event_loop = &mut fixture.event_loop;
    let (newest, _) = event_loop
        .clients()
        .iter()
        .max_by(|a, b| a.1.connected_at.total_cmp(&b.1.connected_at))
        .expect("a client");
    event_loop.poll_once();
    let sent = Instant::now();
    client.send(&read(7, 2000)).expect("a query");
    thread::sleep(DELAY);
    event_loop.on_client_ready(newest);
    let arrival = fixture.arrival(|fixture| &fixture.replica);
    let told = arrival.text.rsplit(",d=").next().and_then(|d| d.split(',').next()?.parse().ok());
    let told = Duration::from_millis(told.expect("a time left"));
    let waited = arrival.received_at.saturating_duration_since(sent);
    // Two thirds of the slack are left to a busy machine.
    assert!(told + waited <= Duration::from_millis(2100), "{told:?} {waited:?}");
}
