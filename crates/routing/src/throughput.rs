//! Counts what a group answers and rejects; slow start derives from it how much a warming endpoint may be sent
//! (departure 30 of docs/design.md).
//!
//! If rejected clients return, a fixed fraction of the offered requests is more than a warming endpoint can serve, as
//! each new attempt of a client draws its own sample. What a group answers per unit of its capacity cannot exceed
//! what one member can serve per unit of its own, however much is offered; and the counts of all routers add up to
//! the total count.

use std::cell::Cell;

use crate::clock::{TickCount, decayed};

/// Fraction of the load allowed at a warming endpoint that it may be sent while its group is offered more than it
/// answers.
const OVERLOADED_GROUP_FRACTION: f64 = 0.4;
/// Time constant in seconds with which the counts decay: the capacity that a group had before some of its members
/// were restarted must not count for long.
const THROUGHPUT_DECAY_SECONDS: f64 = 2.0;
/// Smallest capacity assumed for an endpoint, as the endpoint list may contain a size of zero.
const MIN_CAPACITY: f64 = 0.01;

/// The current capacity of an endpoint, in units of the size of a warm endpoint.
pub(crate) fn capacity(size: f64, capacity_fraction: f64) -> f64 {
    (size * capacity_fraction).max(MIN_CAPACITY)
}

/// Decaying counts of the requests of a group that were recently answered or rejected. They are decayed to the
/// current tick when they are read or changed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Throughput {
    counts: Cell<Counts>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Counts {
    decayed_until: TickCount,
    /// Rejected requests that replicas may answer.
    rejected_reads: f64,
    /// Rejected requests that need the primary.
    rejected_writes: f64,
    /// Answered requests, each divided by the capacity of the group at the time of the answer.
    answers: f64,
    /// Answered requests that need the primary, each divided by the capacity of the endpoint at the time of the
    /// answer.
    primary_answers: f64,
}

impl Throughput {
    /// Records that a request was rejected, so that its client may return.
    pub(crate) fn record_rejection(&mut self, ticks: TickCount, needs_primary: bool) {
        let mut counts = self.decay_to(ticks);
        if needs_primary {
            counts.rejected_writes += 1.0;
        } else {
            counts.rejected_reads += 1.0;
        }
        self.counts.set(counts);
    }

    /// Records that a request was answered by an endpoint of capacity `endpoint_capacity` in a group of capacity
    /// `group_capacity`.
    pub(crate) fn record_answer(
        &mut self,
        ticks: TickCount,
        needs_primary: bool,
        endpoint_capacity: f64,
        group_capacity: f64,
    ) {
        let mut counts = self.decay_to(ticks);
        counts.answers += 1.0 / group_capacity;
        if needs_primary {
            counts.primary_answers += 1.0 / endpoint_capacity;
        }
        self.counts.set(counts);
    }

    /// The fraction of requests that an endpoint of this size may be sent, per unit of its capacity. Summed over all
    /// routers, the endpoint is then sent [`OVERLOADED_GROUP_FRACTION`] of what an endpoint of the same capacity
    /// answers.
    pub(crate) fn allowed_fraction(&self, ticks: TickCount, needs_primary: bool, size: f64) -> f64 {
        let counts = self.decay_to(ticks);
        let (rejected, answers) = if needs_primary {
            // The group's answers per capacity may be few only because its replicas have little to do.
            (counts.rejected_writes, counts.answers.max(counts.primary_answers))
        } else {
            (counts.rejected_reads, counts.answers)
        };
        // Without recent rejections no clients return, so the number of offered requests needs no correction.
        let offered = 1.0 + rejected;
        OVERLOADED_GROUP_FRACTION * size * (answers + offered.powi(-2)) / offered
    }

    /// Decays the counts to tick `ticks` and returns them.
    fn decay_to(&self, ticks: TickCount) -> Counts {
        let counts = self.counts.get().decayed(ticks);
        self.counts.set(counts);
        counts
    }
}

impl Counts {
    /// The counts at tick `ticks`, bit for bit the same as if they had been decayed at each tick.
    fn decayed(mut self, ticks: TickCount) -> Counts {
        let elapsed_ticks = ticks.since(self.decayed_until);
        self.decayed_until = ticks;
        for _ in 0..elapsed_ticks {
            let previous = self;
            self.rejected_reads = decayed(self.rejected_reads, THROUGHPUT_DECAY_SECONDS);
            self.rejected_writes = decayed(self.rejected_writes, THROUGHPUT_DECAY_SECONDS);
            self.answers = decayed(self.answers, THROUGHPUT_DECAY_SECONDS);
            self.primary_answers = decayed(self.primary_answers, THROUGHPUT_DECAY_SECONDS);
            if self == previous {
                // The counts are zero or too small to decay, so no later tick changes them.
                break;
            }
        }
        self
    }
}
