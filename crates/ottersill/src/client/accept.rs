//! Accepting client connections, and the listener for them.

use std::collections::VecDeque;
use std::io;
use std::rc::Rc;

use bytes::BytesMut;
use slog::warn;
use socket2::Socket;

use crate::client::connection::ClientConnection;
use crate::client::connection::ConnectionPhase;
use crate::client::connection::UnwatchedClient;
use crate::client::session::INCOMPLETE_INPUT_TIMEOUT;
use crate::event_loop::EventLoop;
use crate::protocol::socket;
use crate::protocol::socket::Outbox;
use crate::protocol::socket_failure::AcceptFailure;
use crate::reactor::Source;
use crate::timers::Timer;

/// Accepted in one turn, so that a crowd of new connections holds up no answer.
const MAX_ACCEPTS_PER_WAKE: usize = 64;

/// So many failures of single connections in one turn are taken for one of the listener, which would go on for ever.
const MAX_ACCEPT_FAILURES: usize = MAX_ACCEPTS_PER_WAKE / 2;

/// Who waits at the door for a descriptor is looked at again after so many seconds.
const ACCEPT_RETRY_DELAY: f64 = 0.25;

impl EventLoop {
    pub fn on_listener_ready(&mut self) {
        if self.accept_clients(MAX_ACCEPTS_PER_WAKE) {
            self.wake(Source::Listener);
        } else {
            self.close_listener_if_drained();
        }
    }

    /// Once nobody is at the door of a router that retires, as far as can be told.
    pub fn close_listener_if_drained(&mut self) {
        if self.is_draining && self.accept_retry.is_none() {
            if let Some((_, token)) = self.listener.take() {
                self.handle.remove(token);
            }
        }
    }

    /// Accepts at most so many; true if more may be at the door.
    pub fn accept_clients(&mut self, most: usize) -> bool {
        let Some((listener, _)) = self.listener.clone() else { return false };
        self.timers.clear(self.accept_retry.take());
        let mut failures = 0;
        for _ in 0..most {
            let room = self.make_room_for_client();
            if self.clients.len() >= self.limits.clients + self.limits.rejected_clients
                && !self.close_one_lingering()
            {
                // They wait at the door, where what they sent is kept, until a client leaves.
                self.accept_retry = Some(self.timers.set(self.now + ACCEPT_RETRY_DELAY, Timer::Listener));
                return false;
            }
            match self.next_client(&listener) {
                Ok(Some(next)) => {
                    if !self.add_client(next, room) {
                        self.accept_retry =
                            Some(self.timers.set(self.now + ACCEPT_RETRY_DELAY, Timer::Listener));
                        return false;
                    }
                    // Clients may hold a third of the descriptors for requests: those that ask once and stay would
                    // leave the others none long before this router is full.
                    let open = |c: &ClientConnection| c.has_queried && c.phase != ConnectionPhase::Lingering;
                    let asked =
                        |event_loop: &EventLoop| event_loop.clients.iter().filter(|(_, c)| open(c)).count();
                    while asked(self) > self.limits.established_clients && self.close_idle_client(true) {}
                }
                Ok(None) => return false,
                Err(e)
                    if AcceptFailure::of(&e) == AcceptFailure::TakeNext && failures < MAX_ACCEPT_FAILURES =>
                {
                    failures += 1;
                    self.counters.accepts_failed += 1;
                }
                // Tried again after a while, as trying at once would keep the loop busy for nothing, and no readiness
                // tells again of those who wait already.
                Err(e) => {
                    self.counters.accepts_failed += 1;
                    warn!(self.log, "accept"; "fault" => %e);
                    self.accept_retry = Some(self.timers.set(self.now + ACCEPT_RETRY_DELAY, Timer::Listener));
                    return false;
                }
            }
        }
        true
    }

    /// The client that could not be watched before, or one from the queue.
    fn next_client(&mut self, listener: &Socket) -> io::Result<Option<UnwatchedClient>> {
        if let Some(waiting) = self.unwatched_client.take() {
            return Ok(Some(waiting));
        }
        let accepted = socket::accept(listener)?;
        Ok(accepted.map(|socket| UnwatchedClient { socket: Rc::new(socket), since: self.now }))
    }

    /// Takes a client on. One for whom there is no room is let in all the same, to be told so once its statement is read: an
    /// answer that leaves unread what the client sent is lost with the reset that this makes. False if the loop can't watch
    /// the connection for now: it is kept unread and tried again, and is closed once its time is over.
    fn add_client(&mut self, next: UnwatchedClient, is_admitted: bool) -> bool {
        let id = self.clients.next_id();
        let watched = self.register_shared(&next.socket, Source::Client(id));
        let UnwatchedClient { socket, since } = next;
        match watched {
            Err(fault) if self.now < since + INCOMPLETE_INPUT_TIMEOUT => {
                warn!(self.log, "client not watched yet"; "fault" => %fault);
                self.unwatched_client = Some(UnwatchedClient { socket, since });
                return false;
            }
            Err(_) => {
                self.counters.client_connections += 1;
                self.counters.client_connections_unwatched += 1;
            }
            Ok(token) => {
                self.counters.client_connections += 1;
                self.counters.client_connections_rejected += u64::from(!is_admitted);
                let (inbox, outbox) = (BytesMut::new(), Outbox::default());
                let phase = ConnectionPhase::AwaitingStartup;
                let timer = Some(self.timers.set(since + INCOMPLETE_INPUT_TIMEOUT, Timer::Client(id)));
                self.clients.insert(ClientConnection {
                    phase,
                    phase_since: since,
                    connected_at: since,
                    timer,
                    last_read_at: since,
                    is_admitted,
                    socket,
                    token,
                    inbox,
                    arrivals: VecDeque::new(),
                    outbox,
                    may_have_unread: false,
                    has_queried: false,
                    stored_bytes: 0,
                });
                self.on_client_ready(id);
            }
        }
        true
    }
}
