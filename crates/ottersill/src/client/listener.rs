//! The listener for client connections, and the state of accepting from it.

use std::io;
use std::rc::Rc;

use calloop::RegistrationToken;
use socket2::Socket;

use crate::client::connection::UnwatchedClient;
use crate::protocol::socket;
use crate::reactor::Context;
use crate::timers::{Timer, TimerHandle};

/// Maximum number of connections accepted in one iteration of the event loop, so that a burst of them does not delay answers.
pub const MAX_ACCEPTS_PER_WAKE: usize = 64;

/// Number of failures of single connections in one iteration after which a further failure is treated as one of the listener
/// itself, which would repeat for ever.
const MAX_ACCEPT_FAILURES: usize = MAX_ACCEPTS_PER_WAKE / 2;

/// The listener for clients. Times are Unix seconds.
#[derive(Default)]
pub struct ClientListener {
    /// Absent before the router listens, and again once it has drained.
    listener: Option<(Rc<Socket>, RegistrationToken)>,
    /// The accepted client whose socket could not be registered with the event loop; no other client is accepted before it.
    unwatched: Option<UnwatchedClient>,
    /// Set while clients wait in the accept backlog until accepting is retried, as when all descriptors are in use.
    retry: Option<TimerHandle>,
    /// Failures of single connections since the last call of [`begin_accepting`](Self::begin_accepting).
    failures: usize,
}

impl ClientListener {
    /// Starts to accept on a listening socket that is registered with the event loop.
    pub fn open(&mut self, socket: Rc<Socket>, token: RegistrationToken) {
        self.listener = Some((socket, token));
    }

    /// Closes the listening socket.
    pub fn close(&mut self, context: &Context) {
        if let Some((_, token)) = self.listener.take() {
            context.deregister(token);
        }
    }

    /// Whether clients can connect.
    pub fn is_open(&self) -> bool {
        self.listener.is_some()
    }

    /// Whether a retry of accepting is scheduled because clients wait in the accept backlog.
    pub fn is_retrying(&self) -> bool {
        self.retry.is_some()
    }

    /// Handles the expiry of the retry timer.
    pub fn on_retry_timer(&mut self) {
        self.retry = None;
    }

    /// Schedules a retry of accepting at `at`, in Unix seconds.
    pub fn retry_at(&mut self, at: f64, context: &mut Context) {
        self.retry = Some(context.timers.set(at, Timer::Listener));
    }

    /// Cancels a scheduled retry and resets the count of failures; returns false if the router does not listen.
    pub fn begin_accepting(&mut self, context: &mut Context) -> bool {
        if self.listener.is_some() {
            context.timers.clear(self.retry.take());
            self.failures = 0;
        }
        self.listener.is_some()
    }

    /// Records the failure of a single connection; returns whether the next may be accepted at once.
    pub fn may_accept_next(&mut self) -> bool {
        let may_accept = self.failures < MAX_ACCEPT_FAILURES;
        self.failures += usize::from(may_accept);
        may_accept
    }

    /// Keeps a client whose socket could not be registered; [`next_client`](Self::next_client) returns it again.
    pub fn keep_unwatched(&mut self, client: UnwatchedClient) {
        self.unwatched = Some(client);
    }

    /// Returns the client that could not be registered before, else the next one from the accept backlog, if any.
    ///
    /// # Errors
    /// If accept fails.
    pub fn next_client(&mut self, now: f64) -> io::Result<Option<UnwatchedClient>> {
        if let Some(waiting) = self.unwatched.take() {
            return Ok(Some(waiting));
        }
        let Some((listener, _)) = &self.listener else { return Ok(None) };
        let accepted = socket::accept(listener)?;
        Ok(accepted.map(|socket| UnwatchedClient { socket: Rc::new(socket), accepted_at: now }))
    }
}
