//! The clock of the event loop.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Sockets that are found ready within so many seconds after an iteration may have been ready during it.
const NO_WAIT: f64 = 0.001;

/// One time for everything: it never goes back, and was tied to Unix time once. Where that was wrong the routing module
/// measures by how much, as positions are Unix times of others.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix: f64,
}

impl Default for Clock {
    /// Both clocks are read as one: a process that was not on a core between the two readings would be off by that for
    /// good, and in what it tells others. Of some readings the one that took least counts.
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
    /// Unix seconds.
    pub fn now(&self) -> f64 {
        self.unix + self.started.elapsed().as_secs_f64()
    }
}

/// So many seconds in whole milliseconds, rounded up; 0 for less than none.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and nobody waits for 2^64 milliseconds"
)]
pub fn milliseconds(seconds: f64) -> u64 {
    (seconds * 1000.0).ceil() as u64
}

/// The clock of an event loop, and the times of its iterations. All are Unix seconds.
#[derive(Clone, Copy, Debug)]
pub struct LoopClock {
    clock: Clock,
    started_at: f64,
    now: f64,
    arrivals_since: f64,
    iteration_ended_at: f64,
}

impl Default for LoopClock {
    fn default() -> LoopClock {
        let clock = Clock::default();
        let now = clock.now();
        LoopClock { clock, started_at: now, now, arrivals_since: now, iteration_ended_at: now }
    }
}

impl LoopClock {
    /// The sockets were found ready now.
    pub fn begin_iteration(&mut self) {
        let time = self.read();
        let waited = time - self.iteration_ended_at;
        self.arrivals_since = if waited < NO_WAIT { self.now } else { time };
        self.now = time;
    }

    /// All that was ready is handled.
    pub fn end_iteration(&mut self) {
        self.iteration_ended_at = self.read();
    }

    /// When the sockets were last found ready: the time of this iteration.
    pub fn now(&self) -> f64 {
        self.now
    }

    /// Reads the clock, for what must not count from the beginning of an iteration that may have been held up since.
    pub fn read(&self) -> f64 {
        self.clock.now()
    }

    /// What is read in this iteration has come since then: since the one before, if sockets were found ready without waiting
    /// after it, as bytes then may have arrived while that iteration was held up.
    pub fn arrivals_since(&self) -> f64 {
        self.arrivals_since
    }

    /// When the event loop was made.
    pub fn started_at(&self) -> f64 {
        self.started_at
    }
}
