//! The event loop: dispatches ready sockets and expired timers to the components that own them, and carries out the
//! decisions of the routing module. It makes no routing decisions itself.

mod answers;
mod attempts;
mod clients;
mod discovery;
mod fleet;
mod outcomes;

use ottersill_config::deployment::{BackendTimeouts, DeploymentNames};
use ottersill_routing::facade::{Decision, Facade, PickRequest, RoutingAction, RoutingEvent};
use ottersill_routing::fair_queue::FairQueue;
use ottersill_routing::interface::{Request, RoutingConfig};
use ottersill_routing::statement_ids::StatementIds;
use slog::{Logger, info};

use crate::backend::Backends;
use crate::client::Clients;
use crate::client::connection_limits::ConnectionLimits;
use crate::client::receiving::ReceivedClient;
use crate::clock::milliseconds;
use crate::control::server::ControlServer;
use crate::discovery::client::DiscoveryClient;
use crate::discovery::registry::EndpointRegistry;
use crate::fleet_link::FleetLink;
use crate::in_flight::{InFlightRequest, InFlightRequests};
use crate::log_throttle::LogThrottle;
use crate::loop_statistics::SourceKind;
use crate::reactor::{Context, ReactorHandle, Readiness, Source};
use crate::statement_checker::StatementChecker;
use crate::timers::Timer;

/// Timers handled in one iteration, so that many that expire together do not delay the sources that are ready.
const MAX_TIMERS_PER_ITERATION: usize = 32;

/// The components of a router and the state that they share. Times are Unix seconds.
pub struct EventLoop {
    /// The routing module, which makes all routing decisions.
    facade: Facade,
    /// The requests in flight.
    requests: InFlightRequests,
    /// The ids of all statements.
    statement_ids: StatementIds,
    /// The endpoints known from discovery.
    endpoints: EndpointRegistry,
    /// Client connections.
    clients: Clients,
    /// Backend connections.
    backends: Backends,
    /// Watches the endpoint list of the discovery service.
    discovery: DiscoveryClient,
    /// The link to the other routers; `None` without a fleet.
    fleet_link: Option<FleetLink>,
    /// Answers the queries of operators.
    control: ControlServer,
    /// Validates and classifies statements, and caches what is known about their fingerprints.
    statements: StatementChecker,
    /// Limits on connections and memory.
    limits: ConnectionLimits,
    /// When the visit to the present source began, in Unix seconds: as the one before ended.
    visit_began_at: f64,
    /// The sources that wait to be handled.
    sources: FairQueue<Source>,
    /// State that all components share: clock, timers, counters, log, registration of sockets.
    context: Context,
    /// The retry delay sent to clients that are rejected because no endpoint list has arrived, in seconds; 0 sends none.
    retry_after_seconds: f64,
    /// Limits the log lines about late answers.
    late_answers: LogThrottle,
    /// Limits the log lines about statements refused for their ids.
    duplicate_ids: LogThrottle,
    /// Limits the log lines about requests that are answered without a result.
    unserved_requests: LogThrottle,
}

impl EventLoop {
    /// Creates an event loop without connections and without known endpoints.
    pub fn new(
        routing_config: RoutingConfig,
        names: DeploymentNames,
        timeouts: BackendTimeouts,
        limits: ConnectionLimits,
        discovery: std::net::SocketAddr,
        log: Logger,
        handle: ReactorHandle,
    ) -> EventLoop {
        let context = Context::new(handle, log);
        let now = context.now();
        let retry_after_seconds = routing_config.max_retry_after;
        let statement_ids = StatementIds::default();
        EventLoop {
            requests: InFlightRequests::default(),
            endpoints: EndpointRegistry::new(names.sites.clone()),
            statements: StatementChecker::new(now, names, &routing_config, limits.fingerprint_bytes),
            clients: Clients::new(limits, statement_ids.clone()),
            statement_ids,
            backends: Backends::new(timeouts),
            discovery: DiscoveryClient::new(discovery, timeouts.drain_grace),
            fleet_link: None,
            control: ControlServer::default(),
            limits,
            visit_began_at: now,
            sources: FairQueue::default(),
            context,
            retry_after_seconds,
            late_answers: LogThrottle::default(),
            duplicate_ids: LogThrottle::default(),
            unserved_requests: LogThrottle::default(),
            facade: Facade::start(now, routing_config),
        }
    }

    /// Returns the data to pass to calloop's `dispatch`, in which its callbacks record which sources became ready.
    pub fn readiness(&mut self) -> &mut Readiness {
        self.context.readiness()
    }

    /// Returns all client connections.
    pub fn clients(&self) -> &Clients {
        &self.clients
    }

    /// Returns all backend connections.
    pub fn backends(&self) -> &Backends {
        &self.backends
    }

    /// Returns when the next iteration is due even if no socket becomes ready, in Unix seconds.
    pub fn next_iteration_at(&self) -> f64 {
        let queued = if self.sources.is_empty() { f64::INFINITY } else { self.context.now() };
        self.context.next_at().min(self.facade.wake_at()).min(queued)
    }

    /// Runs one iteration: handles the sources that became ready, then the timers that have expired.
    pub fn poll_once(&mut self) {
        self.context.clock.begin_iteration();
        self.update_fleet_quota();
        self.visit_began_at = self.context.now();
        let has_accepted = self.queue_ready_sources();
        while let Some(source) = self.sources.pop() {
            let work = self.visit(source.kind(), |event_loop| event_loop.on_ready(source));
            self.sources.record_work(source, source.urgency(), work);
        }
        if has_accepted {
            self.close_surplus_established();
        }
        self.handle_expired_timers();
        self.run_routing_actions();
        self.flush_fleet();
        let seconds = self.context.clock.end_iteration();
        self.context.statistics.record_iteration(seconds);
    }

    /// Begins a round of the sources, and queues those that have become ready or were woken. Clients are read and accepted
    /// before, so that they are queued in the order in which their input arrived. Returns whether clients were accepted.
    fn queue_ready_sources(&mut self) -> bool {
        self.sources.begin_round();
        self.context.statistics.record_waiting(self.sources.len());
        let (clients, others): (Vec<Source>, Vec<Source>) = self
            .context
            .readiness()
            .take()
            .into_iter()
            .partition(|source| matches!(source, Source::Client(_)));
        let mut received = self.receive_ready_clients(&clients);
        let mut has_accepted = false;
        for source in others {
            if source == Source::Listener {
                let accepted = self.receive_new_clients();
                has_accepted = !accepted.is_empty();
                received.extend(accepted);
            } else {
                self.sources.push(source, source.urgency());
            }
        }
        self.queue_clients(received);
        has_accepted
    }

    /// Holds the ids of statements, and queues their clients, in the order in which the statements arrived.
    fn queue_clients(&mut self, received: Vec<ReceivedClient>) {
        if received.is_empty() {
            return;
        }
        let mut in_order = Vec::new();
        self.visit(SourceKind::Client, |event_loop| {
            in_order = event_loop.clients.hold_ids_in_order(received, &mut event_loop.context);
        });
        for source in in_order.into_iter().map(Source::Client) {
            self.sources.push(source, source.urgency());
        }
    }

    /// Reads the clients that are ready. Those that have ended their connections are closed, so that they make room for others.
    fn receive_ready_clients(&mut self, sources: &[Source]) -> Vec<ReceivedClient> {
        let mut received = Vec::new();
        for source in sources {
            let Source::Client(id) = *source else { continue };
            self.clients.note_ready(id, self.context.clock.earliest_arrival_at());
            let client = self.clients.receive_all(&[id], &mut self.context);
            let event = self.clients.close_if_received_end(id, &mut self.context);
            self.on_client_event(id, event);
            if self.clients.get(id).is_some() {
                received.extend(client);
            }
        }
        received
    }

    /// Accepts clients and reads them.
    fn receive_new_clients(&mut self) -> Vec<ReceivedClient> {
        let mut accepted = Vec::new();
        self.visit(SourceKind::Listener, |event_loop| accepted = event_loop.on_listener_ready());
        self.clients.receive_all(&accepted, &mut self.context)
    }

    /// Handles expired timers, as many as one iteration may.
    fn handle_expired_timers(&mut self) {
        for _ in 0..MAX_TIMERS_PER_ITERATION {
            let Some(timer) = self.context.timers.expired(self.context.now()) else { return };
            self.visit(SourceKind::Timer, |event_loop| event_loop.on_timer(timer));
        }
    }

    /// Handles one source or timer and the routing actions that follow. Records the work and the time, and returns the work.
    fn visit(&mut self, kind: SourceKind, handle: impl FnOnce(&mut EventLoop)) -> u64 {
        handle(self);
        self.run_routing_actions();
        let (messages, work) = self.context.work.end_visit();
        let ended_at = self.context.clock.read();
        self.context.statistics.record_visit(kind, messages, ended_at - self.visit_began_at);
        self.visit_began_at = ended_at;
        work
    }

    fn on_ready(&mut self, source: Source) {
        match source {
            Source::Discovery => self.on_discovery_ready(),
            Source::Fleet => self.on_fleet_ready(),
            Source::Control => self.with_control(ControlServer::on_ready),
            Source::ControlClient(id) => {
                self.with_control(|control, report, context| control.on_client_ready(id, report, context));
            }
            Source::Backend(id) => self.on_backend_ready(id),
            Source::Client(id) => self.on_client_ready(id),
            // Handled before the sources are queued.
            Source::Listener => {}
        }
    }

    fn on_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Discovery => self.on_discovery_timer(),
            Timer::Fleet => self.on_fleet_timer(),
            Timer::ControlClient(id) => {
                self.with_control(|control, _, context| control.close_client(id, context));
            }
            Timer::Control => self.context.wake(Source::Control),
            Timer::Listener => self.clients.on_listener_timer(&mut self.context),
            Timer::Backend(id) => self.on_backend_timer(id),
            Timer::Client(id) => self.on_client_timer(id),
        }
    }

    /// Carries out the actions that the routing module requests, until it requests no more.
    pub fn run_routing_actions(&mut self) {
        loop {
            let actions = self.facade.tick(self.context.now());
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    RoutingAction::Pick(request_id) => {
                        let (request_id, decision) =
                            self.facade.pick(self.context.now(), PickRequest::Waiting(request_id));
                        self.apply_decision(request_id, decision);
                    }
                    RoutingAction::CancelAttempt(request_id) => self.cancel_attempt(request_id),
                    RoutingAction::HealthCheck(endpoint) => self.start_health_check(endpoint),
                }
            }
        }
    }

    /// Passes a new request to the routing module; the request is in flight from then on.
    fn start_request(&mut self, request: Request, in_flight: InFlightRequest) {
        let (request_id, decision) = self.facade.pick(self.context.now(), PickRequest::New(request));
        self.register_request(request_id, in_flight);
        self.apply_decision(request_id, decision);
    }

    fn apply_decision(&mut self, request_id: usize, decision: Decision) {
        match decision {
            Decision::Wait => {}
            Decision::Dispatch { endpoint, timeout } => self.start_attempt(request_id, endpoint, timeout),
            Decision::Reject { retry_after } => self.reject(request_id, retry_after),
            Decision::Abort => self.abort(request_id),
        }
    }

    /// Reports an event to the routing module.
    pub fn report(&mut self, event: RoutingEvent) {
        self.facade.report(self.context.now(), event);
    }

    /// Returns the state that all components share: clock, timers, counters, log, registration of sockets.
    pub fn context(&mut self) -> &mut Context {
        &mut self.context
    }

    /// Returns the number of known endpoints.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns the number of requests in flight.
    pub fn requests_in_flight(&self) -> usize {
        self.requests.count()
    }

    /// Sets the time, in Unix seconds, by which all accepted statements have to be answered.
    pub fn set_answer_deadline(&mut self, answer_deadline: f64) {
        self.clients.set_answer_deadline(answer_deadline);
    }

    /// Writes all counters to the log.
    pub fn log_counters(&self) {
        let log = &self.context.log;
        self.statements.log_counters(log);
        info!(log, "counters: {}", self.context.counters; "invariant_violations_total" => self.invariant_violations(),
            "client_connections_open" => self.clients.len(), "backend_connections_open" => self.backends.len(),
            "statements_in_flight" => self.requests.count(), "statement_ids_held" => self.statement_ids.held(),
            "executed_write_ids_kept" => self.statement_ids.executed_writes(),
            "statement_bytes_stored" => self.clients.stored_statement_bytes(),
            "discovery_calls_open" => self.discovery.open_calls(),
            "discovery_response_expected_ms" => milliseconds(self.discovery.expected_response_seconds()),
            "endpoint_list_age_ms" => self.endpoint_list_age_ms());
        info!(log, "event loop: {}", self.context.statistics);
    }

    /// Returns how long ago discovery last sent a list that is not older than the one in use; none before the first.
    fn endpoint_list_age_ms(&self) -> Option<u64> {
        let listed_at = self.discovery.listed_at()?;
        Some(milliseconds(self.context.now() - listed_at))
    }

    /// Returns whether no client is connected and none can connect.
    pub fn has_no_clients(&self) -> bool {
        self.clients.is_empty() && !self.clients.is_listening()
    }

    /// Returns the number of invariant violations counted by the event loop and the routing module.
    pub fn invariant_violations(&self) -> u64 {
        self.context.counters.invariant_violations
            + self.facade.invariant_violations()
            + self.discovery.invariant_violations()
    }
}
