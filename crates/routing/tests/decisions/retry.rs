//! Which requests may be retried, and which are treated as retries by a client.

use ottersill_routing::interface::*;
use rstest::rstest;

use crate::common::*;

use Role::{Primary, Replica};

/// Invariant: no effect happens twice, and a request gets one final answer. The test observes what follows the first attempt
/// at the primary.
#[rstest]
#[case::write_may_have_run(WRITE, AttemptOutcome::Error, 0.0, Some(Done::Abort(0)), 1)]
#[case::write_lost(WRITE, AttemptOutcome::Reset, 0.0, Some(Done::Abort(0)), 1)]
#[case::write_at_wrong_endpoint(WRITE, AttemptOutcome::WrongEndpoint, 0.0, None, 2)]
#[case::deduplicated_in_its_window(MARKED, AttemptOutcome::Error, 0.0, None, 2)]
#[case::deduplicated_after_its_window(MARKED, AttemptOutcome::Error, 0.51, Some(Done::Abort(0)), 1)]
#[case::read_may_run_again(READ, AttemptOutcome::Error, 0.0, None, 2)]
fn effects_are_not_repeated(
    #[case] workload: usize,
    #[case] outcome: AttemptOutcome,
    #[case] elapsed_seconds: f64,
    #[case] final_answer: Option<Done>,
    #[case] attempts: usize,
) {
    let mut fixture = World::settled(true, [0.0; 3]);
    let request = fixture.ask_with(workload, 2.0);
    let endpoint = fixture.sent_to(request)[0];
    fixture.now += elapsed_seconds;
    fixture.end(request, endpoint, outcome, None);
    fixture.report(0, Primary, -0.01);
    fixture.now += 0.1;
    fixture.report(0, Primary, 0.0);
    if final_answer.is_some() {
        fixture.pass(2.0);
    }
    assert_eq!(fixture.sent_to(request).len(), attempts);
    let final_answers = fixture.count(Done::Abort(request)) + fixture.count(Done::Reject(request));
    assert_eq!(
        (final_answers, final_answer.is_none_or(|done| fixture.count(done) == 1)),
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
    let mut fixture = World::new(terms(true));
    let earlier: Vec<usize> = (0..9).map(|_| fixture.ask_with(READ, 0.53)).collect();
    earlier.iter().take(failed).for_each(|request| fixture.router.on_client_gone(*request));
    let read = fixture.ask_with(READ, time_left);
    assert_eq!(fixture.count(Done::Reject(read)), usize::from(is_rejected));
}

/// A request of a read workload whose text may write is sent to the primary only, and is not retried.
#[rstest]
#[case::answered_with_an_error(AttemptOutcome::Error, Done::Abort(0))]
#[case::lost(AttemptOutcome::Reset, Done::Abort(0))]
fn a_read_that_may_write_goes_to_the_primary_once(
    #[case] outcome: AttemptOutcome,
    #[case] final_answer: Done,
) {
    let mut fixture = World::settled(true, [0.0; 3]);
    let request = fixture.ask_for(Request { may_write: true, ..statement(READ, 0.75) });
    assert_eq!(fixture.sent_to(request), [0]);
    fixture.end(request, 0, outcome, None);
    fixture.pass(0.3);
    assert_eq!((fixture.sent_to(request).len(), fixture.count(final_answer)), (1, 1));
    let read = fixture.ask(READ);
    assert_ne!(fixture.sent_to(read), [0]);
}

/// Guards against a replica that is excluded from all reads because it rejected one client's `SELECT` that writes.
#[test]
fn a_read_that_turns_out_to_write_excludes_no_endpoint() {
    let mut fixture = World::settled(true, [0.0; 3]);
    for _ in 0..6 {
        let request = fixture.ask(READ);
        let endpoint = fixture.sent_to(request)[0];
        assert_ne!(endpoint, 0, "{:?}", fixture.book.0);
        fixture.end(request, endpoint, AttemptOutcome::ReadOnly, Some(Replica));
        assert_eq!(fixture.sent_to(request), [endpoint, 0]);
        fixture.end(request, 0, AttemptOutcome::Error, None);
        assert_eq!((fixture.count(Done::Abort(request)), fixture.sent_to(request).len()), (1, 2));
    }
    let reads: Vec<usize> = (0..6).flat_map(|_| fixture.ask_and_place(READ)).collect();
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
    let mut fixture = World::settled(true, [0.0; 3]);
    let request = fixture.ask(READ);
    if let Some(outcome) = earlier {
        fixture.end(request, fixture.sent_to(request)[0], outcome, None);
    }
    let sent = fixture.sent_to(request);
    let replica = *sent.last().expect("no attempt was sent");
    assert_ne!(replica, 0, "the read was sent to the primary: {sent:?}");
    fixture.end(request, replica, AttemptOutcome::ReadOnly, Some(Replica));
    let followed = fixture.sent_to(request).len() - sent.len();
    assert_eq!((fixture.count(Done::Abort(request)), followed), (aborted, retries));
}

/// Guards against a deduplicated request that is kept beyond its window, where no attempt may follow the one that may have run.
#[rstest]
#[case::over_as_the_attempt_ends(0.11, 0.0)]
#[case::over_while_it_waits_for_a_primary(0.05, 0.06)]
fn a_request_whose_window_is_over_is_aborted_at_once(
    #[case] attempt_seconds: f64,
    #[case] wait_seconds: f64,
) {
    let mut terms = terms(true);
    terms.workloads[MARKED].effect = Effect::Deduplicated { within: DeduplicationScope::Group, window: 0.1 };
    let mut fixture = World::new(terms);
    fixture.report(0, Primary, 0.0);
    let request = fixture.ask_with(MARKED, 2.0);
    fixture.now += attempt_seconds;
    fixture.end(request, 0, AttemptOutcome::Reset, None);
    fixture.report(0, Replica, 0.0);
    fixture.pass(wait_seconds);
    assert_eq!((fixture.count(Done::Abort(request)), fixture.sent_to(request).len()), (1, 1));
}
