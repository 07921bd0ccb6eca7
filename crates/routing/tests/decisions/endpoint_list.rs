//! Endpoints that drain or are gone, and rules that are checked again as an attempt goes out.

use ottersill_routing::interface::*;
use rstest::rstest;

use crate::common::*;

use Role::{Primary, Replica};

#[rstest]
#[case::draining(EndpointState::Draining, false, false)]
#[case::gone(EndpointState::Removed, false, false)]
#[case::gone_does_not_bind(EndpointState::Removed, true, true)]
#[case::draining_binds_anyway(EndpointState::Draining, true, false)]
fn drains_are_kept(#[case] state: EndpointState, #[case] only_draining_excludes: bool, #[case] still: bool) {
    let mut world = World::new(RoutingConfig { only_draining_excludes, ..terms(false) });
    world.report(0, Primary, 0.0);
    world.report(1, Replica, 0.0);
    world.list(1, state, None);
    let read = world.ask(READ);
    assert_eq!(world.sent_to(read) == [1], still);
}

/// Rules 2, 3 and 5 hold when an execution goes out, which may be some time after it was chosen.
#[rstest]
#[case::at_once(READ, false, 0.0, None, true)]
#[case::drains(READ, false, 0.0, Some(EndpointState::Draining), false)]
#[case::is_gone(READ, false, 0.0, Some(EndpointState::Removed), false)]
#[case::data_too_old(READ, false, 1.1, None, false)]
#[case::data_too_old_where_members_check(READ, true, 1.1, None, true)]
#[case::any_data(REPORT, false, 1.1, None, true)]
#[case::repeat_in_its_window(MARKED, false, 0.4, None, true)]
#[case::repeat_after_its_window(MARKED, false, 0.6, None, false)]
fn what_was_chosen_goes_out_by_the_rules_of_then(
    #[case] workload: usize,
    #[case] checks: bool,
    #[case] later: f64,
    #[case] told: Option<EndpointState>,
    #[case] may: bool,
) {
    let mut world = World::settled(checks, [0.0; 3]);
    let request = world.ask_with(workload, 2.0);
    let mut endpoint = world.sent_to(request)[0];
    if workload == MARKED {
        // It may have run once, and is on its way again.
        world.end(request, endpoint, AttemptOutcome::Error, Some(Primary));
        endpoint = world.sent_to(request)[1];
    }
    told.into_iter().for_each(|state| world.list(endpoint, state, None));
    world.now += later;
    assert_eq!(world.router.may_send_attempt(world.now, request, endpoint), may);
    assert_eq!(world.router.may_send_health_check(endpoint), told.is_none());
}
