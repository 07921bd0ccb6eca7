//! The event loop's interface for the other components: registration of sockets, the ready sources, and the context in
//! which a component handles an event.

use std::collections::BTreeSet;
use std::io;
use std::mem;
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use ottersill_routing::fair_queue::Urgency;
use slog::Logger;
use socket2::Socket;

use crate::clock::LoopClock;
use crate::counters::Counters;
use crate::loop_statistics::{LoopStatistics, SourceKind};
use crate::timers::Timers;
use crate::work_meter::WorkMeter;

/// The owner of a socket that became ready. Sources are handled in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// One of the connections to the discovery service.
    Discovery,
    /// The socket for datagrams between the routers.
    Fleet,
    /// The control listener.
    Control,
    /// A connection accepted by the control listener.
    ControlClient(usize),
    /// A backend connection.
    Backend(usize),
    /// A client connection.
    Client(usize),
    /// The listener for clients.
    Listener,
}

impl Source {
    /// Returns how the source is queued. Endpoint lists affect all later decisions, and an answer that is read frees capacity for
    /// the next statement.
    pub fn urgency(self) -> Urgency {
        match self {
            Source::Client(_) | Source::Listener => Urgency::Ordinary,
            _ => Urgency::Urgent,
        }
    }

    /// Returns what sources are ordered by: all clients have the same rank.
    fn rank(self) -> Source {
        match self {
            Source::Client(_) => Source::Client(0),
            source => source,
        }
    }

    /// Returns the kind under which the time of this source is counted.
    pub fn kind(self) -> SourceKind {
        match self {
            Source::Discovery => SourceKind::Discovery,
            Source::Fleet => SourceKind::Fleet,
            Source::Control | Source::ControlClient(_) => SourceKind::Control,
            Source::Backend(_) => SourceKind::Backend,
            Source::Client(_) => SourceKind::Client,
            Source::Listener => SourceKind::Listener,
        }
    }
}

/// Sources that became ready and signals that arrived while the event loop waited; its callbacks write to it.
#[derive(Default)]
pub struct Readiness {
    sources: Vec<Source>,
    /// The requests that the operator has sent by signals.
    pub signals: SignalRequests,
}

/// Requests received by signals.
#[derive(Clone, Copy, Debug, Default)]
pub struct SignalRequests {
    /// Set by SIGTERM or SIGINT; never cleared.
    pub shutdown: bool,
    /// Set by SIGUSR1, until the counters are written.
    pub print_counters: bool,
    /// Set by SIGHUP, until the reload begins.
    pub reload: bool,
}

impl Readiness {
    /// Has a source handled in the next iteration.
    pub fn wake(&mut self, source: Source) {
        self.sources.push(source);
    }

    /// Returns whether no source is waiting to be handled.
    pub fn is_empty(&self) -> bool {
        self.sources.is_empty()
    }

    /// Takes out the sources to handle, each once: in the order of the variants, and clients in the order in which they became
    /// ready.
    pub fn take(&mut self) -> Vec<Source> {
        let mut sources = mem::take(&mut self.sources);
        let mut taken = BTreeSet::new();
        sources.retain(|source| taken.insert(*source));
        sources.sort_by_key(|source| source.rank());
        sources
    }
}

/// The event loop of calloop, with the data that its callbacks write to.
pub type Reactor = calloop::EventLoop<'static, Readiness>;

/// The handle of calloop's event loop, used to register and deregister sockets.
pub type ReactorHandle = LoopHandle<'static, Readiness>;

/// State of the event loop that components share. The event loop owns it and passes it to the component that handles an
/// event.
pub struct Context {
    /// The time of this iteration, and the clock itself.
    pub clock: LoopClock,
    /// Sets and clears timers.
    pub timers: Timers,
    /// The counters that operators read.
    pub counters: Counters,
    /// How long iterations take, and which sources take the time.
    pub statistics: LoopStatistics,
    /// Counts the work of the source that is being handled.
    pub work: WorkMeter,
    /// The log for operators.
    pub log: Logger,
    handle: ReactorHandle,
    readiness: Readiness,
}

impl Context {
    /// Creates a context without timers and ready sources. Sockets are registered at `handle`.
    pub fn new(handle: ReactorHandle, log: Logger) -> Context {
        Context {
            clock: LoopClock::default(),
            timers: Timers::default(),
            counters: Counters::default(),
            statistics: LoopStatistics::default(),
            work: WorkMeter::default(),
            log,
            handle,
            readiness: Readiness::default(),
        }
    }

    /// Returns the time of this iteration: when the sockets were last polled, in Unix seconds.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// Returns what was recorded while the event loop waited.
    pub fn readiness(&mut self) -> &mut Readiness {
        &mut self.readiness
    }

    /// Has a source handled in the next iteration.
    pub fn wake(&mut self, source: Source) {
        self.readiness.wake(source);
    }

    /// Returns when the next iteration is due even if no socket becomes ready, in Unix seconds; infinite if nothing is due.
    pub fn next_at(&self) -> f64 {
        let next = if self.readiness.is_empty() { f64::INFINITY } else { self.now() };
        self.timers.next_at().unwrap_or(f64::INFINITY).min(next)
    }

    /// Registers a socket: its source is woken once for each change of its readiness (edge-triggered). A caller that leaves
    /// bytes unread has to wake the source itself.
    ///
    /// # Errors
    /// If the system can't watch one more descriptor; the socket is then closed.
    pub fn register(&self, socket: Socket, source: Source) -> io::Result<(Rc<Socket>, RegistrationToken)> {
        let socket = Rc::new(socket);
        let token = self.register_shared(&socket, source)?;
        Ok((socket, token))
    }

    /// Like [`register`](Self::register), for a socket that the caller keeps if registration fails: `ENOMEM` and `ENOSPC` may be
    /// temporary.
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

    /// Deregisters a socket.
    pub fn deregister(&self, token: RegistrationToken) {
        self.handle.remove(token);
    }
}
