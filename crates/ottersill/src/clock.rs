//! The clock of the event loop.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// One time for everything: it never goes back, and was tied to Unix time once, since positions are Unix times.
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
