//! Which endpoint is health-checked when, and what pays for it.
//!
//! A group polls by the paper's rule ([`crate::primary`]); beyond that an endpoint is checked where its next report decides
//! something. Checks are paid for by requests, or many routers would ask more than they send; a request that waits has a
//! few members asked without that, and all of them only once it has waited for some time (departure 32 of docs/design.md).

use crate::convert::count_to_f64;

/// Seconds between health checks of an endpoint while its group polls.
pub(crate) const POLL_INTERVAL: f64 = 1.0;
/// The same where the next report decides something.
pub(crate) const URGENT_INTERVAL: f64 = 0.25;
/// Health checks that one request pays for: what is told of an endpoint is worth as much as is asked of it.
const CHECKS_PER_REQUEST: f64 = 0.12;
/// Most routers of which each checks all members of a group for a request that waits: together they are little to a member,
/// and know more of it.
const MAX_ROUTERS_CHECKING_ALL: usize = 100;
/// Health checks that a waiting read has in flight in its group, unless there is a reason for more.
const CHECKS_FOR_READ: usize = 1;
/// The same for a request that waits for a primary that is not known.
const CHECKS_FOR_PRIMARY: usize = 2;
/// Seconds that a request waits until all members of its group are checked for it: a few round trips.
const FEW_CHECKS_TIME: f64 = 0.03;
/// A request that has to be sent within so many seconds has all of them checked at once.
const HURRY: f64 = 2.0 * FEW_CHECKS_TIME;
/// Most health checks that are saved up by requests.
const MAX_CREDIT: f64 = 20.0;
/// Routers of a fleet that check each new endpoint in full; more of them share so many checks.
const FIRST_CHECKS: f64 = 8.0;

/// The health checks of one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct HealthCheck {
    in_flight: bool,
    sent_at: f64,
}

/// Why an endpoint may have to be checked.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reasons {
    /// The group polls.
    pub(crate) group_polls: bool,
    /// The next report decides something.
    pub(crate) is_decisive: bool,
    /// Its position is about to be too old for reads.
    pub(crate) position_ages: bool,
    /// A request waits in the group.
    pub(crate) request_waits: bool,
    /// It was never heard of.
    pub(crate) is_unknown: bool,
    /// A waiting read would go to it if its position were known.
    pub(crate) is_asked_for: bool,
    /// The waiting requests may have one more check without credit.
    pub(crate) is_free: bool,
}

/// What the requests that wait in a group have checked without credit.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WaitingNeeds {
    /// A request waits for a primary, and none is known.
    pub(crate) needs_primary: bool,
    /// An answer failed: of an attempt of one of them, or of a member that is ejected for it.
    pub(crate) has_failed: bool,
    /// Seconds that the one which arrived first has waited.
    pub(crate) longest_wait: f64,
    /// Seconds until the first of them has to be sent.
    pub(crate) time_left: f64,
    /// Checks of them that are in flight.
    pub(crate) in_flight: usize,
}

impl WaitingNeeds {
    /// How many more checks one of so many routers may send without credit; `None` if there is no bound.
    pub(crate) fn free_checks(self, routers: usize) -> Option<usize> {
        let is_urgent = self.has_failed || self.longest_wait >= FEW_CHECKS_TIME || self.time_left < HURRY;
        if is_urgent || checks_all_members(routers) {
            return None;
        }
        let few = if self.needs_primary { CHECKS_FOR_PRIMARY } else { CHECKS_FOR_READ };
        Some(few.saturating_sub(self.in_flight))
    }
}

impl HealthCheck {
    /// The checks of a new endpoint, as if the last one had been sent then.
    pub(crate) fn new(sent_at: f64) -> HealthCheck {
        HealthCheck { in_flight: false, sent_at }
    }

    /// Whether a check has not ended yet.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    /// When the last check was sent.
    pub(crate) fn sent_at(&self) -> f64 {
        self.sent_at
    }

    /// A check is sent.
    pub(crate) fn begin(&mut self, now: f64) {
        self.in_flight = true;
        self.sent_at = now;
    }

    /// The check ended.
    pub(crate) fn end(&mut self) {
        self.in_flight = false;
    }

    /// Moves the next check forward by a random part of the urgent interval, as the endpoint was full.
    pub(crate) fn retry_sooner(&mut self, sample: f64) {
        self.sent_at -= sample * URGENT_INTERVAL;
    }

    /// Whether the endpoint is to be checked now.
    pub(crate) fn is_wanted(&self, now: f64, reasons: Reasons, budget: &HealthCheckBudget) -> bool {
        if self.in_flight {
            return false;
        }
        if reasons.is_asked_for {
            return true;
        }
        let is_urgent = reasons.is_decisive || reasons.position_ages;
        let interval = if is_urgent { URGENT_INTERVAL } else { POLL_INTERVAL };
        let is_due = now - self.sent_at >= interval || reasons.request_waits && reasons.is_unknown;
        let is_free = reasons.request_waits && reasons.is_decisive && reasons.is_free;
        let is_paid = is_free || budget.is_available();
        (reasons.group_polls || is_urgent) && is_due && is_paid
    }
}

/// Whether one of so many routers checks all members of a group for each request that waits.
pub(crate) fn checks_all_members(routers: usize) -> bool {
    routers <= MAX_ROUTERS_CHECKING_ALL
}

/// The part of all endpoints that one of so many routers checks, whether it is asked for something there or not.
fn share_of_first_checks(routers: usize) -> f64 {
    (FIRST_CHECKS / count_to_f64(routers)).min(1.0)
}

/// Health checks that requests have paid for.
#[derive(Clone, Debug, Default)]
pub(crate) struct HealthCheckBudget {
    credit: f64,
}

impl HealthCheckBudget {
    /// A request arrived.
    pub(crate) fn deposit_for_request(&mut self) {
        self.credit = (self.credit + CHECKS_PER_REQUEST).min(MAX_CREDIT);
    }

    /// Hundreds of routers that start at once check where they are asked for something; a few check each endpoint.
    pub(crate) fn deposit_for_new_endpoint(&mut self, routers: usize) {
        self.credit += share_of_first_checks(routers);
    }

    /// A check is sent, paid for or not.
    pub(crate) fn withdraw(&mut self) {
        self.credit = (self.credit - 1.0).max(0.0);
    }

    /// Whether a check is paid for.
    pub(crate) fn is_available(&self) -> bool {
        self.credit >= 1.0
    }
}
