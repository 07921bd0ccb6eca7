//! Reads get data that is as recent as they need, and each session its own writes.

use ottersill_routing::interface::*;
use rstest::rstest;

use crate::common::*;

use Role::{Primary, Replica};

/// Which member takes a read of data at most a second old.
#[rstest]
#[case::only_fresh_one(false, [2.0, 0.1, 3.0], &[2])]
#[case::none_fresh_most_advanced(true, [2.0, 1.5, 3.0], &[2])]
#[case::none_fresh_unchecked_waits_for_primary(false, [2.0, 1.5, 3.0], &[0])]
fn reads_go_to_fresh_members(#[case] checks: bool, #[case] lags: [f64; 3], #[case] expected: &[usize]) {
    let mut world = World::settled(checks, lags);
    let read = world.ask(READ);
    world.pass(0.06);
    assert_eq!(world.sent_to(read), expected);
}

/// What happens between a session's write and its read.
#[derive(Clone, Copy, Debug)]
enum Between {
    /// The write's answer tells its commit, so long ago.
    Told(f64),
    /// The answer broke off behind its row: the commit is not told.
    Untold,
    /// No answer at all; it may have run.
    Lost,
    /// Its answer has not come, or half of it.
    Out,
    /// It never ran.
    TurnedAway,
    /// Two writes, of which the earlier one is answered last.
    Overtaken,
    /// All members have it, then another one joins from an older copy.
    Joined,
    /// Ten thousand other sessions write too, and one replica never comes up to them.
    Crowded,
}

/// Rule: no stale read. A session sees what it has written through this router, where hosts answer from whatever they have. Seen
/// on short days of a made-up customer: the write was served from a connection that broke off behind the row, its commit came
/// behind that, and the session's next read went to a replica a second behind.
#[rstest]
#[case::seen(Between::Told(2.0), true)]
#[case::not_yet(Between::Told(0.5), false)]
#[case::untold(Between::Untold, false)]
#[case::lost(Between::Lost, false)]
#[case::out(Between::Out, false)]
#[case::turned_away(Between::TurnedAway, true)]
#[case::overtaken(Between::Overtaken, false)]
#[case::joined(Between::Joined, false)]
#[case::crowded(Between::Crowded, false)]
fn a_session_sees_its_own_writes(#[case] between: Between, #[case] taken: bool) {
    let mut all = RoutingConfig { must_remember_writes: true, ..terms(false) };
    all.workloads[READ].consistency = Consistency::Session;
    let mut world = World::new(all);
    world.report(0, Primary, 0.0);
    // One replica, which lags by a second.
    world.list(2, EndpointState::Removed, None);
    world.list(3, EndpointState::Removed, None);
    world.report(1, Replica, 1.0);
    let ask = |world: &mut World, workload, session| {
        world.ask_for(Request { session: Some(session), ..statement(workload, 2.0) })
    };
    let ended = |world: &mut World, write, outcome, lsn| {
        let observed = LoadReport { role: Some(Primary), lsn, utilization: None };
        let closed = outcome == AttemptOutcome::Completed;
        let result = AttemptResult {
            request: write,
            endpoint: 0,
            outcome,
            elapsed: 0.05,
            has_final_answer: closed,
            observed,
            report: None,
        };
        world.router.on_attempt_result(world.now, &result, &mut world.book);
    };
    let write = ask(&mut world, MARKED, 77);
    assert_eq!(world.sent_to(write), [0]);
    let now = world.now;
    match between {
        Between::Told(ago) => ended(&mut world, write, AttemptOutcome::Completed, Some(now - ago)),
        Between::Untold => ended(&mut world, write, AttemptOutcome::Completed, None),
        Between::Lost => ended(&mut world, write, AttemptOutcome::Error, None),
        Between::Out => {}
        Between::TurnedAway => {
            // With its client gone it is not tried again.
            world.router.on_client_gone(write);
            ended(&mut world, write, AttemptOutcome::Refused, None);
        }
        Between::Overtaken => {
            let later = ask(&mut world, MARKED, 77);
            ended(&mut world, later, AttemptOutcome::Completed, Some(now - 0.5));
            ended(&mut world, write, AttemptOutcome::Completed, Some(now - 1.5));
        }
        Between::Joined => {
            ended(&mut world, write, AttemptOutcome::Completed, Some(now));
            world.now += 0.1;
            (1..4).for_each(|endpoint| world.report(endpoint, Replica, 0.0));
            world.pass(0.1);
            world.list(1, EndpointState::Removed, None);
            world.list(4, EndpointState::Ready, None);
            world.report(4, Replica, 1.5);
        }
        Between::Crowded => {
            ended(&mut world, write, AttemptOutcome::Completed, Some(now));
            for session in 0..10_001 {
                let other = ask(&mut world, MARKED, 1000 + session);
                ended(&mut world, other, AttemptOutcome::Completed, Some(now));
            }
            world.pass(0.04);
        }
    }
    let read = ask(&mut world, READ, 77);
    let replica = if matches!(between, Between::Joined) { 4 } else { 1 };
    world.pass(0.02);
    assert_eq!(world.sent_to(read).contains(&replica), taken, "{:?}", world.sent_to(read));
    // A read of data from a second ago is another matter.
    assert!(world.sent_to(read).iter().all(|endpoint| *endpoint == replica || *endpoint == 0));
}

/// Rule: no stale read. Reads of a second at most, from members that do not check.
#[rstest]
#[case(0.9, true)]
#[case(1.1, false)]
fn no_read_from_old_data(#[case] lag: f64, #[case] taken: bool) {
    let mut world = World::settled(false, [lag; 3]);
    world.list(0, EndpointState::Removed, None);
    let read = world.ask(READ);
    world.pass(0.08);
    assert_eq!(!world.sent_to(read).is_empty(), taken);
}

/// Found in an incident: each read tried the most advanced replica for itself, waited there and came late.
#[test]
fn a_member_that_turned_a_read_away_is_asked_again_once_it_tells_its_position() {
    let mut world = World::settled(true, [1.5, 2.0, 2.0]);
    let first = world.ask(READ);
    world.end(first, 1, AttemptOutcome::WrongEndpoint, Some(Replica));
    let second = world.ask(READ);
    assert_ne!(world.sent_to(second), [1]);
    world.report(1, Replica, 1.4);
    let third = world.ask(READ);
    assert_eq!(world.sent_to(third), [1]);
}

/// Found at the first look at a deployment whose hosts answer reads from whatever they have (suva-members): a router that
/// hears of each replica once in some seconds held none for fresh enough, and sent all reads to the primary.
#[rstest]
#[case::fresh(Some(0.1), &[1, 2, 3])]
#[case::it_lags(Some(1.5), &[0])]
#[case::no_answer(None, &[0])]
fn a_read_that_waits_asks_a_replica(#[case] lag: Option<f64>, #[case] expected: &[usize]) {
    let mut world = World::settled(false, [0.0; 3]);
    // The credit for probes is spent, none is out, and what was heard is too old.
    for _ in 0..100 {
        world.pass(0.02);
        for done in std::mem::take(&mut world.book.0) {
            if let Done::Probe(endpoint) = done {
                world.router.on_health_check(
                    world.now,
                    endpoint,
                    AttemptOutcome::Refused,
                    LoadReport::default(),
                    &mut world.book,
                );
            }
        }
    }
    world.pass(0.3);
    world.book.0.clear();
    let read = world.ask(READ);
    assert_eq!(world.sent_to(read), []);
    for _ in 0..4 {
        let probed: Vec<usize> = (1..4).filter(|endpoint| world.count(Done::Probe(*endpoint)) > 0).collect();
        assert!(world.count(Done::Probe(0)) == 0, "the primary is fresh by itself");
        if let Some(lag) = lag {
            probed.iter().for_each(|endpoint| world.report(*endpoint, Replica, lag));
        }
        world.pass(0.02);
    }
    let sent = world.sent_to(read);
    assert!(sent.len() == 1 && expected.contains(&sent[0]), "{sent:?}");
}
