//! What endpoints that have just started are sent.

use ottersill_routing::interface::*;
use rstest::rstest;

use crate::common::*;

use Role::{Primary, Replica};

/// Rule: a cold host is not pushed over; its part of what warm members get, and no more.
#[rstest]
#[case::just_started(0.0, 0.3)]
#[case::half_way(5.0, 0.8)]
fn cold_hosts_get_their_part(#[case] age: f64, #[case] most: f64) {
    let mut world = World::settled(true, [0.0; 3]);
    world.list(1, EndpointState::Ready, Some(world.now - age));
    let mut sent = [0; 4];
    for _ in 0..200 {
        let read = world.ask(READ);
        world.pass(0.01);
        for endpoint in world.sent_to(read) {
            sent[endpoint] += 1;
            world.end(read, endpoint, AttemptOutcome::Completed, None);
        }
        if read % 20 == 0 {
            (1..4).for_each(|endpoint| world.report(endpoint, Replica, 0.0));
        }
    }
    let part = f64::from(sent[1]) / f64::from(sent[2].max(sent[3]));
    assert!(part > 0.0 && part < most, "{sent:?}");
}

/// Found in an incident: with every member cold there was no warm one to measure by, and nothing was sent.
#[test]
fn a_group_that_is_all_cold_still_gets_its_part() {
    let mut world = World::settled(true, [0.0; 3]);
    for round in 0..500 {
        if round == 200 {
            (0..4).for_each(|endpoint| world.list(endpoint, EndpointState::Ready, Some(world.now)));
            world.book.0.clear();
        }
        world.pass(0.02);
        (1..4).for_each(|endpoint| world.report(endpoint, Replica, 0.0));
        let read = world.ask(READ);
        for endpoint in world.sent_to(read) {
            world.end(read, endpoint, AttemptOutcome::Completed, None);
        }
    }
    let sent = (0..500).map(|request| world.sent_to(request).len()).sum::<usize>();
    assert!((5..100).contains(&sent), "{sent}");
}

/// Found by a hunt for broken rules (walsall-orders, h6fd598): a cold primary that failed at once got each statement up to
/// six times by the one lot that let it through, 3.0 times what it could do, and fell over.
#[rstest]
#[case::writes_that_fail(MARKED, 0, AttemptOutcome::Error)]
#[case::reads_turned_away(READ, 1, AttemptOutcome::WrongEndpoint)]
#[case::reads_that_find_it_full(READ, 1, AttemptOutcome::Refused)]
#[case::connections_refused(READ, 1, AttemptOutcome::ConnectFailed)]
fn a_cold_host_gets_no_statement_twice(
    #[case] workload: usize,
    #[case] endpoint: usize,
    #[case] outcome: AttemptOutcome,
) {
    let mut world = World::settled(true, [0.0; 3]);
    (0..4).for_each(|endpoint| world.list(endpoint, EndpointState::Ready, Some(world.now - 8.0)));
    let (mut sent, mut most) = (0, 0);
    for _ in 0..100 {
        world.pass(0.02);
        let request = world.ask(workload);
        for _ in 0..8 {
            let executions = world.sent_to(request);
            let Some(last) = executions.last() else { break };
            world.end(request, *last, outcome, None);
            // Word of its role and its position comes at once, as from a probe.
            world.report(endpoint, if endpoint == 0 { Primary } else { Replica }, 0.0);
            if world.sent_to(request).len() == executions.len() {
                break;
            }
        }
        let executions = world.sent_to(request);
        sent += executions.iter().filter(|at| **at == endpoint).count();
        most = most.max(executions.windows(2).filter(|two| two[0] == two[1]).count());
    }
    assert!(sent > 0 && most == 0, "{sent} executions, {most} in a row of one statement");
}
