//! The phases of a router's life, above all of its graceful shutdown, as one state machine. It only says which phase
//! comes next; [`run`](crate::lifecycle::run) does what the phase asks for. Times are Unix seconds, durations seconds.

use crate::timers::TIMING_MARGIN;

/// A router serves after this time even if no endpoint list has come, so that one without a list can be told from one
/// that does not start.
const LIST_PATIENCE: f64 = 5.0;
/// New clients still come for this long after SIGTERM: 0.4 s by the protocol page, and what is on its way then.
const MIN_LAME_DUCK: f64 = 0.5;
/// The process may be killed this long after the longest statement timeout.
const KILL_DELAY: f64 = 0.7;
/// After the longest statement timeout clients have this long to take in their last answer and end their connections.
const CLOSE_MARGIN: f64 = 1.0;
/// The most that the longest statement timeout counts for in that.
const MAX_COUNTED_TIMEOUT: f64 = 3.0;

/// What decides on the next phase.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// The time of this iteration.
    pub now: f64,
    /// When the router was started.
    pub started_at: f64,
    /// SIGTERM or SIGINT has come.
    pub shutdown_requested: bool,
    /// An endpoint list has named an endpoint.
    pub knows_endpoints: bool,
    /// No client is connected, and none can connect.
    pub has_no_clients: bool,
    /// The longest statement timeout of all workloads.
    pub longest_statement_timeout: f64,
}

/// A phase of a router's life.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// No list has named an endpoint yet; the router does not listen.
    Starting,
    /// In service.
    Serving,
    /// Asked to shut down. Clients still come, and go on on the connections they have: where several routers restart,
    /// clients that are rejected at once would find nobody.
    LameDuck {
        /// When this phase ends.
        until: f64,
        /// By when everything taken in has to be answered.
        answers_by: f64,
    },
    /// What was taken in is answered, idle connections are closed.
    Draining {
        /// When this phase ends at the latest.
        until: f64,
    },
    /// Nothing is left to do.
    Stopped,
}

impl Phase {
    /// The phase that follows, which is this one as long as nothing calls for another.
    pub fn next(self, observed: &Observation) -> Phase {
        let now = observed.now;
        match self {
            Phase::Starting if observed.shutdown_requested => Phase::Stopped,
            // Ready only once something can be served: clients come as soon as they get through.
            Phase::Starting if observed.knows_endpoints => Phase::Serving,
            Phase::Starting if now >= observed.started_at + LIST_PATIENCE => Phase::Serving,
            Phase::Serving if observed.shutdown_requested => {
                Phase::lame_duck(now, observed.longest_statement_timeout)
            }
            Phase::LameDuck { until, .. } if now >= until => {
                Phase::Draining { until: now + observed.longest_statement_timeout + CLOSE_MARGIN }
            }
            Phase::Draining { .. } if observed.has_no_clients => Phase::Stopped,
            Phase::Draining { until } if now >= until => Phase::Stopped,
            unchanged => unchanged,
        }
    }

    /// Half of the time that a shutdown has, as the last statements need their time too.
    fn lame_duck(now: f64, longest_statement_timeout: f64) -> Phase {
        let counted_timeout = longest_statement_timeout.min(MAX_COUNTED_TIMEOUT);
        let answers_by = now + counted_timeout + KILL_DELAY - TIMING_MARGIN;
        let until = (now + MIN_LAME_DUCK).max((now + answers_by) / 2.0);
        Phase::LameDuck { until, answers_by }
    }

    /// When this phase ends though nothing happens; infinite if it does not.
    pub fn ends_at(self) -> f64 {
        match self {
            Phase::LameDuck { until, .. } | Phase::Draining { until } => until,
            Phase::Starting | Phase::Serving | Phase::Stopped => f64::INFINITY,
        }
    }
}
