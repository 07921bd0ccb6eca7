//! When an endpoint is ejected, and when it comes back.

use ottersill_routing::interface::*;
use rstest::rstest;

use crate::common::*;

use Role::Replica;

/// Found in the first incidents: a hung member answers probes, so only executions tell of it.
#[test]
fn a_hung_member_is_left_out_and_its_reads_go_elsewhere() {
    let mut world = World::settled(true, [0.0, 9.0, 9.0]);
    let reads: Vec<usize> = (0..4).map(|_| world.ask_with(READ, 0.75)).collect();
    assert!(reads.iter().all(|read| world.sent_to(*read) == [1]));
    for _ in 0..10 {
        world.pass(0.02);
        (1..4).for_each(|endpoint| world.report(endpoint, Replica, 0.0));
    }
    assert_eq!(world.count(Done::Cancel(reads[0])), 1);
    world.end(reads[0], 1, AttemptOutcome::Cancelled, None);
    assert_ne!(world.sent_to(reads[0])[1], 1);
    let next = world.ask(READ);
    assert_ne!(world.sent_to(next), [1]);
}

/// Found in an incident: a router that had stalled took every member for silent, then for cold, and sent nothing.
#[rstest]
#[case::router_stalled(0.8, 0.0, true)]
#[case::member_silent(0.0, 0.8, false)]
fn a_stall_of_the_router_tells_nothing_of_members(
    #[case] stall: f64,
    #[case] wait: f64,
    #[case] trusted: bool,
) {
    let mut world = World::settled(true, [0.0, 9.0, 9.0]);
    let reads: Vec<usize> = (0..4).map(|_| world.ask_with(READ, 0.75)).collect();
    assert!(reads.iter().all(|read| world.sent_to(*read) == [1]));
    world.now += stall;
    world.pass(wait + 0.02);
    world.end(reads[0], 1, AttemptOutcome::TimedOut, None);
    world.report(1, Replica, 0.0);
    let next = world.ask(READ);
    assert_eq!(world.sent_to(next) == [1], trusted);
}

/// Found at full size: a connect that failed, or an answer that was lost, was taken for a restart, and the
/// member was eased in as cold. Only a probe that is not answered tells of an absence.
#[rstest]
#[case::refused_under_a_cap(AttemptOutcome::ConnectFailed, AttemptOutcome::Completed, true)]
#[case::answer_reset(AttemptOutcome::Reset, AttemptOutcome::Refused, true)]
#[case::away(AttemptOutcome::ConnectFailed, AttemptOutcome::TimedOut, false)]
fn only_absence_makes_a_member_cold(
    #[case] outcome: AttemptOutcome,
    #[case] probe: AttemptOutcome,
    #[case] warm: bool,
) {
    let mut world = World::settled(true, [0.0, 9.0, 9.0]);
    let read = world.ask(READ);
    world.end(read, 1, outcome, None);
    world.router.on_health_check(world.now, 1, probe, LoadReport::default(), &mut world.book);
    world.report(1, Replica, 0.0);
    let sent = (0..40).filter(|_| {
        let read = world.ask(READ);
        let there = world.sent_to(read) == [1];
        world
            .sent_to(read)
            .into_iter()
            .for_each(|endpoint| world.end(read, endpoint, AttemptOutcome::Completed, None));
        there
    });
    assert_eq!(sent.count() > 30, warm);
}

/// Found at full size: one lost answer made a member a suspect, though it answered everything else.
#[rstest]
#[case::one_lost(1, true)]
#[case::all_silent(3, false)]
fn one_lost_answer_is_no_silence(#[case] lost: usize, #[case] trusted: bool) {
    let mut world = World::settled(true, [0.0, 9.0, 9.0]);
    (0..lost).for_each(|_| assert_eq!([1], *world.ask_and_place(READ)));
    world.pass(0.5);
    assert_eq!(world.ask_and_place(READ) == [1], trusted);
}

/// Found with squeezed connections: one that was refused made a suspect of a member that answers others.
#[rstest]
#[case::answered_lately(0.1, true)]
#[case::answered_long_ago(2.0, false)]
fn a_refused_connection_weighs_little_against_an_answer(#[case] since: f64, #[case] trusted: bool) {
    let mut world = World::settled(true, [0.0, 9.0, 9.0]);
    for (wait, outcome) in [(since, AttemptOutcome::Completed), (0.0, AttemptOutcome::ConnectFailed)] {
        let read = world.ask(READ);
        world.end(read, 1, outcome, None);
        world.now += wait;
    }
    assert_eq!(world.ask_and_place(READ) == [1], trusted);
}
