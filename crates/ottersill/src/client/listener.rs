//! The listener for client connections, and what it waits for.

use std::io;
use std::rc::Rc;

use calloop::RegistrationToken;
use socket2::Socket;

use crate::client::connection::UnwatchedClient;
use crate::protocol::socket;
use crate::reactor::Context;
use crate::timers::{Timer, TimerHandle};

/// Accepted in one iteration of the loop, so that many new connections hold up no answer.
pub const MAX_ACCEPTS_PER_WAKE: usize = 64;

/// So many failures of single connections in one iteration are taken for one of the listener, which would go on for ever.
const MAX_ACCEPT_FAILURES: usize = MAX_ACCEPTS_PER_WAKE / 2;

/// The listener for clients. Times are Unix seconds.
#[derive(Default)]
pub struct ClientListener {
    /// None before the router listens, and again once it has drained.
    listener: Option<(Rc<Socket>, RegistrationToken)>,
    /// The accepted client that the loop could not be told to watch; nobody else is accepted before it.
    unwatched: Option<UnwatchedClient>,
    /// Set while clients wait in the accept backlog for one to leave.
    retry: Option<TimerHandle>,
    /// Failures of single connections since accepting was begun.
    failures: usize,
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

    /// Accepting is tried again then.
    pub fn retry_at(&mut self, at: f64, context: &mut Context) {
        self.retry = Some(context.timers.set(at, Timer::Listener));
    }

    /// Accepting is tried now; false if the router does not listen.
    pub fn begin_accepting(&mut self, context: &mut Context) -> bool {
        if self.listener.is_some() {
            context.timers.clear(self.retry.take());
            self.failures = 0;
        }
        self.listener.is_some()
    }

    /// A single connection failed; whether the next may be accepted at once.
    pub fn may_take_next(&mut self) -> bool {
        let may_take = self.failures < MAX_ACCEPT_FAILURES;
        self.failures += usize::from(may_take);
        may_take
    }

    /// Keeps a client that the event loop could not be told to watch; it is the next one again.
    pub fn keep_unwatched(&mut self, client: UnwatchedClient) {
        self.unwatched = Some(client);
    }

    /// The client that could not be watched before, or one from the accept backlog; none if nobody waits.
    ///
    /// # Errors
    /// If accept fails.
    pub fn next_client(&mut self, now: f64) -> io::Result<Option<UnwatchedClient>> {
        if let Some(waiting) = self.unwatched.take() {
            return Ok(Some(waiting));
        }
        let Some((listener, _)) = &self.listener else { return Ok(None) };
        let accepted = socket::accept(listener)?;
        Ok(accepted.map(|socket| UnwatchedClient { socket: Rc::new(socket), since: now }))
    }
}
