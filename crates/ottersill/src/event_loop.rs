//! The event loop: hands what became ready and which timers expired to the part that owns it, and carries out what the
//! routing module decides. Nothing here decides.

use std::io;
use std::rc::Rc;

use calloop::RegistrationToken;
use ottersill_config::deployment::{BackendTimeouts, Catalog};
use ottersill_routing::Router;
use ottersill_routing::facade::{Decision, Facade, PickRequest, RoutingAction, RoutingEvent};
use ottersill_routing::interface::{Request, RoutingConfig};
use ottersill_statement::fingerprint::Key;
use ottersill_statement::fingerprint_cache::FingerprintCache;
use slog::{Logger, info};
use socket2::Socket;

use crate::backend::table::BackendTable;
use crate::client::accept::ClientListener;
use crate::client::limits::ConnectionLimits;
use crate::client::table::ClientTable;
use crate::clock::LoopClock;
use crate::control::fleet_report::FleetReport;
use crate::control::server::ControlServer;
use crate::counters::Counters;
use crate::discovery::client::{DiscoveryClient, DiscoveryEvent};
use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::registry::EndpointRegistry;
use crate::fleet_link::error::FleetLinkError;
use crate::fleet_link::link::FleetLink;
use crate::in_flight::InFlightRequests;
use crate::reactor::{self, Context, ReactorHandle, Readiness, Source};
use crate::timers::{Timer, Timers};

/// How long before a time limit of a page something is done that has to be there by then; seconds. The time in which a
/// connection comes up is no measure for it: a customer's settings may give that any length.
pub const TIMING_MARGIN: f64 = 0.25;

/// The parts of a router, and what they share. Times are Unix seconds.
pub struct EventLoop {
    /// The routing module, which alone decides.
    pub(crate) facade: Facade,
    /// The requests in flight.
    pub(crate) requests: InFlightRequests,
    /// The endpoints that discovery has named.
    pub(crate) endpoints: EndpointRegistry,
    /// Client connections.
    pub(crate) clients: ClientTable,
    /// Backend connections.
    pub(crate) backends: BackendTable,
    /// Keeps the watch on discovery.
    discovery: DiscoveryClient,
    /// All timers that are set.
    pub(crate) timers: Timers,
    /// The link to the other routers; none without a fleet.
    pub(crate) fleet_link: Option<FleetLink>,
    /// Answers operators.
    control: ControlServer,
    /// What operators read.
    pub(crate) counters: Counters,
    /// What is known of statements by their fingerprint; keeps to its own budget of bytes.
    pub(crate) fingerprints: FingerprintCache,
    /// When the log last said why a statement was taken for one that may write.
    pub(crate) write_classification_logged_at: f64,
    /// Names and terms of the workloads.
    pub(crate) catalog: Catalog,
    /// Time limits of backend connections.
    pub(crate) timeouts: BackendTimeouts,
    /// Limits of connections and memory.
    pub(crate) limits: ConnectionLimits,
    /// Where log lines go.
    pub(crate) log: Logger,
    /// Registers and deregisters sockets.
    pub(crate) handle: ReactorHandle,
    /// The time of this iteration, and the clock itself.
    pub(crate) clock: LoopClock,
    /// When a client may come again that finds no endpoint list here; 0 where no time may be named.
    pub(crate) max_retry_after: f64,
    /// Where clients connect.
    pub(crate) listener: ClientListener,
    /// After SIGTERM and the time in which clients still come: connections are closed once they idle.
    pub(crate) is_draining: bool,
    /// What is accepted is answered by then; infinite, unless the router has been told to stop.
    pub(crate) answers_by: f64,
    /// What the event loop notes while it waits.
    pub(crate) readiness: Readiness,
}

impl EventLoop {
    /// Nothing is connected yet, and no endpoint is known.
    pub fn new(
        routing_config: RoutingConfig,
        catalog: Catalog,
        timeouts: BackendTimeouts,
        limits: ConnectionLimits,
        discovery: std::net::SocketAddr,
        log: Logger,
        handle: ReactorHandle,
    ) -> EventLoop {
        let clock = LoopClock::default();
        let now = clock.now();
        let max_retry_after = routing_config.max_retry_after;
        let typical_work = routing_config.workloads.iter().map(Router::typical).collect();
        let fingerprints = FingerprintCache::new(
            now,
            Key::from_seed(routing_config.seed),
            limits.fingerprint_bytes,
            typical_work,
        );
        EventLoop {
            facade: Facade::start(now, routing_config),
            requests: InFlightRequests::default(),
            endpoints: EndpointRegistry::new(catalog.sites.clone()),
            clients: ClientTable::default(),
            backends: BackendTable::default(),
            discovery: DiscoveryClient::new(discovery, timeouts.drain_grace),
            timers: Timers::default(),
            fleet_link: None,
            control: ControlServer::default(),
            counters: Counters::default(),
            fingerprints,
            write_classification_logged_at: 0.0,
            catalog,
            timeouts,
            limits,
            log,
            handle,
            clock,
            max_retry_after,
            listener: ClientListener::default(),
            is_draining: false,
            answers_by: f64::INFINITY,
            readiness: Readiness::default(),
        }
    }

    /// Where calloop's callbacks note what became ready, to be handed to its `dispatch`.
    pub fn readiness(&mut self) -> &mut Readiness {
        &mut self.readiness
    }

    /// All client connections.
    pub fn clients(&self) -> &ClientTable {
        &self.clients
    }

    /// All backend connections.
    pub fn backends(&self) -> &BackendTable {
        &self.backends
    }

    /// Has the loop tell when the socket becomes ready: once for each change, so that nothing needs to be asked
    /// for again; whoever leaves something unread says so by [`EventLoop::wake`].
    pub fn register(&self, socket: Socket, source: Source) -> io::Result<(Rc<Socket>, RegistrationToken)> {
        reactor::register(&self.handle, socket, source)
    }

    /// The same for a socket that the caller keeps where that fails: `ENOMEM` and `ENOSPC` may pass.
    pub fn register_shared(&self, socket: &Rc<Socket>, source: Source) -> io::Result<RegistrationToken> {
        reactor::register_shared(&self.handle, socket, source)
    }

    /// Has that source handled in the next iteration.
    pub fn wake(&mut self, source: Source) {
        self.readiness.wake(source);
    }

    /// When the next iteration is due though no socket becomes ready.
    pub fn next_at(&self) -> f64 {
        let next = if self.readiness.is_empty() { f64::INFINITY } else { self.clock.now() };
        self.timers.next_at().unwrap_or(f64::INFINITY).min(self.facade.wake_at()).min(next)
    }

    /// One iteration: handles what became ready, then the timers that have expired.
    pub fn poll_once(&mut self) {
        self.clock.begin_iteration();
        self.update_fleet_quota();
        for source in self.readiness.take() {
            self.on_ready(source);
            self.run_routing_actions();
        }
        while let Some(timer) = self.timers.expired(self.clock.now()) {
            self.on_timer(timer);
            self.run_routing_actions();
        }
        self.run_routing_actions();
        self.flush_fleet();
        self.clock.end_iteration();
    }

    fn on_ready(&mut self, source: Source) {
        match source {
            Source::Discovery => self.with_discovery(DiscoveryClient::on_ready),
            Source::Fleet => {
                self.on_fleet_ready();
                self.update_fleet_quota();
            }
            Source::Control => self.with_control(ControlServer::on_ready),
            Source::ControlClient(id) => {
                self.with_control(|control, report, context| control.on_client_ready(id, report, context));
            }
            Source::Backend(id) => self.on_backend_ready(id),
            Source::Client(id) => self.on_client_ready(id),
            Source::Listener => self.on_listener_ready(),
        }
    }

    fn on_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Discovery => self.with_discovery(DiscoveryClient::on_timer),
            Timer::Fleet => self.on_fleet_timer(),
            Timer::ControlClient(id) => {
                self.with_control(|control, _, context| control.close_client(id, context));
            }
            Timer::Control => self.wake(Source::Control),
            Timer::Listener => {
                self.listener.on_retry_timer();
                self.wake(Source::Listener);
            }
            Timer::Backend(id) => self.on_backend_timer(id),
            Timer::Client(id) => self.on_client_timer(id),
        }
    }

    /// Does what the routing module asks for, until it asks for nothing more.
    pub fn run_routing_actions(&mut self) {
        loop {
            let actions = self.facade.tick(self.clock.now());
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    RoutingAction::Pick(request_id) => {
                        let (request_id, choice) =
                            self.facade.pick(self.clock.now(), PickRequest::Waiting(request_id));
                        self.apply_decision(request_id, choice);
                    }
                    RoutingAction::CancelAttempt(request_id) => self.cancel_attempt(request_id),
                    RoutingAction::HealthCheck(endpoint) => self.start_health_check(endpoint),
                }
            }
        }
    }

    /// Hands a new request to the routing module; `inserted` is called with its number before the decision is carried out.
    pub fn start_request(&mut self, request: Request, inserted: impl FnOnce(&mut EventLoop, usize)) {
        let (request_id, choice) = self.facade.pick(self.clock.now(), PickRequest::New(request));
        inserted(self, request_id);
        self.apply_decision(request_id, choice);
    }

    fn apply_decision(&mut self, request_id: usize, choice: Decision) {
        match choice {
            Decision::Wait => {}
            Decision::Dispatch { endpoint, timeout } => self.start_attempt(request_id, endpoint, timeout),
            Decision::Reject { retry_after } => self.reject(request_id, retry_after),
            Decision::Abort => self.abort(request_id),
        }
    }

    /// Reports an event to the routing module.
    pub fn report(&mut self, event: RoutingEvent) {
        self.facade.report(self.clock.now(), event);
    }

    /// Has the discovery client do something, and carries out what it says.
    pub fn with_discovery(&mut self, step: impl FnOnce(&mut DiscoveryClient, &mut Context)) {
        let mut context = Context {
            now: self.clock.now(),
            handle: &self.handle,
            readiness: &mut self.readiness,
            timers: &mut self.timers,
            counters: &mut self.counters,
            log: &self.log,
        };
        step(&mut self.discovery, &mut context);
        while let Some(event) = self.discovery.poll_event() {
            match event {
                DiscoveryEvent::List(list) => self.apply_endpoint_list(&list),
                DiscoveryEvent::CallFailed => self.report(RoutingEvent::EndpointListFailed),
            }
        }
    }

    /// Takes over an endpoint list: tells the routing module what has changed, and withdraws what may no longer go out.
    pub fn apply_endpoint_list(&mut self, list: &EndpointList) {
        self.counters.endpoint_lists += 1;
        let change = self.endpoints.apply(list);
        for endpoint in change.readdressed {
            self.close_idle_backends_of(endpoint);
        }
        for listed in &change.updates {
            let name = self.endpoints.all[listed.endpoint].name.as_str();
            info!(self.log, "endpoint update"; "endpoint" => name, "state" => format!("{:?}", listed.state),
                "started_at" => listed.started_at.unwrap_or(0.0));
        }
        self.report(RoutingEvent::EndpointList(&change.updates));
        self.withdraw_disallowed();
    }

    /// Has the control listener do something.
    pub fn with_control(&mut self, step: impl FnOnce(&mut ControlServer, &FleetReport, &mut Context)) {
        let report = FleetReport {
            now: self.clock.read(),
            link: self.fleet_link.as_ref(),
            endpoints: &self.endpoints,
        };
        let mut context = Context {
            now: self.clock.now(),
            handle: &self.handle,
            readiness: &mut self.readiness,
            timers: &mut self.timers,
            counters: &mut self.counters,
            log: &self.log,
        };
        step(&mut self.control, &report, &mut context);
    }

    /// Answers operators where the fleet's configuration says so.
    ///
    /// # Errors
    /// If the address can't be had.
    pub fn open_control(&mut self) -> Result<(), FleetLinkError> {
        let Some(address) = self.fleet_link.as_ref().and_then(|link| link.file.control) else {
            return Ok(());
        };
        let mut opened = Ok(());
        self.with_control(|control, _, context| opened = control.open(address, context));
        opened.map_err(|source| FleetLinkError::ControlListener { address, source })?;
        info!(self.log, "control listener open"; "control" => %address);
        Ok(())
    }

    /// Accepts who waits in the accept backlog, closes the listener, and from now on closes client connections once they idle.
    pub fn drain(&mut self) {
        // Whose connection the system has accepted may have sent a statement, which then counts as accepted.
        self.accept_clients(usize::MAX);
        self.is_draining = true;
        self.close_listener_if_drained();
        self.close_idle_clients();
        self.run_routing_actions();
    }

    /// No client is connected, and none can connect.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty() && !self.listener.is_open()
    }

    /// Invariants that did not hold, wherever they are counted.
    pub fn invariant_violations(&self) -> u64 {
        self.counters.invariant_violations + self.facade.invariant_violations()
    }
}
