//! When an endpoint is ejected, and when it is readmitted.

use ottersill_routing::interface::*;
use rstest::rstest;

use crate::common::*;

use Role::Replica;

/// A hung endpoint still answers health checks, so only attempts reveal that it hangs.
#[test]
fn a_hung_endpoint_is_ejected_and_its_reads_are_retried_elsewhere() {
    let mut simulation = Simulation::with_reports(true, [0.0, 9.0, 9.0]);
    let reads: Vec<usize> = (0..4).map(|_| simulation.send_request_with_time_left(READ, 0.75)).collect();
    assert!(reads.iter().all(|read| simulation.sent_to(*read) == [1]));
    for _ in 0..10 {
        simulation.advance(0.02);
        (1..4).for_each(|endpoint| simulation.report(endpoint, Replica, 0.0));
    }
    assert_eq!(simulation.count(TransportCall::CancelAttempt(reads[0])), 1);
    simulation.end_attempt(reads[0], 1, AttemptOutcome::Cancelled, None);
    assert_ne!(simulation.sent_to(reads[0])[1], 1);
    let next = simulation.send_request(READ);
    assert_ne!(simulation.sent_to(next), [1]);
}

/// Guards against a stall of the router that ejects endpoints: after it, the router treated every endpoint as silent, then
/// as warming, and sent nothing.
#[rstest]
#[case::router_stalled(0.8, 0.0, true)]
#[case::endpoint_silent(0.0, 0.8, false)]
fn a_stall_of_the_router_ejects_no_endpoint(
    #[case] stall_seconds: f64,
    #[case] wait_seconds: f64,
    #[case] is_used: bool,
) {
    let mut simulation = Simulation::with_reports(true, [0.0, 9.0, 9.0]);
    let reads: Vec<usize> = (0..4).map(|_| simulation.send_request_with_time_left(READ, 0.75)).collect();
    assert!(reads.iter().all(|read| simulation.sent_to(*read) == [1]));
    simulation.now += stall_seconds;
    simulation.advance(wait_seconds + 0.02);
    simulation.end_attempt(reads[0], 1, AttemptOutcome::TimedOut, None);
    simulation.report(1, Replica, 0.0);
    let next = simulation.send_request(READ);
    assert_eq!(simulation.sent_to(next) == [1], is_used);
}

/// Guards against a needless slow start: a failed connection, or a lost answer, was treated as a restart, and the endpoint
/// warmed up again. Only an unanswered health check shows that the process is gone.
#[rstest]
#[case::connection_refused_by_a_cap(AttemptOutcome::ConnectFailed, AttemptOutcome::Completed, true)]
#[case::answer_reset(AttemptOutcome::Reset, AttemptOutcome::Refused, true)]
#[case::unreachable(AttemptOutcome::ConnectFailed, AttemptOutcome::TimedOut, false)]
fn only_an_unreachable_endpoint_warms_up_again(
    #[case] outcome: AttemptOutcome,
    #[case] health_check: AttemptOutcome,
    #[case] stays_warm: bool,
) {
    let mut simulation = Simulation::with_reports(true, [0.0, 9.0, 9.0]);
    let read = simulation.send_request(READ);
    simulation.end_attempt(read, 1, outcome, None);
    simulation.router.on_health_check(
        simulation.now,
        1,
        health_check,
        LoadReport::default(),
        &mut simulation.transport,
    );
    simulation.report(1, Replica, 0.0);
    let sent = (0..40).filter(|_| {
        let read = simulation.send_request(READ);
        let is_sent_there = simulation.sent_to(read) == [1];
        simulation
            .sent_to(read)
            .into_iter()
            .for_each(|endpoint| simulation.end_attempt(read, endpoint, AttemptOutcome::Completed, None));
        is_sent_there
    });
    assert_eq!(sent.count() > 30, stays_warm);
}

/// Guards against the ejection of an endpoint because of one lost answer, although it answers everything else.
#[rstest]
#[case::one_lost(1, true)]
#[case::all_silent(3, false)]
fn one_lost_answer_ejects_no_endpoint(#[case] lost: usize, #[case] is_used: bool) {
    let mut simulation = Simulation::with_reports(true, [0.0, 9.0, 9.0]);
    (0..lost).for_each(|_| assert_eq!([1], *simulation.send_and_get_endpoints(READ)));
    simulation.advance(0.5);
    assert_eq!(simulation.send_and_get_endpoints(READ) == [1], is_used);
}

/// Guards against the ejection of an endpoint because of one refused connection: where connections are capped, some are
/// refused by an endpoint that answers others.
#[rstest]
#[case::answered_recently(0.1, true)]
#[case::answered_long_ago(2.0, false)]
fn a_refused_connection_after_a_recent_answer_ejects_no_endpoint(
    #[case] seconds_since_answer: f64,
    #[case] is_used: bool,
) {
    let mut simulation = Simulation::with_reports(true, [0.0, 9.0, 9.0]);
    for (wait, outcome) in
        [(seconds_since_answer, AttemptOutcome::Completed), (0.0, AttemptOutcome::ConnectFailed)]
    {
        let read = simulation.send_request(READ);
        simulation.end_attempt(read, 1, outcome, None);
        simulation.now += wait;
    }
    assert_eq!(simulation.send_and_get_endpoints(READ) == [1], is_used);
}
