//! What the parts of the program see of the event loop: registration of sockets, which of them became ready, and the
//! context in which a part handles an event.

use std::io;
use std::mem;
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use slog::Logger;
use socket2::Socket;

use crate::clock::LoopClock;
use crate::counters::Counters;
use crate::timers::Timers;

/// Whose socket became ready. Ready sources are handled in this order: what discovery says counts for all that follows,
/// and an answer that is read first makes room for the statement behind it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// One of the connections to discovery.
    Discovery,
    /// The socket for datagrams of other routers.
    Fleet,
    /// The control listener.
    Control,
    /// The connection of an operator at the control listener.
    ControlClient(usize),
    /// A backend connection.
    Backend(usize),
    /// A client connection.
    Client(usize),
    /// The listener for clients.
    Listener,
}

/// What was noted while the event loop waited: the data that its callbacks write to.
#[derive(Default)]
pub struct Readiness {
    sources: Vec<Source>,
    /// What the operator has asked for by signals.
    pub signals: SignalRequests,
}

/// What signals have asked for.
#[derive(Clone, Copy, Debug, Default)]
pub struct SignalRequests {
    /// SIGTERM or SIGINT; never taken back.
    pub shutdown: bool,
    /// SIGUSR1, until the counters are written.
    pub print_counters: bool,
    /// SIGHUP, until the reload begins.
    pub reload: bool,
}

impl Readiness {
    /// Has a source handled in the next iteration.
    pub fn wake(&mut self, source: Source) {
        self.sources.push(source);
    }

    /// No source waits to be handled.
    pub fn is_empty(&self) -> bool {
        self.sources.is_empty()
    }

    /// The sources to handle, each once and in order; empties the queue.
    pub fn take(&mut self) -> Vec<Source> {
        let mut sources = mem::take(&mut self.sources);
        sources.sort_unstable();
        sources.dedup();
        sources
    }
}

/// The event loop of calloop, with the data that its callbacks write to.
pub type Reactor = calloop::EventLoop<'static, Readiness>;

/// The event loop's handle, by which sockets are registered and deregistered.
pub type ReactorHandle = LoopHandle<'static, Readiness>;

/// What a part of the program may use of the event loop while it handles an event. The loop owns it and lends it to one
/// part at a time.
pub struct Context {
    /// The time of this iteration, and the clock itself.
    pub clock: LoopClock,
    /// Sets and clears timers.
    pub timers: Timers,
    /// Counts what operators read.
    pub counters: Counters,
    /// Where lines for operators go.
    pub log: Logger,
    handle: ReactorHandle,
    readiness: Readiness,
}

impl Context {
    /// No timer is set and nothing is ready yet; sockets are registered at `handle`.
    pub fn new(handle: ReactorHandle, log: Logger) -> Context {
        Context {
            clock: LoopClock::default(),
            timers: Timers::default(),
            counters: Counters::default(),
            log,
            handle,
            readiness: Readiness::default(),
        }
    }

    /// When the sockets were last found ready, in Unix seconds: the time of this iteration.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// What was noted while the event loop waited.
    pub fn readiness(&mut self) -> &mut Readiness {
        &mut self.readiness
    }

    /// Has a source handled in the next iteration.
    pub fn wake(&mut self, source: Source) {
        self.readiness.wake(source);
    }

    /// When the next iteration is due though no socket becomes ready, in Unix seconds; infinite if nothing is due.
    pub fn next_at(&self) -> f64 {
        let next = if self.readiness.is_empty() { f64::INFINITY } else { self.now() };
        self.timers.next_at().unwrap_or(f64::INFINITY).min(next)
    }

    /// Registers a socket: its source is woken once for each change of its readiness (edge-triggered). Who leaves something
    /// unread has to wake the source itself.
    ///
    /// # Errors
    /// If the system can't watch one more descriptor; the socket is closed then.
    pub fn register(&self, socket: Socket, source: Source) -> io::Result<(Rc<Socket>, RegistrationToken)> {
        let socket = Rc::new(socket);
        let token = self.register_shared(&socket, source)?;
        Ok((socket, token))
    }

    /// As [`register`](Self::register), for a socket that the caller keeps where that fails: `ENOMEM` and `ENOSPC` may pass.
    ///
    /// # Errors
    /// If the system can't watch one more descriptor.
    pub fn register_shared(&self, socket: &Rc<Socket>, source: Source) -> io::Result<RegistrationToken> {
        let events = Generic::new(Rc::clone(socket), Interest::BOTH, Mode::Edge);
        let registered = self.handle.insert_source(events, move |_, _, readiness: &mut Readiness| {
            readiness.wake(source);
            Ok(PostAction::Continue)
        });
        registered.map_err(|e| io::Error::other(e.error))
    }

    /// Has a socket watched no more.
    pub fn deregister(&self, token: RegistrationToken) {
        self.handle.remove(token);
    }
}
