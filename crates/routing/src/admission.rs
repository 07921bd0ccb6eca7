//! Load shedding before a request is dispatched: admission ratio, write throttling, tenant quotas, priority.

use std::cell::Cell;

use crate::clock::{TickCount, decayed};
use crate::concurrency_limit::LOW_LATENCY;

/// What an admission ratio regains in a second of answers that are in time; a sixth of them may come late.
const ADMIT_RECOVERY: f64 = 0.1;
/// The least part of reads that is admitted, so that a recovery is noticed.
const MIN_ADMIT_RATIO: f64 = 0.05;
/// Most seconds that one answer stands for.
const MAX_ANSWER_GAP: f64 = 1.0;
/// Rise in a tick of the part of writes that is rejected, while replicas lag.
const THROTTLE_STEP: f64 = 0.02;
/// Fall of it in a tick otherwise.
const THROTTLE_RECOVERY: f64 = 0.01;
/// Most writes that are rejected for lagging replicas.
const MAX_THROTTLE: f64 = 0.95;
/// Weight of the newest answer in the average latency of all answers.
const PRESSURE_LEARNING_RATE: f64 = 0.1;
/// Time constant in seconds over which priority weights of requests are summed up.
const DEMAND_MEMORY: f64 = 5.0;

/// The part of a group's reads that is let in, by how many answers come late.
///
/// It stands in for what endpoints have not said for themselves; a group that is heard of often is known by the
/// concurrency limits of its endpoints.
#[derive(Clone, Debug)]
pub(crate) struct AdmitRatio {
    ratio: f64,
}

impl AdmitRatio {
    /// Admits all reads.
    pub(crate) fn new() -> AdmitRatio {
        AdmitRatio { ratio: 1.0 }
    }

    /// An answer tells whether the group is overloaded, `since_answer` seconds after the last one.
    pub(crate) fn record(&mut self, since_answer: f64, is_overloaded: bool) {
        let rate = if is_overloaded { -self.ratio / 2.0 } else { ADMIT_RECOVERY };
        let change = since_answer.min(MAX_ANSWER_GAP) * rate;
        self.ratio = (self.ratio + change).clamp(MIN_ADMIT_RATIO, 1.0);
    }

    /// The part of reads to admit; of long ones less, as they take most work for their priority weight.
    pub(crate) fn of_reads(&self, are_long: bool) -> f64 {
        if are_long { self.ratio * self.ratio } else { self.ratio }
    }
}

/// How quick answers are at this router on the whole, to tell what a time-out is due to.
#[derive(Clone, Debug, Default)]
pub(crate) struct LatencyPressure {
    /// Moving average of latencies as fractions of their SLO times.
    average: f64,
}

impl LatencyPressure {
    /// An attempt was answered in full; `latency` is a fraction of the SLO time.
    pub(crate) fn record(&mut self, latency: f64) {
        self.average += PRESSURE_LEARNING_RATE * (latency.min(1.0) - self.average);
    }

    /// Whether answers take so long that a time-out tells of overload.
    pub(crate) fn is_high(&self) -> bool {
        self.average > LOW_LATENCY
    }
}

/// Priority weights of a group's requests of late.
///
/// The sums decay with each tick but are brought up to date only when they are needed, so that a group that is not asked
/// for costs a tick nothing.
#[derive(Clone, Debug, Default)]
pub(crate) struct Demand {
    /// Replaced by later values of the same sums when they are read, too.
    sums: Cell<DemandSums>,
}

#[derive(Clone, Copy, Debug, Default)]
struct DemandSums {
    reads: f64,
    writes: f64,
    /// Of the reads with a staleness bound, those that were rejected.
    rejected_reads: f64,
    /// The ticks by which all of them have decayed.
    decayed_until: TickCount,
}

impl Demand {
    /// A read arrived; long reads are not counted.
    pub(crate) fn record_read(&mut self, ticks: TickCount, weight: f64) {
        let sums = self.sums_at(ticks);
        self.sums.set(DemandSums { reads: sums.reads + weight, ..sums });
    }

    /// A write arrived.
    pub(crate) fn record_write(&mut self, ticks: TickCount, weight: f64) {
        let sums = self.sums_at(ticks);
        self.sums.set(DemandSums { writes: sums.writes + weight, ..sums });
    }

    /// A read with a staleness bound was rejected.
    pub(crate) fn record_rejected_read(&mut self, ticks: TickCount, weight: f64) {
        let sums = self.sums_at(ticks);
        self.sums.set(DemandSums { rejected_reads: sums.rejected_reads + weight, ..sums });
    }

    /// The sums after so many ticks.
    fn sums_at(&self, ticks: TickCount) -> DemandSums {
        let sums = self.sums.get().decayed(ticks);
        self.sums.set(sums);
        sums
    }
}

impl DemandSums {
    /// The sums after so many ticks, bit for bit as if they had been written down at each.
    fn decayed(mut self, ticks: TickCount) -> DemandSums {
        let missed = ticks.since(self.decayed_until);
        self.decayed_until = ticks;
        for _ in 0..missed {
            let before = (self.reads, self.writes, self.rejected_reads);
            self.reads = decayed(self.reads, DEMAND_MEMORY);
            self.writes = decayed(self.writes, DEMAND_MEMORY);
            self.rejected_reads = decayed(self.rejected_reads, DEMAND_MEMORY);
            if before == (self.reads, self.writes, self.rejected_reads) {
                // Nothing is left, or too little to decay: no later tick changes it.
                break;
            }
        }
        self
    }
}

/// Guards against replicas that fall behind for good: the part of a group's writes that is rejected while reads are lost
/// for want of a fresh replica and are worth more than the writes.
#[derive(Clone, Debug, Default)]
pub(crate) struct WriteThrottle {
    rejected: f64,
}

impl WriteThrottle {
    /// The part of writes to admit.
    pub(crate) fn admit_ratio(&self) -> f64 {
        1.0 - self.rejected
    }

    /// Whether no write is rejected.
    pub(crate) fn admits_all(&self) -> bool {
        self.rejected == 0.0
    }

    /// Adjusts the part by one tick; nothing changes where all writes are admitted and `is_current` is false. `lagging` is the part of replicas that lag; `is_current` says that their positions
    /// are known well enough to go by.
    pub(crate) fn tick(&mut self, lagging: f64, demand: &Demand, ticks: TickCount, is_current: bool) {
        let demand = demand.sums_at(ticks);
        let reads_outweigh_writes = lagging * demand.reads > demand.writes;
        let losses_outweigh_throttled = lagging * demand.rejected_reads > demand.writes * self.rejected;
        let raise = is_current && reads_outweigh_writes && losses_outweigh_throttled;
        let step = if raise { THROTTLE_STEP } else { -THROTTLE_RECOVERY };
        self.rejected = (self.rejected + step).clamp(0.0, MAX_THROTTLE);
    }
}

/// Requests that each tenant may still send within its share, as a token bucket that holds one second's worth.
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
    /// Empty buckets for so many tenants.
    pub(crate) fn new(now: f64, tenants: usize) -> TenantQuotas {
        TenantQuotas { buckets: vec![Bucket { tokens: 0.0, filled_at: now }; tenants] }
    }

    /// Takes a token of the tenant, who gets `rate` of them a second at this router. False if there is none: the request
    /// lies above the tenant's share.
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

/// The order in which waiting requests are dispatched: priority weight for the work that a request costs, in 1/s.
pub(crate) fn priority(weight: f64, estimate: f64, share_factor: f64) -> f64 {
    weight / estimate * share_factor
}
