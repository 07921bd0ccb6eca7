//! Which endpoint is health-checked when, and what pays for it.
//!
//! A group polls by the paper's rule ([`crate::primary`]); beyond that an endpoint is checked where its next report decides
//! something. Checks are paid for by requests, or many routers would ask more than they send.

/// Seconds between health checks of an endpoint while its group polls.
pub(crate) const POLL_INTERVAL: f64 = 1.0;
/// The same where the next report decides something.
pub(crate) const URGENT_INTERVAL: f64 = 0.25;
/// Health checks that one request pays for: what is told of an endpoint is worth as much as is asked of it.
const CHECKS_PER_REQUEST: f64 = 0.12;
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
#[derive(Clone, Copy, Debug)]
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
        let is_paid = reasons.request_waits && reasons.is_decisive || budget.is_available();
        (reasons.group_polls || is_urgent) && is_due && is_paid
    }
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
        self.credit += (FIRST_CHECKS / routers as f64).min(1.0);
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
