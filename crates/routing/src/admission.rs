//! Sheds load before requests are dispatched: admission ratio, write throttle, tenant quotas, priority.

use crate::clock::decayed;
use crate::concurrency_limit::LOW_RELATIVE_LATENCY;
use crate::ids::{GroupId, Table};

/// Rise of an admission ratio per second while answers are in time. Up to a sixth of the answers may be late before a
/// ratio of 1 falls.
const ADMIT_RECOVERY_PER_SECOND: f64 = 0.1;
/// Smallest fraction of reads that is admitted, so that a recovery is noticed.
const MIN_ADMIT_RATIO: f64 = 0.05;
/// Longest time in seconds that a single answer can account for.
const MAX_ANSWER_GAP_SECONDS: f64 = 1.0;
/// Rise per tick of the fraction of writes that is rejected, while replicas lag.
const THROTTLE_RISE_PER_TICK: f64 = 0.02;
/// Fall per tick of the fraction of writes that is rejected, otherwise.
const THROTTLE_FALL_PER_TICK: f64 = 0.01;
/// Largest fraction of writes that is rejected because replicas lag.
const MAX_REJECTED_FRACTION: f64 = 0.95;
/// Weight of the newest answer in the average latency of all answers.
const PRESSURE_LEARNING_RATE: f64 = 0.1;
/// Time constant in seconds with which the sums of priority weights decay.
const DEMAND_DECAY_SECONDS: f64 = 5.0;

/// The fraction of a group's reads that is admitted, adjusted by how many answers are late.
///
/// It replaces missing load reports of the endpoints. In groups with frequent answers the concurrency limits of the
/// endpoints take its place.
#[derive(Clone, Debug)]
pub(crate) struct AdmitRatio {
    ratio: f64,
}

impl AdmitRatio {
    /// Creates a ratio that admits all reads.
    pub(crate) fn new() -> AdmitRatio {
        AdmitRatio { ratio: 1.0 }
    }

    /// Adjusts the ratio after an answer, which came `since_answer` seconds after the previous one.
    pub(crate) fn record(&mut self, since_answer: f64, is_overloaded: bool) {
        let rate = if is_overloaded { -self.ratio / 2.0 } else { ADMIT_RECOVERY_PER_SECOND };
        let change = since_answer.min(MAX_ANSWER_GAP_SECONDS) * rate;
        self.ratio = (self.ratio + change).clamp(MIN_ADMIT_RATIO, 1.0);
    }

    /// The fraction of reads to admit. It is smaller for long reads, as they cause the most work for their priority
    /// weight.
    pub(crate) fn for_reads(&self, are_long: bool) -> f64 {
        if are_long { self.ratio * self.ratio } else { self.ratio }
    }
}

/// The latency of all answers at this router, which indicates whether a time-out is due to overload or to a lost answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct LatencyPressure {
    /// Moving average of latencies as fractions of their SLO times.
    average: f64,
}

impl LatencyPressure {
    /// Records a completed attempt; `latency` is a fraction of the SLO time.
    pub(crate) fn record(&mut self, latency: f64) {
        self.average += PRESSURE_LEARNING_RATE * (latency.min(1.0) - self.average);
    }

    /// Whether answers take so long that a time-out indicates overload.
    pub(crate) fn is_high(&self) -> bool {
        self.average > LOW_RELATIVE_LATENCY
    }
}

/// Decaying sums of the priority weights of requests, for each group.
#[derive(Clone, Debug, Default)]
pub(crate) struct Demands {
    /// Reads other than long ones.
    reads: DecayingSums,
    writes: DecayingSums,
    /// Rejected reads with a staleness bound.
    rejected_reads: DecayingSums,
}

impl Demands {
    /// Records that a read arrived; not to be called for long reads.
    pub(crate) fn record_read(&mut self, group: GroupId, weight: f64) {
        self.reads.add(group, weight);
    }

    /// Records that a write arrived.
    pub(crate) fn record_write(&mut self, group: GroupId, weight: f64) {
        self.writes.add(group, weight);
    }

    /// Records that a read with a staleness bound was rejected.
    pub(crate) fn record_rejected_read(&mut self, group: GroupId, weight: f64) {
        self.rejected_reads.add(group, weight);
    }

    /// Applies the decay of one tick to all sums.
    pub(crate) fn tick(&mut self) {
        self.reads.tick();
        self.writes.tick();
        self.rejected_reads.tick();
    }
}

/// A sum for each group, all of which decay with each tick.
///
/// Sums of groups that have never had a request are zero and are not stored. The others are stored contiguously, so
/// that a tick is a loop over plain numbers: it takes a few cycles per group, where a loop over the groups would have
/// a cache miss for each.
#[derive(Clone, Debug, Default)]
struct DecayingSums {
    values: Vec<f64>,
    /// The index in `values` of each group's sum.
    slots: Table<GroupId, Option<usize>>,
}

impl DecayingSums {
    fn get(&self, group: GroupId) -> f64 {
        let slot = self.slots.get(group).copied().flatten();
        slot.map_or(0.0, |slot| self.values[slot])
    }

    fn add(&mut self, group: GroupId, weight: f64) {
        self.slots.grow_to(group, || None);
        let slot = *self.slots[group].get_or_insert(self.values.len());
        if slot == self.values.len() {
            self.values.push(0.0);
        }
        self.values[slot] += weight;
    }

    fn tick(&mut self) {
        self.values.iter_mut().for_each(|value| *value = decayed(*value, DEMAND_DECAY_SECONDS));
    }
}

/// Guards against replicas that fall behind permanently: rejects a fraction of a group's writes while reads are
/// rejected for lack of a fresh replica and are worth more than the writes.
#[derive(Clone, Debug, Default)]
pub(crate) struct WriteThrottle {
    rejected_fraction: f64,
}

impl WriteThrottle {
    /// The fraction of writes to admit.
    pub(crate) fn admit_ratio(&self) -> f64 {
        1.0 - self.rejected_fraction
    }

    /// Whether no write is rejected.
    pub(crate) fn admits_all(&self) -> bool {
        self.rejected_fraction == 0.0
    }

    /// Adjusts the fraction of rejected writes by one tick. `lagging` is the fraction of replicas that lag;
    /// `is_current` says whether their positions are recent enough to rely on. Nothing changes if all writes are
    /// admitted and `is_current` is false.
    pub(crate) fn tick(&mut self, lagging: f64, demands: &Demands, group: GroupId, is_current: bool) {
        let writes = demands.writes.get(group);
        let reads_outweigh_writes = lagging * demands.reads.get(group) > writes;
        let losses_outweigh_throttled =
            lagging * demands.rejected_reads.get(group) > writes * self.rejected_fraction;
        let raise = is_current && reads_outweigh_writes && losses_outweigh_throttled;
        let step = if raise { THROTTLE_RISE_PER_TICK } else { -THROTTLE_FALL_PER_TICK };
        self.rejected_fraction = (self.rejected_fraction + step).clamp(0.0, MAX_REJECTED_FRACTION);
    }
}

/// Requests that each tenant may still send within its share, as token buckets that hold the tokens of one second.
#[derive(Clone, Debug)]
pub(crate) struct TenantQuotas {
    buckets: Vec<Bucket>,
}

#[derive(Clone, Debug)]
struct Bucket {
    tokens: f64,
    filled_at: f64,
}

impl TenantQuotas {
    /// Creates empty buckets for `tenants` tenants.
    pub(crate) fn new(now: f64, tenants: usize) -> TenantQuotas {
        TenantQuotas { buckets: vec![Bucket { tokens: 0.0, filled_at: now }; tenants] }
    }

    /// Takes a token of the tenant, who receives `rate` tokens per second at this router. Returns false if there is
    /// none, that is if the request exceeds the tenant's share.
    pub(crate) fn take(&mut self, now: f64, tenant: usize, rate: f64) -> bool {
        let bucket = &mut self.buckets[tenant];
        bucket.tokens = (bucket.tokens + (now - bucket.filled_at) * rate).min(rate);
        bucket.filled_at = now;
        let is_within_share = bucket.tokens >= 1.0;
        if is_within_share {
            bucket.tokens -= 1.0;
        }
        is_within_share
    }
}

/// The priority by which waiting requests are dispatched: priority weight per second of the work that a request
/// costs.
pub(crate) fn priority(weight: f64, estimate: f64, share_factor: f64) -> f64 {
    weight / estimate * share_factor
}
