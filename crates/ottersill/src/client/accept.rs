//! Accepting client connections, and the listener for them.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use calloop::RegistrationToken;
use slog::warn;
use socket2::Socket;

use crate::client::connection::{ClientConnection, UnwatchedClient};
use crate::client::session::INCOMPLETE_INPUT_TIMEOUT;
use crate::event_loop::EventLoop;
use crate::protocol::socket;
use crate::protocol::socket_failure::AcceptFailure;
use crate::reactor::{Context, Source};
use crate::timers::{Timer, TimerHandle, Timers};

/// Accepted in one iteration of the loop, so that many new connections hold up no answer.
const MAX_ACCEPTS_PER_WAKE: usize = 64;

/// So many failures of single connections in one iteration are taken for one of the listener, which would go on for ever.
const MAX_ACCEPT_FAILURES: usize = MAX_ACCEPTS_PER_WAKE / 2;

/// Seconds after which accepting is tried again for those who wait in the accept backlog.
const ACCEPT_RETRY_DELAY: f64 = 0.25;

/// The listener for clients, and what it waits for.
#[derive(Default)]
pub struct ClientListener {
    /// None before the router listens, and again once it has drained.
    listener: Option<(Rc<Socket>, RegistrationToken)>,
    /// The accepted client that the loop could not be told to watch; nobody else is accepted before it.
    unwatched: Option<UnwatchedClient>,
    /// Set while clients wait in the accept backlog for one to leave.
    retry: Option<TimerHandle>,
}

impl ClientListener {
    /// The router listens from now on, at a socket that the event loop watches.
    pub fn open(&mut self, socket: Rc<Socket>, token: RegistrationToken) {
        self.listener = Some((socket, token));
    }

    /// Listens no more.
    pub fn close(&mut self, context: &Context) {
        if let Some((_, token)) = self.listener.take() {
            context.deregister(token);
        }
    }

    /// Whether clients can connect.
    pub fn is_open(&self) -> bool {
        self.listener.is_some()
    }

    /// Whether accepting is tried again later, as clients wait.
    pub fn is_retrying(&self) -> bool {
        self.retry.is_some()
    }

    /// The timer has expired after which accepting is tried again.
    pub fn on_retry_timer(&mut self) {
        self.retry = None;
    }

    fn socket(&self) -> Option<Rc<Socket>> {
        self.listener.as_ref().map(|(socket, _)| Rc::clone(socket))
    }

    fn retry_at(&mut self, at: f64, timers: &mut Timers) {
        self.retry = Some(timers.set(at, Timer::Listener));
    }

    fn clear_retry(&mut self, timers: &mut Timers) {
        timers.clear(self.retry.take());
    }

    fn keep_unwatched(&mut self, client: UnwatchedClient) {
        self.unwatched = Some(client);
    }

    fn take_unwatched(&mut self) -> Option<UnwatchedClient> {
        self.unwatched.take()
    }
}

impl EventLoop {
    /// Listens for clients; gives the address, as port 0 has the system choose one.
    ///
    /// # Errors
    /// If the address can't be had, or the system can't watch the socket.
    pub fn listen(&mut self, address: SocketAddr, backlog: usize) -> io::Result<SocketAddr> {
        let socket = socket::listen(address, backlog)?;
        let bound_to = socket.local_addr()?.as_socket().unwrap_or(address);
        let (socket, token) = self.context.register(socket, Source::Listener)?;
        self.listener.open(socket, token);
        self.context.wake(Source::Listener);
        Ok(bound_to)
    }

    /// The listener became ready.
    pub fn on_listener_ready(&mut self) {
        if self.accept_clients(MAX_ACCEPTS_PER_WAKE) {
            self.context.wake(Source::Listener);
        } else {
            self.close_listener_if_drained();
        }
    }

    /// Closes the listener of a router that drains once nobody waits there, as far as can be told.
    pub fn close_listener_if_drained(&mut self) {
        if self.is_draining && !self.listener.is_retrying() {
            self.listener.close(&self.context);
        }
    }

    /// Accepts at most so many; true if more may be waiting.
    pub fn accept_clients(&mut self, most: usize) -> bool {
        let Some(listener) = self.listener.socket() else { return false };
        self.listener.clear_retry(&mut self.context.timers);
        let mut failures = 0;
        for _ in 0..most {
            let is_admitted = self.make_room_for_client();
            if !self.has_descriptor_for_client() {
                // They stay in the accept backlog, where what they sent is kept, until a client leaves.
                return self.accept_later();
            }
            match self.next_client(&listener) {
                Ok(Some(next)) => {
                    if !self.add_client(next, is_admitted) {
                        return self.accept_later();
                    }
                    self.close_surplus_established();
                }
                Ok(None) => return false,
                Err(error) if is_of_one_client(&error) && failures < MAX_ACCEPT_FAILURES => {
                    failures += 1;
                    self.context.counters.accepts_failed += 1;
                }
                // Tried again after a while, as trying at once would keep the loop busy for nothing, and no readiness
                // tells again of those who wait already.
                Err(error) => {
                    self.context.counters.accepts_failed += 1;
                    warn!(self.context.log, "accept failed"; "error" => %error);
                    return self.accept_later();
                }
            }
        }
        true
    }

    /// Has accepting tried again after a delay; false, as nobody else is accepted before.
    fn accept_later(&mut self) -> bool {
        self.listener.retry_at(self.context.now() + ACCEPT_RETRY_DELAY, &mut self.context.timers);
        false
    }

    /// The client that could not be watched before, or one from the accept backlog.
    fn next_client(&mut self, listener: &Socket) -> io::Result<Option<UnwatchedClient>> {
        if let Some(waiting) = self.listener.take_unwatched() {
            return Ok(Some(waiting));
        }
        let accepted = socket::accept(listener)?;
        Ok(accepted.map(|socket| UnwatchedClient { socket: Rc::new(socket), since: self.context.now() }))
    }

    /// Takes a client on. One for whom there is no room is let in all the same, to be told so once its statement is read: an
    /// answer that leaves unread what the client sent is lost with the reset that this makes. False if the loop can't watch
    /// the connection for now: it is kept unread and tried again, and is closed once its time is over.
    fn add_client(&mut self, next: UnwatchedClient, is_admitted: bool) -> bool {
        let id = self.clients.next_id();
        let deadline = next.since + INCOMPLETE_INPUT_TIMEOUT;
        match self.context.register_shared(&next.socket, Source::Client(id)) {
            Err(fault) if self.context.now() < deadline => {
                warn!(self.context.log, "client not registered yet"; "error" => %fault);
                self.listener.keep_unwatched(next);
                return false;
            }
            Err(_) => {
                self.context.counters.client_connections += 1;
                self.context.counters.client_connections_unwatched += 1;
            }
            Ok(token) => {
                self.context.counters.client_connections += 1;
                self.context.counters.client_connections_rejected += u64::from(!is_admitted);
                let timer = self.context.timers.set(deadline, Timer::Client(id));
                self.clients.insert(ClientConnection::new(next, token, timer, is_admitted));
                self.on_client_ready(id);
            }
        }
        true
    }
}

/// Whether a failure of accept concerns one client only, so that the next can be accepted at once.
fn is_of_one_client(error: &io::Error) -> bool {
    AcceptFailure::of(error) == AcceptFailure::TakeNext
}
