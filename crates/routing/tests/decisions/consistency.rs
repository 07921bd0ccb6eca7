//! Reads are answered from data as recent as they need, and each session reads its own writes.

use ottersill_routing::interface::*;
use rstest::rstest;

use crate::common::*;

use Role::{Primary, Replica};

/// Which endpoint is sent a read whose staleness bound is one second.
#[rstest]
#[case::only_fresh_one(false, [2.0, 0.1, 3.0], &[2])]
#[case::none_fresh_most_advanced(true, [2.0, 1.5, 3.0], &[2])]
#[case::none_fresh_unchecked_waits_for_primary(false, [2.0, 1.5, 3.0], &[0])]
fn reads_go_to_endpoints_within_the_staleness_bound(
    #[case] checks: bool,
    #[case] lags: [f64; 3],
    #[case] expected: &[usize],
) {
    let mut fixture = World::settled(checks, lags);
    let read = fixture.ask(READ);
    fixture.pass(0.06);
    assert_eq!(fixture.sent_to(read), expected);
}

/// What happens between a session's write and its read.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The write's answer states the position of its commit, this many seconds ago.
    CommitStated(f64),
    /// The answer breaks off after its row, so the position of the commit is not stated.
    CommitNotStated,
    /// The write fails and may have run.
    MayHaveRun,
    /// The write is in flight: its answer has not arrived, or not completely.
    InFlight,
    /// The write never ran.
    NeverRan,
    /// Of two writes, the earlier one is answered last.
    AnsweredOutOfOrder,
    /// All endpoints have the commit, then another endpoint joins with an older copy of the data.
    StaleEndpointJoins,
    /// 10,001 other sessions write too, and one replica never catches up with them.
    ManySessionsWrite,
}

/// Invariant: no stale read. A session reads what it has written through this router, also where endpoints answer from
/// whatever data they hold. Guards against a commit of unknown position: the write's connection breaks off after the row,
/// the position of the commit would have followed, and the session's next read goes to a replica that lags by a second.
#[rstest]
#[case::replicated(Event::CommitStated(2.0), true)]
#[case::not_replicated(Event::CommitStated(0.5), false)]
#[case::commit_not_stated(Event::CommitNotStated, false)]
#[case::may_have_run(Event::MayHaveRun, false)]
#[case::in_flight(Event::InFlight, false)]
#[case::never_ran(Event::NeverRan, true)]
#[case::answered_out_of_order(Event::AnsweredOutOfOrder, false)]
#[case::stale_endpoint_joins(Event::StaleEndpointJoins, false)]
#[case::many_sessions_write(Event::ManySessionsWrite, false)]
fn a_session_sees_its_own_writes(#[case] event: Event, #[case] is_sent: bool) {
    let mut config = RoutingConfig { must_remember_writes: true, ..terms(false) };
    config.workloads[READ].consistency = Consistency::Session;
    let mut fixture = World::new(config);
    fixture.report(0, Primary, 0.0);
    // The group has one replica, which lags by a second.
    fixture.list(2, EndpointState::Removed, None);
    fixture.list(3, EndpointState::Removed, None);
    fixture.report(1, Replica, 1.0);
    let ask = |fixture: &mut World, workload, session| {
        fixture.ask_for(Request { session: Some(session), ..statement(workload, 2.0) })
    };
    let end = |fixture: &mut World, write, outcome, lsn| {
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
        fixture.router.on_attempt_result(fixture.now, &result, &mut fixture.book);
    };
    let write = ask(&mut fixture, MARKED, 77);
    assert_eq!(fixture.sent_to(write), [0]);
    let now = fixture.now;
    match event {
        Event::CommitStated(ago) => end(&mut fixture, write, AttemptOutcome::Completed, Some(now - ago)),
        Event::CommitNotStated => end(&mut fixture, write, AttemptOutcome::Completed, None),
        Event::MayHaveRun => end(&mut fixture, write, AttemptOutcome::Error, None),
        Event::InFlight => {}
        Event::NeverRan => {
            // Its client is gone, so it is not retried.
            fixture.router.on_client_gone(write);
            end(&mut fixture, write, AttemptOutcome::Refused, None);
        }
        Event::AnsweredOutOfOrder => {
            let later = ask(&mut fixture, MARKED, 77);
            end(&mut fixture, later, AttemptOutcome::Completed, Some(now - 0.5));
            end(&mut fixture, write, AttemptOutcome::Completed, Some(now - 1.5));
        }
        Event::StaleEndpointJoins => {
            end(&mut fixture, write, AttemptOutcome::Completed, Some(now));
            fixture.now += 0.1;
            (1..4).for_each(|endpoint| fixture.report(endpoint, Replica, 0.0));
            fixture.pass(0.1);
            fixture.list(1, EndpointState::Removed, None);
            fixture.list(4, EndpointState::Ready, None);
            fixture.report(4, Replica, 1.5);
        }
        Event::ManySessionsWrite => {
            end(&mut fixture, write, AttemptOutcome::Completed, Some(now));
            for session in 0..10_001 {
                let other = ask(&mut fixture, MARKED, 1000 + session);
                end(&mut fixture, other, AttemptOutcome::Completed, Some(now));
            }
            fixture.pass(0.04);
        }
    }
    let read = ask(&mut fixture, READ, 77);
    let replica = if matches!(event, Event::StaleEndpointJoins) { 4 } else { 1 };
    fixture.pass(0.02);
    assert_eq!(fixture.sent_to(read).contains(&replica), is_sent, "{:?}", fixture.sent_to(read));
    // The read is sent to no endpoint but this replica and the primary. A read that accepts data from a second ago is a
    // different case.
    assert!(fixture.sent_to(read).iter().all(|endpoint| *endpoint == replica || *endpoint == 0));
}

/// Invariant: no stale read. The staleness bound is one second, and endpoints do not check it.
#[rstest]
#[case(0.9, true)]
#[case(1.1, false)]
fn a_read_is_sent_only_within_its_staleness_bound(#[case] lag: f64, #[case] is_sent: bool) {
    let mut fixture = World::settled(false, [lag; 3]);
    fixture.list(0, EndpointState::Removed, None);
    let read = fixture.ask(READ);
    fixture.pass(0.08);
    assert_eq!(!fixture.sent_to(read).is_empty(), is_sent);
}

/// Guards against late reads: each read tried the most advanced replica again, although it had rejected earlier ones, and
/// lost time there.
#[test]
fn an_endpoint_that_rejected_a_read_is_used_again_once_it_reports_its_position() {
    let mut fixture = World::settled(true, [1.5, 2.0, 2.0]);
    let first = fixture.ask(READ);
    fixture.end(first, 1, AttemptOutcome::WrongEndpoint, Some(Replica));
    let second = fixture.ask(READ);
    assert_ne!(fixture.sent_to(second), [1]);
    fixture.report(1, Replica, 1.4);
    let third = fixture.ask(READ);
    assert_eq!(fixture.sent_to(third), [1]);
}

/// Guards against reads that all go to the primary: where endpoints answer reads from whatever data they hold, a router that
/// gets a report from each replica only every few seconds considered none of them fresh enough.
#[rstest]
#[case::fresh(Some(0.1), &[1, 2, 3])]
#[case::it_lags(Some(1.5), &[0])]
#[case::no_answer(None, &[0])]
fn a_waiting_read_has_a_replica_checked(#[case] lag: Option<f64>, #[case] expected: &[usize]) {
    let mut fixture = World::settled(false, [0.0; 3]);
    // The budget of health checks is spent, none is in flight, and the last reports are too old.
    for _ in 0..100 {
        fixture.pass(0.02);
        for done in std::mem::take(&mut fixture.book.0) {
            if let Done::Probe(endpoint) = done {
                fixture.router.on_health_check(
                    fixture.now,
                    endpoint,
                    AttemptOutcome::Refused,
                    LoadReport::default(),
                    &mut fixture.book,
                );
            }
        }
    }
    fixture.pass(0.3);
    fixture.book.0.clear();
    let read = fixture.ask(READ);
    assert_eq!(fixture.sent_to(read), []);
    for _ in 0..4 {
        let checked: Vec<usize> =
            (1..4).filter(|endpoint| fixture.count(Done::Probe(*endpoint)) > 0).collect();
        assert!(
            fixture.count(Done::Probe(0)) == 0,
            "the primary needs no check, as its data are always fresh"
        );
        if let Some(lag) = lag {
            checked.iter().for_each(|endpoint| fixture.report(*endpoint, Replica, lag));
        }
        fixture.pass(0.02);
    }
    let sent = fixture.sent_to(read);
    assert!(sent.len() == 1 && expected.contains(&sent[0]), "{sent:?}");
}
