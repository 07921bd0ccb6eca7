//! What a group answers and rejects, by which slow start bounds what a warming endpoint is sent (departure 30 of
//! docs/design.md).
//!
//! A part of what is offered is more than a warming endpoint can take where rejected clients come back, as each try draws a
//! sample of its own. What a group answers, divided by what its members can do, can't exceed what one of them can do, whatever
//! is offered; and the counts of all routers add up to the count of all.

use std::cell::Cell;

use crate::clock::{TickCount, decayed};

/// Part of what a warming endpoint is allowed that it may be sent where more is offered than its group answers.
const CROWDED_FRACTION: f64 = 0.4;
/// Time constant in seconds with which the counts decay: what a group could do before some of it was restarted must not
/// count for long.
const THROUGHPUT_MEMORY: f64 = 2.0;
/// The least that an endpoint is taken to be able to do, in sizes of warm ones: a list may name a size of nothing.
const MIN_CAPACITY: f64 = 0.01;

/// What an endpoint of that size can do now, in sizes of warm ones.
pub(crate) fn capacity(size: f64, capacity_fraction: f64) -> f64 {
    (size * capacity_fraction).max(MIN_CAPACITY)
}

/// Requests of a group that were answered and rejected of late. The counts decay with each tick, and are brought up to date
/// when they are read or changed.
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
    /// Answered requests, each divided by the capacity that the group had then.
    answers: f64,
    /// Of these, those that need the primary, each divided by the capacity that the endpoint had then.
    primary_answers: f64,
}

impl Throughput {
    /// A request was rejected, so its client may come back.
    pub(crate) fn record_rejection(&mut self, ticks: TickCount, needs_primary: bool) {
        let mut counts = self.counts_at(ticks);
        if needs_primary {
            counts.rejected_writes += 1.0;
        } else {
            counts.rejected_reads += 1.0;
        }
        self.counts.set(counts);
    }

    /// A request was answered by an endpoint of that capacity, in a group of that capacity.
    pub(crate) fn record_answer(
        &mut self,
        ticks: TickCount,
        needs_primary: bool,
        endpoint_capacity: f64,
        group_capacity: f64,
    ) {
        let mut counts = self.counts_at(ticks);
        counts.answers += 1.0 / group_capacity;
        if needs_primary {
            counts.primary_answers += 1.0 / endpoint_capacity;
        }
        self.counts.set(counts);
    }

    /// The part of requests that an endpoint of that size may be sent, for each unit of what it can do. Summed over all
    /// routers, this sends it so much of what an endpoint with as much of its capacity answers.
    pub(crate) fn share(&self, ticks: TickCount, needs_primary: bool, size: f64) -> f64 {
        let counts = self.counts_at(ticks);
        let (rejected, answers) = if needs_primary {
            // Replicas may have little to do.
            (counts.rejected_writes, counts.answers.max(counts.primary_answers))
        } else {
            (counts.rejected_reads, counts.answers)
        };
        // Where nothing was rejected of late nobody comes back, and what is offered stands for itself.
        let offered = 1.0 + rejected;
        CROWDED_FRACTION * size * (answers + offered.powi(-2)) / offered
    }

    /// The counts after so many ticks.
    fn counts_at(&self, ticks: TickCount) -> Counts {
        let counts = self.counts.get().decayed(ticks);
        self.counts.set(counts);
        counts
    }
}

impl Counts {
    /// The counts after so many ticks, bit for bit as if they had been written down at each.
    fn decayed(mut self, ticks: TickCount) -> Counts {
        let missed = ticks.since(self.decayed_until);
        self.decayed_until = ticks;
        for _ in 0..missed {
            let before = self;
            self.rejected_reads = decayed(self.rejected_reads, THROUGHPUT_MEMORY);
            self.rejected_writes = decayed(self.rejected_writes, THROUGHPUT_MEMORY);
            self.answers = decayed(self.answers, THROUGHPUT_MEMORY);
            self.primary_answers = decayed(self.primary_answers, THROUGHPUT_MEMORY);
            if self == before {
                // Nothing is left, or too little to decay: no later tick changes it.
                break;
            }
        }
        self
    }
}
