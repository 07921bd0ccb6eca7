//! Which endpoint is treated as the primary, and after which events it no longer is.

use ottersill_routing::interface::*;
use rstest::rstest;

use crate::common::*;

use Role::{Primary, Replica};

/// Observes the tracked primary by the endpoint that a write is sent to. A report is the endpoint, its role and the age of
/// its replication position in seconds.
#[rstest]
#[case::one_claims(&[(1, Primary, 0.0)], Some(1))]
#[case::none_claims(&[(1, Replica, 0.0)], None)]
#[case::later_position_wins(&[(1, Primary, 0.2), (2, Primary, 0.1)], Some(2))]
#[case::older_claim_changes_nothing(&[(2, Primary, 0.1), (1, Primary, 0.2)], Some(2))]
#[case::steps_down(&[(1, Primary, 0.2), (1, Replica, 0.1)], None)]
#[case::older_report_as_replica_changes_nothing(&[(1, Primary, 0.1), (1, Replica, 0.2)], Some(1))]
fn the_newest_report_decides_the_primary(
    #[case] reports: &[(usize, Role, f64)],
    #[case] expected: Option<usize>,
) {
    let mut simulation = Simulation::new(config(true));
    for (endpoint, role, age) in reports {
        simulation.report(*endpoint, *role, *age);
    }
    let write = simulation.send_request(WRITE);
    assert_eq!(simulation.sent_to(write).first().copied(), expected);
}

#[rstest]
#[case::wrong_endpoint(AttemptOutcome::WrongEndpoint, Some(Replica), false)]
#[case::lost_connection(AttemptOutcome::ConnectFailed, None, false)]
#[case::timeout(AttemptOutcome::TimedOut, None, false)]
#[case::completed(AttemptOutcome::Completed, Some(Primary), true)]
fn a_failed_write_clears_the_primary_and_restarts_polling(
    #[case] outcome: AttemptOutcome,
    #[case] role: Option<Role>,
    #[case] stays_primary: bool,
) {
    let mut simulation = Simulation::with_reports(false, [0.0; 3]);
    let write = simulation.send_request(WRITE);
    simulation.advance(0.3);
    simulation.transport.0.clear();
    simulation.end_attempt(write, 0, outcome, role);
    let next = simulation.send_request(WRITE);
    assert_eq!(simulation.sent_to(next) == [0], stays_primary);
    simulation.advance(0.26);
    assert_eq!(
        simulation.count(TransportCall::StartHealthCheck(0)) > 0,
        !stays_primary,
        "{:?}",
        simulation.transport.0
    );
}

/// Guards against a primary that is cleared because of load: a loaded primary let single reads time out, and was no longer
/// treated as the primary each time.
#[test]
fn a_time_out_at_a_primary_that_answers_others_does_not_clear_it() {
    let mut simulation = Simulation::with_reports(true, [0.0; 3]);
    let (slow, quick) = (simulation.send_request(WRITE), simulation.send_request(WRITE));
    simulation.advance(0.1);
    simulation.end_attempt(quick, 0, AttemptOutcome::Completed, Some(Primary));
    simulation.end_attempt(slow, 0, AttemptOutcome::TimedOut, None);
    let next = simulation.send_request(WRITE);
    assert_eq!(simulation.sent_to(next), [0]);
}

#[rstest]
#[case::primary_appears(true)]
#[case::none_in_time(false)]
fn writes_wait_for_a_primary(#[case] appears: bool) {
    let mut simulation = Simulation::new(config(true));
    let write = simulation.send_request(WRITE);
    simulation.advance(0.2);
    assert_eq!((simulation.sent_to(write).len(), simulation.count(TransportCall::Reject(write))), (0, 0));
    if appears {
        simulation.report(2, Primary, 0.0);
    }
    simulation.advance(0.4);
    assert_eq!(simulation.sent_to(write).len(), usize::from(appears));
    assert_eq!(simulation.count(TransportCall::Reject(write)), usize::from(!appears));
}

/// A primary that reports its role in the answer rejected the text of the request; it is still the primary.
#[rstest]
#[case::still_the_primary(Some(Primary), true)]
#[case::now_a_replica(Some(Replica), false)]
#[case::no_role_reported(None, false)]
fn a_primary_that_rejects_a_text_stays_the_primary(#[case] role: Option<Role>, #[case] stays_primary: bool) {
    let mut simulation = Simulation::with_reports(true, [0.0; 3]);
    let request = simulation.send(Request { may_write: true, ..request(READ, 0.75) });
    simulation.end_attempt(request, 0, AttemptOutcome::ReadOnly, role);
    let write = simulation.send_request(WRITE);
    assert_eq!(simulation.sent_to(write) == [0], stays_primary);
}
