//! Which of two statements with one id is the first, and when an id is free again.

use ottersill_routing::statement_ids::{HeldId, IdConflict, StatementIds};
use proptest::prelude::*;

/// Guards against a duplicate that takes the id from its holder, or releases it.
#[test]
fn a_refused_duplicate_leaves_the_id_with_its_holder() {
    let ids = StatementIds::default();
    let first = ids.hold(0.0, 7).expect("the id is free");
    for _ in 0..3 {
        assert_eq!(ids.hold(0.0, 7).err(), Some(IdConflict::Held));
    }
    assert_eq!((first.id(), ids.held()), (7, 1));
    drop(first);
    assert_eq!(ids.held(), 0);
    assert!(ids.hold(0.0, 7).is_ok());
}

/// Guards against a write that runs twice: its id is released as its attempt ends, and must not be held again.
#[test]
fn the_id_of_a_write_that_may_have_run_can_not_be_held_again() {
    let ids = StatementIds::default();
    let first = ids.hold(0.0, 7).expect("the id is free");
    ids.record_executed_write(0.0, 7);
    assert_eq!(ids.hold(0.0, 7).err(), Some(IdConflict::MayHaveRun));
    drop(first);
    assert_eq!(ids.hold(0.0, 7).err(), Some(IdConflict::MayHaveRun));
    assert!(ids.hold(0.0, 8).is_ok());
}

/// A step of a random sequence.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A statement with this id is read.
    Read(u64),
    /// The statement that was read as this one in the sequence ends, unless it has.
    End(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![(0_u64..6).prop_map(Step::Read), (0_usize..64).prop_map(Step::End)]
}

proptest! {
    /// Guards against an id that is known for shorter or longer than its statement is open: a statement is refused exactly if an
    /// earlier one with its id was accepted and has not ended.
    #[test]
    fn an_id_is_held_exactly_while_its_statement_is_open(steps in prop::collection::vec(step(), 1..64)) {
        let ids = StatementIds::default();
        let mut statements: Vec<Option<HeldId>> = Vec::new();
        for step in steps {
            match step {
                Step::Read(id) => {
                    let is_open = statements.iter().flatten().any(|held| held.id() == id);
                    let held = ids.hold(0.0, id);
                    prop_assert_eq!(held.is_err(), is_open);
                    statements.push(held.ok());
                }
                Step::End(number) => drop(statements.get_mut(number).and_then(Option::take)),
            }
            prop_assert_eq!(ids.held(), statements.iter().flatten().count());
        }
        statements.clear();
        prop_assert_eq!(ids.held(), 0);
    }
}
