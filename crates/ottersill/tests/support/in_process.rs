//! An event loop that a test polls itself, iteration by iteration, on real connections, so that peers act between two steps.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ottersill::client::connection::ConnectionPhase;
use ottersill::event_loop::EventLoop;
use ottersill::lifecycle::config::Config;
use ottersill::reactor::Reactor;
use ottersill_testkit::scripted_peer::{ReceivedStatement, ScriptedEndpoint, endpoint_list};
use ottersill_testkit::stand_in::Client;
use slog::{Discard, Logger, o};

use super::{LONG_SLO_TIME, LONG_STATEMENT_TIMEOUT, TIMEOUT, config_text, read, write};

/// Clients that may wait in the listen backlog.
const BACKLOG: usize = 512;

/// An event loop between a primary and a replica, without discovery.
pub struct InProcessRouter {
    pub events: Reactor,
    pub event_loop: EventLoop,
    pub address: SocketAddr,
    pub primary: ScriptedEndpoint,
    pub replica: ScriptedEndpoint,
}

impl InProcessRouter {
    /// Starts a router that knows the roles of its endpoints and has a connection to each.
    pub fn start() -> InProcessRouter {
        InProcessRouter::start_with(&[])
    }

    /// Like [`start`](Self::start), with parts of the configuration replaced.
    pub fn start_with(replaced: &[(&str, &str)]) -> InProcessRouter {
        let (primary, replica) = (
            ScriptedEndpoint::start(true).expect("endpoint did not start"),
            ScriptedEndpoint::start(false).expect("endpoint did not start"),
        );
        // No discovery service listens there.
        let replaced = [&[LONG_STATEMENT_TIMEOUT, LONG_SLO_TIME], replaced].concat();
        let text = config_text(SocketAddr::from(([127, 0, 0, 1], 1)), &replaced);
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
        let address =
            event_loop.listen(SocketAddr::from(([127, 0, 0, 1], 0)), BACKLOG).expect("listen failed");
        let mut router = InProcessRouter { events, event_loop, address, primary, replica };
        let mut client = router.client();
        client.send(&read(0, 9000)).expect("query could not be sent");
        router.next_statement(|router| &router.replica).answer("first");
        router.poll_for(Duration::from_millis(50));
        client.send(&write(1, 9000)).expect("query could not be sent");
        let second = router.next_statement(|router| &router.primary);
        // The write takes most of the work, so the primary gets no fraction of the reads.
        router.poll_for(Duration::from_millis(300));
        second.answer("second");
        router.poll_for(Duration::from_millis(50));
        router
    }

    /// Waits for events for a short time and runs one iteration.
    pub fn poll_once(&mut self) {
        self.events
            .dispatch(Some(Duration::from_millis(2)), self.event_loop.readiness())
            .expect("event loop failed");
        self.event_loop.poll_once();
    }

    /// Polls for that long.
    pub fn poll_for(&mut self, within: Duration) {
        self.poll_until_or_timeout(within, |_| false);
    }

    /// Polls until the condition holds.
    pub fn poll_until(&mut self, what: &str, holds: impl FnMut(&mut InProcessRouter) -> bool) {
        assert!(self.poll_until_or_timeout(TIMEOUT, holds), "not within {TIMEOUT:?}: {what}");
    }

    fn poll_until_or_timeout(
        &mut self,
        timeout: Duration,
        mut holds: impl FnMut(&mut InProcessRouter) -> bool,
    ) -> bool {
        let started = Instant::now();
        while started.elapsed() < timeout {
            self.poll_once();
            if holds(self) {
                return true;
            }
        }
        false
    }

    /// Polls until the endpoint receives a statement.
    pub fn next_statement(
        &mut self,
        endpoint: impl Fn(&InProcessRouter) -> &ScriptedEndpoint,
    ) -> ReceivedStatement {
        let mut received = None;
        self.poll_until("the endpoint receives a statement", |router| {
            received = endpoint(router).next_within(Duration::from_millis(1));
            received.is_some()
        });
        received.expect("the wait ends with a statement")
    }

    /// Returns whether a statement of that client is in flight.
    pub fn is_busy(&self, client: &Client) -> bool {
        let address = client.socket.local_addr().expect("no address");
        self.event_loop.clients().iter().any(|(_, connection)| {
            connection.peer_address() == Some(address) && matches!(connection.phase, ConnectionPhase::Busy(_))
        })
    }

    /// Connects a client and polls until it has been greeted.
    pub fn client(&mut self) -> Client {
        let client = self.connect();
        self.poll_for(Duration::from_millis(50));
        client
    }

    /// Connects a client, without polling.
    pub fn connect(&self) -> Client {
        let client = Client::connect(self.address).expect("connection failed");
        client.socket.set_read_timeout(Some(TIMEOUT)).expect("read timeout could not be set");
        client
    }
}
