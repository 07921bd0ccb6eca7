//! What the event loop does for clients: accepts them, hands their statements to the routing module, answers them.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use ottersill_routing::facade::RoutingEvent;

use crate::client::answers::rejection;
use crate::client::{Accepted, ClientEvent, MAX_ACCEPTS_PER_WAKE};
use crate::event_loop::EventLoop;
use crate::in_flight::{InFlightRequest, RequestPhase};
use crate::protocol::frame;
use crate::protocol::frame::ErrorCode;
use crate::reactor::Source;
use crate::statement_checker::{CheckedStatement, Refusal, Surroundings};

impl EventLoop {
    /// Listens for clients; gives the address, as port 0 has the system choose one.
    ///
    /// # Errors
    /// If the address can't be had, or the system can't watch the socket.
    pub fn listen(&mut self, address: SocketAddr, backlog: usize) -> io::Result<SocketAddr> {
        self.clients.listen(address, backlog, &mut self.context)
    }

    /// The listener became ready.
    pub(super) fn on_listener_ready(&mut self) {
        if self.accept_clients(MAX_ACCEPTS_PER_WAKE) {
            self.context.wake(Source::Listener);
        } else {
            self.clients.close_listener_if_drained(&self.context);
        }
    }

    /// Accepts at most so many; true if more may be waiting.
    fn accept_clients(&mut self, most: usize) -> bool {
        if !self.clients.begin_accepting(&mut self.context) {
            return false;
        }
        for _ in 0..most {
            let is_admitted = self.make_room_for_client();
            match self.clients.accept_next(is_admitted, &mut self.context) {
                Accepted::Client(id) => {
                    self.on_client_ready(id);
                    self.close_surplus_established();
                }
                Accepted::Closed => self.close_surplus_established(),
                Accepted::Lost => {}
                Accepted::NoneWaiting | Accepted::Delayed => return false,
            }
        }
        true
    }

    /// Whether one more client can be taken on; makes room by ending what idles.
    fn make_room_for_client(&mut self) -> bool {
        // Who has said nothing yet goes first: many of those must not cost the others their connections.
        (self.clients.has_room() || self.close_idle_client(false) || self.close_idle_client(true))
            && (self.clients.len() + self.backends.len() < self.limits.total
                || self.clients.close_one_lingering(&mut self.context)
                || self.backends.close_longest_idle(&mut self.context))
    }

    /// Closes idle connections of clients that have queried, as far as there are too many of those.
    fn close_surplus_established(&mut self) {
        while self.clients.has_surplus_established() && self.close_idle_client(true) {}
    }

    /// Closes the connection that has stood idle for longest, of the clients that have asked, or that have not.
    fn close_idle_client(&mut self, asked: bool) -> bool {
        let criterion = self.clients.idle_criterion(asked, &self.context);
        for id in self.clients.idle_longest_first(criterion) {
            // A last look: what has come meanwhile is taken in instead.
            self.on_client_ready(id);
            if self.clients.close_if_idle(id, criterion, &mut self.context) {
                return true;
            }
        }
        false
    }

    /// Accepts who waits in the accept backlog, closes the listener, and from now on closes client connections once they idle.
    pub fn drain(&mut self) {
        // Whose connection the system has accepted may have sent a statement, which then counts as accepted.
        self.accept_clients(usize::MAX);
        self.clients.start_draining();
        self.clients.close_listener_if_drained(&self.context);
        let all: Vec<usize> = self.clients.iter().map(|(id, _)| id).collect();
        // Each gets a last look, as what has come by now counts as taken.
        all.into_iter().for_each(|id| self.on_client_ready(id));
        self.run_routing_actions();
    }

    /// A client connection became ready.
    pub fn on_client_ready(&mut self, id: usize) {
        let event = self.clients.on_ready(id, &mut self.context);
        self.on_client_event(id, event);
    }

    /// The timer of a client connection has expired.
    pub(super) fn on_client_timer(&mut self, id: usize) {
        if self.clients.on_timer(id, &mut self.context) {
            self.on_client_ready(id);
            let event = self.clients.enforce_deadline(id, &mut self.context);
            self.on_client_event(id, event);
        }
    }

    /// Looks for the client's end, which may not have had its turn to be read.
    pub(super) fn close_client_if_ended(&mut self, id: usize) {
        let event = self.clients.close_if_ended(id, &mut self.context);
        self.on_client_event(id, event);
    }

    /// Does what a client asks for, and what it asks for next, until a request of it is in flight or nothing more is there.
    fn on_client_event(&mut self, id: usize, event: Option<ClientEvent>) {
        let mut event = event;
        while let Some(next) = event {
            event = match next {
                ClientEvent::Statement { text, arrived_at } => {
                    self.on_statement(id, &text, arrived_at);
                    self.clients.next_event(id, &mut self.context)
                }
                ClientEvent::Left { request_id } => return self.abandon_request(request_id),
            };
        }
    }

    /// Checks a statement of a client, and hands it to the routing module. `arrived_at` is when its first byte came: the client
    /// counts from there, however long those ahead of it took.
    fn on_statement(&mut self, client: usize, text: &Bytes, arrived_at: f64) {
        let surroundings = Surroundings {
            endpoints: &self.endpoints,
            requests: &self.requests,
            is_admitted: self.clients.get(client).is_some_and(|client| client.is_admitted),
        };
        match self.statements.check(text, &surroundings, &mut self.context) {
            Ok(statement) => self.accept_statement(client, statement, arrived_at),
            Err(refusal) => self.refuse_statement(client, refusal),
        }
    }

    fn refuse_statement(&mut self, client: usize, refusal: Refusal) {
        let (clients, context) = (&mut self.clients, &mut self.context);
        match refusal {
            Refusal::Query(error) => clients.reject_query(client, error.code(), &error.to_string(), context),
            Refusal::NoEndpointList => clients.reject_without_list(client, self.max_retry_after, context),
            Refusal::NoDescriptor => clients.reject_without_descriptor(client, context),
        }
    }

    fn accept_statement(&mut self, client: usize, statement: CheckedStatement, arrived_at: f64) {
        let own_deadline = arrived_at + statement.time_left;
        let deadline = self.clients.statement_deadline(client, own_deadline, &self.context);
        let now = self.context.now();
        let since_write = statement.comment.after.map(|after| self.facade.since_commit(now, after));
        let request = statement.routing_request(deadline, now, since_write);
        let in_flight = InFlightRequest {
            phase: RequestPhase::Waiting,
            client,
            id: statement.comment.id,
            text: statement.text,
            cache_key: statement.info.key,
            deadline,
            may_have_run: false,
        };
        self.context.counters.statements += 1;
        self.start_request(request, in_flight);
    }

    /// A request is in flight from now on, under the number that the routing module gave it.
    pub(super) fn enter_request(&mut self, request_id: usize, request: InFlightRequest) {
        let (client, statement_bytes) = (request.client, request.text.len());
        self.requests.insert(request_id, request, &mut self.context.counters);
        self.clients.begin_request(client, request_id, statement_bytes, &mut self.context);
    }

    /// The client of a request has left.
    fn abandon_request(&mut self, request_id: usize) {
        let Some(request) = self.requests.get(request_id) else { return };
        let next = match request.phase {
            RequestPhase::Executing(backend) => RequestPhase::Abandoned(backend),
            _ => RequestPhase::Vacant,
        };
        self.requests.transition(request_id, next, &mut self.context.counters);
        self.report(RoutingEvent::ClientGone(request_id));
        if let RequestPhase::Abandoned(backend) = next {
            // Nobody waits for it any more: what is not on its way stays here.
            self.withdraw(backend);
        }
    }

    /// Answers a request with the result of an endpoint.
    pub(super) fn complete(&mut self, request_id: usize, [description, row, complete]: [Bytes; 3]) {
        self.context.counters.completed += 1;
        self.answer(request_id, [description, row, complete, frame::READY_FOR_QUERY.clone()]);
    }

    /// Answers a request by a rejection, with when to come again, in seconds; 0 for no such time.
    pub(super) fn reject(&mut self, request_id: usize, retry_after: f64) {
        self.context.counters.rejected += 1;
        let error = rejection(retry_after, "rejected: nothing ran");
        self.answer(request_id, [error, frame::READY_FOR_QUERY.clone()]);
    }

    /// Answers a request by an abort.
    pub(super) fn abort(&mut self, request_id: usize) {
        self.context.counters.aborted += 1;
        let error = frame::error("ERROR", ErrorCode::CompletionUnknown, "aborted: it may have run", None);
        self.answer(request_id, [error, frame::READY_FOR_QUERY.clone()]);
    }

    /// The one final answer of a request that is not abandoned.
    fn answer<const N: usize>(&mut self, request_id: usize, slices: [Bytes; N]) {
        let Some(request) = self.requests.get(request_id) else { return };
        let client = request.client;
        self.requests.transition(request_id, RequestPhase::Vacant, &mut self.context.counters);
        self.clients.answer(client, slices, &mut self.context);
    }
}
