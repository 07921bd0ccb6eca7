//! The adaptive concurrency limit: how many attempts this router may have in flight at one endpoint.
//!
//! The limit grows while answers take a small fraction of their SLO time and shrinks while they take a large one, so
//! it detects slow, crowded and suspended endpoints without knowing the cause. With many routers the limit falls
//! below one; a sample that is drawn once for each request then enforces the fraction.

use crate::convert::count_to_f64;

/// Attempts in flight, from all routers together, at an unknown endpoint.
const INITIAL_LIMIT: f64 = 20.0;
/// Smallest limit that a router starts with.
const MIN_INITIAL_LIMIT: f64 = 2.0;
/// Attempts in flight, from all routers together, up to which slow answers are due to the endpoint or the request
/// itself rather than to the number of requests.
const LOW_CONCURRENCY: f64 = 8.0;
/// Average latency, as a fraction of the SLO time, below which the limit grows.
pub(crate) const LOW_RELATIVE_LATENCY: f64 = 0.35;
/// Average latency, as a fraction of the SLO time, above which the limit shrinks.
const HIGH_RELATIVE_LATENCY: f64 = 0.5;
/// Fraction of the primary's limit that reads may use; the rest is reserved for writes.
pub(crate) const PRIMARY_READ_FRACTION: f64 = 0.5;
/// Smallest weight of one answer in the estimates for an endpoint.
const MIN_ANSWER_WEIGHT: f64 = 0.1;
/// Largest weight of one answer.
const MAX_ANSWER_WEIGHT: f64 = 0.5;
/// Seconds since the previous answer at which an answer has a weight of one half.
const HALF_WEIGHT_SECONDS: f64 = 1.0;
/// Seconds without an answer after which an endpoint is sent one attempt again, however low its limit is.
const REOPEN_AFTER_SECONDS: f64 = 15.0;

/// What the result of one attempt shows about the load of its endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Observation {
    weight: f64,
    /// Latency as a fraction of the SLO time.
    latency: f64,
    /// The value below which slow answers alone do not lower the limit.
    floor: f64,
}

/// The concurrency limit of one endpoint, and the latency on which it depends.
#[derive(Clone, Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    in_flight: usize,
    /// Attempts that the fleet grants this router there; `None` if it has no budget for the endpoint.
    quota: Option<f64>,
    /// Moving average of latencies as fractions of their SLO times.
    relative_latency: f64,
    /// When the endpoint last rejected an attempt because it was full, in seconds.
    full_at: f64,
}

impl ConcurrencyLimit {
    /// The initial limit at an unknown endpoint, for a router in a fleet of `routers`.
    pub(crate) fn initial(routers: usize) -> f64 {
        (INITIAL_LIMIT / count_to_f64(routers)).max(MIN_INITIAL_LIMIT)
    }

    /// Creates a limit with no attempts in flight, and with an average latency at the threshold below which the limit
    /// grows.
    pub(crate) fn new(limit: f64) -> ConcurrencyLimit {
        ConcurrencyLimit {
            limit,
            in_flight: 0,
            quota: None,
            relative_latency: LOW_RELATIVE_LATENCY,
            full_at: 0.0,
        }
    }

    /// Attempts of this router in flight at the endpoint.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// When the endpoint last rejected an attempt because it was full, in seconds; `0.0` if it never did.
    pub(crate) fn full_at(&self) -> f64 {
        self.full_at
    }

    /// The average latency as a fraction of the SLO time.
    pub(crate) fn relative_latency(&self) -> f64 {
        self.relative_latency
    }

    /// The endpoint's utilization, estimated from its latency; may lie outside `0.0..=1.0`.
    pub(crate) fn utilization(&self) -> f64 {
        (self.relative_latency - LOW_RELATIVE_LATENCY) / (HIGH_RELATIVE_LATENCY - LOW_RELATIVE_LATENCY)
    }

    /// Sets the quota that the fleet grants; `None` if it has no budget for the endpoint.
    pub(crate) fn set_quota(&mut self, quota: Option<f64>) {
        self.quota = quota;
    }

    /// Whether one more attempt is within `fraction` of the limit. `since_answer` is in seconds; `sample` decides
    /// about the fractional part of the limit.
    pub(crate) fn has_capacity(&self, since_answer: f64, fraction: f64, sample: f64) -> bool {
        let in_flight = count_to_f64(self.in_flight);
        if self.quota.is_some_and(|quota| in_flight >= quota) {
            return false;
        }
        // The limit reopens with time, as no better result could arrive otherwise.
        let limit = self.limit.max((since_answer / REOPEN_AFTER_SECONDS).min(1.0));
        in_flight + sample < limit * fraction
    }

    /// Records that an attempt is sent.
    pub(crate) fn acquire(&mut self) {
        self.in_flight += 1;
    }

    /// Records that an attempt ended.
    pub(crate) fn release(&mut self) {
        self.in_flight -= 1;
    }

    /// Sets a new limit, because the endpoint was restarted.
    pub(crate) fn reset(&mut self, limit: f64) {
        self.limit = limit;
    }

    /// Halves the limit of an endpoint that returns after an ejection or a restart, and resets its average latency.
    pub(crate) fn begin_recovery(&mut self) {
        self.limit /= 2.0;
        self.relative_latency = LOW_RELATIVE_LATENCY;
    }

    /// Evaluates the result of an attempt. `latency` is a fraction of the SLO time; `None` if it does not
    /// reflect the state of the endpoint.
    ///
    /// Estimates become outdated, and a router that receives few answers has little else to rely on: an answer has
    /// more weight the longer ago the previous one arrived.
    pub(crate) fn observe(&self, since_answer: f64, latency: Option<f64>, routers: usize) -> Observation {
        let weight = since_answer / (since_answer + HALF_WEIGHT_SECONDS);
        Observation {
            weight: weight.clamp(MIN_ANSWER_WEIGHT, MAX_ANSWER_WEIGHT),
            latency: latency.unwrap_or(self.relative_latency),
            // Keeps the limit from falling at endpoints that are slow by nature, as fewer attempts would not make
            // them faster.
            floor: self.limit.min(LOW_CONCURRENCY / count_to_f64(routers)),
        }
    }

    /// Records a completed attempt; requests of this kind may use `fraction` of the limit.
    pub(crate) fn record_success(&mut self, observation: &Observation, fraction: f64) {
        let Observation { weight, latency, floor } = *observation;
        self.relative_latency += weight * (latency - self.relative_latency);
        let is_used_up = count_to_f64(self.in_flight) >= self.limit * fraction - 1.0;
        if self.relative_latency < LOW_RELATIVE_LATENCY && is_used_up {
            self.limit += (1.0 / self.limit).min(self.limit);
        } else if self.relative_latency > HIGH_RELATIVE_LATENCY {
            self.limit = (self.limit * (1.0 - weight / 2.0)).max(floor);
        }
    }

    /// Records that an attempt failed in a way that may be due to load.
    pub(crate) fn record_failure(&mut self, observation: &Observation) {
        self.shrink(observation.weight, observation.latency, 0.0);
    }

    /// Records that an attempt timed out although the endpoint has answered others since: the request was long, or an
    /// answer was lost.
    pub(crate) fn record_isolated_time_out(&mut self, observation: &Observation) {
        self.shrink(observation.weight / 2.0, observation.latency, observation.floor);
    }

    /// Records that the endpoint rejected an attempt because it was full.
    pub(crate) fn record_full(&mut self, now: f64, observation: &Observation) {
        self.full_at = now;
        // The endpoint was full with no more than these attempts in flight, so a higher limit is meaningless.
        self.limit = self.limit.min(count_to_f64(self.in_flight));
        self.record_failure(observation);
    }

    /// Moves the average latency towards at least the SLO time, and lowers the limit, but not below `floor`.
    fn shrink(&mut self, weight: f64, latency: f64, floor: f64) {
        self.relative_latency += weight * (latency.max(1.0) - self.relative_latency);
        self.limit = (self.limit * (1.0 - weight)).max(floor);
    }
}
