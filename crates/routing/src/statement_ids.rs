//! The ids of statements, each of which belongs to one statement: which of two statements with the same id is the first, and
//! which id must not be used again.
//!
//! An id is held from when its statement has been read whole until the statement's final answer, or until it is certain that
//! the statement never runs. Meanwhile every other statement with that id is a duplicate.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;

use crate::executed_writes::ExecutedWrites;

/// Memory that one held id takes, in bytes, for those who limit how many statements they read ahead.
pub const BYTES_PER_HELD_ID: usize = 24;

/// Why a statement can't have its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdConflict {
    /// Another statement holds the id.
    Held,
    /// A write with the id may have run.
    MayHaveRun,
}

/// The ids of all statements of a router. Clones share the same ids.
#[derive(Clone, Debug, Default)]
pub struct StatementIds {
    state: Rc<RefCell<State>>,
}

#[derive(Debug, Default)]
struct State {
    held: BTreeSet<u64>,
    executed_writes: ExecutedWrites,
}

impl StatementIds {
    /// Holds an id for a statement. `now` is in seconds.
    ///
    /// # Errors
    /// If another statement holds the id, or a write with it may have run.
    pub fn hold(&self, now: f64, id: u64) -> Result<HeldId, IdConflict> {
        let mut state = self.state.borrow_mut();
        if state.executed_writes.contains(now, id) {
            return Err(IdConflict::MayHaveRun);
        }
        if !state.held.insert(id) {
            return Err(IdConflict::Held);
        }
        Ok(HeldId { id, state: Rc::clone(&self.state) })
    }

    /// Records a write that has run or may have run: no other statement may have its id. `now` is in seconds.
    pub fn record_executed_write(&self, now: f64, id: u64) {
        self.state.borrow_mut().executed_writes.record(now, id);
    }

    /// Returns the number of writes whose ids are kept as they may have run.
    #[must_use]
    pub fn executed_writes(&self) -> usize {
        self.state.borrow().executed_writes.len()
    }

    /// Returns the number of ids that are held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.state.borrow().held.len()
    }
}

/// An id that belongs to one statement. It is released when this is dropped, so only its holder can release it.
pub struct HeldId {
    id: u64,
    state: Rc<RefCell<State>>,
}

impl HeldId {
    /// Returns the id.
    #[must_use]
    pub fn id(&self) -> u64 {
        self.id
    }
}

impl fmt::Debug for HeldId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "HeldId({:x})", self.id)
    }
}

impl Drop for HeldId {
    fn drop(&mut self) {
        self.state.borrow_mut().held.remove(&self.id);
    }
}
