//! Accepting client connections.

use std::io;
use std::net::SocketAddr;

use slog::{info, warn};

use crate::client::connection::{ClientConnection, INCOMPLETE_INPUT_TIMEOUT_SECONDS, UnwatchedClient};
use crate::client::{AcceptOutcome, Clients};
use crate::protocol::receive::record_arrivals;
use crate::protocol::socket;
use crate::protocol::socket_failure::AcceptFailure;
use crate::reactor::{Context, Source};
use crate::timers::Timer;

/// Delay before accepting is retried for clients that wait in the accept backlog.
const ACCEPT_RETRY_DELAY_SECONDS: f64 = 0.25;

impl Clients {
    /// Listens for clients and returns the bound address: with port 0 the system chooses the port.
    ///
    /// # Errors
    /// If the address cannot be bound, or the event loop cannot register the socket.
    pub fn listen(
        &mut self,
        address: SocketAddr,
        backlog: usize,
        context: &mut Context,
    ) -> io::Result<SocketAddr> {
        let socket = socket::listen(address, backlog)?;
        if let Err(error) = record_arrivals(&socket) {
            info!(context.log, "arrivals of bytes are estimated"; "error" => %error);
        }
        let bound_to = socket.local_addr()?.as_socket().unwrap_or(address);
        let (socket, token) = context.register(socket, Source::Listener)?;
        self.listener.open(socket, token);
        context.wake(Source::Listener);
        Ok(bound_to)
    }

    /// Whether clients can connect.
    pub fn is_listening(&self) -> bool {
        self.listener.is_open()
    }

    /// Handles the expiry of the retry timer: accepting is retried in the next iteration.
    pub fn on_listener_timer(&mut self, context: &mut Context) {
        self.listener.on_retry_timer();
        context.wake(Source::Listener);
    }

    /// Closes the listener of a draining router, unless clients are known to wait in the accept backlog.
    pub fn close_listener_if_drained(&mut self, context: &Context) {
        if self.is_draining && !self.listener.is_retrying() {
            self.listener.close(context);
        }
    }

    /// Prepares a series of [`accept_next`](Self::accept_next) calls; returns false if the router does not listen.
    pub fn begin_accepting(&mut self, context: &mut Context) -> bool {
        self.listener.begin_accepting(context)
    }

    /// Accepts the next client. A client for which there is no room (`is_admitted` is false) is accepted as well, and is
    /// rejected only after its statement has been read: closing a socket with unread input resets the connection, and the
    /// reset would discard the rejection.
    pub fn accept_next(&mut self, is_admitted: bool, context: &mut Context) -> AcceptOutcome {
        if !self.has_descriptor(context) {
            // Waiting clients stay in the accept backlog, which keeps what they have sent, until another client disconnects.
            return self.accept_later(context);
        }
        match self.listener.next_client(context.now()) {
            Ok(Some(next)) => {
                context.work.count_message(0);
                self.add(next, is_admitted, context)
            }
            Ok(None) => AcceptOutcome::BacklogEmpty,
            Err(error) => {
                context.counters.accepts_failed += 1;
                if AcceptFailure::of(&error) == AcceptFailure::TakeNext && self.listener.may_accept_next() {
                    return AcceptOutcome::ConnectionFailed;
                }
                warn!(context.log, "accept failed"; "error" => %error);
                self.accept_later(context)
            }
        }
    }

    /// Schedules a retry of accepting. An immediate retry would busy-loop, and the edge-triggered event loop does not report
    /// clients again that already wait in the accept backlog.
    fn accept_later(&mut self, context: &mut Context) -> AcceptOutcome {
        self.listener.retry_at(context.now() + ACCEPT_RETRY_DELAY_SECONDS, context);
        AcceptOutcome::Delayed
    }

    /// Adds a client to the table. If the event loop cannot register its socket for now, the connection is kept unread and
    /// registration is retried; after its deadline the connection is closed.
    fn add(&mut self, next: UnwatchedClient, is_admitted: bool, context: &mut Context) -> AcceptOutcome {
        let id = self.table.next_id();
        let deadline = next.accepted_at + INCOMPLETE_INPUT_TIMEOUT_SECONDS;
        match context.register_shared(&next.socket, Source::Client(id)) {
            Err(fault) if context.now() < deadline => {
                warn!(context.log, "client not registered yet"; "error" => %fault);
                self.listener.keep_unwatched(next);
                self.accept_later(context)
            }
            Err(_) => {
                context.counters.client_connections += 1;
                context.counters.client_connections_unwatched += 1;
                AcceptOutcome::Closed
            }
            Ok(token) => {
                context.counters.client_connections += 1;
                context.counters.client_connections_rejected += u64::from(!is_admitted);
                let timer = context.timers.set(deadline, Timer::Client(id));
                self.table.insert(ClientConnection::new(next, token, timer, is_admitted));
                AcceptOutcome::Client(id)
            }
        }
    }
}
