//! One call to discovery: its states, its requests, and the time limits of its answer.

/// The operators' service page treats an update as received this long after discovery has it, even if calls failed before. The
/// times of a long poll and of two further calls have to fit into this limit.
pub(crate) const PROPAGATION_LIMIT_SECONDS: f64 = 6.0;
/// How long discovery may hold a long poll while nothing changes. The cost of calls to discovery is negligible.
pub const LONG_POLL_SECONDS: f64 = PROPAGATION_LIMIT_SECONDS / 3.0;
/// How long after its scheduled end a long poll may be answered before the next call begins, if discovery is quick.
pub(crate) const RESPONSE_GRACE_SECONDS: f64 = PROPAGATION_LIMIT_SECONDS / 12.0;
/// Discovery fails a call that it has not answered by then (the bench page's `timeout_ms`).
pub const ANSWER_LIMIT_SECONDS: f64 = 2.0;
/// How long an unanswered call is kept: discovery's own limit, and what connecting and a delay of this process add.
pub const CALL_LIFETIME_SECONDS: f64 = ANSWER_LIMIT_SECONDS + 0.25;

/// Identifies a call for the lifetime of the watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub(crate) u64);

/// The state of one call: a connection to discovery, and the request on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallState {
    /// The connection is being established.
    Connecting,
    /// A request for the complete list is in flight.
    Fetching,
    /// A long poll is in flight.
    Watching,
    /// The last long poll was answered early without a change; the next one follows after [`RETRY_DELAY_SECONDS`](crate::discovery_watch::RETRY_DELAY_SECONDS).
    Pausing,
}

impl CallState {
    /// Whether a call may go from this state to `next`.
    pub fn may_become(self, next: CallState) -> bool {
        use CallState::*;
        matches!(
            (self, next),
            (Connecting | Pausing, Fetching | Watching)
                | (Fetching, Watching | Fetching)
                | (Watching, Watching | Fetching | Pausing)
        )
    }
}

/// A request to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// The complete list, which a discovery that is neither slow nor silent returns at once.
    CompleteList,
    /// The changes after this version, as a long poll of [`LONG_POLL_SECONDS`].
    ChangesSince(u64),
}

/// An open call. Times are in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    pub(crate) id: CallId,
    pub(crate) state: CallState,
    /// Position of its last request, or of its beginning, among those of all calls.
    pub(crate) order: u64,
    /// When it began or its last request was sent.
    pub(crate) requested_at: f64,
    /// When a discovery that takes no time answers at the latest.
    pub(crate) due_at: f64,
    /// When part of an answer last arrived that is not complete yet.
    pub(crate) received_at: Option<f64>,
    pub(crate) was_answered: bool,
}

impl Call {
    /// Creates a call whose connection is about to be established.
    pub(crate) fn new(id: CallId, order: u64, now: f64) -> Call {
        Call {
            id,
            state: CallState::Connecting,
            order,
            requested_at: now,
            due_at: now,
            received_at: None,
            was_answered: false,
        }
    }

    /// From when discovery's time for the answer, or for the rest of it, counts.
    fn awaited_since(&self) -> f64 {
        self.received_at.map_or(self.due_at, |received_at| received_at.max(self.due_at))
    }

    /// Whether discovery's time for the answer is over.
    pub(crate) fn is_late(&self, now: f64) -> bool {
        now >= self.awaited_since() + ANSWER_LIMIT_SECONDS
    }

    /// Whether the call has been kept for long enough.
    pub(crate) fn has_expired(&self, now: f64) -> bool {
        now >= self.awaited_since() + CALL_LIFETIME_SECONDS
    }

    /// Whether part of an answer has arrived lately.
    pub(crate) fn is_receiving(&self, now: f64) -> bool {
        self.received_at.is_some_and(|received_at| now < received_at + RESPONSE_GRACE_SECONDS)
    }

    /// Whether the call keeps up the watch: a long poll, or the pause before one.
    pub(crate) fn is_watching(&self) -> bool {
        matches!(self.state, CallState::Watching | CallState::Pausing)
    }
}
