//! Retries: which are safe, what pays for them, and which requests are themselves retries of a client.

use crate::clock::decayed;
use crate::ids::EndpointId;
use crate::interface::{DeduplicationScope, Effect};

/// Retries earned by one request, for attempts that follow one that may have run.
const TOKENS_PER_REQUEST: f64 = 0.1;
/// Retries that may be sent at the start.
const INITIAL_TOKENS: f64 = 5.0;
/// Most retries that are saved up by requests.
const MAX_TOKENS: f64 = 20.0;
/// Time constant in seconds with which the number of expected clients fades.
const EXPECTED_RETRIES_DECAY_SECONDS: f64 = 5.0;
/// Seconds by which two times that a client gives may differ and count as the same.
const SAME_TIMEOUT_TOLERANCE_SECONDS: f64 = 0.02;

/// The earliest attempt of a request that may have had an effect.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PossibleEffect {
    pub(crate) sent_at: f64,
    pub(crate) endpoint: EndpointId,
}

/// Whether another attempt can't repeat an effect.
///
/// `same_site` says whether the endpoint to be used is at the site of the earlier attempt's. A group's idempotency
/// window needs no such check, as a request never leaves its group.
pub(crate) fn is_safe(
    now: f64,
    effect: Effect,
    earlier: Option<PossibleEffect>,
    same_site: impl FnOnce(EndpointId) -> bool,
) -> bool {
    let Some(earlier) = earlier else { return true };
    match effect {
        Effect::Idempotent => true,
        Effect::NonIdempotent => false,
        Effect::Deduplicated { within, .. } => {
            let in_window = now < safe_until(effect, Some(earlier));
            in_window && (within != DeduplicationScope::Site || same_site(earlier.endpoint))
        }
    }
}

/// Until when another attempt may be safe; nowhere after that.
pub(crate) fn safe_until(effect: Effect, earlier: Option<PossibleEffect>) -> f64 {
    match (effect, earlier) {
        (Effect::Deduplicated { window, .. }, Some(earlier)) => earlier.sent_at + window,
        _ => f64::INFINITY,
    }
}

/// Whether a client that is rejected may send its request again without repeating an effect.
pub(crate) fn client_may_repeat(effect: Effect, earlier: Option<PossibleEffect>) -> bool {
    if earlier.is_none() {
        return true;
    }
    match effect {
        Effect::Idempotent => true,
        Effect::NonIdempotent => false,
        Effect::Deduplicated { within, .. } => within == DeduplicationScope::Everywhere,
    }
}

/// Guards against retries that feed the overload which made them needed.
///
/// Only attempts that follow one which may have run are paid for; what had no effect cost next to nothing.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// The budget of a router that has just started.
    pub(crate) fn new() -> RetryBudget {
        RetryBudget { tokens: INITIAL_TOKENS }
    }

    /// A request arrived.
    pub(crate) fn deposit_for_request(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// A retry is sent.
    pub(crate) fn withdraw(&mut self) {
        self.tokens -= 1.0;
    }

    /// A retry that was answered in full is not counted.
    pub(crate) fn refund(&mut self) {
        self.tokens += 1.0;
    }

    /// Takes over what the fleet grants.
    pub(crate) fn set(&mut self, tokens: f64) {
        self.tokens = tokens;
    }

    /// Whether a retry may be sent.
    pub(crate) fn is_available(&self) -> bool {
        self.tokens >= 1.0
    }
}

/// What is known of a request's earlier tries by its client.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClientAttempt {
    /// The client has sent this request before.
    pub(crate) is_retry: bool,
    /// Seconds since it did so first, by its remaining time.
    pub(crate) elapsed: f64,
}

/// Recognizes requests that clients send again after a failure, for one class.
///
/// A client gives each first try the same time and each later one what is left of its patience.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClientRetryDetector {
    /// Seconds that most clients give a first try, by a running majority vote.
    usual_timeout: f64,
    votes: i32,
    /// Requests that failed here of late and whose clients may come back.
    expected_retries: f64,
}

impl ClientRetryDetector {
    /// Takes a request into account. `flagged` says that the client marked it as a repeat, `statement_timeout` is the time in
    /// seconds that a first try may have at most.
    pub(crate) fn observe(&mut self, flagged: bool, time_left: f64, statement_timeout: f64) -> ClientAttempt {
        if !flagged {
            self.vote(time_left);
        }
        let unusual = (time_left - self.usual_timeout).abs() >= SAME_TIMEOUT_TOLERANCE_SECONDS;
        // Without a mark an unusual time means a retry only as far as requests have failed here.
        let is_retry = flagged || unusual && self.expected_retries >= 1.0;
        if !(unusual && is_retry) {
            return ClientAttempt { is_retry, elapsed: 0.0 };
        }
        self.expected_retries -= self.expected_retries.min(1.0);
        ClientAttempt { is_retry, elapsed: (statement_timeout - time_left).max(0.0) }
    }

    /// Counts a vote for the usual time of a first try.
    fn vote(&mut self, time_left: f64) {
        if (time_left - self.usual_timeout).abs() < SAME_TIMEOUT_TOLERANCE_SECONDS {
            self.votes += 1;
        } else {
            self.votes -= 1;
        }
        if self.votes < 0 {
            self.usual_timeout = time_left;
            self.votes = 1;
        }
    }

    /// Clients are expected back, by this number on average.
    pub(crate) fn expect_retries(&mut self, retries: f64) {
        self.expected_retries += retries;
    }

    /// Lets the number of expected clients decay by one tick.
    pub(crate) fn tick(&mut self) {
        self.expected_retries = decayed(self.expected_retries, EXPECTED_RETRIES_DECAY_SECONDS);
    }
}
