//! Detects stalls of the whole machine, so that tests can subtract them from elapsed times: a time bound limits what the router may
//! take, and a machine that stalls for a second is not a fault of the router.

use std::sync::{Mutex, Once, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How long the watching thread sleeps at a time.
const SLEEP_INTERVAL: Duration = Duration::from_millis(5);
/// A thread that wakes up late by less than this is not counted as stalled.
const USUAL_WAKE_DELAY: Duration = Duration::from_millis(10);

/// Each stall: when the watching thread was due to wake, and when it woke.
static STALLS: Mutex<Vec<(Instant, Instant)>> = Mutex::new(Vec::new());

/// Starts the watching thread, which runs until the process ends.
pub fn watch() {
    static STARTED: Once = Once::new();
    STARTED.call_once(|| {
        thread::spawn(|| {
            loop {
                let due = Instant::now() + SLEEP_INTERVAL;
                thread::sleep(SLEEP_INTERVAL);
                let woken = Instant::now();
                if woken > due + USUAL_WAKE_DELAY {
                    STALLS.lock().unwrap_or_else(PoisonError::into_inner).push((due, woken));
                }
            }
        });
    });
}

/// Returns whether the machine stalled between two instants.
pub fn stalled(from: Instant, to: Instant) -> bool {
    time_without_stalls(from, to) < to.saturating_duration_since(from)
}

/// Returns the time between two instants, without the time for which the machine was stalled.
pub fn time_without_stalls(from: Instant, to: Instant) -> Duration {
    // A stall that has just ended may not be recorded yet.
    thread::sleep(2 * SLEEP_INTERVAL + USUAL_WAKE_DELAY);
    let stalls = STALLS.lock().unwrap_or_else(PoisonError::into_inner);
    let within =
        |(due, woken): &(Instant, Instant)| (*woken).min(to).saturating_duration_since((*due).max(from));
    let stalled: Duration = stalls.iter().map(within).sum();
    to.saturating_duration_since(from).saturating_sub(stalled)
}

/// Returns the time from an instant until now, without the time for which the machine was stalled.
pub fn time_without_stalls_since(from: Instant) -> Duration {
    time_without_stalls(from, Instant::now())
}
