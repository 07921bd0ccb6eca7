//! The watch on discovery: the states of a call, what the next request asks for, and all times. Nothing here touches a
//! socket; [`client`](crate::discovery::client) does.

use crate::clock::milliseconds;

/// An update that discovery has counts as heard this long after, whatever failed before (the service page), in seconds.
/// All that follows has to fit in: a long poll that falls silent, and two more calls that are not answered.
const PROPAGATION_LIMIT: f64 = 6.0;
/// How long discovery may hold a long poll while nothing changes, in seconds. Calls cost discovery nothing.
const LONG_POLL: f64 = PROPAGATION_LIMIT / 3.0;
/// A long poll that is not answered this long after it should have ended will not be, in seconds.
const RESPONSE_GRACE: f64 = PROPAGATION_LIMIT / 12.0;
/// A call that is not answered is kept open for so long beside those that follow it, in seconds.
pub const SUPERSEDED_CALL_LIFETIME: f64 = PROPAGATION_LIMIT / 6.0;
/// Between calls that fail, or that come back with nothing at once, in seconds. Shorter than what keeps up a watch
/// (200 ms, the protocol page).
pub const RETRY_DELAY: f64 = 0.1;
/// Calls follow each other no sooner than this, however short the grace of a draining endpoint is, in seconds.
const MIN_CALL_INTERVAL: f64 = RETRY_DELAY / 10.0;

/// How long a call that is answered at once may stay silent before the next one begins, in seconds. What discovery says
/// when it comes back counts at once, and it answers only calls that come after that: a draining endpoint has to be
/// known within half of `drain_grace`, in which it may still be sent to (seconds).
pub fn silent_call_interval(drain_grace: f64) -> f64 {
    (drain_grace / 2.0).clamp(MIN_CALL_INTERVAL, SUPERSEDED_CALL_LIFETIME)
}

/// The state of one call: a connection to discovery, and the request on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallState {
    /// The connection is being set up.
    Connecting,
    /// A request is out that is answered at once.
    Fetching,
    /// A long poll is out.
    Watching,
    /// The last long poll came back early with nothing new; the next one follows after [`RETRY_DELAY`].
    Pausing,
}

impl CallState {
    /// Whether a call in this state may go over to that one.
    pub fn may_become(self, next: CallState) -> bool {
        use CallState::*;
        matches!(
            (self, next),
            (Connecting | Pausing, Fetching | Watching)
                | (Fetching, Watching)
                | (Watching, Watching | Pausing)
        )
    }
}

/// What a call asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The path with its query.
    pub path: String,
    /// The state of the call once the request is out.
    pub state: CallState,
    /// By when it has to be answered, in seconds from now.
    pub timeout: f64,
}

impl Request {
    /// The complete list, answered at once. `timeout` is in seconds.
    pub fn complete_list(timeout: f64) -> Request {
        Request { path: "/v1/servers".to_string(), state: CallState::Fetching, timeout }
    }

    /// A long poll for what comes after `version`.
    pub fn changes_since(version: u64) -> Request {
        let timeout_ms = milliseconds(LONG_POLL);
        Request {
            path: format!("/v1/servers?since={version}&timeout_ms={timeout_ms}"),
            state: CallState::Watching,
            timeout: LONG_POLL + RESPONSE_GRACE,
        }
    }
}

/// Whether an answer `after` seconds came before a long poll should have ended.
pub fn is_early(after: f64) -> bool {
    after < LONG_POLL - RESPONSE_GRACE
}
