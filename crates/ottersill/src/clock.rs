//! The clock of the event loop.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Sockets found ready less than this time after an iteration may already have been ready during that iteration.
const MIN_WAIT_SECONDS: f64 = 0.001;

/// A monotonic clock in Unix seconds, aligned with the system's Unix time once, when it is created. If the Unix time was wrong
/// then, the routing module measures by how much, as replication positions are Unix times of other machines.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix: f64,
}

impl Default for Clock {
    /// Reads the monotonic clock and Unix time together several times, and uses the pair that took the least time: a process that
    /// was descheduled between the two readings would be off by that time for good, also in what it sends to others.
    fn default() -> Clock {
        let read = || {
            let started = Instant::now();
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            (started.elapsed(), Clock { started, unix: unix.as_secs_f64() })
        };
        (0..4).map(|_| read()).fold(read(), |best, one| if one.0 < best.0 { one } else { best }).1
    }
}

impl Clock {
    /// Returns the time in Unix seconds.
    pub fn now(&self) -> f64 {
        self.unix + self.started.elapsed().as_secs_f64()
    }
}

/// Converts seconds to whole milliseconds, rounded up; 0 if negative.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and nobody waits for 2^64 milliseconds"
)]
pub fn milliseconds(seconds: f64) -> u64 {
    (seconds * 1000.0).ceil() as u64
}

/// The clock of an event loop and the times of its iterations. Times are Unix seconds.
#[derive(Clone, Copy, Debug)]
pub struct LoopClock {
    clock: Clock,
    started_at: f64,
    now: f64,
    earliest_arrival_at: f64,
    iteration_ended_at: f64,
}

impl Default for LoopClock {
    fn default() -> LoopClock {
        let clock = Clock::default();
        let now = clock.now();
        LoopClock { clock, started_at: now, now, earliest_arrival_at: now, iteration_ended_at: now }
    }
}

impl LoopClock {
    /// Begins an iteration, directly after the sockets were polled.
    pub fn begin_iteration(&mut self) {
        let time = self.read();
        let waited = time - self.iteration_ended_at;
        self.earliest_arrival_at = if waited < MIN_WAIT_SECONDS { self.now } else { time };
        self.now = time;
    }

    /// Ends an iteration, after all that was ready is handled. Returns how long it took, in seconds.
    pub fn end_iteration(&mut self) -> f64 {
        self.iteration_ended_at = self.read();
        self.iteration_ended_at - self.now
    }

    /// Returns the time of this iteration: when the sockets were last polled.
    pub fn now(&self) -> f64 {
        self.now
    }

    /// Reads the clock, for times that must not be those of the iteration's beginning, as the process may have stalled since.
    pub fn read(&self) -> f64 {
        self.clock.now()
    }

    /// Returns the earliest time at which bytes read in this iteration may have arrived. That is the time of the previous
    /// iteration if sockets were ready without waiting after it, as bytes may then have arrived while that iteration was
    /// stalled; otherwise it is the time of this iteration.
    pub fn earliest_arrival_at(&self) -> f64 {
        self.earliest_arrival_at
    }

    /// Returns when the event loop was created.
    pub fn started_at(&self) -> f64 {
        self.started_at
    }
}
