//! The event loop's handling of clients: accepts connections, passes statements to the routing module, sends answers.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use ottersill_routing::facade::RoutingEvent;
use ottersill_routing::fair_queue::{ACCEPT_WORK, ORDINARY_SHARE, SIDE_SHARE};
use ottersill_routing::statement_ids::IdConflict;
use ottersill_statement::classify::StatementKind;
use slog::info;

use crate::client::connection::ClientConnection;
use crate::client::pipelining::ReadAheadId;
use crate::client::{AcceptOutcome, ClientEvent, MAX_ACCEPTS_PER_WAKE};
use crate::event_loop::EventLoop;
use crate::in_flight::{InFlightRequest, RequestPhase};
use crate::reactor::Source;
use crate::statement_checker::{CheckContext, CheckedStatement, QueryError, Refusal};

impl EventLoop {
    /// Listens for clients. Returns the bound address, as the system chooses the port if `address` has port 0.
    ///
    /// # Errors
    /// If the address can't be bound, or the socket can't be registered at the event loop.
    pub fn listen(&mut self, address: SocketAddr, backlog: usize) -> io::Result<SocketAddr> {
        self.clients.listen(address, backlog, &mut self.context)
    }

    /// Handles readiness of the client listener. Returns the clients that were accepted.
    pub(super) fn on_listener_ready(&mut self) -> Vec<usize> {
        let (accepted, may_have_more) = self.accept_clients(MAX_ACCEPTS_PER_WAKE, ACCEPT_WORK);
        if may_have_more {
            self.context.wake(Source::Listener);
        } else {
            self.clients.close_listener_if_drained(&self.context);
        }
        accepted
    }

    /// Accepts clients: at most `limit`, and none after `work` units of work. Returns them, and whether more may be waiting.
    fn accept_clients(&mut self, limit: usize, work: u64) -> (Vec<usize>, bool) {
        let mut accepted = Vec::new();
        if !self.clients.begin_accepting(&mut self.context) {
            return (accepted, false);
        }
        for _ in 0..limit {
            if self.context.work.units() >= work {
                return (accepted, true);
            }
            let is_admitted = self.make_room_for_client();
            match self.clients.accept_next(is_admitted, &mut self.context) {
                AcceptOutcome::Client(id) => accepted.push(id),
                AcceptOutcome::Closed | AcceptOutcome::ConnectionFailed => {}
                AcceptOutcome::BacklogEmpty | AcceptOutcome::Delayed => return (accepted, false),
            }
        }
        (accepted, true)
    }

    /// Returns whether one more client can be accepted. Closes idle connections to make room.
    fn make_room_for_client(&mut self) -> bool {
        // Clients that have not sent a query yet are closed first, so that many of them can't displace the others.
        (self.clients.has_room() || self.close_idle_client(false) || self.close_idle_client(true))
            && (self.clients.len() + self.backends.len() + self.discovery.shared_descriptors()
                < self.limits.total
                || self.free_descriptor())
    }

    /// Closes idle connections of clients that have sent a query while there are too many such clients.
    pub(super) fn close_surplus_established(&mut self) {
        while self.clients.has_surplus_established() && self.close_idle_client(true) {}
    }

    /// Closes the client connection that has been idle for longest, among the clients that have sent a query (`has_queried`)
    /// or among those that have not. Returns false if there is none.
    fn close_idle_client(&mut self, has_queried: bool) -> bool {
        let criterion = self.clients.idle_criterion(has_queried, &self.context);
        for id in self.clients.idle_longest_first(criterion) {
            // Reads the connection once more: a statement that has arrived in the meantime keeps it open.
            self.read_client(id, SIDE_SHARE);
            if self.clients.close_if_idle(id, criterion, &mut self.context) {
                return true;
            }
        }
        false
    }

    /// Accepts the clients in the listen backlog, closes the listener, and from now on closes client connections once they are
    /// idle.
    pub fn drain(&mut self) {
        // A client whose connection the system has already established may have sent a statement, which counts as accepted.
        self.accept_clients(usize::MAX, u64::MAX);
        self.read_all_clients();
        self.clients.start_draining();
        self.clients.close_listener_if_drained(&self.context);
        // Once more, as statements that have arrived by now count as accepted.
        self.read_all_clients();
        self.run_routing_actions();
    }

    /// Reads all clients, and handles their messages in the order in which their input arrived.
    fn read_all_clients(&mut self) {
        let all: Vec<usize> = self.clients.iter().map(|(id, _)| id).collect();
        let received = self.clients.receive_all(&all, &mut self.context);
        let in_order = self.clients.hold_ids_in_order(received, &mut self.context);
        in_order.into_iter().for_each(|id| self.read_client(id, SIDE_SHARE));
    }

    /// Handles readiness of a client connection.
    pub fn on_client_ready(&mut self, id: usize) {
        self.read_client(id, ORDINARY_SHARE);
    }

    /// Reads a client connection and handles its messages, up to that many units of work.
    fn read_client(&mut self, id: usize, share: u64) {
        self.context.work.begin_share(share);
        let event = self.clients.on_ready(id, &mut self.context);
        self.on_client_event(id, event);
    }

    /// Handles the expired timer of a client connection.
    pub(super) fn on_client_timer(&mut self, id: usize) {
        if self.clients.on_timer(id, &mut self.context) {
            self.read_client(id, SIDE_SHARE);
            let event = self.clients.enforce_deadline(id, &mut self.context);
            self.on_client_event(id, event);
        }
    }

    /// Checks whether the client has closed its connection, which this iteration may not have read yet.
    pub(super) fn close_client_if_ended(&mut self, id: usize) {
        let event = self.clients.close_if_ended(id, &mut self.context);
        self.on_client_event(id, event);
    }

    /// Handles a client's event and the events that follow it, until a request of the client is in flight or no event is left.
    pub(super) fn on_client_event(&mut self, id: usize, event: Option<ClientEvent>) {
        let mut event = event;
        while let Some(next) = event {
            event = match next {
                ClientEvent::Statement { text, arrived_at, read_ahead_id } => {
                    self.on_statement(id, &text, arrived_at, read_ahead_id);
                    self.clients.next_event(id, &mut self.context)
                }
                ClientEvent::MemoryExhausted => {
                    self.clients.reject_without_memory(id, self.retry_after_seconds, &mut self.context);
                    self.clients.next_event(id, &mut self.context)
                }
                ClientEvent::Disconnected { request_id } => return self.abandon_request(request_id),
            };
        }
    }

    /// Checks a client's statement and passes it to the routing module. `arrived_at` is when its first byte arrived, in Unix
    /// seconds: the client's time limit starts there, however long the pipelined statements ahead of it took.
    fn on_statement(
        &mut self,
        client: usize,
        text: &Bytes,
        arrived_at: f64,
        read_ahead_id: Option<ReadAheadId>,
    ) {
        let check_context = CheckContext {
            endpoints: &self.endpoints,
            statement_ids: &self.statement_ids,
            read_ahead_id,
            is_admitted: self.clients.get(client).is_some_and(|client| client.is_admitted),
        };
        match self.statements.check(text, check_context, &mut self.context) {
            Ok(statement) => self.accept_statement(client, statement, arrived_at),
            Err(refusal) => self.refuse_statement(client, refusal),
        }
    }

    fn refuse_statement(&mut self, client: usize, refusal: Refusal) {
        let (clients, context) = (&mut self.clients, &mut self.context);
        match refusal {
            Refusal::Query(error) => clients.reject_query(client, error.code(), &error.to_string(), context),
            Refusal::Id { id, conflict } => self.refuse_duplicate(client, id, conflict),
            Refusal::NoEndpointList => clients.reject_without_list(client, self.retry_after_seconds, context),
            Refusal::NoDescriptor => clients.reject_without_descriptor(client, context),
        }
    }

    /// Refuses a statement whose id belongs to another one. Counts and logs it, as sound clients use each id once.
    fn refuse_duplicate(&mut self, client: usize, id: u64, conflict: IdConflict) {
        let error = QueryError::from(conflict);
        self.context.counters.duplicate_ids_refused += 1;
        if let Some(statements) = self.duplicate_ids.admit(self.context.now()) {
            let address = self.clients.get(client).and_then(ClientConnection::peer_address);
            info!(self.context.log, "statement refused"; "reason" => %error, "id" => format!("{id:x}"),
                "client" => ?address, "statements" => statements);
        }
        self.clients.reject_query(client, error.code(), &error.to_string(), &mut self.context);
    }

    fn accept_statement(&mut self, client: usize, statement: CheckedStatement, arrived_at: f64) {
        let own_deadline = arrived_at + statement.time_left;
        let deadline = self.clients.statement_deadline(client, own_deadline);
        let now = self.context.now();
        let seconds_since_write = statement.comment.after.map(|after| self.facade.since_commit(now, after));
        let request = statement.routing_request(deadline, now, seconds_since_write);
        let in_flight = InFlightRequest {
            phase: RequestPhase::Waiting,
            client,
            id: statement.comment.id,
            held_id: Some(statement.held_id),
            text: statement.text,
            cache_key: statement.info.key,
            arrived_at,
            deadline,
            may_write: statement.info.kind != StatementKind::Read,
            may_have_run: false,
        };
        self.context.counters.statements += 1;
        self.start_request(request, in_flight);
    }

    /// Registers a request as in flight, under the id that the routing module assigned.
    pub(super) fn register_request(&mut self, request_id: usize, request: InFlightRequest) {
        let client = request.client;
        self.requests.insert(request_id, request, &mut self.context.counters);
        self.clients.begin_request(client, request_id, &mut self.context);
    }

    /// Abandons a request whose client has disconnected.
    fn abandon_request(&mut self, request_id: usize) {
        let Some(request) = self.requests.get(request_id) else { return };
        if request.may_write && request.may_have_run {
            self.statement_ids.record_executed_write(self.context.now(), request.id);
        }
        let next = match request.phase {
            RequestPhase::AttemptInFlight(backend) => RequestPhase::Abandoned(backend),
            _ => RequestPhase::Vacant,
        };
        self.requests.transition(request_id, next, &mut self.context.counters);
        self.report(RoutingEvent::ClientGone(request_id));
        if let RequestPhase::Abandoned(backend) = next {
            // Nobody waits for the result any more: an attempt that is not fully sent is withdrawn.
            self.withdraw(backend);
        }
    }
}
