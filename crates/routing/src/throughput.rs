//! What a group answers and rejects, by which slow start bounds what a warming endpoint is sent (departure 30 of
//! docs/design.md).
//!
//! A part of what is offered is more than a warming endpoint can take where rejected clients come back, as each try draws a
//! sample of its own. What a group answers, divided by what its members can do, can't exceed what one of them can do, whatever
//! is offered; and the counts of all routers add up to the count of all.

use crate::clock::decayed;

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

/// Requests of a group that were answered and rejected of late.
#[derive(Clone, Debug, Default)]
pub(crate) struct Throughput {
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
    pub(crate) fn record_rejection(&mut self, needs_primary: bool) {
        if needs_primary {
            self.rejected_writes += 1.0;
        } else {
            self.rejected_reads += 1.0;
        }
    }

    /// A request was answered by an endpoint of that capacity, in a group of that capacity.
    pub(crate) fn record_answer(&mut self, needs_primary: bool, endpoint_capacity: f64, group_capacity: f64) {
        self.answers += 1.0 / group_capacity;
        if needs_primary {
            self.primary_answers += 1.0 / endpoint_capacity;
        }
    }

    /// Lets all counts decay by one tick.
    pub(crate) fn tick(&mut self) {
        self.rejected_reads = decayed(self.rejected_reads, THROUGHPUT_MEMORY);
        self.rejected_writes = decayed(self.rejected_writes, THROUGHPUT_MEMORY);
        self.answers = decayed(self.answers, THROUGHPUT_MEMORY);
        self.primary_answers = decayed(self.primary_answers, THROUGHPUT_MEMORY);
    }

    /// The part of requests that an endpoint of that size may be sent, for each unit of what it can do. Summed over all
    /// routers, this sends it so much of what an endpoint with as much of its capacity answers.
    pub(crate) fn share(&self, needs_primary: bool, size: f64) -> f64 {
        let (rejected, answers) = if needs_primary {
            // Replicas may have little to do.
            (self.rejected_writes, self.answers.max(self.primary_answers))
        } else {
            (self.rejected_reads, self.answers)
        };
        // Where nothing was rejected of late nobody comes back, and what is offered stands for itself.
        let offered = 1.0 + rejected;
        CROWDED_FRACTION * size * (answers + offered.powi(-2)) / offered
    }
}
