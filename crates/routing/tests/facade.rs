//! The facade for network code: its decisions about requests, and how it handles clients that disconnect.

mod common;

use common::{READ, WRITE, config, endpoint_update, request};
use ottersill_routing::facade::{Decision, Facade, PickRequest, RoutingAction, RoutingEvent};
use ottersill_routing::interface::*;
use rstest::rstest;

/// A facade with two endpoints, of which those in `reports` have reported their role at the start.
fn facade(reports: &[(usize, Role)]) -> Facade {
    let mut facade = Facade::start(100.0, config(true));
    facade.report(
        100.0,
        RoutingEvent::EndpointList(&[
            endpoint_update(0, EndpointState::Ready),
            endpoint_update(1, EndpointState::Ready),
        ]),
    );
    for (endpoint, role) in reports {
        report_role(&mut facade, 100.0, *endpoint, *role);
    }
    facade.tick(100.0);
    facade
}

fn report_role(facade: &mut Facade, now: f64, endpoint: usize, role: Role) {
    let report = LoadReport { role: Some(role), lsn: Some(now), utilization: None };
    facade
        .report(now, RoutingEvent::HealthCheckEnded { endpoint, outcome: AttemptOutcome::Completed, report });
}

fn end_attempt(facade: &mut Facade, now: f64, request: usize, endpoint: usize, outcome: AttemptOutcome) {
    let observed = LoadReport::default();
    facade.report(
        now,
        RoutingEvent::AttemptEnded { request, endpoint, outcome, elapsed: 0.01, observed, report: None },
    );
}

/// Both endpoints report: endpoint 0 is the primary and endpoint 1 is a replica.
const BOTH_REPORT: [(usize, Role); 2] = [(0, Role::Primary), (1, Role::Replica)];

#[rstest]
#[case::a_write_goes_to_the_primary(&BOTH_REPORT, WRITE, Decision::Dispatch { endpoint: 0, timeout: 0.0 })]
#[case::a_read_goes_to_the_replica(&BOTH_REPORT, READ, Decision::Dispatch { endpoint: 1, timeout: 0.0 })]
#[case::a_write_waits_without_a_primary(&BOTH_REPORT[1..], WRITE, Decision::Wait)]
#[case::a_read_waits_without_reports(&[], READ, Decision::Wait)]
fn pick_returns_the_decision_for_a_new_request(
    #[case] reports: &[(usize, Role)],
    #[case] workload: usize,
    #[case] expected: Decision,
) {
    let mut facade = facade(reports);
    assert_eq!(facade.pick(100.0, PickRequest::New(request(workload, 0.75))).1, expected);
}

#[test]
fn a_waiting_request_is_named_once_it_can_be_dispatched() {
    let mut facade = facade(&BOTH_REPORT[1..]);
    let (request, decision) = facade.pick(100.0, PickRequest::New(request(WRITE, 2.0)));
    assert_eq!(decision, Decision::Wait);
    facade.tick(100.0);
    report_role(&mut facade, 100.1, 0, Role::Primary);
    assert!(facade.tick(100.1).contains(&RoutingAction::Pick(request)));
    assert_eq!(
        facade.pick(100.1, PickRequest::Waiting(request)).1,
        Decision::Dispatch { endpoint: 0, timeout: 0.0 }
    );
    assert_eq!(
        facade.pick(100.1, PickRequest::Waiting(request)).1,
        Decision::Wait,
        "each decision is returned only once"
    );
}

/// An endpoint may show its role while an attempt is in flight there, and never answer the attempt.
#[test]
fn a_report_moves_the_primary_while_an_attempt_is_in_flight() {
    let mut facade = facade(&BOTH_REPORT);
    let (_, decision) = facade.pick(100.0, PickRequest::New(request(READ, 2.0)));
    assert_eq!(decision, Decision::Dispatch { endpoint: 1, timeout: 0.0 });
    let observed = LoadReport { role: Some(Role::Primary), lsn: Some(100.2), utilization: None };
    facade.report(100.2, RoutingEvent::EndpointReported { endpoint: 1, observed, report: None });
    let (_, decision) = facade.pick(100.2, PickRequest::New(request(WRITE, 2.0)));
    assert_eq!(decision, Decision::Dispatch { endpoint: 1, timeout: 0.0 });
}

#[test]
fn a_request_that_waits_too_long_is_named_and_rejected() {
    let mut facade = facade(&[]);
    let (request, _) = facade.pick(100.0, PickRequest::New(request(READ, 0.2)));
    let mut now = 100.0;
    let is_named = (0..20).any(|_| {
        now = facade.wake_at();
        facade.tick(now).contains(&RoutingAction::Pick(request))
    });
    assert!(is_named && now < 100.2, "named at {now}, expected before 100.2");
    assert!(matches!(facade.pick(now, PickRequest::Waiting(request)).1, Decision::Reject { .. }));
}

#[rstest]
#[case::completed(AttemptOutcome::Completed, false)]
#[case::had_no_effect(AttemptOutcome::NeverSent, true)]
fn an_index_is_reused_once_its_request_has_ended(
    #[case] outcome: AttemptOutcome,
    #[case] stays_in_use: bool,
) {
    let mut facade = facade(&BOTH_REPORT);
    let (first, _) = facade.pick(100.0, PickRequest::New(request(READ, 0.75)));
    end_attempt(&mut facade, 100.01, first, 1, outcome);
    let (second, _) = facade.pick(100.02, PickRequest::New(request(READ, 0.75)));
    assert_eq!(second != first, stays_in_use);
}

/// Guards against reusing an index while an attempt is still in flight: its end would be attributed to another request.
#[test]
fn the_index_of_an_abandoned_request_is_free_once_its_last_attempt_has_ended() {
    let mut facade = facade(&BOTH_REPORT);
    let (abandoned, _) = facade.pick(100.0, PickRequest::New(request(READ, 0.75)));
    facade.report(100.01, RoutingEvent::ClientGone(abandoned));
    let (second, _) = facade.pick(100.02, PickRequest::New(request(READ, 0.75)));
    assert_ne!(second, abandoned);
    end_attempt(&mut facade, 100.03, abandoned, 1, AttemptOutcome::Completed);
    let (third, _) = facade.pick(100.04, PickRequest::New(request(READ, 0.75)));
    assert_eq!(third, abandoned);
    assert_eq!(facade.invariant_violations(), 0);
}

/// Guards against waiting for an attempt that was never sent, if a client disconnects after `tick` could name its request and
/// before the pick.
#[test]
fn a_client_that_disconnects_before_the_pick_leaves_no_attempt_in_flight() {
    let mut facade = facade(&BOTH_REPORT[1..]);
    let (abandoned, _) = facade.pick(100.0, PickRequest::New(request(WRITE, 2.0)));
    report_role(&mut facade, 100.1, 0, Role::Primary);
    facade.report(100.1, RoutingEvent::ClientGone(abandoned));
    facade.tick(100.1);
    let (next, decision) = facade.pick(100.1, PickRequest::New(request(WRITE, 2.0)));
    assert_eq!((next, decision), (abandoned, Decision::Dispatch { endpoint: 0, timeout: 0.0 }));
    end_attempt(&mut facade, 100.2, next, 0, AttemptOutcome::Completed);
    assert_eq!(facade.invariant_violations(), 0);
}

/// Two ends of one attempt would free an index twice. A debug build panics; a release build counts the violation and goes on.
#[test]
#[cfg_attr(debug_assertions, should_panic(expected = "ends once"))]
fn a_second_end_of_an_attempt_is_an_invariant_violation() {
    let mut facade = facade(&BOTH_REPORT);
    let (request, _) = facade.pick(100.0, PickRequest::New(request(READ, 0.75)));
    end_attempt(&mut facade, 100.1, request, 1, AttemptOutcome::Completed);
    end_attempt(&mut facade, 100.1, request, 1, AttemptOutcome::Completed);
    assert_eq!(facade.invariant_violations(), 1);
}

/// Guards against reads of old data if the clock offset was first assumed to be zero: the age of positions that were received
/// before it was measured is unknown.
#[test]
fn positions_from_before_a_clock_step_are_not_used() {
    let mut facade = Facade::start(100.0, config(false));
    let update =
        |endpoint, group| EndpointUpdate { group, ..endpoint_update(endpoint, EndpointState::Ready) };
    facade
        .report(100.0, RoutingEvent::EndpointList(&[update(0, 0), update(1, 0), update(2, 1), update(3, 2)]));
    for (endpoint, role, lsn) in [
        (0, Role::Primary, 100.0),
        (1, Role::Replica, 100.0),
        (2, Role::Primary, 104.0),
        (3, Role::Primary, 104.0),
    ] {
        let report = LoadReport { role: Some(role), lsn: Some(lsn), utilization: None };
        let outcome = AttemptOutcome::Completed;
        facade.report(100.0, RoutingEvent::HealthCheckEnded { endpoint, outcome, report });
    }
    let decide_read = |facade: &mut Facade, now| facade.pick(now, PickRequest::New(request(READ, 0.75))).1;
    let at_replica = Decision::Dispatch { endpoint: 1, timeout: 0.0 };
    assert_eq!(decide_read(&mut facade, 100.0), at_replica);
    for round in 0..9 {
        let now = 100.0 + 0.1 * f64::from(round);
        for (endpoint, group) in [(2, 1), (3, 2)] {
            let write = Request { group, ..request(WRITE, 2.0) };
            let (request, decision) = facade.pick(now, PickRequest::New(write));
            assert_eq!(decision, Decision::Dispatch { endpoint, timeout: 0.0 });
            let observed = LoadReport { role: Some(Role::Primary), lsn: Some(now + 4.0), utilization: None };
            let (outcome, elapsed, report) = (AttemptOutcome::Completed, 0.01, None);
            facade.report(
                now,
                RoutingEvent::AttemptEnded { request, endpoint, outcome, elapsed, observed, report },
            );
        }
    }
    assert_ne!(decide_read(&mut facade, 100.9), at_replica, "the position of the replica may be 5 s old");
}

/// Guards against a forgotten endpoint that is added again as a removed one when start times are converted anew with the
/// measured clock offset.
#[test]
fn a_forgotten_endpoint_stays_forgotten_once_the_clock_offset_is_known() {
    let mut facade = Facade::start(100.0, config(false));
    let removed = EndpointUpdate { started_at: Some(50.0), ..endpoint_update(1, EndpointState::Removed) };
    facade.report(100.0, RoutingEvent::EndpointList(&[endpoint_update(0, EndpointState::Ready), removed]));
    assert_eq!(facade.forget_endpoints(200.0, &[1]), [1]);
    report_role(&mut facade, 200.0, 0, Role::Primary);
    assert!(facade.forgettable_endpoints(400.0).is_empty());
}
