//! Which endpoint counts as the primary, and what takes that from it.

use ottersill_routing::interface::*;
use rstest::rstest;

use crate::common::*;

use Role::{Primary, Replica};

/// The pointer, seen by where a write goes; news is (host, role, age of the position).
#[rstest]
#[case::one_claims(&[(1, Primary, 0.0)], Some(1))]
#[case::nobody_claims(&[(1, Replica, 0.0)], None)]
#[case::later_position_wins(&[(1, Primary, 0.2), (2, Primary, 0.1)], Some(2))]
#[case::older_claim_changes_nothing(&[(2, Primary, 0.1), (1, Primary, 0.2)], Some(2))]
#[case::steps_down(&[(1, Primary, 0.2), (1, Replica, 0.1)], None)]
#[case::late_news_of_a_replica_undoes_nothing(&[(1, Primary, 0.1), (1, Replica, 0.2)], Some(1))]
fn pointer_follows_news(#[case] news: &[(usize, Role, f64)], #[case] expected: Option<usize>) {
    let mut world = World::new(terms(true));
    for (endpoint, role, age) in news {
        world.report(*endpoint, *role, *age);
    }
    let write = world.ask(WRITE);
    assert_eq!(world.sent_to(write).first().copied(), expected);
}

#[rstest]
#[case::miss(AttemptOutcome::WrongEndpoint, Some(Replica), false)]
#[case::lost_connection(AttemptOutcome::ConnectFailed, None, false)]
#[case::timeout(AttemptOutcome::TimedOut, None, false)]
#[case::completed(AttemptOutcome::Completed, Some(Primary), true)]
fn a_failed_write_takes_the_role_and_reopens_polling(
    #[case] outcome: AttemptOutcome,
    #[case] role: Option<Role>,
    #[case] keeps: bool,
) {
    let mut world = World::settled(false, [0.0; 3]);
    let write = world.ask(WRITE);
    world.pass(0.3);
    world.book.0.clear();
    world.end(write, 0, outcome, role);
    let next = world.ask(WRITE);
    assert_eq!(world.sent_to(next) == [0], keeps);
    world.pass(0.26);
    assert_eq!(world.count(Done::Probe(0)) > 0, !keeps, "{:?}", world.book.0);
}

/// Found on simulated days: a primary under load let single reads time out and lost its role each time.
#[test]
fn a_time_out_at_a_primary_that_answers_others_tells_of_load() {
    let mut world = World::settled(true, [0.0; 3]);
    let (slow, quick) = (world.ask(WRITE), world.ask(WRITE));
    world.pass(0.1);
    world.end(quick, 0, AttemptOutcome::Completed, Some(Primary));
    world.end(slow, 0, AttemptOutcome::TimedOut, None);
    let next = world.ask(WRITE);
    assert_eq!(world.sent_to(next), [0]);
}

#[rstest]
#[case::primary_appears(true)]
#[case::none_in_time(false)]
fn writes_wait_for_a_primary(#[case] appears: bool) {
    let mut world = World::new(terms(true));
    let write = world.ask(WRITE);
    world.pass(0.2);
    assert_eq!((world.sent_to(write).len(), world.count(Done::Reject(write))), (0, 0));
    if appears {
        world.report(2, Primary, 0.0);
    }
    world.pass(0.4);
    assert_eq!(world.sent_to(write).len(), usize::from(appears));
    assert_eq!(world.count(Done::Reject(write)), usize::from(!appears));
}

/// A primary that calls itself one in the answer refused the text, not the role.
#[rstest]
#[case::still_the_primary(Some(Primary), true)]
#[case::a_replica_by_now(Some(Replica), false)]
#[case::says_nothing(None, false)]
fn a_text_that_the_primary_refuses_costs_it_no_role(#[case] role: Option<Role>, #[case] keeps: bool) {
    let mut world = World::settled(true, [0.0; 3]);
    let request = world.ask_for(Request { may_write: true, ..statement(READ, 0.75) });
    world.end(request, 0, AttemptOutcome::ReadOnly, role);
    let write = world.ask(WRITE);
    assert_eq!(world.sent_to(write) == [0], keeps);
}
