//! Which requests may be retried, and which are treated as retries by a client.

use ottersill_routing::interface::*;
use rstest::rstest;

use crate::common::*;

use Role::{Primary, Replica};

/// Invariant: no effect happens twice, and a request gets one final answer. The test observes what follows the first attempt
/// at the primary.
#[rstest]
#[case::write_may_have_run(WRITE, AttemptOutcome::Error, 0.0, Some(TransportCall::Abort(0)), 1)]
#[case::write_lost(WRITE, AttemptOutcome::Reset, 0.0, Some(TransportCall::Abort(0)), 1)]
#[case::write_at_wrong_endpoint(WRITE, AttemptOutcome::WrongEndpoint, 0.0, None, 2)]
#[case::deduplicated_in_its_window(DEDUPLICATED_WRITE, AttemptOutcome::Error, 0.0, None, 2)]
#[case::deduplicated_after_its_window(
    DEDUPLICATED_WRITE,
    AttemptOutcome::Error,
    0.51,
    Some(TransportCall::Abort(0)),
    1
)]
#[case::read_may_run_again(READ, AttemptOutcome::Error, 0.0, None, 2)]
fn effects_are_not_repeated(
    #[case] workload: usize,
    #[case] outcome: AttemptOutcome,
    #[case] elapsed_seconds: f64,
    #[case] final_answer: Option<TransportCall>,
    #[case] attempts: usize,
) {
    let mut simulation = Simulation::with_reports(true, [0.0; 3]);
    let request = simulation.send_request_with_time_left(workload, 2.0);
    let endpoint = simulation.sent_to(request)[0];
    simulation.now += elapsed_seconds;
    simulation.end_attempt(request, endpoint, outcome, None);
    simulation.report(0, Primary, -0.01);
    simulation.now += 0.1;
    simulation.report(0, Primary, 0.0);
    if final_answer.is_some() {
        simulation.advance(2.0);
    }
    assert_eq!(simulation.sent_to(request).len(), attempts);
    let final_answers =
        simulation.count(TransportCall::Abort(request)) + simulation.count(TransportCall::Reject(request));
    assert_eq!(
        (final_answers, final_answer.is_none_or(|call| simulation.count(call) == 1)),
        (usize::from(final_answer.is_some()), true)
    );
}

/// The timeout of a request distinguishes retries by clients from first attempts, which matters under overload. Guards
/// against first attempts of clients with shorter timeouts that are treated as retries.
#[rstest]
#[case::usual(0.53, 3, false)]
#[case::retry_after_failures(0.4, 3, true)]
#[case::first_attempt_with_a_short_timeout(0.15, 0, false)]
fn client_retries_are_recognized_by_their_timeout(
    #[case] time_left: f64,
    #[case] failed: usize,
    #[case] is_rejected: bool,
) {
    let mut simulation = Simulation::new(config(true));
    let earlier: Vec<usize> = (0..9).map(|_| simulation.send_request_with_time_left(READ, 0.53)).collect();
    earlier.iter().take(failed).for_each(|request| simulation.router.on_client_gone(*request));
    let read = simulation.send_request_with_time_left(READ, time_left);
    assert_eq!(simulation.count(TransportCall::Reject(read)), usize::from(is_rejected));
}

/// A request of a read workload whose text may write is sent to the primary only, and is not retried.
#[rstest]
#[case::answered_with_an_error(AttemptOutcome::Error, TransportCall::Abort(0))]
#[case::lost(AttemptOutcome::Reset, TransportCall::Abort(0))]
fn a_read_that_may_write_goes_to_the_primary_once(
    #[case] outcome: AttemptOutcome,
    #[case] final_answer: TransportCall,
) {
    let mut simulation = Simulation::with_reports(true, [0.0; 3]);
    let request = simulation.send(Request { may_write: true, ..request(READ, 0.75) });
    assert_eq!(simulation.sent_to(request), [0]);
    simulation.end_attempt(request, 0, outcome, None);
    simulation.advance(0.3);
    assert_eq!((simulation.sent_to(request).len(), simulation.count(final_answer)), (1, 1));
    let read = simulation.send_request(READ);
    assert_ne!(simulation.sent_to(read), [0]);
}

/// Guards against a replica that is excluded from all reads because it rejected one client's `SELECT` that writes.
#[test]
fn a_read_that_turns_out_to_write_excludes_no_endpoint() {
    let mut simulation = Simulation::with_reports(true, [0.0; 3]);
    for _ in 0..6 {
        let request = simulation.send_request(READ);
        let endpoint = simulation.sent_to(request)[0];
        assert_ne!(endpoint, 0, "{:?}", simulation.transport.0);
        simulation.end_attempt(request, endpoint, AttemptOutcome::ReadOnly, Some(Replica));
        assert_eq!(simulation.sent_to(request), [endpoint, 0]);
        simulation.end_attempt(request, 0, AttemptOutcome::Error, None);
        assert_eq!(
            (simulation.count(TransportCall::Abort(request)), simulation.sent_to(request).len()),
            (1, 2)
        );
    }
    let reads: Vec<usize> = (0..6).flat_map(|_| simulation.send_and_get_endpoints(READ)).collect();
    assert!((1..4).all(|endpoint| reads.contains(&endpoint)), "{reads:?}");
}

/// Guards against a request that is kept although no attempt may follow: an earlier attempt may have run under the rules of
/// a read, and then a replica reports that the text writes. Such a request gets its final answer at once.
#[rstest]
#[case::nothing_has_run(None, 0, 1)]
#[case::an_earlier_attempt_may_have_run(Some(AttemptOutcome::Error), 1, 0)]
#[case::an_earlier_attempt_was_lost(Some(AttemptOutcome::Reset), 1, 0)]
fn a_read_that_turns_out_to_write_is_aborted_if_no_attempt_may_follow(
    #[case] earlier: Option<AttemptOutcome>,
    #[case] aborted: usize,
    #[case] retries: usize,
) {
    let mut simulation = Simulation::with_reports(true, [0.0; 3]);
    let request = simulation.send_request(READ);
    if let Some(outcome) = earlier {
        simulation.end_attempt(request, simulation.sent_to(request)[0], outcome, None);
    }
    let sent = simulation.sent_to(request);
    let replica = *sent.last().expect("no attempt was sent");
    assert_ne!(replica, 0, "the read was sent to the primary: {sent:?}");
    simulation.end_attempt(request, replica, AttemptOutcome::ReadOnly, Some(Replica));
    let followed = simulation.sent_to(request).len() - sent.len();
    assert_eq!((simulation.count(TransportCall::Abort(request)), followed), (aborted, retries));
}

/// Guards against a deduplicated request that is kept beyond its window, where no attempt may follow the one that may have run.
#[rstest]
#[case::over_as_the_attempt_ends(0.11, 0.0)]
#[case::over_while_it_waits_for_a_primary(0.05, 0.06)]
fn a_request_whose_window_is_over_is_aborted_at_once(
    #[case] attempt_seconds: f64,
    #[case] wait_seconds: f64,
) {
    let mut config = config(true);
    config.workloads[DEDUPLICATED_WRITE].effect =
        Effect::Deduplicated { within: DeduplicationScope::Group, window: 0.1 };
    let mut simulation = Simulation::new(config);
    simulation.report(0, Primary, 0.0);
    let request = simulation.send_request_with_time_left(DEDUPLICATED_WRITE, 2.0);
    simulation.now += attempt_seconds;
    simulation.end_attempt(request, 0, AttemptOutcome::Reset, None);
    simulation.report(0, Replica, 0.0);
    simulation.advance(wait_seconds);
    assert_eq!((simulation.count(TransportCall::Abort(request)), simulation.sent_to(request).len()), (1, 1));
}
