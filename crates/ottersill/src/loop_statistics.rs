//! Statistics of the event loop for operators: how long its iterations take, and which kinds of sources take the time. They
//! tell a router that is slow itself from one whose endpoints are slow.

use std::fmt;

/// The kinds of sources and timers whose time is counted separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceKind {
    /// Connections to the discovery service.
    Discovery,
    /// The socket for datagrams of the fleet.
    Fleet,
    /// The control listener and its connections.
    Control,
    /// Backend connections.
    Backend,
    /// Client connections.
    Client,
    /// The listener for clients.
    Listener,
    /// Expired timers of all components.
    Timer,
}

impl SourceKind {
    const ALL: [SourceKind; 7] = [
        SourceKind::Discovery,
        SourceKind::Fleet,
        SourceKind::Control,
        SourceKind::Backend,
        SourceKind::Client,
        SourceKind::Listener,
        SourceKind::Timer,
    ];

    fn name(self) -> &'static str {
        match self {
            SourceKind::Discovery => "discovery",
            SourceKind::Fleet => "fleet",
            SourceKind::Control => "control",
            SourceKind::Backend => "backend",
            SourceKind::Client => "client",
            SourceKind::Listener => "listener",
            SourceKind::Timer => "timer",
        }
    }
}

/// Totals of the visits to one kind of source. Durations are seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KindTotals {
    /// Number of times that a source of this kind was handled.
    pub visits: u64,
    /// Messages, datagrams and connections that were handled.
    pub messages: u64,
    /// Time that it took.
    pub seconds: f64,
    /// Time that the longest visit took.
    pub longest_seconds: f64,
}

/// Statistics since the start of the event loop. Durations are seconds.
#[derive(Clone, Debug, Default)]
pub struct LoopStatistics {
    /// Number of iterations.
    pub iterations: u64,
    /// The longest iteration, without the wait for events.
    pub longest_iteration_seconds: f64,
    /// Sources that had to wait for a further iteration.
    pub sources_deferred: u64,
    kinds: [KindTotals; SourceKind::ALL.len()],
}

impl LoopStatistics {
    /// Records an iteration that took this long.
    pub fn record_iteration(&mut self, seconds: f64) {
        self.iterations += 1;
        self.longest_iteration_seconds = self.longest_iteration_seconds.max(seconds);
    }

    /// Records the number of sources that were left from the iteration before.
    pub fn record_waiting(&mut self, sources: usize) {
        self.sources_deferred += sources as u64;
    }

    /// Records that a source of this kind was handled.
    pub fn record_visit(&mut self, kind: SourceKind, messages: u64, seconds: f64) {
        let totals = &mut self.kinds[kind as usize];
        totals.visits += 1;
        totals.messages += messages;
        totals.seconds += seconds;
        totals.longest_seconds = totals.longest_seconds.max(seconds);
    }

    /// Returns the totals of a kind.
    pub fn totals(&self, kind: SourceKind) -> KindTotals {
        self.kinds[kind as usize]
    }
}

/// Whole microseconds, for the log.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "the cast saturates")]
fn microseconds(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

impl fmt::Display for LoopStatistics {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let longest = microseconds(self.longest_iteration_seconds);
        write!(f, "iterations={} longest_iteration_us={longest}", self.iterations)?;
        write!(f, " sources_deferred={}", self.sources_deferred)?;
        for kind in SourceKind::ALL {
            let KindTotals { visits, messages, seconds, longest_seconds } = self.totals(kind);
            let (name, us, longest_us) = (kind.name(), microseconds(seconds), microseconds(longest_seconds));
            write!(f, " {name}_visits={visits} {name}_messages={messages} {name}_us={us}")?;
            write!(f, " {name}_longest_us={longest_us}")?;
        }
        Ok(())
    }
}
