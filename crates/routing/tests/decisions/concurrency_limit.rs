//! How many attempts an endpoint is sent at a time.

use ottersill_routing::interface::*;
use rstest::rstest;

use crate::common::*;

use Role::{Primary, Replica};

/// Found at full size: a limit of one at each of hundreds of routers is hundreds for a host. And with a list
/// that names hosts which do not exist: a member never heard of gets nothing.
#[rstest]
#[case::always_full(Some(AttemptOutcome::Refused), 2..30)]
#[case::quick(Some(AttemptOutcome::Completed), 40..41)]
#[case::never_heard(None, 0..1)]
fn a_host_gets_what_it_can_take(
    #[case] outcome: Option<AttemptOutcome>,
    #[case] expected: std::ops::Range<usize>,
) {
    let mut world = World::new(RoutingConfig { routers: 200, ..terms(true) });
    if outcome.is_some() {
        world.report(1, Replica, 0.0);
    }
    let mut sent = 0;
    for _ in 0..40 {
        let read = world.ask_with(READ, 0.1);
        let mut ended = 0;
        while let (Some(outcome), true) = (outcome, ended < world.sent_to(read).len()) {
            world.end(read, 1, outcome, None);
            ended += 1;
        }
        sent += ended;
        world.router.on_client_gone(read);
        world.pass(0.5);
    }
    assert!(expected.contains(&sent), "{sent}");
}

/// Found on a day with lagging replicas: reads fill half of the primary's limit, which grew only where it was full.
#[test]
fn a_primary_that_answers_reads_quickly_is_lent_more_of_them() {
    let mut world = World::settled(true, [0.0; 3]);
    (1..4).for_each(|endpoint| world.list(endpoint, EndpointState::Draining, None));
    let mut asked = Vec::new();
    for round in 0..160 {
        let more = if round < 150 { 12 } else { 0 };
        asked.extend((0..more).map(|_| world.ask(READ)));
        world.pass(0.02);
        // What waits is sent as others end, or given up.
        let (out, waits): (Vec<usize>, Vec<usize>) =
            asked.into_iter().partition(|request| world.sent_to(*request) == [0]);
        out.into_iter().for_each(|request| world.end(request, 0, AttemptOutcome::Completed, Some(Primary)));
        asked = waits;
    }
    let held = held_at(&mut world, READ, 0);
    assert!(held > 12, "{held}");
}

/// Found on a day with replaced hosts: long statements that timed out one after another closed members that answered
/// all others in a tenth of their SLO time; a member that answers nothing is still closed.
#[rstest]
#[case::answers_others(true, 3)]
#[case::answers_nothing(false, 0)]
fn time_outs_close_a_member_only_if_it_answers_nothing(#[case] answers: bool, #[case] least: usize) {
    let mut world = World::settled(true, [0.0; 3]);
    (0..3).for_each(|endpoint| world.list(endpoint, EndpointState::Draining, None));
    for _ in 0..30 {
        let (long, quick) = (world.ask(READ), world.ask(READ));
        world.pass(0.1);
        if answers {
            world.end(quick, 3, AttemptOutcome::Completed, Some(Replica));
        }
        world.pass(0.7);
        for request in [long].into_iter().chain((!answers).then_some(quick)) {
            if world.sent_to(request) == [3] {
                world.end(request, 3, AttemptOutcome::TimedOut, None);
            }
        }
    }
    let held = held_at(&mut world, READ, 3);
    assert!(if answers { held >= least } else { held == least }, "{held}");
}

/// A hundred heavy statements of a mixed workload make no member look crowded.
#[rstest]
#[case::known(work(0.29, 0.05, 0.02), true)]
#[case::unknown(None, false)]
fn heavy_shapes_close_no_member(#[case] work: Option<WorkEstimate>, #[case] open: bool) {
    let mut world = World::settled(true, [0.0; 3]);
    for _ in 0..100 {
        let request = world.ask_for(Request { work, ..statement(READ, 0.75) });
        let Some(endpoint) = world.sent_to(request).first().copied() else { continue };
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
        world.router.on_attempt_result(world.now, &result, &mut world.book);
        world.pass(0.04);
    }
    let placed = (0..50).filter(|_| !world.ask_and_place(READ).is_empty()).count();
    assert_eq!(placed == 50, open, "{placed} of 50 reads were placed");
}
