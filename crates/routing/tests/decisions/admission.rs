//! Which requests are rejected at once, which ones wait, in which order waiting requests are sent, and when they are
//! rejected.

use ottersill_routing::interface::*;
use rstest::rstest;

use crate::common::*;

use Role::{Primary, Replica};

/// Invariant: every request gets one final answer before its client's deadline, even if no attempt can be sent.
#[rstest]
#[case(READ, 0.75)]
#[case(LONG_READ, 6.0)]
#[case(WRITE, 0.4)]
#[case(DEDUPLICATED_WRITE, 2.0)]
fn a_request_that_cannot_be_sent_is_rejected_once_before_its_deadline(
    #[case] workload: usize,
    #[case] time_left: f64,
) {
    let mut simulation = Simulation::with_reports(false, [5.0; 3]);
    (0..4).for_each(|endpoint| simulation.update_endpoint(endpoint, EndpointState::Removed, None));
    let request = simulation.send_request_with_time_left(workload, time_left);
    simulation.advance(time_left);
    assert_eq!((simulation.count(TransportCall::Reject(request)), simulation.sent_to(request).len()), (1, 0));
}

/// Guards against replicas that stay behind permanently: under overload, where replicas apply the log slowly, all of them
/// fell behind and did not catch up while writes were admitted.
#[rstest]
#[case::replicas_behind([3.0; 3], true)]
#[case::replicas_fresh([0.0; 3], false)]
fn writes_are_throttled_while_replica_lag_costs_reads(#[case] lags: [f64; 3], #[case] throttled: bool) {
    let mut simulation = Simulation::with_reports(true, lags);
    let mut rejected = 0;
    for round in 0..400 {
        simulation.advance(0.02);
        (0..3).for_each(|_| {
            simulation.send_request(READ);
        });
        if round % 4 == 0 {
            let write = simulation.send_request(WRITE);
            rejected += simulation.count(TransportCall::Reject(write));
            for endpoint in simulation.sent_to(write) {
                simulation.end_attempt(write, endpoint, AttemptOutcome::Completed, Some(Primary));
            }
        }
        if round % 10 == 0 {
            simulation.report(0, Primary, 0.0);
            (1..4).for_each(|endpoint| simulation.report(endpoint, Replica, lags[endpoint - 1]));
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
    let mut config = config(false);
    // A late answer still has some value, so the request may wait beyond its SLO time.
    config.workloads[WRITE].late_value_fraction = 0.3;
    let mut simulation = Simulation::new(config);
    simulation.report(0, Primary, 0.0);
    if !sent {
        simulation.update_endpoint(0, EndpointState::Draining, None);
    }
    let write = simulation.send_request(WRITE);
    if sent {
        simulation.update_endpoint(0, EndpointState::Draining, None);
        simulation.end_attempt(write, 0, AttemptOutcome::ConnectFailed, None);
    }
    simulation.advance(0.9);
    assert_eq!(simulation.count(TransportCall::Reject(write)), 0);
    simulation.advance(0.1);
    assert_eq!(simulation.count(TransportCall::Reject(write)), rejected);
}

/// Whether a request with this work estimate is still sent with this little time left.
#[rstest]
#[case::usual(READ, None, 0.1, true)]
#[case::heavy(READ, work_estimate(0.25, 0.05, 0.1), 0.1, false)]
#[case::heavy_with_time(READ, work_estimate(0.25, 0.05, 0.1), 0.7, true)]
#[case::heavy_by_an_uncertain_estimate(READ, work_estimate(0.25, 0.05, 0.75), 0.1, true)]
#[case::light(LONG_READ, work_estimate(0.05, 0.5, 0.1), 0.2, true)]
#[case::usual_without_time(LONG_READ, None, 0.2, false)]
fn a_work_estimate_decides_whether_an_attempt_can_finish_in_time(
    #[case] workload: usize,
    #[case] work: Option<WorkEstimate>,
    #[case] time_left: f64,
    #[case] is_sent: bool,
) {
    let mut simulation = Simulation::with_reports(true, [0.0; 3]);
    let request = simulation.send(Request { work, ..request(workload, time_left) });
    assert_eq!(!simulation.sent_to(request).is_empty(), is_sent, "{:?}", simulation.transport.0);
}

/// While all endpoints are full, a cheap request that waits is sent before an expensive one that arrived later.
#[test]
fn waiting_requests_are_sent_in_the_order_of_their_work() {
    let mut simulation = Simulation::with_reports(true, [0.0; 3]);
    let all: Vec<usize> = (0..200).map(|_| simulation.send_request(READ)).collect();
    let sent: Vec<usize> =
        all.into_iter().filter(|request| !simulation.sent_to(*request).is_empty()).collect();
    let light = simulation.send(Request { work: work_estimate(0.005, 0.05, 0.05), ..request(READ, 0.75) });
    let heavy = simulation.send(Request { work: work_estimate(0.15, 0.05, 0.05), ..request(READ, 0.75) });
    assert!(simulation.sent_to(light).is_empty() && simulation.sent_to(heavy).is_empty());
    for request in sent {
        simulation.end_attempt(request, simulation.sent_to(request)[0], AttemptOutcome::Completed, None);
        if !simulation.sent_to(light).is_empty() {
            break;
        }
    }
    assert!(simulation.sent_to(heavy).is_empty(), "the expensive request was sent first");
}
