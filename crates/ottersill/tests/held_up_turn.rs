//! A turn of the loop that is held up: its parts are called one by one here, on real connections, so that time passes and peers
//! act between two of them.

mod support;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use calloop::EventLoop;
use ottersill::backend::connection::Load;
use ottersill::client::connection::Session;
use ottersill::event_loop::Exchange;
use ottersill::lifecycle::config::Config;
use ottersill::protocol::socket;
use ottersill::reactor::{Readiness, Source as Party};
use ottersill_testkit::scripted_peer::{ReceivedStatement, ScriptedEndpoint, endpoint_list};
use ottersill_testkit::stand_in::Client;
use slog::{Discard, Logger, o};
use support::*;

/// As long as a router may be held up.
const HELD_UP: Duration = Duration::from_millis(150);

struct Stage {
    events: EventLoop<'static, Readiness>,
    exchange: Exchange,
    at: SocketAddr,
    primary: ScriptedEndpoint,
    replica: ScriptedEndpoint,
}

impl Stage {
    /// A router that knows its hosts' roles and has a connection to each.
    fn set() -> Stage {
        let (primary, replica) =
            (ScriptedEndpoint::start(true).expect("a host"), ScriptedEndpoint::start(false).expect("a host"));
        // Nobody answers there.
        let text = config_text(SocketAddr::from(([127, 0, 0, 1], 1)), &[LONG, LATE]);
        let config = Config::parse(text.as_bytes()).expect("a configuration");
        let berths = config.limits.berths().expect("limits");
        let upkeep = config.settings.backend_timeouts().expect("settings");
        let terms = config.settings.terms(config.seed).expect("settings");
        let names = config.settings.catalog();
        let events = EventLoop::try_new().expect("a loop");
        let log = Logger::root(Discard, o!());
        let handle = events.handle();
        let mut exchange = Exchange::new(terms, names, upkeep, berths, config.discovery, log, handle);
        let hosts = endpoint_list(1, &[("one", primary.at, "active"), ("two", replica.at, "active")]);
        exchange.apply_endpoint_list(&serde_json::from_str(&hosts).expect("a list"));
        let listener = socket::listen(SocketAddr::from(([127, 0, 0, 1], 0)), 64).expect("a listener");
        let at = listener.local_addr().ok().and_then(|at| at.as_socket()).expect("an address");
        exchange.listener = Some(exchange.attend(listener, Party::Listener).expect("a place in the loop"));
        let mut stage = Stage { events, exchange, at, primary, replica };
        let mut client = stage.client();
        client.send(&read(0, 9000)).expect("a query");
        stage.arrival(|stage| &stage.replica).answer("first");
        stage.turns(Duration::from_millis(50));
        client.send(&write(1, 9000)).expect("a query");
        let second = stage.arrival(|stage| &stage.primary);
        // Writes that take most of the work leave the primary no part of the reads.
        stage.turns(Duration::from_millis(300));
        second.answer("second");
        stage.turns(Duration::from_millis(50));
        stage
    }

    fn turn(&mut self) {
        self.events.dispatch(Some(Duration::from_millis(2)), &mut self.exchange.readiness).expect("the loop");
        self.exchange.turn();
    }

    fn turns(&mut self, within: Duration) {
        let began = Instant::now();
        while began.elapsed() < within {
            self.turn();
        }
    }

    fn arrival(&mut self, host: impl Fn(&Stage) -> &ScriptedEndpoint) -> ReceivedStatement {
        let began = Instant::now();
        loop {
            self.turn();
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
        self.turns(Duration::from_millis(50));
        client
    }
}

/// The client is read, the turn is held up, the client goes, and in the same turn its statement is sent elsewhere: it was not
/// looked at again.
#[test]
fn a_further_execution_does_not_begin_for_a_client_that_goes_in_the_same_turn() {
    let mut stage = Stage::set();
    let mut client = stage.client();
    client.send(&read(7, 8000)).expect("a query");
    stage.arrival(|stage| &stage.replica).fail("53300");
    until_unread_from(stage.replica.at);
    let exchange = &mut stage.exchange;
    let busy = exchange.clients.iter().find(|(_, client)| matches!(client.session, Session::Busy(_)));
    let read_first = busy.map(|(id, _)| id).expect("a client whose statement is in hand");
    exchange.client_is_ready(read_first);
    let gone = client.socket.local_addr().expect("an address");
    drop(client);
    until_the_end_is_there(stage.at, gone);
    let carries = exchange.lines.iter().find(|(_, line)| matches!(line.load, Some(Load::Statement(_))));
    let line = carries.map(|(id, _)| id).expect("a connection that carries it");
    exchange.line_is_ready(line);
    exchange.carry_out();
    stage.turns(Duration::from_millis(100));
    assert!(stage.primary.next_within(Duration::from_millis(50)).is_none());
    assert_eq!(stage.exchange.breaches(), 0);
}

/// The clock is read, the router is held up, and a query is read and sent on: it told the time that was left before the delay.
#[test]
fn a_statement_tells_what_is_left_as_its_bytes_go() {
    let mut stage = Stage::set();
    let mut client = stage.client();
    let exchange = &mut stage.exchange;
    let (newest, _) =
        exchange.clients.iter().max_by(|a, b| a.1.begun.total_cmp(&b.1.begun)).expect("a client");
    exchange.turn();
    let sent = Instant::now();
    client.send(&read(7, 2000)).expect("a query");
    thread::sleep(HELD_UP);
    exchange.client_is_ready(newest);
    let arrival = stage.arrival(|stage| &stage.replica);
    let told = arrival.text.rsplit(",d=").next().and_then(|d| d.split(',').next()?.parse().ok());
    let told = Duration::from_millis(told.expect("a time left"));
    let waited = arrival.came.saturating_duration_since(sent);
    // Two thirds of the slack are left to a busy machine.
    assert!(told + waited <= Duration::from_millis(2100), "{told:?} {waited:?}");
}
