//! The facade of network code: what it says of a request, and what it does where clients leave.

mod common;

use common::{READ, WRITE, listed, statement, terms};
use ottersill_routing::facade::{Decision, Facade, PickRequest, RoutingAction, RoutingEvent};
use ottersill_routing::interface::*;
use rstest::rstest;

/// A primary and a replica; whoever is to be heard of reports at the start.
fn facade(heard: &[(usize, Role)]) -> Facade {
    let mut facade = Facade::start(100.0, terms(true));
    facade.report(
        100.0,
        RoutingEvent::EndpointList(&[listed(0, EndpointState::Ready), listed(1, EndpointState::Ready)]),
    );
    for (endpoint, role) in heard {
        tell(&mut facade, 100.0, *endpoint, *role);
    }
    facade.tick(100.0);
    facade
}

fn tell(facade: &mut Facade, now: f64, endpoint: usize, role: Role) {
    let report = LoadReport { role: Some(role), lsn: Some(now), utilization: None };
    facade
        .report(now, RoutingEvent::HealthCheckEnded { endpoint, outcome: AttemptOutcome::Completed, report });
}

fn end(facade: &mut Facade, now: f64, request: usize, endpoint: usize, outcome: AttemptOutcome) {
    let observed = LoadReport::default();
    facade.report(
        now,
        RoutingEvent::AttemptEnded { request, endpoint, outcome, elapsed: 0.01, observed, report: None },
    );
}

const BOTH: [(usize, Role); 2] = [(0, Role::Primary), (1, Role::Replica)];

#[rstest]
#[case::a_write_goes_to_the_primary(&BOTH, WRITE, Decision::Dispatch { endpoint: 0, timeout: 0.0 })]
#[case::a_read_goes_to_the_replica(&BOTH, READ, Decision::Dispatch { endpoint: 1, timeout: 0.0 })]
#[case::a_write_waits_without_a_primary(&BOTH[1..], WRITE, Decision::Wait)]
#[case::a_read_waits_without_news(&[], READ, Decision::Wait)]
fn pick_says_what_to_do_now(
    #[case] heard: &[(usize, Role)],
    #[case] workload: usize,
    #[case] expected: Decision,
) {
    let mut facade = facade(heard);
    assert_eq!(facade.pick(100.0, PickRequest::New(statement(workload, 0.75))).1, expected);
}

#[test]
fn what_waits_is_named_once_it_may_go() {
    let mut facade = facade(&BOTH[1..]);
    let (request, choice) = facade.pick(100.0, PickRequest::New(statement(WRITE, 2.0)));
    assert_eq!(choice, Decision::Wait);
    facade.tick(100.0);
    tell(&mut facade, 100.1, 0, Role::Primary);
    assert!(facade.tick(100.1).contains(&RoutingAction::Pick(request)));
    assert_eq!(
        facade.pick(100.1, PickRequest::Waiting(request)).1,
        Decision::Dispatch { endpoint: 0, timeout: 0.0 }
    );
    assert_eq!(
        facade.pick(100.1, PickRequest::Waiting(request)).1,
        Decision::Wait,
        "a choice is handed out once"
    );
}

#[test]
fn what_waits_too_long_is_rejected_by_a_tick() {
    let mut facade = facade(&[]);
    let (request, _) = facade.pick(100.0, PickRequest::New(statement(READ, 0.2)));
    let mut now = 100.0;
    let named = (0..20).any(|_| {
        now = facade.wake_at();
        facade.tick(now).contains(&RoutingAction::Pick(request))
    });
    assert!(named && now < 100.2, "named at {now}");
    assert!(matches!(facade.pick(now, PickRequest::Waiting(request)).1, Decision::Reject { .. }));
}

#[rstest]
#[case::completed(AttemptOutcome::Completed, false)]
#[case::had_no_effect(AttemptOutcome::NeverSent, true)]
fn a_number_is_free_once_its_statement_is_over(#[case] outcome: AttemptOutcome, #[case] goes_on: bool) {
    let mut facade = facade(&BOTH);
    let (first, _) = facade.pick(100.0, PickRequest::New(statement(READ, 0.75)));
    end(&mut facade, 100.01, first, 1, outcome);
    let (second, _) = facade.pick(100.02, PickRequest::New(statement(READ, 0.75)));
    assert_eq!(second != first, goes_on);
}

/// The number stays taken while an execution is out, or its end would be told of another statement.
#[test]
fn a_client_that_left_frees_the_number_with_the_last_execution() {
    let mut facade = facade(&BOTH);
    let (left, _) = facade.pick(100.0, PickRequest::New(statement(READ, 0.75)));
    facade.report(100.01, RoutingEvent::ClientGone(left));
    let (second, _) = facade.pick(100.02, PickRequest::New(statement(READ, 0.75)));
    assert_ne!(second, left);
    end(&mut facade, 100.03, left, 1, AttemptOutcome::Completed);
    let (third, _) = facade.pick(100.04, PickRequest::New(statement(READ, 0.75)));
    assert_eq!(third, left);
    assert_eq!(facade.invariant_violations(), 0);
}

/// A client may leave between the naming and the pick; the router must not wait for an execution that never was.
#[test]
fn a_client_that_left_before_the_pick_leaves_nothing_out() {
    let mut facade = facade(&BOTH[1..]);
    let (request, _) = facade.pick(100.0, PickRequest::New(statement(WRITE, 2.0)));
    tell(&mut facade, 100.1, 0, Role::Primary);
    facade.report(100.1, RoutingEvent::ClientGone(request));
    facade.tick(100.1);
    let (next, choice) = facade.pick(100.1, PickRequest::New(statement(WRITE, 2.0)));
    assert_eq!((next, choice), (request, Decision::Dispatch { endpoint: 0, timeout: 0.0 }));
    end(&mut facade, 100.2, next, 0, AttemptOutcome::Completed);
    assert_eq!(facade.invariant_violations(), 0);
}

/// Two ends of one execution would free a number twice; a release build counts it and goes on.
#[test]
#[cfg_attr(debug_assertions, should_panic(expected = "ends once"))]
fn an_execution_ends_once() {
    let mut facade = facade(&BOTH);
    let (request, _) = facade.pick(100.0, PickRequest::New(statement(READ, 0.75)));
    end(&mut facade, 100.1, request, 1, AttemptOutcome::Completed);
    end(&mut facade, 100.1, request, 1, AttemptOutcome::Completed);
    assert_eq!(facade.invariant_violations(), 1);
}

/// Guards against reads of old data where an offset of the clock was taken for none: of positions from before it was measured
/// nobody knows how old they are.
#[test]
fn positions_from_before_a_step_of_the_clock_count_no_more() {
    let mut facade = Facade::start(100.0, terms(false));
    let member = |endpoint, group| EndpointUpdate { group, ..listed(endpoint, EndpointState::Ready) };
    facade
        .report(100.0, RoutingEvent::EndpointList(&[member(0, 0), member(1, 0), member(2, 1), member(3, 2)]));
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
    let read_by = |facade: &mut Facade, now| facade.pick(now, PickRequest::New(statement(READ, 0.75))).1;
    let at_replica = Decision::Dispatch { endpoint: 1, timeout: 0.0 };
    assert_eq!(read_by(&mut facade, 100.0), at_replica);
    for tenth in 0..9 {
        let now = 100.0 + 0.1 * f64::from(tenth);
        for (endpoint, group) in [(2, 1), (3, 2)] {
            let write = Request { group, ..statement(WRITE, 2.0) };
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
    assert_ne!(read_by(&mut facade, 100.9), at_replica, "its position may be 5 s old");
}

/// Guards against an endpoint that is forgotten and comes back as one that left, once start times are told anew by the measured clock.
#[test]
fn an_endpoint_that_is_forgotten_stays_so_when_the_clock_is_known() {
    let mut facade = Facade::start(100.0, terms(false));
    let gone = EndpointUpdate { started_at: Some(50.0), ..listed(1, EndpointState::Removed) };
    facade.report(100.0, RoutingEvent::EndpointList(&[listed(0, EndpointState::Ready), gone]));
    assert_eq!(facade.forget_endpoints(200.0, &[1]), [1]);
    tell(&mut facade, 200.0, 0, Role::Primary);
    assert!(facade.forgettable_endpoints(400.0).is_empty());
}
