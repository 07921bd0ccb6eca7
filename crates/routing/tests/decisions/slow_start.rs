//! How many requests are sent to endpoints that have just started.

use ottersill_routing::interface::*;
use rstest::rstest;

use crate::common::*;

use Role::{Primary, Replica};

/// Invariant: a warming endpoint is not overloaded. It is sent its fraction of what warm endpoints are sent, and no more.
#[rstest]
#[case::just_started(0.0, 0.3)]
#[case::half_way(5.0, 0.8)]
fn a_warming_endpoint_is_sent_its_capacity_fraction(#[case] age_seconds: f64, #[case] max_fraction: f64) {
    let mut simulation = Simulation::with_reports(true, [0.0; 3]);
    simulation.update_endpoint(1, EndpointState::Ready, Some(simulation.now - age_seconds));
    let mut sent = [0; 4];
    for _ in 0..200 {
        let read = simulation.send_request(READ);
        simulation.advance(0.01);
        for endpoint in simulation.sent_to(read) {
            sent[endpoint] += 1;
            simulation.end_attempt(read, endpoint, AttemptOutcome::Completed, None);
        }
        if read % 20 == 0 {
            (1..4).for_each(|endpoint| simulation.report(endpoint, Replica, 0.0));
        }
    }
    let fraction = f64::from(sent[1]) / f64::from(sent[2].max(sent[3]));
    assert!(fraction > 0.0 && fraction < max_fraction, "{sent:?}");
}

/// Guards against a group that is sent nothing: while all of its endpoints warm up, there is no warm one to compare with.
#[test]
fn a_group_whose_endpoints_all_warm_up_is_sent_requests() {
    let mut simulation = Simulation::with_reports(true, [0.0; 3]);
    for round in 0..500 {
        if round == 200 {
            (0..4).for_each(|endpoint| {
                simulation.update_endpoint(endpoint, EndpointState::Ready, Some(simulation.now));
            });
            simulation.transport.0.clear();
        }
        simulation.advance(0.02);
        (1..4).for_each(|endpoint| simulation.report(endpoint, Replica, 0.0));
        let read = simulation.send_request(READ);
        for endpoint in simulation.sent_to(read) {
            simulation.end_attempt(read, endpoint, AttemptOutcome::Completed, None);
        }
    }
    let sent = (0..500).map(|request| simulation.sent_to(request).len()).sum::<usize>();
    assert!((5..100).contains(&sent), "{sent}");
}

/// Guards against an overloaded warming endpoint: the sample that admits a request there is drawn once for each request, so a
/// warming primary whose attempts failed at once got each admitted request up to six times. That was 3.0 times its capacity,
/// and it failed under the load.
#[rstest]
#[case::writes_that_fail(DEDUPLICATED_WRITE, 0, AttemptOutcome::Error)]
#[case::reads_at_wrong_endpoint(READ, 1, AttemptOutcome::WrongEndpoint)]
#[case::reads_refused_as_full(READ, 1, AttemptOutcome::Refused)]
#[case::connections_refused(READ, 1, AttemptOutcome::ConnectFailed)]
fn a_warming_endpoint_gets_no_request_twice_in_a_row(
    #[case] workload: usize,
    #[case] endpoint: usize,
    #[case] outcome: AttemptOutcome,
) {
    let mut simulation = Simulation::with_reports(true, [0.0; 3]);
    (0..4).for_each(|endpoint| {
        simulation.update_endpoint(endpoint, EndpointState::Ready, Some(simulation.now - 8.0));
    });
    let (mut sent, mut max_in_a_row) = (0, 0);
    for _ in 0..100 {
        simulation.advance(0.02);
        let request = simulation.send_request(workload);
        for _ in 0..8 {
            let attempts = simulation.sent_to(request);
            let Some(last) = attempts.last() else { break };
            simulation.end_attempt(request, *last, outcome, None);
            // Its role and position are reported at once, as by a health check.
            simulation.report(endpoint, if endpoint == 0 { Primary } else { Replica }, 0.0);
            if simulation.sent_to(request).len() == attempts.len() {
                break;
            }
        }
        let attempts = simulation.sent_to(request);
        sent += attempts.iter().filter(|at| **at == endpoint).count();
        max_in_a_row = max_in_a_row.max(attempts.windows(2).filter(|pair| pair[0] == pair[1]).count());
    }
    assert!(
        sent > 0 && max_in_a_row == 0,
        "{sent} attempts, at most {max_in_a_row} repeated at once for one request"
    );
}
