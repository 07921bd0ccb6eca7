//! Retries: which ones are safe, the budget that funds them, and which requests are themselves retries by a client.

use crate::clock::decayed;
use crate::ids::EndpointId;
use crate::interface::{DeduplicationScope, Effect};

/// Tokens added for each request; they fund attempts that follow one which may have run.
const TOKENS_PER_REQUEST: f64 = 0.1;
/// Tokens of a router that has just started.
const INITIAL_TOKENS: f64 = 5.0;
/// Maximum number of tokens that requests accumulate.
const MAX_TOKENS: f64 = 20.0;
/// Time constant in seconds with which the number of expected client retries decays.
const EXPECTED_RETRIES_DECAY_SECONDS: f64 = 5.0;
/// Two timeouts set by clients that differ by less than this many seconds count as equal.
const SAME_TIMEOUT_TOLERANCE_SECONDS: f64 = 0.02;

/// The earliest attempt of a request that may have had an effect.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PossibleEffect {
    pub(crate) sent_at: f64,
    pub(crate) endpoint: EndpointId,
}

/// Returns whether another attempt can't repeat an effect.
///
/// `same_site` returns whether the endpoint to be used is at the same site as the endpoint of the earlier attempt. A
/// group's idempotency window needs no such check, since a request never leaves its group.
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

/// Returns the time until which another attempt may be safe; after that it is safe at no endpoint.
pub(crate) fn safe_until(effect: Effect, earlier: Option<PossibleEffect>) -> f64 {
    match (effect, earlier) {
        (Effect::Deduplicated { window, .. }, Some(earlier)) => earlier.sent_at + window,
        _ => f64::INFINITY,
    }
}

/// Returns whether a client that is rejected may send its request again without repeating an effect.
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

/// Guards against retries that feed the overload which caused them.
///
/// Only an attempt that follows one which may have run spends a token; an attempt that had no effect cost next to
/// nothing.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Returns the budget of a router that has just started.
    pub(crate) fn new() -> RetryBudget {
        RetryBudget { tokens: INITIAL_TOKENS }
    }

    /// Adds the tokens for a request that arrived.
    pub(crate) fn deposit_for_request(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Spends a token on a retry that is sent.
    pub(crate) fn withdraw(&mut self) {
        self.tokens -= 1.0;
    }

    /// Gives back the token of a retry that was answered in full.
    pub(crate) fn refund(&mut self) {
        self.tokens += 1.0;
    }

    /// Replaces the tokens by the number that the fleet grants.
    pub(crate) fn set(&mut self, tokens: f64) {
        self.tokens = tokens;
    }

    /// Returns whether there is a token for a retry.
    pub(crate) fn is_available(&self) -> bool {
        self.tokens >= 1.0
    }
}

/// What is known of a client's earlier attempts of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClientAttempt {
    /// Whether the client has sent this request before.
    pub(crate) is_retry: bool,
    /// Seconds since the client first sent it, derived from its remaining time.
    pub(crate) elapsed: f64,
}

/// Detects requests that clients send again after a failure, for one class.
///
/// A client gives each first attempt the same timeout, and each retry what is left of that timeout.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClientRetryDetector {
    /// Seconds that most clients allow for a first attempt, by a running majority vote.
    usual_timeout: f64,
    votes: i32,
    /// Number of requests that failed here recently and that their clients may retry.
    expected_retries: f64,
}

impl ClientRetryDetector {
    /// Records a request, and returns what is known of its client's earlier attempts. `flagged` says that the client
    /// flagged it as a retry; `statement_timeout` is the longest time in seconds that a first attempt may have.
    pub(crate) fn observe(&mut self, flagged: bool, time_left: f64, statement_timeout: f64) -> ClientAttempt {
        if !flagged {
            self.vote(time_left);
        }
        let unusual = (time_left - self.usual_timeout).abs() >= SAME_TIMEOUT_TOLERANCE_SECONDS;
        // An unusual timeout that is not flagged counts as a retry only while failed requests are expected to be
        // retried.
        let is_retry = flagged || unusual && self.expected_retries >= 1.0;
        if !(unusual && is_retry) {
            return ClientAttempt { is_retry, elapsed: 0.0 };
        }
        self.expected_retries -= self.expected_retries.min(1.0);
        ClientAttempt { is_retry, elapsed: (statement_timeout - time_left).max(0.0) }
    }

    /// Counts a vote for the usual timeout of a first attempt.
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

    /// Expects this many more client retries on average.
    pub(crate) fn expect_retries(&mut self, retries: f64) {
        self.expected_retries += retries;
    }

    /// Lets the number of expected client retries decay by one tick.
    pub(crate) fn tick(&mut self) {
        self.expected_retries = decayed(self.expected_retries, EXPECTED_RETRIES_DECAY_SECONDS);
    }
}
