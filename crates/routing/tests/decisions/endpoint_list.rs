//! Endpoints that are draining or removed, and the rules that are checked again when an attempt is sent.

use ottersill_routing::interface::*;
use rstest::rstest;

use crate::common::*;

use Role::{Primary, Replica};

#[rstest]
#[case::draining(EndpointState::Draining, false, false)]
#[case::removed(EndpointState::Removed, false, false)]
#[case::removed_where_only_draining_excludes(EndpointState::Removed, true, true)]
#[case::draining_where_only_draining_excludes(EndpointState::Draining, true, false)]
fn excluded_endpoints_are_sent_no_requests(
    #[case] state: EndpointState,
    #[case] only_draining_excludes: bool,
    #[case] is_sent: bool,
) {
    let mut simulation = Simulation::new(RoutingConfig { only_draining_excludes, ..config(false) });
    simulation.report(0, Primary, 0.0);
    simulation.report(1, Replica, 0.0);
    simulation.update_endpoint(1, state, None);
    let read = simulation.send_request(READ);
    assert_eq!(simulation.sent_to(read) == [1], is_sent);
}

/// The rules on excluded endpoints, on safe retries and on the age of data hold when an attempt is sent, which may be some
/// time after its endpoint was selected.
#[rstest]
#[case::at_once(READ, false, 0.0, None, true)]
#[case::drains(READ, false, 0.0, Some(EndpointState::Draining), false)]
#[case::is_removed(READ, false, 0.0, Some(EndpointState::Removed), false)]
#[case::data_too_old(READ, false, 1.1, None, false)]
#[case::data_too_old_where_endpoints_check(READ, true, 1.1, None, true)]
#[case::any_data(LONG_READ, false, 1.1, None, true)]
#[case::retry_in_its_window(DEDUPLICATED_WRITE, false, 0.4, None, true)]
#[case::retry_after_its_window(DEDUPLICATED_WRITE, false, 0.6, None, false)]
fn the_rules_are_checked_again_when_an_attempt_is_sent(
    #[case] workload: usize,
    #[case] endpoints_check_reads: bool,
    #[case] delay_seconds: f64,
    #[case] new_state: Option<EndpointState>,
    #[case] is_allowed: bool,
) {
    let mut simulation = Simulation::with_reports(endpoints_check_reads, [0.0; 3]);
    let request = simulation.send_request_with_time_left(workload, 2.0);
    let mut endpoint = simulation.sent_to(request)[0];
    if workload == DEDUPLICATED_WRITE {
        // The first attempt may have run, and a retry is in flight.
        simulation.end_attempt(request, endpoint, AttemptOutcome::Error, Some(Primary));
        endpoint = simulation.sent_to(request)[1];
    }
    new_state.into_iter().for_each(|state| simulation.update_endpoint(endpoint, state, None));
    simulation.now += delay_seconds;
    assert_eq!(simulation.router.may_send_attempt(simulation.now, request, endpoint), is_allowed);
    assert_eq!(simulation.router.may_send_health_check(endpoint), new_state.is_none());
}
