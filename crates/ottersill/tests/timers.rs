//! A timer expires at its time and never a moment earlier. Guards against an iteration of the event loop that never
//! ends: the owner of a timer that expires early sets it again for the same time.

use ottersill::timers::{Timer, Timers};
use rstest::rstest;

/// A Unix time in seconds, where neighbouring floats lie a quarter of a microsecond apart.
const AT_UNIX_SECONDS: f64 = 1_796_141_061.114_000_9;

#[rstest]
#[case::the_float_before(AT_UNIX_SECONDS.next_down(), false)]
#[case::in_the_same_microsecond(AT_UNIX_SECONDS - 4e-7, false)]
#[case::long_before(AT_UNIX_SECONDS - 2.0, false)]
#[case::at_its_time(AT_UNIX_SECONDS, true)]
#[case::the_float_after(AT_UNIX_SECONDS.next_up(), true)]
#[case::late(AT_UNIX_SECONDS + 1.0, true)]
fn timer_expires_from_its_time_on(#[case] now: f64, #[case] due: bool) {
    let mut timers = Timers::default();
    timers.set(AT_UNIX_SECONDS, Timer::Client(3));
    assert_eq!(timers.next_at(), Some(AT_UNIX_SECONDS), "the time was changed");
    assert_eq!(timers.expired(now), due.then_some(Timer::Client(3)));
}

/// The timer of an idle client connection is set to the end of its idle time, and the client is checked when the timer
/// expires.
#[rstest]
fn iteration_ends_when_the_loop_wakes_early(#[values(0, 1, 2, 3, 4, 5, 6, 7)] floats_early: u32) {
    let mut now = AT_UNIX_SECONDS;
    (0..floats_early).for_each(|_| now = now.next_down());
    let mut timers = Timers::default();
    timers.set(AT_UNIX_SECONDS, Timer::Client(0));
    let mut expirations = 0;
    while let Some(Timer::Client(_)) = timers.expired(now) {
        expirations += 1;
        assert!(expirations < 10, "the iteration does not end");
        if AT_UNIX_SECONDS > now {
            timers.set(AT_UNIX_SECONDS, Timer::Client(0));
        }
    }
    assert_eq!(expirations, u32::from(floats_early == 0), "expired timers");
}

#[test]
fn timers_expire_in_order_and_once() {
    let mut timers = Timers::default();
    let later = timers.set(AT_UNIX_SECONDS + 2.0, Timer::Backend(1));
    timers.set(AT_UNIX_SECONDS + 1.0, Timer::Discovery);
    timers.set(AT_UNIX_SECONDS, Timer::Listener);
    timers.set(AT_UNIX_SECONDS, Timer::Backend(0));
    timers.clear(Some(later));
    let mut expired = Vec::new();
    while let Some(timer) = timers.expired(AT_UNIX_SECONDS + 9.0) {
        expired.push(timer);
    }
    assert_eq!(expired, [Timer::Backend(0), Timer::Listener, Timer::Discovery]);
    assert_eq!(timers.next_at(), None);
}
