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
fn forget(fixture: &mut World) -> Vec<usize> {
    let endpoints = fixture.router.forgettable_endpoints(fixture.now);
    let forgotten = fixture.router.forget_endpoints(fixture.now, &endpoints);
    assert_eq!(forgotten, endpoints, "a forgettable endpoint was kept");
    forgotten
}

/// Returns a group with a known primary whose endpoint 3 has gone through these states, one second apart.
fn with_state_changes(states: &[EndpointState], only_draining_excludes: bool) -> World {
    let mut fixture = World::new(RoutingConfig { only_draining_excludes, ..terms(false) });
    fixture.report(0, Primary, 0.0);
    (1..4).for_each(|endpoint| fixture.report(endpoint, Replica, 0.0));
    for state in states {
        fixture.now += 1.0;
        fixture.list(3, *state, None);
    }
    fixture
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
    let mut fixture = with_state_changes(states, only_draining_excludes);
    fixture.now += PAST_RETENTION_SECONDS - 2.0;
    assert!(forget(&mut fixture).is_empty(), "an endpoint was forgotten that may be listed again");
    fixture.now += 2.0;
    assert_eq!(forget(&mut fixture), forgotten);
    assert!(forget(&mut fixture).is_empty(), "an endpoint was forgotten twice");
}

/// The retention time of an endpoint that leaves and returns every second starts at its last departure, and the endpoint is
/// forgotten once.
#[test]
fn an_endpoint_that_flaps_is_kept_until_it_stays_away() {
    let mut fixture = with_state_changes(&[Removed, Ready].repeat(50), false);
    fixture.now += PAST_RETENTION_SECONDS;
    assert!(forget(&mut fixture).is_empty());
    fixture.list(3, Removed, None);
    fixture.now += PAST_RETENTION_SECONDS;
    assert_eq!(forget(&mut fixture), [3]);
}

#[test]
fn an_endpoint_with_an_attempt_in_flight_is_kept() {
    let mut fixture = World::settled(false, [0.0; 3]);
    let request = fixture.ask(READ);
    let busy = fixture.sent_to(request)[0];
    fixture.list(busy, Removed, None);
    fixture.now += PAST_RETENTION_SECONDS;
    assert!(forget(&mut fixture).is_empty());
    assert!(
        fixture.router.forget_endpoints(fixture.now, &[busy]).is_empty(),
        "an endpoint with an attempt in flight was forgotten on request"
    );
    fixture.router.on_client_gone(request);
    assert!(forget(&mut fixture).is_empty(), "an endpoint was forgotten before the result of its attempt");
    fixture.end(request, busy, AttemptOutcome::Completed, None);
    assert_eq!(forget(&mut fixture), [busy]);
}

/// Whether a retry is safe depends on the site of the endpoint that may have run the request first.
#[test]
fn an_endpoint_that_a_waiting_request_tried_is_kept() {
    let mut fixture = World::settled(false, [0.0; 3]);
    let request = fixture.ask_with(MARKED, 300.0);
    let tried = fixture.sent_to(request)[0];
    fixture.list(tried, Removed, None);
    fixture.end(request, tried, AttemptOutcome::Error, None);
    fixture.now += PAST_RETENTION_SECONDS;
    assert_eq!(fixture.router.waiting(0), 1, "the group has no primary now");
    assert!(forget(&mut fixture).is_empty());
    fixture.router.on_client_gone(request);
    assert_eq!(forget(&mut fixture), [tried]);
}

#[test]
fn an_endpoint_with_a_health_check_in_flight_is_kept() {
    let mut fixture = World::new(terms(false));
    fixture.pass(2.0);
    assert!(fixture.count(Done::Probe(3)) > 0);
    fixture.list(3, Removed, None);
    fixture.now += PAST_RETENTION_SECONDS;
    assert!(forget(&mut fixture).is_empty());
    fixture.report(3, Replica, 0.0);
    assert_eq!(forget(&mut fixture), [3]);
}

/// Guards against a warming endpoint that leaves and is treated as warm when it is listed again.
#[test]
fn a_warming_endpoint_is_kept_until_it_would_be_warm() {
    let mut fixture = World::new(RoutingConfig { warmup_seconds: 100.0, ..terms(false) });
    fixture.list(3, Ready, Some(fixture.now));
    fixture.list(3, Removed, None);
    fixture.now += 99.0;
    assert!(forget(&mut fixture).is_empty());
    fixture.now += 1.0;
    assert_eq!(forget(&mut fixture), [3]);
}

/// Guards against memory use that grows with each endpoint list where all of the list changes often: the endpoints that left
/// first are forgotten first, before the retention time.
#[test]
fn endpoints_that_left_do_not_outnumber_those_that_are_listed() {
    let mut fixture = World::new(terms(false));
    for endpoint in [2, 0, 3] {
        fixture.now += 1.0;
        fixture.list(endpoint, Removed, None);
    }
    assert_eq!(forget(&mut fixture), [2, 0], "three have left and one is listed");
    fixture.list(1, Removed, None);
    assert_eq!(forget(&mut fixture), [3, 1], "none is listed");
}

/// Returns a fixture where endpoint 0, the primary, has left and been forgotten, and its index is listed for another endpoint
/// in `group`.
fn with_reused_primary_index(group: usize) -> World {
    let mut fixture = World::settled(false, [0.0; 3]);
    fixture.list(0, Removed, None);
    fixture.now += PAST_RETENTION_SECONDS;
    assert_eq!(forget(&mut fixture), [0]);
    assert!(!fixture.router.may_send_health_check(0), "a health check may be sent to a vacant index");
    let other = EndpointUpdate { group, started_at: Some(fixture.now), ..listed(0, Ready) };
    fixture.router.on_endpoint_list(fixture.now, &[other], &mut fixture.book);
    assert!(fixture.router.may_send_health_check(0) && fixture.router.is_warming(fixture.now, 0));
    fixture.now += 11.0;
    fixture
}

#[test]
fn a_reused_index_is_no_member_of_its_old_group() {
    let mut fixture = with_reused_primary_index(1);
    (1..4).for_each(|endpoint| fixture.list(endpoint, Draining, None));
    fixture.report(0, Primary, 0.0);
    for workload in [READ, WRITE] {
        let in_old_group = fixture.ask(workload);
        assert!(fixture.sent_to(in_old_group).is_empty());
        let in_new_group = fixture.ask_for(Request { group: 1, ..statement(workload, 1.0) });
        fixture.pass(0.5);
        assert_eq!(fixture.sent_to(in_new_group), [0]);
    }
}

/// The endpoint last accepted as primary is accepted again whatever the age of its next claim; another endpoint that reuses
/// its index is not.
#[test]
fn a_reused_index_has_no_claim_to_be_the_primary() {
    let mut fixture = with_reused_primary_index(0);
    let seconds_since_old_claim = PAST_RETENTION_SECONDS + 11.0;
    fixture.report(0, Primary, seconds_since_old_claim + 1.0);
    let write = fixture.ask(WRITE);
    assert!(fixture.sent_to(write).is_empty(), "a claim older than the last accepted one was accepted");
    fixture.report(0, Primary, 0.0);
    assert_eq!(fixture.sent_to(write), [0]);
}

/// Guards against iterating over the waiting requests when the endpoint list has not changed.
#[test]
fn an_empty_list_visits_no_group() {
    let mut fixture = World::new(terms(false));
    fixture.ask(READ);
    let before = fixture.router.work_counts();
    fixture.router.on_endpoint_list(fixture.now, &[], &mut fixture.book);
    assert_eq!(fixture.router.work_counts(), before);
}
