//! The phases of a router's lifecycle, in particular of its graceful shutdown, as a state machine. It only decides which phase
//! follows; [`run`](crate::lifecycle::run) carries out the actions of a phase. Points in time are Unix seconds, and durations
//! are seconds.

use crate::timers::TIMING_MARGIN_SECONDS;

/// Without an endpoint list, a router starts to serve this long after its start, so that a router without a list can be
/// distinguished from one that does not start.
const FIRST_LIST_TIMEOUT_SECONDS: f64 = 5.0;
/// Minimum duration of the lame-duck phase. According to the protocol page, new clients connect for up to 0.4 s after SIGTERM;
/// the remainder is for connections that are being established at that time.
const MIN_LAME_DUCK_SECONDS: f64 = 0.5;
/// Once the longest statement timeout has passed since SIGTERM, the process may be killed after this delay.
const KILL_DELAY_SECONDS: f64 = 0.7;
/// Time after the longest statement timeout in which clients can read their last answer and close their connections.
const CLOSE_MARGIN_SECONDS: f64 = 1.0;
/// Upper bound of the longest statement timeout in the calculation of when the process may be killed.
const MAX_COUNTED_TIMEOUT_SECONDS: f64 = 3.0;

/// The inputs that determine the next phase.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// The time of this iteration of the main loop.
    pub now: f64,
    /// When the router started.
    pub started_at: f64,
    /// Whether SIGTERM or SIGINT was received.
    pub shutdown_requested: bool,
    /// Whether an endpoint list has named an endpoint.
    pub knows_endpoints: bool,
    /// Whether no client is connected and none can connect.
    pub has_no_clients: bool,
    /// The longest statement timeout of all workloads.
    pub longest_statement_timeout: f64,
}

/// A phase of a router's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// No endpoint list has named an endpoint yet. The router does not listen for clients.
    Starting,
    /// The router serves clients.
    Serving,
    /// A shutdown was requested. New connections are still accepted, and existing ones can still be used: if several routers
    /// restart at the same time, clients that were rejected at once would find no router.
    LameDuck {
        /// When this phase ends.
        until: f64,
        /// By when every accepted statement has to be answered.
        answer_deadline: f64,
    },
    /// Accepted statements are answered, and idle connections are closed.
    Draining {
        /// When this phase ends at the latest.
        until: f64,
    },
    /// The router has shut down.
    Stopped,
}

impl Phase {
    /// Returns the phase that follows, which is the same one while no transition is due.
    pub fn next(self, observed: &Observation) -> Phase {
        let now = observed.now;
        match self {
            Phase::Starting if observed.shutdown_requested => Phase::Stopped,
            // The router listens only once it can serve: clients send statements as soon as they can connect.
            Phase::Starting if observed.knows_endpoints => Phase::Serving,
            Phase::Starting if now >= observed.started_at + FIRST_LIST_TIMEOUT_SECONDS => Phase::Serving,
            Phase::Serving if observed.shutdown_requested => {
                Phase::lame_duck(now, observed.longest_statement_timeout)
            }
            Phase::LameDuck { until, .. } if now >= until => {
                Phase::Draining { until: now + observed.longest_statement_timeout + CLOSE_MARGIN_SECONDS }
            }
            Phase::Draining { .. } if observed.has_no_clients => Phase::Stopped,
            Phase::Draining { until } if now >= until => Phase::Stopped,
            unchanged => unchanged,
        }
    }

    /// The lame-duck phase lasts for half of the time that a shutdown has, as the last statements need time as well.
    fn lame_duck(now: f64, longest_statement_timeout: f64) -> Phase {
        let counted_timeout = longest_statement_timeout.min(MAX_COUNTED_TIMEOUT_SECONDS);
        let answer_deadline = now + counted_timeout + KILL_DELAY_SECONDS - TIMING_MARGIN_SECONDS;
        let until = (now + MIN_LAME_DUCK_SECONDS).max((now + answer_deadline) / 2.0);
        Phase::LameDuck { until, answer_deadline }
    }

    /// When this phase ends even if nothing happens; infinite if it has no time limit.
    pub fn ends_at(self) -> f64 {
        match self {
            Phase::LameDuck { until, .. } | Phase::Draining { until } => until,
            Phase::Starting | Phase::Serving | Phase::Stopped => f64::INFINITY,
        }
    }
}
