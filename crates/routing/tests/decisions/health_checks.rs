//! When endpoints are health-checked, and what the result of a health check changes.

use ottersill_routing::interface::*;
use rstest::rstest;

use crate::common::*;

use Role::{Primary, Replica};

#[rstest]
#[case::all_send_reports(true, 0)]
#[case::one_sends_none(false, 1)]
fn polling_stops_once_all_report(#[case] all: bool, #[case] min_checks: usize) {
    let mut fixture = World::new(terms(false));
    (0..if all { 4 } else { 3 }).for_each(|endpoint| {
        fixture.report(endpoint, if endpoint == 0 { Primary } else { Replica }, 0.0);
    });
    fixture.book.0.clear();
    fixture.pass(0.4);
    fixture.now += 0.8;
    (0..if all { 4 } else { 3 }).for_each(|endpoint| {
        fixture.report(endpoint, if endpoint == 0 { Primary } else { Replica }, 0.0);
    });
    fixture.pass(0.1);
    assert!(fixture.count(Done::Probe(0)) >= min_checks);
    assert!(all == (fixture.count(Done::Probe(0)) == 0));
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
    let mut fixture = World::settled(true, [0.0, 9.0, 9.0]);
    let lost = fixture.ask(READ);
    fixture.now += 1.0;
    fixture.end(lost, 1, AttemptOutcome::ConnectFailed, None);
    fixture.pass(1.2);
    fixture.book.0.clear();
    fixture.router.on_health_check(
        fixture.now,
        1,
        outcome,
        LoadReport { lsn: Some(fixture.now), ..LoadReport::default() },
        &mut fixture.book,
    );
    let read = fixture.ask(READ);
    assert_eq!(fixture.sent_to(read) == [1], readmits);
}

/// Guards against too many health checks: each of hundreds of routers checked each endpoint every second, which made seven
/// health checks for each request.
#[rstest]
#[case::no_requests(0, 4)]
#[case::some_reads(20, 9)]
fn health_checks_are_funded_by_requests(#[case] reads: usize, #[case] max_checks: usize) {
    let mut fixture = World::new(RoutingConfig { reports: ReportSource::WithHealthChecks, ..terms(true) });
    for round in 0..500 {
        fixture.pass(0.02);
        let checked: Vec<usize> =
            (0..4).filter(|endpoint| fixture.count(Done::Probe(*endpoint)) > 0).collect();
        checked
            .into_iter()
            .for_each(|member| fixture.report(member, if member == 0 { Primary } else { Replica }, 0.0));
        if reads > 0 && round % (500 / reads) == 0 {
            let read = fixture.ask(READ);
            fixture
                .sent_to(read)
                .into_iter()
                .for_each(|endpoint| fixture.end(read, endpoint, AttemptOutcome::Completed, None));
        }
    }
    let checks = (0..4).map(|endpoint| fixture.count(Done::Probe(endpoint))).sum::<usize>();
    assert!((4..=max_checks).contains(&checks), "{checks}");
}
