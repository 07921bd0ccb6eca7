//! The watch on discovery: the states of a call, the next request, and all time limits. Nothing here accesses a socket;
//! [`client`](crate::discovery::client) does.

use crate::clock::milliseconds;

/// The operators' service page treats an update as received this long after discovery has it, even if calls failed before. The
/// times of a long poll and of two further calls, none of which is answered, have to fit into this limit.
const PROPAGATION_LIMIT_SECONDS: f64 = 6.0;
/// How long discovery may hold a long poll while nothing changes. The cost of calls to discovery is negligible.
const LONG_POLL_SECONDS: f64 = PROPAGATION_LIMIT_SECONDS / 3.0;
/// How long after its scheduled end a long poll may still be answered; later it is treated as unanswered.
const RESPONSE_GRACE_SECONDS: f64 = PROPAGATION_LIMIT_SECONDS / 12.0;
/// How long an unanswered call is kept open after the next call has begun.
pub const SUPERSEDED_CALL_LIFETIME_SECONDS: f64 = PROPAGATION_LIMIT_SECONDS / 6.0;
/// Delay after a call that failed, or that was answered early without a change. It is shorter than the interval that keeps
/// up a watch (200 ms, the protocol page).
pub const RETRY_DELAY_SECONDS: f64 = 0.1;
/// Minimum time between calls, even if the grace of a draining endpoint is very short.
const MIN_CALL_INTERVAL_SECONDS: f64 = RETRY_DELAY_SECONDS / 10.0;

/// Returns how long a call that should be answered at once may stay unanswered before the next one begins, in seconds. What
/// discovery reports after a failure applies from its recovery on, but it answers only calls that arrive after that: a draining
/// endpoint has to be known within half of `drain_grace`, the time in which requests may still be sent to it (seconds).
pub fn fetch_timeout(drain_grace: f64) -> f64 {
    (drain_grace / 2.0).clamp(MIN_CALL_INTERVAL_SECONDS, SUPERSEDED_CALL_LIFETIME_SECONDS)
}

/// The state of one call: a connection to discovery, and the request on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallState {
    /// The connection is being established.
    Connecting,
    /// A request that should be answered at once is in flight.
    Fetching,
    /// A long poll is in flight.
    Watching,
    /// The last long poll was answered early without a change; the next one follows after [`RETRY_DELAY_SECONDS`].
    Pausing,
}

impl CallState {
    /// Whether a call may go from this state to `next`.
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

/// A request to discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Path with the query string.
    pub path: String,
    /// State of the call once the request has been sent.
    pub state: CallState,
    /// Time within which the request has to be answered, in seconds.
    pub timeout: f64,
}

impl Request {
    /// Requests the complete list, which discovery answers at once. `timeout` is in seconds.
    pub fn complete_list(timeout: f64) -> Request {
        Request { path: "/v1/servers".to_string(), state: CallState::Fetching, timeout }
    }

    /// Requests the changes after `version`, as a long poll.
    pub fn changes_since(version: u64) -> Request {
        let timeout_ms = milliseconds(LONG_POLL_SECONDS);
        Request {
            path: format!("/v1/servers?since={version}&timeout_ms={timeout_ms}"),
            state: CallState::Watching,
            timeout: LONG_POLL_SECONDS + RESPONSE_GRACE_SECONDS,
        }
    }
}

/// Whether a long poll that was answered after `elapsed` seconds was answered before its scheduled end.
pub fn is_early(elapsed: f64) -> bool {
    elapsed < LONG_POLL_SECONDS - RESPONSE_GRACE_SECONDS
}
