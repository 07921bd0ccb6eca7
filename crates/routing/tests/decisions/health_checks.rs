//! When endpoints are health-checked, and what the result of a health check changes.

use ottersill_routing::interface::*;
use rstest::rstest;

use crate::common::*;

use Role::{Primary, Replica};

#[rstest]
#[case::all_send_reports(true, 0)]
#[case::one_sends_none(false, 1)]
fn polling_stops_once_all_report(#[case] all_send_reports: bool, #[case] min_checks: usize) {
    let mut simulation = Simulation::new(config(false));
    (0..if all_send_reports { 4 } else { 3 }).for_each(|endpoint| {
        simulation.report(endpoint, if endpoint == 0 { Primary } else { Replica }, 0.0);
    });
    simulation.transport.0.clear();
    simulation.advance(0.4);
    simulation.now += 0.8;
    (0..if all_send_reports { 4 } else { 3 }).for_each(|endpoint| {
        simulation.report(endpoint, if endpoint == 0 { Primary } else { Replica }, 0.0);
    });
    simulation.advance(0.1);
    assert!(simulation.count(TransportCall::StartHealthCheck(0)) >= min_checks);
    assert!(all_send_reports == (simulation.count(TransportCall::StartHealthCheck(0)) == 0));
}

/// Guards against a wrong readmission: a health check for which this router had no descriptor was treated as answered, and
/// its endpoint was no longer ejected.
#[rstest]
#[case::never_sent(AttemptOutcome::NeverSent, false)]
#[case::answered(AttemptOutcome::Completed, true)]
fn a_health_check_that_was_not_sent_readmits_no_endpoint(
    #[case] outcome: AttemptOutcome,
    #[case] readmits: bool,
) {
    let mut simulation = Simulation::with_reports(true, [0.0, 9.0, 9.0]);
    let lost = simulation.send_request(READ);
    simulation.now += 1.0;
    simulation.end_attempt(lost, 1, AttemptOutcome::ConnectFailed, None);
    simulation.advance(1.2);
    simulation.transport.0.clear();
    simulation.router.on_health_check(
        simulation.now,
        1,
        outcome,
        LoadReport { lsn: Some(simulation.now), ..LoadReport::default() },
        &mut simulation.transport,
    );
    let read = simulation.send_request(READ);
    assert_eq!(simulation.sent_to(read) == [1], readmits);
}

/// Guards against too many health checks: each of hundreds of routers checked each endpoint every second, which made seven
/// health checks for each request.
#[rstest]
#[case::no_requests(0, 4)]
#[case::some_reads(20, 9)]
fn health_checks_are_funded_by_requests(#[case] reads: usize, #[case] max_checks: usize) {
    let mut simulation =
        Simulation::new(RoutingConfig { reports: ReportSource::WithHealthChecks, ..config(true) });
    for round in 0..500 {
        simulation.advance(0.02);
        let checked: Vec<usize> = (0..4)
            .filter(|endpoint| simulation.count(TransportCall::StartHealthCheck(*endpoint)) > 0)
            .collect();
        checked
            .into_iter()
            .for_each(|member| simulation.report(member, if member == 0 { Primary } else { Replica }, 0.0));
        if reads > 0 && round % (500 / reads) == 0 {
            let read = simulation.send_request(READ);
            simulation
                .sent_to(read)
                .into_iter()
                .for_each(|endpoint| simulation.end_attempt(read, endpoint, AttemptOutcome::Completed, None));
        }
    }
    let checks =
        (0..4).map(|endpoint| simulation.count(TransportCall::StartHealthCheck(endpoint))).sum::<usize>();
    assert!((4..=max_checks).contains(&checks), "{checks} health checks");
}

/// Time limit of health checks in the settings.
const USUAL_LIMIT: f64 = 0.25;

/// Waits for a health check of endpoint 1, and ends it after `seconds` or its time limit. Returns the limit.
fn check_that_takes(simulation: &mut Simulation, seconds: f64, outcome: AttemptOutcome) -> f64 {
    simulation.transport.0.clear();
    simulation.send_request(WRITE);
    while simulation.count(TransportCall::StartHealthCheck(1)) == 0 {
        simulation.advance(0.02);
    }
    let limit = simulation.router.health_check_time_limit(1, USUAL_LIMIT);
    let is_late = seconds > limit;
    let outcome = if is_late { AttemptOutcome::TimedOut } else { outcome };
    simulation.advance(seconds.min(limit));
    let report = LoadReport::default();
    simulation.router.on_health_check(simulation.now, 1, outcome, report, &mut simulation.transport);
    limit
}

/// Guards against an endpoint that is never heard because its health checks always take longer than their limit: the limit grows
/// until one is answered, and stays above the time that they take. An endpoint that is gone is not waited for any longer.
#[rstest]
#[case::slow(0.4, AttemptOutcome::Completed, &[0.25, 0.5], 0.4)]
#[case::very_slow(1.5, AttemptOutcome::Completed, &[0.25, 0.5, 1.0, 2.0], 1.5)]
#[case::silent(9.0, AttemptOutcome::Completed, &[0.25, 0.5, 1.0, 2.0, 2.0], 2.0)]
#[case::quick(0.1, AttemptOutcome::Completed, &[0.25, 0.25], 0.25)]
#[case::gone(0.1, AttemptOutcome::ConnectFailed, &[0.25, 0.25], 0.25)]
fn the_time_limit_of_health_checks_grows_until_one_is_answered(
    #[case] seconds: f64,
    #[case] outcome: AttemptOutcome,
    #[case] limits: &[f64],
    #[case] at_least_then: f64,
) {
    let mut simulation = Simulation::new(config(true));
    for limit in limits {
        assert_eq!(check_that_takes(&mut simulation, seconds, outcome), *limit);
    }
    for _ in 0..20 {
        let limit = check_that_takes(&mut simulation, seconds, outcome);
        assert!((at_least_then..=2.0).contains(&limit), "{limit}");
    }
    // Once checks are quick again, or the endpoint is gone, the usual limit holds.
    check_that_takes(&mut simulation, 0.1, outcome);
    assert_eq!(check_that_takes(&mut simulation, 0.1, outcome), USUAL_LIMIT);
}

/// Guards against an endpoint with slow health checks that is never heard where some of them are not sent, for instance because the
/// fleet's budget has none left: a check that took no time was recorded as a quick answer, and the limit began anew.
#[test]
fn a_health_check_that_was_not_sent_leaves_the_time_limit_as_it_is() {
    let mut simulation = Simulation::new(config(true));
    for limit in [0.25, 0.5, 1.0] {
        assert_eq!(check_that_takes(&mut simulation, 1.5, AttemptOutcome::Completed), limit);
        check_that_takes(&mut simulation, 0.0, AttemptOutcome::NeverSent);
    }
    assert_eq!(check_that_takes(&mut simulation, 1.5, AttemptOutcome::Completed), 2.0);
    check_that_takes(&mut simulation, 0.0, AttemptOutcome::NeverSent);
    assert!(check_that_takes(&mut simulation, 1.5, AttemptOutcome::Completed) >= 1.5);
}
