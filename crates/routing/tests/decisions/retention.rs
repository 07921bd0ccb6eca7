//! How long the state of endpoints is kept after they have left the endpoint list, and that a reused index carries over
//! nothing from the endpoint that it identified before. Each test fails if the condition that it covers is left out.

use ottersill_routing::interface::*;
use rstest::rstest;

use crate::common::*;

use EndpointState::{Draining, Ready, Removed};
use Role::{Primary, Replica};

/// A time, longer than the retention time, after which an endpoint that left is kept only if a rule still needs it.
const PAST_RETENTION_SECONDS: f64 = 61.0;

/// Forgets all endpoints that may be forgotten, and returns them.
fn forget(simulation: &mut Simulation) -> Vec<usize> {
    let endpoints = simulation.router.forgettable_endpoints(simulation.now);
    let forgotten = simulation.router.forget_endpoints(simulation.now, &endpoints);
    assert_eq!(forgotten, endpoints, "a forgettable endpoint was kept");
    forgotten
}

/// Returns a group with a known primary whose endpoint 3 has gone through these states, one second apart.
fn with_state_changes(states: &[EndpointState], only_draining_excludes: bool) -> Simulation {
    let mut simulation = Simulation::new(RoutingConfig { only_draining_excludes, ..config(false) });
    simulation.report(0, Primary, 0.0);
    (1..4).for_each(|endpoint| simulation.report(endpoint, Replica, 0.0));
    for state in states {
        simulation.now += 1.0;
        simulation.update_endpoint(3, *state, None);
    }
    simulation
}

#[rstest]
#[case::removed(&[Removed], false, &[3])]
#[case::drained_and_removed(&[Draining, Removed], false, &[3])]
#[case::draining(&[Draining], false, &[])]
#[case::listed_again(&[Removed, Ready], false, &[])]
#[case::drained_where_only_draining_excludes(&[Draining, Removed], true, &[3])]
#[case::may_still_be_sent_to(&[Removed], true, &[])]
fn an_excluded_endpoint_that_left_is_forgotten_after_the_retention_time(
    #[case] states: &[EndpointState],
    #[case] only_draining_excludes: bool,
    #[case] forgotten: &[usize],
) {
    let mut simulation = with_state_changes(states, only_draining_excludes);
    simulation.now += PAST_RETENTION_SECONDS - 2.0;
    assert!(forget(&mut simulation).is_empty(), "an endpoint was forgotten that may be listed again");
    simulation.now += 2.0;
    assert_eq!(forget(&mut simulation), forgotten);
    assert!(forget(&mut simulation).is_empty(), "an endpoint was forgotten twice");
}

/// The retention time of an endpoint that leaves and returns every second starts at its last departure, and the endpoint is
/// forgotten once.
#[test]
fn an_endpoint_that_flaps_is_kept_until_it_stays_away() {
    let mut simulation = with_state_changes(&[Removed, Ready].repeat(50), false);
    simulation.now += PAST_RETENTION_SECONDS;
    assert!(forget(&mut simulation).is_empty());
    simulation.update_endpoint(3, Removed, None);
    simulation.now += PAST_RETENTION_SECONDS;
    assert_eq!(forget(&mut simulation), [3]);
}

#[test]
fn an_endpoint_with_an_attempt_in_flight_is_kept() {
    let mut simulation = Simulation::with_reports(false, [0.0; 3]);
    let request = simulation.send_request(READ);
    let busy = simulation.sent_to(request)[0];
    simulation.update_endpoint(busy, Removed, None);
    simulation.now += PAST_RETENTION_SECONDS;
    assert!(forget(&mut simulation).is_empty());
    assert!(
        simulation.router.forget_endpoints(simulation.now, &[busy]).is_empty(),
        "an endpoint with an attempt in flight was forgotten on request"
    );
    simulation.router.on_client_gone(request);
    assert!(forget(&mut simulation).is_empty(), "an endpoint was forgotten before the result of its attempt");
    simulation.end_attempt(request, busy, AttemptOutcome::Completed, None);
    assert_eq!(forget(&mut simulation), [busy]);
}

/// Whether a retry is safe depends on the site of the endpoint that may have run the request first.
#[test]
fn an_endpoint_that_a_waiting_request_tried_is_kept() {
    let mut simulation = Simulation::with_reports(false, [0.0; 3]);
    let request = simulation.send_request_with_time_left(DEDUPLICATED_WRITE, 300.0);
    let tried = simulation.sent_to(request)[0];
    simulation.update_endpoint(tried, Removed, None);
    simulation.end_attempt(request, tried, AttemptOutcome::Error, None);
    simulation.now += PAST_RETENTION_SECONDS;
    assert_eq!(simulation.router.waiting(0), 1, "the group has no primary now");
    assert!(forget(&mut simulation).is_empty());
    simulation.router.on_client_gone(request);
    assert_eq!(forget(&mut simulation), [tried]);
}

#[test]
fn an_endpoint_with_a_health_check_in_flight_is_kept() {
    let mut simulation = Simulation::new(config(false));
    simulation.advance(2.0);
    assert!(simulation.count(TransportCall::StartHealthCheck(3)) > 0);
    simulation.update_endpoint(3, Removed, None);
    simulation.now += PAST_RETENTION_SECONDS;
    assert!(forget(&mut simulation).is_empty());
    simulation.report(3, Replica, 0.0);
    assert_eq!(forget(&mut simulation), [3]);
}

/// Guards against a warming endpoint that leaves and is treated as warm when it is listed again.
#[test]
fn a_warming_endpoint_is_kept_until_it_would_be_warm() {
    let mut simulation = Simulation::new(RoutingConfig { warmup_seconds: 100.0, ..config(false) });
    simulation.update_endpoint(3, Ready, Some(simulation.now));
    simulation.update_endpoint(3, Removed, None);
    simulation.now += 99.0;
    assert!(forget(&mut simulation).is_empty());
    simulation.now += 1.0;
    assert_eq!(forget(&mut simulation), [3]);
}

/// Guards against memory use that grows with each endpoint list where all of the list changes often: the endpoints that left
/// first are forgotten first, before the retention time.
#[test]
fn endpoints_that_left_do_not_outnumber_those_that_are_listed() {
    let mut simulation = Simulation::new(config(false));
    for endpoint in [2, 0, 3] {
        simulation.now += 1.0;
        simulation.update_endpoint(endpoint, Removed, None);
    }
    assert_eq!(forget(&mut simulation), [2, 0], "three have left and one is listed");
    simulation.update_endpoint(1, Removed, None);
    assert_eq!(forget(&mut simulation), [3, 1], "none is listed");
}

/// Returns a simulation where endpoint 0, the primary, has left and been forgotten, and its index is listed for another endpoint
/// in `group`.
fn with_reused_primary_index(group: usize) -> Simulation {
    let mut simulation = Simulation::with_reports(false, [0.0; 3]);
    simulation.update_endpoint(0, Removed, None);
    simulation.now += PAST_RETENTION_SECONDS;
    assert_eq!(forget(&mut simulation), [0]);
    assert!(!simulation.router.may_send_health_check(0), "a health check may be sent to a vacant index");
    let other = EndpointUpdate { group, started_at: Some(simulation.now), ..endpoint_update(0, Ready) };
    simulation.router.on_endpoint_list(simulation.now, &[other], &mut simulation.transport);
    assert!(simulation.router.may_send_health_check(0) && simulation.router.is_warming(simulation.now, 0));
    simulation.now += 11.0;
    simulation
}

#[test]
fn a_reused_index_is_no_member_of_its_old_group() {
    let mut simulation = with_reused_primary_index(1);
    (1..4).for_each(|endpoint| simulation.update_endpoint(endpoint, Draining, None));
    simulation.report(0, Primary, 0.0);
    for workload in [READ, WRITE] {
        let in_old_group = simulation.send_request(workload);
        assert!(simulation.sent_to(in_old_group).is_empty());
        let in_new_group = simulation.send(Request { group: 1, ..request(workload, 1.0) });
        simulation.advance(0.5);
        assert_eq!(simulation.sent_to(in_new_group), [0]);
    }
}

/// The endpoint last accepted as primary is accepted again whatever the age of its next claim; another endpoint that reuses
/// its index is not.
#[test]
fn a_reused_index_has_no_claim_to_be_the_primary() {
    let mut simulation = with_reused_primary_index(0);
    let seconds_since_old_claim = PAST_RETENTION_SECONDS + 11.0;
    simulation.report(0, Primary, seconds_since_old_claim + 1.0);
    let write = simulation.send_request(WRITE);
    assert!(simulation.sent_to(write).is_empty(), "a claim older than the last accepted one was accepted");
    simulation.report(0, Primary, 0.0);
    assert_eq!(simulation.sent_to(write), [0]);
}

/// Guards against iterating over the waiting requests when the endpoint list has not changed.
#[test]
fn an_empty_list_visits_no_group() {
    let mut simulation = Simulation::new(config(false));
    simulation.send_request(READ);
    let before = simulation.router.work_counts();
    simulation.router.on_endpoint_list(simulation.now, &[], &mut simulation.transport);
    assert_eq!(simulation.router.work_counts(), before);
}
