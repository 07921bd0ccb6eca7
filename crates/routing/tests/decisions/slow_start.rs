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
    let mut fixture = World::settled(true, [0.0; 3]);
    fixture.list(1, EndpointState::Ready, Some(fixture.now - age_seconds));
    let mut sent = [0; 4];
    for _ in 0..200 {
        let read = fixture.ask(READ);
        fixture.pass(0.01);
        for endpoint in fixture.sent_to(read) {
            sent[endpoint] += 1;
            fixture.end(read, endpoint, AttemptOutcome::Completed, None);
        }
        if read % 20 == 0 {
            (1..4).for_each(|endpoint| fixture.report(endpoint, Replica, 0.0));
        }
    }
    let fraction = f64::from(sent[1]) / f64::from(sent[2].max(sent[3]));
    assert!(fraction > 0.0 && fraction < max_fraction, "{sent:?}");
}

/// Guards against a group that is sent nothing: while all of its endpoints warm up, there is no warm one to compare with.
#[test]
fn a_group_whose_endpoints_all_warm_up_is_sent_requests() {
    let mut fixture = World::settled(true, [0.0; 3]);
    for round in 0..500 {
        if round == 200 {
            (0..4).for_each(|endpoint| fixture.list(endpoint, EndpointState::Ready, Some(fixture.now)));
            fixture.book.0.clear();
        }
        fixture.pass(0.02);
        (1..4).for_each(|endpoint| fixture.report(endpoint, Replica, 0.0));
        let read = fixture.ask(READ);
        for endpoint in fixture.sent_to(read) {
            fixture.end(read, endpoint, AttemptOutcome::Completed, None);
        }
    }
    let sent = (0..500).map(|request| fixture.sent_to(request).len()).sum::<usize>();
    assert!((5..100).contains(&sent), "{sent}");
}

/// Guards against an overloaded warming endpoint: the sample that admits a request there is drawn once for each request, so a
/// warming primary whose attempts failed at once got each admitted request up to six times. That was 3.0 times its capacity,
/// and it failed under the load.
#[rstest]
#[case::writes_that_fail(MARKED, 0, AttemptOutcome::Error)]
#[case::reads_at_wrong_endpoint(READ, 1, AttemptOutcome::WrongEndpoint)]
#[case::reads_refused_as_full(READ, 1, AttemptOutcome::Refused)]
#[case::connections_refused(READ, 1, AttemptOutcome::ConnectFailed)]
fn a_warming_endpoint_gets_no_request_twice_in_a_row(
    #[case] workload: usize,
    #[case] endpoint: usize,
    #[case] outcome: AttemptOutcome,
) {
    let mut fixture = World::settled(true, [0.0; 3]);
    (0..4).for_each(|endpoint| fixture.list(endpoint, EndpointState::Ready, Some(fixture.now - 8.0)));
    let (mut sent, mut max_in_a_row) = (0, 0);
    for _ in 0..100 {
        fixture.pass(0.02);
        let request = fixture.ask(workload);
        for _ in 0..8 {
            let attempts = fixture.sent_to(request);
            let Some(last) = attempts.last() else { break };
            fixture.end(request, *last, outcome, None);
            // Its role and position are reported at once, as by a health check.
            fixture.report(endpoint, if endpoint == 0 { Primary } else { Replica }, 0.0);
            if fixture.sent_to(request).len() == attempts.len() {
                break;
            }
        }
        let attempts = fixture.sent_to(request);
        sent += attempts.iter().filter(|at| **at == endpoint).count();
        max_in_a_row = max_in_a_row.max(attempts.windows(2).filter(|pair| pair[0] == pair[1]).count());
    }
    assert!(
        sent > 0 && max_in_a_row == 0,
        "{sent} attempts, at most {max_in_a_row} repeated at once for one request"
    );
}
