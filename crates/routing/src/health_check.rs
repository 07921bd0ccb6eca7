//! When endpoints are health-checked, and the budget that limits the checks.
//!
//! A group polls by the rule of the paper ([`crate::primary`]); beyond that, an endpoint is checked where routing depends
//! on its next report. Checks are funded by requests, as a large number of routers would otherwise send more health
//! checks than requests. A waiting request may have a few members checked outside the budget, and all of them only
//! once it has waited for some time (departure 32 of docs/design.md).

use crate::convert::count_to_f64;
use crate::interface::AttemptOutcome;
use crate::response_time::ResponseTime;

/// Seconds between health checks of an endpoint while its group polls.
pub(crate) const POLL_INTERVAL_SECONDS: f64 = 1.0;
/// Seconds between health checks of an endpoint where routing depends on its next report.
pub(crate) const URGENT_INTERVAL_SECONDS: f64 = 0.25;
/// Health checks funded by one request: the value of a report is in proportion to the requests that depend on it.
const CHECKS_PER_REQUEST: f64 = 0.12;
/// Largest number of routers at which each router checks all members of a group for a waiting request. The checks of
/// so few routers add little load to a member, and each of these routers knows more about it.
const MAX_ROUTERS_CHECKING_ALL: usize = 100;
/// Health checks that a group has in flight for a waiting read, unless there is a reason to send more.
const CHECKS_PER_WAITING_READ: usize = 1;
/// Health checks that a group has in flight for a request that waits for an unknown primary.
const CHECKS_FOR_UNKNOWN_PRIMARY: usize = 2;
/// Seconds for which a request waits before all members of its group are checked for it; a few round trips.
const CHECK_ALL_AFTER_SECONDS: f64 = 0.03;
/// A request that has to be sent within this many seconds has all members checked at once.
const CHECK_ALL_TIME_LEFT_SECONDS: f64 = 2.0 * CHECK_ALL_AFTER_SECONDS;
/// Upper bound of the tokens that requests add to the budget.
const MAX_TOKENS: f64 = 20.0;
/// Number of routers in the fleet up to which each router checks every new endpoint. With more routers, this many of
/// them on average check each new endpoint.
const ROUTERS_CHECKING_NEW_ENDPOINT: f64 = 8.0;

/// Seconds that a check may take at most. A report that is older tells too little about the endpoint.
const MAX_ANSWER_SECONDS: f64 = 2.0;
/// Doublings of the time limit after checks in a row that were not answered in time.
const MAX_DOUBLINGS: u8 = 3;

/// The time limit of an endpoint's health checks, in seconds. It is the usual one unless the endpoint, though connected, does not
/// answer within that: an endpoint that always takes longer would never be heard (departure 33 of docs/design.md).
#[derive(Clone, Copy, Debug)]
struct AnswerTimeLimit {
    /// The limit of the settings.
    usual: f64,
    /// Checks in a row that were not answered in time, up to [`MAX_DOUBLINGS`].
    timeouts: u8,
    /// How long the endpoint takes while that is longer than the usual limit.
    response_time: ResponseTime,
}

impl AnswerTimeLimit {
    fn seconds(&self) -> f64 {
        let most = MAX_ANSWER_SECONDS.max(self.usual);
        let doubled = f64::from(1_u8 << self.timeouts) * self.response_time.expected_within(self.usual, most);
        doubled.min(most)
    }

    /// Records the end of a check that took `elapsed` seconds. Only a check that was sent and not answered is repeated with a
    /// longer limit: an endpoint to which no connection comes up would not be heard for that. A check that was not sent tells
    /// nothing about the endpoint.
    fn record(&mut self, outcome: AttemptOutcome, elapsed: f64) {
        match outcome {
            AttemptOutcome::NeverSent => {}
            AttemptOutcome::TimedOut => self.timeouts = (self.timeouts + 1).min(MAX_DOUBLINGS),
            AttemptOutcome::ConnectFailed | AttemptOutcome::Reset => self.timeouts = 0,
            _ if elapsed <= self.usual => {
                *self = AnswerTimeLimit { usual: self.usual, ..AnswerTimeLimit::default() }
            }
            _ => {
                self.timeouts = 0;
                self.response_time.record(elapsed);
            }
        }
    }
}

impl Default for AnswerTimeLimit {
    fn default() -> AnswerTimeLimit {
        AnswerTimeLimit { usual: f64::INFINITY, timeouts: 0, response_time: ResponseTime::default() }
    }
}

/// The health checks of one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct HealthCheck {
    in_flight: bool,
    sent_at: f64,
    time_limit: AnswerTimeLimit,
}

/// Reasons to check an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CheckReasons {
    /// The group has to poll.
    pub(crate) group_polls: bool,
    /// The endpoint's role, its health or its group's primary is in doubt, so routing depends on its next report.
    pub(crate) is_unresolved: bool,
    /// Its replication position will soon be too old for some reads.
    pub(crate) position_expires_soon: bool,
    /// A request waits in the group.
    pub(crate) has_waiting_request: bool,
    /// The endpoint has never reported its role.
    pub(crate) is_unknown: bool,
    /// A waiting read would be sent to it if its replication position were known.
    pub(crate) is_needed_by_read: bool,
    /// The waiting requests may have one more check sent outside the budget.
    pub(crate) is_exempt: bool,
}

/// The waiting requests of a group, as far as they decide how many checks may be sent outside the budget.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WaitingRequests {
    /// A request waits for the primary, which is unknown.
    pub(crate) needs_primary: bool,
    /// An attempt of one of the waiting requests has failed, or a member of the group is ejected.
    pub(crate) has_failed: bool,
    /// Seconds for which the oldest of the requests has waited.
    pub(crate) longest_wait: f64,
    /// Seconds until the first of the requests has to be sent.
    pub(crate) time_left: f64,
    /// Health checks in flight in the group.
    pub(crate) in_flight: usize,
}

impl WaitingRequests {
    /// How many more checks a router may send outside the budget, in a fleet of `routers`; `None` if unlimited.
    pub(crate) fn checks_outside_budget(self, routers: usize) -> Option<usize> {
        let is_urgent = self.has_failed
            || self.longest_wait >= CHECK_ALL_AFTER_SECONDS
            || self.time_left < CHECK_ALL_TIME_LEFT_SECONDS;
        if is_urgent || checks_all_members(routers) {
            return None;
        }
        let limit = if self.needs_primary { CHECKS_FOR_UNKNOWN_PRIMARY } else { CHECKS_PER_WAITING_READ };
        Some(limit.saturating_sub(self.in_flight))
    }
}

impl HealthCheck {
    /// Creates the state of a new endpoint, as if its last check had been sent at `sent_at`.
    pub(crate) fn new(sent_at: f64) -> HealthCheck {
        HealthCheck { in_flight: false, sent_at, time_limit: AnswerTimeLimit::default() }
    }

    pub(crate) fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    /// When the last check was sent, in seconds.
    pub(crate) fn sent_at(&self) -> f64 {
        self.sent_at
    }

    /// Records that a check is sent.
    pub(crate) fn begin(&mut self, now: f64) {
        self.in_flight = true;
        self.sent_at = now;
    }

    /// Records that the check ended.
    pub(crate) fn end(&mut self, now: f64, outcome: AttemptOutcome) {
        self.in_flight = false;
        self.time_limit.record(outcome, now - self.sent_at);
    }

    /// Returns within how many seconds the check that was just decided on has to be answered, where `usual` is the limit of the
    /// settings.
    pub(crate) fn time_limit(&mut self, usual: f64) -> f64 {
        self.time_limit.usual = usual;
        self.time_limit.seconds()
    }

    /// Brings the next check forward by a random fraction of the urgent interval, because the endpoint was full.
    pub(crate) fn retry_sooner(&mut self, sample: f64) {
        self.sent_at -= sample * URGENT_INTERVAL_SECONDS;
    }

    /// Whether a check of the endpoint should be sent now.
    pub(crate) fn should_send(&self, now: f64, reasons: CheckReasons, budget: &HealthCheckBudget) -> bool {
        if self.in_flight {
            return false;
        }
        if reasons.is_needed_by_read {
            return true;
        }
        let is_urgent = reasons.is_unresolved || reasons.position_expires_soon;
        let interval = if is_urgent { URGENT_INTERVAL_SECONDS } else { POLL_INTERVAL_SECONDS };
        let is_due = now - self.sent_at >= interval || reasons.has_waiting_request && reasons.is_unknown;
        let is_exempt = reasons.has_waiting_request && reasons.is_unresolved && reasons.is_exempt;
        let is_allowed = is_exempt || budget.is_available();
        (reasons.group_polls || is_urgent) && is_due && is_allowed
    }
}

/// Whether a router in a fleet of `routers` checks all members of a group for each waiting request.
pub(crate) fn checks_all_members(routers: usize) -> bool {
    routers <= MAX_ROUTERS_CHECKING_ALL
}

/// The fraction of new endpoints that a router in a fleet of `routers` checks even if no request needs them.
fn new_endpoint_check_fraction(routers: usize) -> f64 {
    (ROUTERS_CHECKING_NEW_ENDPOINT / count_to_f64(routers)).min(1.0)
}

/// The token bucket that limits health checks. Requests and new endpoints add tokens; each check spends one.
#[derive(Clone, Debug, Default)]
pub(crate) struct HealthCheckBudget {
    tokens: f64,
}

impl HealthCheckBudget {
    /// Adds the tokens that a request funds.
    pub(crate) fn deposit_for_request(&mut self) {
        self.tokens = (self.tokens + CHECKS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Adds tokens for a new endpoint. Of hundreds of routers that start at once only a few check each endpoint; the
    /// others check only where requests need it.
    pub(crate) fn deposit_for_new_endpoint(&mut self, routers: usize) {
        self.tokens += new_endpoint_check_fraction(routers);
    }

    /// Spends the token of a check, or what is left of it if the check was sent outside the budget.
    pub(crate) fn withdraw(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Whether the budget allows a check.
    pub(crate) fn is_available(&self) -> bool {
        self.tokens >= 1.0
    }
}
