//! What falls due by time, and never a moment before it: the owner of one that is early sets it anew for the same time,
//! and the turn that it came due in never ends.

use ottersill::timers::{Timer, Timers};
use rstest::rstest;

/// Unix time, where neighbouring floats lie a quarter of a microsecond apart.
const AT: f64 = 1_796_141_061.114_000_9;

#[rstest]
#[case::the_float_before(AT.next_down(), false)]
#[case::in_the_same_microsecond(AT - 4e-7, false)]
#[case::long_before(AT - 2.0, false)]
#[case::then(AT, true)]
#[case::the_float_after(AT.next_up(), true)]
#[case::late(AT + 1.0, true)]
fn due_from_its_time_on(#[case] now: f64, #[case] due: bool) {
    let mut timers = Timers::default();
    timers.set(AT, Timer::Client(3));
    assert_eq!(timers.next_at(), Some(AT), "the time is kept as it was given");
    assert_eq!(timers.expired(now), due.then_some(Timer::Client(3)));
}

/// A client's timer is set when its connection idles, to the end of that, and looked at when it comes due.
#[rstest]
fn a_turn_ends_whenever_the_loop_wakes(#[values(0, 1, 2, 3, 4, 5, 6, 7)] floats_early: u32) {
    let mut now = AT;
    (0..floats_early).for_each(|_| now = now.next_down());
    let mut timers = Timers::default();
    timers.set(AT, Timer::Client(0));
    let mut looks = 0;
    while let Some(Timer::Client(_)) = timers.expired(now) {
        looks += 1;
        assert!(looks < 10, "the turn goes on for ever");
        if AT > now {
            timers.set(AT, Timer::Client(0));
        }
    }
    assert_eq!(looks, u32::from(floats_early == 0), "its owner finds it due when it is told so");
}

#[test]
fn in_order_of_time_and_each_once() {
    let mut timers = Timers::default();
    let later = timers.set(AT + 2.0, Timer::Backend(1));
    timers.set(AT + 1.0, Timer::Discovery);
    timers.set(AT, Timer::Listener);
    timers.set(AT, Timer::Backend(0));
    timers.clear(Some(later));
    let mut found = Vec::new();
    while let Some(timer) = timers.expired(AT + 9.0) {
        found.push(timer);
    }
    assert_eq!(found, [Timer::Backend(0), Timer::Listener, Timer::Discovery]);
    assert_eq!(timers.next_at(), None);
}
