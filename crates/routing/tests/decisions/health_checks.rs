//! When endpoints are checked, and what a check tells.

use ottersill_routing::interface::*;
use rstest::rstest;

use crate::common::*;

use Role::{Primary, Replica};

#[rstest]
#[case::all_send_reports(true, 0)]
#[case::one_is_silent(false, 1)]
fn polling_stops_once_all_report(#[case] all: bool, #[case] least: usize) {
    let mut world = World::new(terms(false));
    (0..if all { 4 } else { 3 }).for_each(|endpoint| {
        world.report(endpoint, if endpoint == 0 { Primary } else { Replica }, 0.0);
    });
    world.book.0.clear();
    world.pass(0.4);
    world.now += 0.8;
    (0..if all { 4 } else { 3 }).for_each(|endpoint| {
        world.report(endpoint, if endpoint == 0 { Primary } else { Replica }, 0.0);
    });
    world.pass(0.1);
    assert!(world.count(Done::Probe(0)) >= least);
    assert!(all == (world.count(Done::Probe(0)) == 0));
}

/// A probe that this router had no descriptor for was taken for one that was answered, and cleared its member.
#[rstest]
#[case::never_sent(AttemptOutcome::NeverSent, false)]
#[case::answered(AttemptOutcome::Completed, true)]
fn a_probe_that_was_not_sent_clears_nobody(#[case] outcome: AttemptOutcome, #[case] clears: bool) {
    let mut world = World::settled(true, [0.0, 9.0, 9.0]);
    let lost = world.ask(READ);
    world.now += 1.0;
    world.end(lost, 1, AttemptOutcome::ConnectFailed, None);
    world.pass(1.2);
    world.book.0.clear();
    world.router.on_health_check(
        world.now,
        1,
        outcome,
        LoadReport { lsn: Some(world.now), ..LoadReport::default() },
        &mut world.book,
    );
    let read = world.ask(READ);
    assert_eq!(world.sent_to(read) == [1], clears);
}

/// Found at full size: hundreds of routers probed each host every second, seven probes for each statement.
#[rstest]
#[case::nothing_asked(0, 4)]
#[case::some_reads(20, 9)]
fn probes_follow_statements(#[case] reads: usize, #[case] most: usize) {
    let mut world = World::new(RoutingConfig { reports: ReportSource::WithHealthChecks, ..terms(true) });
    for round in 0..500 {
        world.pass(0.02);
        let probed: Vec<usize> = (0..4).filter(|endpoint| world.count(Done::Probe(*endpoint)) > 0).collect();
        probed
            .into_iter()
            .for_each(|endpoint| world.report(endpoint, if endpoint == 0 { Primary } else { Replica }, 0.0));
        if reads > 0 && round % (500 / reads) == 0 {
            let read = world.ask(READ);
            world
                .sent_to(read)
                .into_iter()
                .for_each(|endpoint| world.end(read, endpoint, AttemptOutcome::Completed, None));
        }
    }
    let probes = (0..4).map(|endpoint| world.count(Done::Probe(endpoint))).sum::<usize>();
    assert!((4..=most).contains(&probes), "{probes}");
}
