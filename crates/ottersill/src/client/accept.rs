//! Accepting client connections.

use std::io;
use std::net::SocketAddr;

use slog::warn;

use crate::client::connection::{ClientConnection, INCOMPLETE_INPUT_TIMEOUT, UnwatchedClient};
use crate::client::{Accepted, Clients};
use crate::protocol::socket;
use crate::protocol::socket_failure::AcceptFailure;
use crate::reactor::{Context, Source};
use crate::timers::Timer;

/// Seconds after which accepting is tried again for those who wait in the accept backlog.
const ACCEPT_RETRY_DELAY: f64 = 0.25;

impl Clients {
    /// Listens for clients; gives the address, as port 0 has the system choose one.
    ///
    /// # Errors
    /// If the address can't be had, or the system can't watch the socket.
    pub fn listen(
        &mut self,
        address: SocketAddr,
        backlog: usize,
        context: &mut Context,
    ) -> io::Result<SocketAddr> {
        let socket = socket::listen(address, backlog)?;
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

    /// The timer has expired after which accepting is tried again.
    pub fn on_listener_timer(&mut self, context: &mut Context) {
        self.listener.on_retry_timer();
        context.wake(Source::Listener);
    }

    /// Closes the listener of a router that drains once nobody waits there, as far as can be told.
    pub fn close_listener_if_drained(&mut self, context: &Context) {
        if self.is_draining && !self.listener.is_retrying() {
            self.listener.close(context);
        }
    }

    /// Those who wait are accepted from now on; false if the router does not listen.
    pub fn begin_accepting(&mut self, context: &mut Context) -> bool {
        self.listener.begin_accepting(context)
    }

    /// Accepts the next client. One for whom there is no room (`is_admitted` is false) is let in all the same, to be told so
    /// once its statement is read: an answer that leaves unread what the client sent is lost with the reset that this makes.
    pub fn accept_next(&mut self, is_admitted: bool, context: &mut Context) -> Accepted {
        if !self.has_descriptor(context) {
            // They stay in the accept backlog, where what they sent is kept, until a client leaves.
            return self.accept_later(context);
        }
        match self.listener.next_client(context.now()) {
            Ok(Some(next)) => self.add(next, is_admitted, context),
            Ok(None) => Accepted::NoneWaiting,
            Err(error) => {
                context.counters.accepts_failed += 1;
                if AcceptFailure::of(&error) == AcceptFailure::TakeNext && self.listener.may_take_next() {
                    return Accepted::Lost;
                }
                warn!(context.log, "accept failed"; "error" => %error);
                self.accept_later(context)
            }
        }
    }

    /// Has accepting tried again after a delay, as trying at once would keep the loop busy for nothing, and no readiness tells
    /// again of those who wait already.
    fn accept_later(&mut self, context: &mut Context) -> Accepted {
        self.listener.retry_at(context.now() + ACCEPT_RETRY_DELAY, context);
        Accepted::Delayed
    }

    /// Takes a client on. If the loop can't watch the connection for now, it is kept unread and tried again, and is closed once
    /// its time is over.
    fn add(&mut self, next: UnwatchedClient, is_admitted: bool, context: &mut Context) -> Accepted {
        let id = self.table.next_id();
        let deadline = next.since + INCOMPLETE_INPUT_TIMEOUT;
        match context.register_shared(&next.socket, Source::Client(id)) {
            Err(fault) if context.now() < deadline => {
                warn!(context.log, "client not registered yet"; "error" => %fault);
                self.listener.keep_unwatched(next);
                self.accept_later(context)
            }
            Err(_) => {
                context.counters.client_connections += 1;
                context.counters.client_connections_unwatched += 1;
                Accepted::Closed
            }
            Ok(token) => {
                context.counters.client_connections += 1;
                context.counters.client_connections_rejected += u64::from(!is_admitted);
                let timer = context.timers.set(deadline, Timer::Client(id));
                self.table.insert(ClientConnection::new(next, token, timer, is_admitted));
                Accepted::Client(id)
            }
        }
    }
}
