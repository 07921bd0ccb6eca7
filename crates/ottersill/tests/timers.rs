//! What falls due by time, and never a moment before it: the owner of one that is early sets it anew for the same time,
//! and the turn that it came due in never ends.

use ottersill::timers::{Alarm, Alarms};
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
    let mut alarms = Alarms::default();
    alarms.set(AT, Alarm::Client(3));
    assert_eq!(alarms.next_at(), Some(AT), "the time is kept as it was given");
    assert_eq!(alarms.due(now), due.then_some(Alarm::Client(3)));
}

/// A client's alarm is set when its connection idles, to the end of that, and looked at when it comes due.
#[rstest]
fn a_turn_ends_whenever_the_loop_wakes(#[values(0, 1, 2, 3, 4, 5, 6, 7)] floats_early: u32) {
    let mut now = AT;
    (0..floats_early).for_each(|_| now = now.next_down());
    let mut alarms = Alarms::default();
    alarms.set(AT, Alarm::Client(0));
    let mut looks = 0;
    while let Some(Alarm::Client(_)) = alarms.due(now) {
        looks += 1;
        assert!(looks < 10, "the turn goes on for ever");
        if AT > now {
            alarms.set(AT, Alarm::Client(0));
        }
    }
    assert_eq!(looks, u32::from(floats_early == 0), "its owner finds it due when it is told so");
}

#[test]
fn in_order_of_time_and_each_once() {
    let mut alarms = Alarms::default();
    let later = alarms.set(AT + 2.0, Alarm::Line(1));
    alarms.set(AT + 1.0, Alarm::Discovery);
    alarms.set(AT, Alarm::Listener);
    alarms.set(AT, Alarm::Line(0));
    alarms.clear(Some(later));
    let mut found = Vec::new();
    while let Some(alarm) = alarms.due(AT + 9.0) {
        found.push(alarm);
    }
    assert_eq!(found, [Alarm::Line(0), Alarm::Listener, Alarm::Discovery]);
    assert_eq!(alarms.next_at(), None);
}
