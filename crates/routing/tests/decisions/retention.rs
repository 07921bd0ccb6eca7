//! How long what is known of endpoints is kept after they have left the list, and that an index used again brings nothing of
//! the endpoint that it stood for before. None of it was there before; each test fails where the condition that it is
//! about is left out.

use ottersill_routing::interface::*;
use rstest::rstest;

use crate::common::*;

use EndpointState::{Draining, Ready, Removed};
use Role::{Primary, Replica};

/// Longer than any endpoint that left is kept without need, in seconds.
const LONG: f64 = 61.0;

/// Forgets what may be forgotten and returns it.
fn forget(world: &mut World) -> Vec<usize> {
    let endpoints = world.router.forgettable_endpoints(world.now);
    let forgotten = world.router.forget_endpoints(world.now, &endpoints);
    assert_eq!(forgotten, endpoints, "what may be forgotten is");
    forgotten
}

/// Endpoint 3 of a settled group goes through these states, a second apart.
fn after(states: &[EndpointState], only_draining_excludes: bool) -> World {
    let mut world = World::new(RoutingConfig { only_draining_excludes, ..terms(false) });
    world.report(0, Primary, 0.0);
    (1..4).for_each(|endpoint| world.report(endpoint, Replica, 0.0));
    for state in states {
        world.now += 1.0;
        world.list(3, *state, None);
    }
    world
}

#[rstest]
#[case::gone(&[Removed], false, &[3])]
#[case::drained_and_gone(&[Draining, Removed], false, &[3])]
#[case::drains(&[Draining], false, &[])]
#[case::is_back(&[Removed, Ready], false, &[])]
#[case::drained_where_only_that_binds(&[Draining, Removed], true, &[3])]
#[case::may_still_be_sent_to(&[Removed], true, &[])]
fn an_excluded_endpoint_that_left_is_forgotten_in_time(
    #[case] states: &[EndpointState],
    #[case] only_draining_excludes: bool,
    #[case] forgotten: &[usize],
) {
    let mut world = after(states, only_draining_excludes);
    world.now += LONG - 2.0;
    assert!(forget(&mut world).is_empty(), "it may come back as it was");
    world.now += 2.0;
    assert_eq!(forget(&mut world), forgotten);
    assert!(forget(&mut world).is_empty(), "once");
}

/// An endpoint that comes and goes each second is kept from its last departure on, and counted once.
#[test]
fn an_endpoint_that_flaps_is_kept_until_it_stays_away() {
    let mut world = after(&[Removed, Ready].repeat(50), false);
    world.now += LONG;
    assert!(forget(&mut world).is_empty());
    world.list(3, Removed, None);
    world.now += LONG;
    assert_eq!(forget(&mut world), [3]);
}

#[test]
fn an_endpoint_with_an_attempt_in_flight_is_kept() {
    let mut world = World::settled(false, [0.0; 3]);
    let request = world.ask(READ);
    let busy = world.sent_to(request)[0];
    world.list(busy, Removed, None);
    world.now += LONG;
    assert!(forget(&mut world).is_empty());
    assert!(world.router.forget_endpoints(world.now, &[busy]).is_empty(), "not even if told to");
    world.router.on_client_gone(request);
    assert!(forget(&mut world).is_empty(), "its result is still to come");
    world.end(request, busy, AttemptOutcome::Completed, None);
    assert_eq!(forget(&mut world), [busy]);
}

/// A repeat goes by the site of the endpoint that may have run the request first.
#[test]
fn an_endpoint_that_a_waiting_request_tried_is_kept() {
    let mut world = World::settled(false, [0.0; 3]);
    let request = world.ask_with(MARKED, 300.0);
    let tried = world.sent_to(request)[0];
    world.list(tried, Removed, None);
    world.end(request, tried, AttemptOutcome::Error, None);
    world.now += LONG;
    assert_eq!(world.router.waiting(0), 1, "the group has no primary now");
    assert!(forget(&mut world).is_empty());
    world.router.on_client_gone(request);
    assert_eq!(forget(&mut world), [tried]);
}

#[test]
fn an_endpoint_with_a_health_check_in_flight_is_kept() {
    let mut world = World::new(terms(false));
    world.pass(2.0);
    assert!(world.count(Done::Probe(3)) > 0);
    world.list(3, Removed, None);
    world.now += LONG;
    assert!(forget(&mut world).is_empty());
    world.report(3, Replica, 0.0);
    assert_eq!(forget(&mut world), [3]);
}

/// Guards against a warming endpoint that returns as a warm one.
#[test]
fn a_warming_endpoint_is_kept_until_it_would_be_warm() {
    let mut world = World::new(RoutingConfig { warmup_seconds: 100.0, ..terms(false) });
    world.list(3, Ready, Some(world.now));
    world.list(3, Removed, None);
    world.now += 99.0;
    assert!(forget(&mut world).is_empty());
    world.now += 1.0;
    assert_eq!(forget(&mut world), [3]);
}

/// Guards against memory that grows with each list where the list changes all at once and often: those that left first go
/// first, before their time.
#[test]
fn endpoints_that_left_do_not_outnumber_those_that_are_listed() {
    let mut world = World::new(terms(false));
    for endpoint in [2, 0, 3] {
        world.now += 1.0;
        world.list(endpoint, Removed, None);
    }
    assert_eq!(forget(&mut world), [2, 0], "three have left and one is listed");
    world.list(1, Removed, None);
    assert_eq!(forget(&mut world), [3, 1], "none is listed");
}

/// Endpoint 0, the primary, has left and is forgotten, and its index is listed as that of another endpoint in `group`.
fn with_another_primary(group: usize) -> World {
    let mut world = World::settled(false, [0.0; 3]);
    world.list(0, Removed, None);
    world.now += LONG;
    assert_eq!(forget(&mut world), [0]);
    assert!(!world.router.may_send_health_check(0), "nothing goes to an index that stands for none");
    let other = EndpointUpdate { group, started_at: Some(world.now), ..listed(0, Ready) };
    world.router.on_endpoint_list(world.now, &[other], &mut world.book);
    assert!(world.router.may_send_health_check(0) && world.router.is_warming(world.now, 0));
    world.now += 11.0;
    world
}

#[test]
fn an_index_that_is_used_again_is_no_member_of_its_old_group() {
    let mut world = with_another_primary(1);
    (1..4).for_each(|endpoint| world.list(endpoint, Draining, None));
    world.report(0, Primary, 0.0);
    for workload in [READ, WRITE] {
        let in_old_group = world.ask(workload);
        assert!(world.sent_to(in_old_group).is_empty());
        let in_new_group = world.ask_for(Request { group: 1, ..statement(workload, 1.0) });
        world.pass(0.5);
        assert_eq!(world.sent_to(in_new_group), [0]);
    }
}

/// The last to claim a group is believed again whatever the age of its next claim; a stranger with its index is not.
#[test]
fn an_index_that_is_used_again_has_claimed_nothing() {
    let mut world = with_another_primary(0);
    let since_old_claim = LONG + 11.0;
    world.report(0, Primary, since_old_claim + 1.0);
    let write = world.ask(WRITE);
    assert!(world.sent_to(write).is_empty(), "an older claim than the one before");
    world.report(0, Primary, 0.0);
    assert_eq!(world.sent_to(write), [0]);
}

/// Guards against a walk over what waits where a list has changed nothing.
#[test]
fn an_empty_list_visits_no_group() {
    let mut world = World::new(terms(false));
    world.ask(READ);
    let before = world.router.work_counts();
    world.router.on_endpoint_list(world.now, &[], &mut world.book);
    assert_eq!(world.router.work_counts(), before);
}
