//! How many attempts an endpoint is sent at a time.

use ottersill_routing::interface::*;
use rstest::rstest;

use crate::common::*;

use Role::{Primary, Replica};

/// Guards against two overloads: a limit of one attempt at each of hundreds of routers adds up to hundreds of
/// attempts at one endpoint; and an endpoint list may contain endpoints that do not exist, so an endpoint that has never
/// reported is sent nothing.
#[rstest]
#[case::always_full(Some(AttemptOutcome::Refused), 2..30)]
#[case::quick(Some(AttemptOutcome::Completed), 40..41)]
#[case::never_reported(None, 0..1)]
fn an_endpoint_is_sent_no_more_than_it_can_serve(
    #[case] outcome: Option<AttemptOutcome>,
    #[case] expected: std::ops::Range<usize>,
) {
    let mut simulation = Simulation::new(RoutingConfig { routers: 200, ..config(true) });
    if outcome.is_some() {
        simulation.report(1, Replica, 0.0);
    }
    let mut sent = 0;
    for _ in 0..40 {
        let read = simulation.send_request_with_time_left(READ, 0.1);
        let mut ended = 0;
        while let (Some(outcome), true) = (outcome, ended < simulation.sent_to(read).len()) {
            simulation.end_attempt(read, 1, outcome, None);
            ended += 1;
        }
        sent += ended;
        simulation.router.on_client_gone(read);
        simulation.advance(0.5);
    }
    assert!(expected.contains(&sent), "{sent}");
}

/// Guards against a limit that never grows: reads may use only half of the primary's limit, so while replicas lag they
/// never fill it, and a limit that grows only when full stays as it is.
#[test]
fn a_primary_that_answers_reads_quickly_is_sent_more_of_them() {
    let mut simulation = Simulation::with_reports(true, [0.0; 3]);
    (1..4).for_each(|endpoint| simulation.update_endpoint(endpoint, EndpointState::Draining, None));
    let mut asked = Vec::new();
    for round in 0..160 {
        let arrivals = if round < 150 { 12 } else { 0 };
        asked.extend((0..arrivals).map(|_| simulation.send_request(READ)));
        simulation.advance(0.02);
        // Waiting requests are sent as others end, or rejected.
        let (sent, waiting): (Vec<usize>, Vec<usize>) =
            asked.into_iter().partition(|request| simulation.sent_to(*request) == [0]);
        sent.into_iter()
            .for_each(|request| simulation.end_attempt(request, 0, AttemptOutcome::Completed, Some(Primary)));
        asked = waiting;
    }
    let in_flight = count_sent_to(&mut simulation, READ, 0);
    assert!(in_flight > 12, "{in_flight}");
}

/// Guards against endpoints that are closed by a few long requests: their time-outs, one after another, lowered the limit
/// of endpoints that answered all other requests in a tenth of their SLO time. An endpoint that answers nothing is still
/// closed.
#[rstest]
#[case::answers_others(true, 3)]
#[case::answers_nothing(false, 0)]
fn time_outs_close_an_endpoint_only_if_it_answers_nothing(
    #[case] answers: bool,
    #[case] min_in_flight: usize,
) {
    let mut simulation = Simulation::with_reports(true, [0.0; 3]);
    (0..3).for_each(|endpoint| simulation.update_endpoint(endpoint, EndpointState::Draining, None));
    for _ in 0..30 {
        let (long, quick) = (simulation.send_request(READ), simulation.send_request(READ));
        simulation.advance(0.1);
        if answers {
            simulation.end_attempt(quick, 3, AttemptOutcome::Completed, Some(Replica));
        }
        simulation.advance(0.7);
        for request in [long].into_iter().chain((!answers).then_some(quick)) {
            if simulation.sent_to(request) == [3] {
                simulation.end_attempt(request, 3, AttemptOutcome::TimedOut, None);
            }
        }
    }
    let in_flight = count_sent_to(&mut simulation, READ, 3);
    assert!(if answers { in_flight >= min_in_flight } else { in_flight == min_in_flight }, "{in_flight}");
}

/// A hundred expensive requests with a known estimate, in a workload that also has cheap ones, do not make an endpoint
/// look overloaded.
#[rstest]
#[case::known(work_estimate(0.29, 0.05, 0.02), true)]
#[case::unknown(None, false)]
fn requests_known_to_be_expensive_close_no_endpoint(
    #[case] work: Option<WorkEstimate>,
    #[case] stays_open: bool,
) {
    let mut simulation = Simulation::with_reports(true, [0.0; 3]);
    for _ in 0..100 {
        let request = simulation.send(Request { work, ..request(READ, 0.75) });
        let Some(endpoint) = simulation.sent_to(request).first().copied() else { continue };
        let observed = LoadReport::default();
        let result = AttemptResult {
            request,
            endpoint,
            outcome: AttemptOutcome::Completed,
            elapsed: 0.29,
            has_final_answer: true,
            observed,
            report: None,
        };
        simulation.router.on_attempt_result(simulation.now, &result, &mut simulation.transport);
        simulation.advance(0.04);
    }
    let placed = (0..50).filter(|_| !simulation.send_and_get_endpoints(READ).is_empty()).count();
    assert_eq!(placed == 50, stays_open, "{placed} of 50 reads were placed");
}
