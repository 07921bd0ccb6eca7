//! Which requests are rejected at once, which ones wait, in which order waiting requests are sent, and when they are
//! rejected.

use ottersill_routing::interface::*;
use rstest::rstest;

use crate::common::*;

use Role::{Primary, Replica};

/// Invariant: every request gets one final answer before its client's deadline, even if no attempt can be sent.
#[rstest]
#[case(READ, 0.75)]
#[case(REPORT, 6.0)]
#[case(WRITE, 0.4)]
#[case(MARKED, 2.0)]
fn a_request_that_cannot_be_sent_is_rejected_once_before_its_deadline(
    #[case] workload: usize,
    #[case] time_left: f64,
) {
    let mut fixture = World::settled(false, [5.0; 3]);
    (0..4).for_each(|endpoint| fixture.list(endpoint, EndpointState::Removed, None));
    let request = fixture.ask_with(workload, time_left);
    fixture.pass(time_left);
    assert_eq!((fixture.count(Done::Reject(request)), fixture.sent_to(request).len()), (1, 0));
}

/// Guards against replicas that stay behind permanently: under overload, where replicas apply the log slowly, all of them
/// fell behind and did not catch up while writes were admitted.
#[rstest]
#[case::replicas_behind([3.0; 3], true)]
#[case::replicas_fresh([0.0; 3], false)]
fn writes_are_throttled_while_replica_lag_costs_reads(#[case] lags: [f64; 3], #[case] throttled: bool) {
    let mut fixture = World::settled(true, lags);
    let mut rejected = 0;
    for round in 0..400 {
        fixture.pass(0.02);
        (0..3).for_each(|_| {
            fixture.ask(READ);
        });
        if round % 4 == 0 {
            let write = fixture.ask(WRITE);
            rejected += fixture.count(Done::Reject(write));
            for endpoint in fixture.sent_to(write) {
                fixture.end(write, endpoint, AttemptOutcome::Completed, Some(Primary));
            }
        }
        if round % 10 == 0 {
            fixture.report(0, Primary, 0.0);
            (1..4).for_each(|endpoint| fixture.report(endpoint, Replica, lags[endpoint - 1]));
        }
    }
    assert_eq!(rejected > 20, throttled, "{rejected}");
}

/// A request that was never sent is rejected before half of its time has passed, as a later rejection costs more than one
/// in time. A request that was sent and provably did not run may wait longer.
#[rstest]
#[case::never_sent(false, 1)]
#[case::sent_once(true, 0)]
fn a_request_that_was_never_sent_is_rejected_by_half_its_time(#[case] sent: bool, #[case] rejected: usize) {
    let mut terms = terms(false);
    // A late answer still has some value, so the request may wait beyond its SLO time.
    terms.workloads[WRITE].late_value_fraction = 0.3;
    let mut fixture = World::new(terms);
    fixture.report(0, Primary, 0.0);
    if !sent {
        fixture.list(0, EndpointState::Draining, None);
    }
    let write = fixture.ask(WRITE);
    if sent {
        fixture.list(0, EndpointState::Draining, None);
        fixture.end(write, 0, AttemptOutcome::ConnectFailed, None);
    }
    fixture.pass(0.9);
    assert_eq!(fixture.count(Done::Reject(write)), 0);
    fixture.pass(0.1);
    assert_eq!(fixture.count(Done::Reject(write)), rejected);
}

/// Whether a request with this work estimate is still sent with this little time left.
#[rstest]
#[case::usual(READ, None, 0.1, true)]
#[case::heavy(READ, work(0.25, 0.05, 0.1), 0.1, false)]
#[case::heavy_with_time(READ, work(0.25, 0.05, 0.1), 0.7, true)]
#[case::heavy_by_an_uncertain_estimate(READ, work(0.25, 0.05, 0.75), 0.1, true)]
#[case::light(REPORT, work(0.05, 0.5, 0.1), 0.2, true)]
#[case::usual_without_time(REPORT, None, 0.2, false)]
fn a_work_estimate_decides_whether_an_attempt_can_finish_in_time(
    #[case] workload: usize,
    #[case] work: Option<WorkEstimate>,
    #[case] time_left: f64,
    #[case] is_sent: bool,
) {
    let mut fixture = World::settled(true, [0.0; 3]);
    let request = fixture.ask_for(Request { work, ..statement(workload, time_left) });
    assert_eq!(!fixture.sent_to(request).is_empty(), is_sent, "{:?}", fixture.book.0);
}

/// While all endpoints are full, a cheap request that waits is sent before an expensive one that arrived later.
#[test]
fn waiting_requests_are_sent_in_the_order_of_their_work() {
    let mut fixture = World::settled(true, [0.0; 3]);
    let all: Vec<usize> = (0..200).map(|_| fixture.ask(READ)).collect();
    let sent: Vec<usize> = all.into_iter().filter(|request| !fixture.sent_to(*request).is_empty()).collect();
    let light = fixture.ask_for(Request { work: work(0.005, 0.05, 0.05), ..statement(READ, 0.75) });
    let heavy = fixture.ask_for(Request { work: work(0.15, 0.05, 0.05), ..statement(READ, 0.75) });
    assert!(fixture.sent_to(light).is_empty() && fixture.sent_to(heavy).is_empty());
    for request in sent {
        fixture.end(request, fixture.sent_to(request)[0], AttemptOutcome::Completed, None);
        if !fixture.sent_to(light).is_empty() {
            break;
        }
    }
    assert!(fixture.sent_to(heavy).is_empty(), "the expensive request was sent first");
}
