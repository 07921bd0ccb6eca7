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
    let mut simulation = Simulation::with_reports(checks, lags);
    let read = simulation.send_request(READ);
    simulation.advance(0.06);
    assert_eq!(simulation.sent_to(read), expected);
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
    let mut config = RoutingConfig { must_remember_writes: true, ..config(false) };
    config.workloads[READ].consistency = Consistency::Session;
    let mut simulation = Simulation::new(config);
    simulation.report(0, Primary, 0.0);
    // The group has one replica, which lags by a second.
    simulation.update_endpoint(2, EndpointState::Removed, None);
    simulation.update_endpoint(3, EndpointState::Removed, None);
    simulation.report(1, Replica, 1.0);
    let send_request = |simulation: &mut Simulation, workload, session| {
        simulation.send(Request { session: Some(session), ..request(workload, 2.0) })
    };
    let end_attempt = |simulation: &mut Simulation, write, outcome, lsn| {
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
        simulation.router.on_attempt_result(simulation.now, &result, &mut simulation.transport);
    };
    let write = send_request(&mut simulation, DEDUPLICATED_WRITE, 77);
    assert_eq!(simulation.sent_to(write), [0]);
    let now = simulation.now;
    match event {
        Event::CommitStated(ago) => {
            end_attempt(&mut simulation, write, AttemptOutcome::Completed, Some(now - ago));
        }
        Event::CommitNotStated => end_attempt(&mut simulation, write, AttemptOutcome::Completed, None),
        Event::MayHaveRun => end_attempt(&mut simulation, write, AttemptOutcome::Error, None),
        Event::InFlight => {}
        Event::NeverRan => {
            // Its client is gone, so it is not retried.
            simulation.router.on_client_gone(write);
            end_attempt(&mut simulation, write, AttemptOutcome::Refused, None);
        }
        Event::AnsweredOutOfOrder => {
            let later = send_request(&mut simulation, DEDUPLICATED_WRITE, 77);
            end_attempt(&mut simulation, later, AttemptOutcome::Completed, Some(now - 0.5));
            end_attempt(&mut simulation, write, AttemptOutcome::Completed, Some(now - 1.5));
        }
        Event::StaleEndpointJoins => {
            end_attempt(&mut simulation, write, AttemptOutcome::Completed, Some(now));
            simulation.now += 0.1;
            (1..4).for_each(|endpoint| simulation.report(endpoint, Replica, 0.0));
            simulation.advance(0.1);
            simulation.update_endpoint(1, EndpointState::Removed, None);
            simulation.update_endpoint(4, EndpointState::Ready, None);
            simulation.report(4, Replica, 1.5);
        }
        Event::ManySessionsWrite => {
            end_attempt(&mut simulation, write, AttemptOutcome::Completed, Some(now));
            for session in 0..10_001 {
                let other = send_request(&mut simulation, DEDUPLICATED_WRITE, 1000 + session);
                end_attempt(&mut simulation, other, AttemptOutcome::Completed, Some(now));
            }
            simulation.advance(0.04);
        }
    }
    let read = send_request(&mut simulation, READ, 77);
    let replica = if matches!(event, Event::StaleEndpointJoins) { 4 } else { 1 };
    simulation.advance(0.02);
    assert_eq!(simulation.sent_to(read).contains(&replica), is_sent, "{:?}", simulation.sent_to(read));
    // The read is sent to no endpoint but this replica and the primary. A read that accepts data from a second ago is a
    // different case.
    assert!(simulation.sent_to(read).iter().all(|endpoint| *endpoint == replica || *endpoint == 0));
}

/// Invariant: no stale read. The staleness bound is one second, and endpoints do not check it.
#[rstest]
#[case(0.9, true)]
#[case(1.1, false)]
fn a_read_is_sent_only_within_its_staleness_bound(#[case] lag: f64, #[case] is_sent: bool) {
    let mut simulation = Simulation::with_reports(false, [lag; 3]);
    simulation.update_endpoint(0, EndpointState::Removed, None);
    let read = simulation.send_request(READ);
    simulation.advance(0.08);
    assert_eq!(!simulation.sent_to(read).is_empty(), is_sent);
}

/// Guards against late reads: each read tried the most advanced replica again, although it had rejected earlier ones, and
/// lost time there.
#[test]
fn an_endpoint_that_rejected_a_read_is_used_again_once_it_reports_its_position() {
    let mut simulation = Simulation::with_reports(true, [1.5, 2.0, 2.0]);
    let first = simulation.send_request(READ);
    simulation.end_attempt(first, 1, AttemptOutcome::WrongEndpoint, Some(Replica));
    let second = simulation.send_request(READ);
    assert_ne!(simulation.sent_to(second), [1]);
    simulation.report(1, Replica, 1.4);
    let third = simulation.send_request(READ);
    assert_eq!(simulation.sent_to(third), [1]);
}

/// Guards against reads that all go to the primary: where endpoints answer reads from whatever data they hold, a router that
/// gets a report from each replica only every few seconds considered none of them fresh enough.
#[rstest]
#[case::fresh(Some(0.1), &[1, 2, 3])]
#[case::it_lags(Some(1.5), &[0])]
#[case::no_answer(None, &[0])]
fn a_waiting_read_has_a_replica_checked(#[case] lag: Option<f64>, #[case] expected: &[usize]) {
    let mut simulation = Simulation::with_reports(false, [0.0; 3]);
    // The budget of health checks is spent, none is in flight, and the last reports are too old.
    for _ in 0..100 {
        simulation.advance(0.02);
        for call in std::mem::take(&mut simulation.transport.0) {
            if let TransportCall::StartHealthCheck(endpoint) = call {
                simulation.router.on_health_check(
                    simulation.now,
                    endpoint,
                    AttemptOutcome::Refused,
                    LoadReport::default(),
                    &mut simulation.transport,
                );
            }
        }
    }
    simulation.advance(0.3);
    simulation.transport.0.clear();
    let read = simulation.send_request(READ);
    assert_eq!(simulation.sent_to(read), []);
    for _ in 0..4 {
        let checked: Vec<usize> = (1..4)
            .filter(|endpoint| simulation.count(TransportCall::StartHealthCheck(*endpoint)) > 0)
            .collect();
        assert!(
            simulation.count(TransportCall::StartHealthCheck(0)) == 0,
            "the primary needs no check, as its data are always fresh"
        );
        if let Some(lag) = lag {
            checked.iter().for_each(|endpoint| simulation.report(*endpoint, Replica, lag));
        }
        simulation.advance(0.02);
    }
    let sent = simulation.sent_to(read);
    assert!(sent.len() == 1 && expected.contains(&sent[0]), "{sent:?}");
}
