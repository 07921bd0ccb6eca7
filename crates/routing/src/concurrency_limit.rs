//! The adaptive limit on this router's attempts in flight at one endpoint.
//!
//! The limit grows while answers take little of their SLO time and shrinks while they take much, so it finds slow,
//! crowded and paused endpoints without knowing the cause. Where routers are many it goes below one; the fraction is then
//! kept by a sample that is drawn once for each request.

use crate::convert::count_to_f64;

/// Attempts in flight, from all routers together, at an endpoint that nothing is known of yet.
const INITIAL_LIMIT: f64 = 20.0;
/// The least that one router starts with.
const MIN_INITIAL_LIMIT: f64 = 2.0;
/// Attempts in flight, from all routers together, at which slow answers are due to the endpoint or the request itself
/// rather than to too many requests.
const LOW_CONCURRENCY: f64 = 8.0;
/// Average latency, as a fraction of the SLO time, below which the limit grows.
pub(crate) const LOW_LATENCY: f64 = 0.35;
/// The same above which it shrinks.
const HIGH_LATENCY: f64 = 0.5;
/// Part of the primary's limit that reads may fill; the rest is kept for writes.
pub(crate) const PRIMARY_READ_FRACTION: f64 = 0.5;
/// Least weight of one answer in what is learnt of an endpoint.
const MIN_ANSWER_WEIGHT: f64 = 0.1;
/// Greatest weight of one answer.
const MAX_ANSWER_WEIGHT: f64 = 0.5;
/// Seconds without an answer after which the next one weighs half.
const ANSWER_MEMORY: f64 = 1.0;
/// Seconds without an answer after which an endpoint that was closed gets one attempt again.
const REOPEN_AFTER: f64 = 15.0;

/// What the result of one attempt says about the load of its endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Observation {
    weight: f64,
    /// Latency as a fraction of the SLO time.
    latency: f64,
    /// The limit that slow answers alone don't go below.
    floor: f64,
}

/// The limit of one endpoint, and how its answers come.
#[derive(Clone, Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    in_flight: usize,
    /// Attempts that the fleet grants this router there, where it has a budget for it.
    quota: Option<f64>,
    /// Moving average of latencies as fractions of their SLO times.
    latency: f64,
    /// When the endpoint last rejected an attempt because it was full.
    full_at: f64,
}

impl ConcurrencyLimit {
    /// The limit at an endpoint that nothing is known of, for one of so many routers.
    pub(crate) fn initial(routers: usize) -> f64 {
        (INITIAL_LIMIT / count_to_f64(routers)).max(MIN_INITIAL_LIMIT)
    }

    /// A limit with nothing in flight and latencies at the bound below which it grows.
    pub(crate) fn new(limit: f64) -> ConcurrencyLimit {
        ConcurrencyLimit { limit, in_flight: 0, quota: None, latency: LOW_LATENCY, full_at: 0.0 }
    }

    /// Attempts of this router in flight there.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// When the endpoint last rejected an attempt because it was full; `0.0` if it never did.
    pub(crate) fn full_at(&self) -> f64 {
        self.full_at
    }

    /// Average latency as a fraction of the SLO time.
    pub(crate) fn latency(&self) -> f64 {
        self.latency
    }

    /// An estimate of the endpoint's utilization by how its answers come; may lie outside of `0.0..=1.0`.
    pub(crate) fn utilization(&self) -> f64 {
        (self.latency - LOW_LATENCY) / (HIGH_LATENCY - LOW_LATENCY)
    }

    /// Takes over what the fleet grants; `None` where it has no budget for the endpoint.
    pub(crate) fn set_quota(&mut self, quota: Option<f64>) {
        self.quota = quota;
    }

    /// Whether one more attempt lies within `fraction` of the limit. `since_answer` is in seconds; `sample` stands for
    /// the fractional part of the limit.
    pub(crate) fn has_capacity(&self, since_answer: f64, fraction: f64, sample: f64) -> bool {
        let in_flight = count_to_f64(self.in_flight);
        if self.quota.is_some_and(|quota| in_flight >= quota) {
            return false;
        }
        // A bad result fades, or nothing better would be heard.
        let limit = self.limit.max((since_answer / REOPEN_AFTER).min(1.0));
        in_flight + sample < limit * fraction
    }

    /// An attempt is sent.
    pub(crate) fn acquire(&mut self) {
        self.in_flight += 1;
    }

    /// An attempt ended.
    pub(crate) fn release(&mut self) {
        self.in_flight -= 1;
    }

    /// Begins anew at a limit, as the endpoint was started anew.
    pub(crate) fn reset(&mut self, limit: f64) {
        self.limit = limit;
    }

    /// Halves the limit of an endpoint that is back after it was ejected, and forgets its latencies.
    pub(crate) fn begin_recovery(&mut self) {
        self.limit /= 2.0;
        self.latency = LOW_LATENCY;
    }

    /// Weighs the result of an attempt. `latency` is a fraction of the SLO time; `None` if it says nothing about the endpoint.
    ///
    /// What was learnt fades, and a router that hears rarely knows little else: an answer weighs more the longer ago the
    /// last one came.
    pub(crate) fn observe(&self, since_answer: f64, latency: Option<f64>, routers: usize) -> Observation {
        let weight = since_answer / (since_answer + ANSWER_MEMORY);
        Observation {
            weight: weight.clamp(MIN_ANSWER_WEIGHT, MAX_ANSWER_WEIGHT),
            latency: latency.unwrap_or(self.latency),
            // Guards against limits that fall at endpoints which are slow by nature: fewer attempts would be no quicker.
            floor: self.limit.min(LOW_CONCURRENCY / count_to_f64(routers)),
        }
    }

    /// An attempt was answered in full; requests of this kind may use `fraction` of the limit.
    pub(crate) fn record_success(&mut self, observation: &Observation, fraction: f64) {
        let Observation { weight, latency, floor } = *observation;
        self.latency += weight * (latency - self.latency);
        let is_used_up = count_to_f64(self.in_flight) >= self.limit * fraction - 1.0;
        if self.latency < LOW_LATENCY && is_used_up {
            self.limit += (1.0 / self.limit).min(self.limit);
        } else if self.latency > HIGH_LATENCY {
            self.limit = (self.limit * (1.0 - weight / 2.0)).max(floor);
        }
    }

    /// An attempt failed in a way that may be due to load.
    pub(crate) fn record_failure(&mut self, observation: &Observation) {
        self.shrink(observation.weight, observation.latency, 0.0);
    }

    /// An attempt timed out, but the endpoint has answered others since: the request was long, or an answer was lost.
    pub(crate) fn record_isolated_time_out(&mut self, observation: &Observation) {
        self.shrink(observation.weight / 2.0, observation.latency, observation.floor);
    }

    /// The endpoint rejected an attempt because it was full.
    pub(crate) fn record_full(&mut self, now: f64, observation: &Observation) {
        self.full_at = now;
        // Full with no more than this in flight: a limit beyond that means nothing.
        self.limit = self.limit.min(count_to_f64(self.in_flight));
        self.record_failure(observation);
    }

    /// Moves the average latency up to the SLO time at least, and lowers the limit, but not below `floor`.
    fn shrink(&mut self, weight: f64, latency: f64, floor: f64) {
        self.latency += weight * (latency.max(1.0) - self.latency);
        self.limit = (self.limit * (1.0 - weight)).max(floor);
    }
}
