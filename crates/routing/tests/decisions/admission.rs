//! What is rejected at once, what waits, in which order it goes out, and when it is given up.

use ottersill_routing::interface::*;
use rstest::rstest;

use crate::common::*;

use Role::{Primary, Replica};

/// Rule: every statement gets one final answer before its client's time is up, also where nothing can be sent.
#[rstest]
#[case(READ, 0.75)]
#[case(REPORT, 6.0)]
#[case(WRITE, 0.4)]
#[case(MARKED, 2.0)]
fn nothing_is_lost(#[case] workload: usize, #[case] time_left: f64) {
    let mut world = World::settled(false, [5.0; 3]);
    (0..4).for_each(|endpoint| world.list(endpoint, EndpointState::Removed, None));
    let request = world.ask_with(workload, time_left);
    world.pass(time_left);
    assert_eq!((world.count(Done::Reject(request)), world.sent_to(request).len()), (1, 0));
}

/// Found on overloaded days: with the log applied slowly all replicas fell behind for good.
#[rstest]
#[case::replicas_behind([3.0; 3], true)]
#[case::replicas_fresh([0.0; 3], false)]
fn writes_are_held_back_while_lagging_costs_reads(#[case] lags: [f64; 3], #[case] held_back: bool) {
    let mut world = World::settled(true, lags);
    let mut rejected = 0;
    for round in 0..400 {
        world.pass(0.02);
        (0..3).for_each(|_| {
            world.ask(READ);
        });
        if round % 4 == 0 {
            let write = world.ask(WRITE);
            rejected += world.count(Done::Reject(write));
            for endpoint in world.sent_to(write) {
                world.end(write, endpoint, AttemptOutcome::Completed, Some(Primary));
            }
        }
        if round % 10 == 0 {
            world.report(0, Primary, 0.0);
            (1..4).for_each(|endpoint| world.report(endpoint, Replica, lags[endpoint - 1]));
        }
    }
    assert_eq!(rejected > 20, held_back, "{rejected}");
}

/// Given up after half of its time, a statement that was never sent costs more than one that is told in time; one that
/// has been sent, and proved not to have run, may wait on.
#[rstest]
#[case::never_sent(false, 1)]
#[case::sent_once(true, 0)]
fn what_was_never_sent_is_given_up_before_half_its_time(#[case] sent: bool, #[case] rejected: usize) {
    let mut terms = terms(false);
    // It earns a part after its SLO time, so there is a point in waiting on.
    terms.workloads[WRITE].late_value_fraction = 0.3;
    let mut world = World::new(terms);
    world.report(0, Primary, 0.0);
    if !sent {
        world.list(0, EndpointState::Draining, None);
    }
    let write = world.ask(WRITE);
    if sent {
        world.list(0, EndpointState::Draining, None);
        world.end(write, 0, AttemptOutcome::ConnectFailed, None);
    }
    world.pass(0.9);
    assert_eq!(world.count(Done::Reject(write)), 0);
    world.pass(0.1);
    assert_eq!(world.count(Done::Reject(write)), rejected);
}

/// Whether a statement of a shape with that much work is still worth a try with so little time left.
#[rstest]
#[case::usual(READ, None, 0.1, true)]
#[case::heavy(READ, work(0.25, 0.05, 0.1), 0.1, false)]
#[case::heavy_with_time(READ, work(0.25, 0.05, 0.1), 0.7, true)]
#[case::heavy_as_far_as_two_tell(READ, work(0.25, 0.05, 0.75), 0.1, true)]
#[case::light(REPORT, work(0.05, 0.5, 0.1), 0.2, true)]
#[case::usual_without_time(REPORT, None, 0.2, false)]
fn a_shape_s_work_tells_whether_it_can_be_in_time(
    #[case] workload: usize,
    #[case] work: Option<WorkEstimate>,
    #[case] left: f64,
    #[case] tried: bool,
) {
    let mut world = World::settled(true, [0.0; 3]);
    let request = world.ask_for(Request { work, ..statement(workload, left) });
    assert_eq!(!world.sent_to(request).is_empty(), tried, "{:?}", world.book.0);
}

/// Where all members are full, the cheap one goes out before the dear one that came later.
#[test]
fn what_waits_goes_out_by_its_own_work() {
    let mut world = World::settled(true, [0.0; 3]);
    let all: Vec<usize> = (0..200).map(|_| world.ask(READ)).collect();
    let full: Vec<usize> = all.into_iter().filter(|request| !world.sent_to(*request).is_empty()).collect();
    let light = world.ask_for(Request { work: work(0.005, 0.05, 0.05), ..statement(READ, 0.75) });
    let heavy = world.ask_for(Request { work: work(0.15, 0.05, 0.05), ..statement(READ, 0.75) });
    assert!(world.sent_to(light).is_empty() && world.sent_to(heavy).is_empty());
    for request in full {
        world.end(request, world.sent_to(request)[0], AttemptOutcome::Completed, None);
        if !world.sent_to(light).is_empty() {
            break;
        }
    }
    assert!(world.sent_to(heavy).is_empty(), "the dear one went first");
}
