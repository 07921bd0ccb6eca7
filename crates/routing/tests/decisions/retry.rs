//! What may be sent again, and what counts as sent again by a client.

use ottersill_routing::interface::*;
use rstest::rstest;

use crate::common::*;

use Role::{Primary, Replica};

/// Rule: no effect twice, one final answer. Seen after one execution at the primary has ended.
#[rstest]
#[case::write_may_have_run(WRITE, AttemptOutcome::Error, 0.0, Some(Done::Abort(0)), 1)]
#[case::write_lost(WRITE, AttemptOutcome::Reset, 0.0, Some(Done::Abort(0)), 1)]
#[case::write_turned_away(WRITE, AttemptOutcome::WrongEndpoint, 0.0, None, 2)]
#[case::marked_in_its_window(MARKED, AttemptOutcome::Error, 0.0, None, 2)]
#[case::marked_after_its_window(MARKED, AttemptOutcome::Error, 0.51, Some(Done::Abort(0)), 1)]
#[case::read_may_run_again(READ, AttemptOutcome::Error, 0.0, None, 2)]
fn effects_are_not_repeated(
    #[case] workload: usize,
    #[case] outcome: AttemptOutcome,
    #[case] after: f64,
    #[case] last: Option<Done>,
    #[case] executions: usize,
) {
    let mut world = World::settled(true, [0.0; 3]);
    let request = world.ask_with(workload, 2.0);
    let endpoint = world.sent_to(request)[0];
    world.now += after;
    world.end(request, endpoint, outcome, None);
    world.report(0, Primary, -0.01);
    world.now += 0.1;
    world.report(0, Primary, 0.0);
    if last.is_some() {
        world.pass(2.0);
    }
    assert_eq!(world.sent_to(request).len(), executions);
    let finals = world.count(Done::Abort(request)) + world.count(Done::Reject(request));
    assert_eq!((finals, last.is_none_or(|done| world.count(done) == 1)), (usize::from(last.is_some()), true));
}

/// Found on overloaded days: a repeat carries another time than first tries. And in an incident: so do first tries
/// of clients in a hurry, which are not to be taken for late ones.
#[rstest]
#[case::usual(0.53, 3, false)]
#[case::repeat_after_failures(0.4, 3, true)]
#[case::hurried_first_try(0.15, 0, false)]
fn late_tries_are_told_by_their_time(#[case] time_left: f64, #[case] failed: usize, #[case] late: bool) {
    let mut world = World::new(terms(true));
    let earlier: Vec<usize> = (0..9).map(|_| world.ask_with(READ, 0.53)).collect();
    earlier.iter().take(failed).for_each(|request| world.router.on_client_gone(*request));
    let read = world.ask_with(READ, time_left);
    assert_eq!(world.count(Done::Reject(read)), usize::from(late));
}

/// A text that may write, sent under the name of a read: the primary alone, and never again.
#[rstest]
#[case::answered_with_an_error(AttemptOutcome::Error, Done::Abort(0))]
#[case::lost(AttemptOutcome::Reset, Done::Abort(0))]
fn a_text_that_may_write_goes_by_stricter_terms(#[case] outcome: AttemptOutcome, #[case] last: Done) {
    let mut world = World::settled(true, [0.0; 3]);
    let request = world.ask_for(Request { may_write: true, ..statement(READ, 0.75) });
    assert_eq!(world.sent_to(request), [0]);
    world.end(request, 0, outcome, None);
    world.pass(0.3);
    assert_eq!((world.sent_to(request).len(), world.count(last)), (1, 1));
    let read = world.ask(READ);
    assert_ne!(world.sent_to(read), [0]);
}

/// Found by thought: one client's `SELECT` that writes took a replica from everybody's reads.
#[test]
fn a_read_that_turns_out_to_write_takes_no_member_away() {
    let mut world = World::settled(true, [0.0; 3]);
    for _ in 0..6 {
        let request = world.ask(READ);
        let endpoint = world.sent_to(request)[0];
        assert_ne!(endpoint, 0, "{:?}", world.book.0);
        world.end(request, endpoint, AttemptOutcome::ReadOnly, Some(Replica));
        assert_eq!(world.sent_to(request), [endpoint, 0]);
        world.end(request, 0, AttemptOutcome::Error, None);
        assert_eq!((world.count(Done::Abort(request)), world.sent_to(request).len()), (1, 2));
    }
    let reads: Vec<usize> = (0..6).flat_map(|_| world.ask_and_place(READ)).collect();
    assert!((1..4).all(|endpoint| reads.contains(&endpoint)), "{reads:?}");
}

/// Guards against a request that is kept though no attempt may follow: an earlier one may have run by the terms of a read, and
/// then a replica says that the text writes. It is answered at once.
#[rstest]
#[case::nothing_has_run(None, 0, 1)]
#[case::an_earlier_attempt_may_have_run(Some(AttemptOutcome::Error), 1, 0)]
#[case::an_earlier_attempt_was_lost(Some(AttemptOutcome::Reset), 1, 0)]
fn a_read_that_turns_out_to_write_is_not_kept_for_nothing(
    #[case] earlier: Option<AttemptOutcome>,
    #[case] aborted: usize,
    #[case] sent_on: usize,
) {
    let mut world = World::settled(true, [0.0; 3]);
    let request = world.ask(READ);
    if let Some(outcome) = earlier {
        world.end(request, world.sent_to(request)[0], outcome, None);
    }
    let sent = world.sent_to(request);
    let replica = *sent.last().expect("an attempt");
    assert_ne!(replica, 0, "a replica has it: {sent:?}");
    world.end(request, replica, AttemptOutcome::ReadOnly, Some(Replica));
    let followed = world.sent_to(request).len() - sent.len();
    assert_eq!((world.count(Done::Abort(request)), followed), (aborted, sent_on));
}

/// Guards against a deduplicated request that is kept beyond its window, where no attempt may follow the one that may have run.
#[rstest]
#[case::over_as_the_attempt_ends(0.11, 0.0)]
#[case::over_while_it_waits_for_a_primary(0.05, 0.06)]
fn a_request_whose_window_is_over_is_aborted_at_once(#[case] attempt_takes: f64, #[case] then_waits: f64) {
    let mut terms = terms(true);
    terms.workloads[MARKED].effect = Effect::Deduplicated { within: DeduplicationScope::Group, window: 0.1 };
    let mut world = World::new(terms);
    world.report(0, Primary, 0.0);
    let request = world.ask_with(MARKED, 2.0);
    world.now += attempt_takes;
    world.end(request, 0, AttemptOutcome::Reset, None);
    world.report(0, Replica, 0.0);
    world.pass(then_waits);
    assert_eq!((world.count(Done::Abort(request)), world.sent_to(request).len()), (1, 1));
}
