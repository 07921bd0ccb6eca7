//! Statements in hand, by the number that the facade gave them.

use std::collections::BTreeSet;

use ottersill_statement::fingerprint_cache::CacheKey;

use crate::counters::Counters;
use crate::protocol::statement_text::Text;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No statement has this number.
    Vacant,
    /// The facade said to wait, or is about to say.
    Waiting,
    /// An execution is out on that line.
    Executing(usize),
    /// The client left; an execution is still out on that line.
    Orphaned(usize),
}

impl Stage {
    /// The ways a statement may go. Vacant to Waiting is the taking in; back to Vacant is the final answer, the
    /// client's leaving, or the end of an orphan.
    pub fn may_become(self, next: Stage) -> bool {
        use Stage::*;
        match (self, next) {
            (Vacant, Waiting) | (Waiting, Vacant | Executing(_)) => true,
            (Executing(_), Waiting | Vacant) | (Orphaned(_), Vacant) => true,
            (Executing(line), Orphaned(same)) => line == same,
            _ => false,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Held {
    pub stage: Stage,
    pub client: usize,
    /// Of the statement's `id`, by which hosts know its copies.
    pub id: u64,
    /// Outlives the message it came in, as it may be sent more than once; dropped with the final answer.
    pub text: Text,
    /// What is known of its shape stands there.
    pub place: Option<CacheKey>,
    /// When its client stops waiting.
    pub gives_up_at: f64,
    /// An execution of it has ended that may have run.
    pub ran: bool,
}

/// Grows to as many as were ever in hand at once; the facade's numbers are used again.
#[derive(Default)]
pub struct Statements {
    held: Vec<Held>,
    in_hand: usize,
    /// The ids of those in hand; each leaves with its statement.
    ids: BTreeSet<u64>,
}

impl Statements {
    /// A statement enters under the number that the facade gave it.
    pub fn enter(&mut self, index: usize, new: Held, counters: &mut Counters) {
        let vacant = Held { stage: Stage::Vacant, text: Text::default(), ..new };
        self.held.resize(self.held.len().max(index + 1), vacant);
        counters
            .must(self.held[index].stage == Stage::Vacant, "a number is given to one statement at a time");
        let stage = self.held[index].stage;
        self.held[index] = Held { stage, ..new };
        self.pass(index, Stage::Waiting, counters);
    }

    /// Every change of a statement's stage.
    pub fn pass(&mut self, index: usize, next: Stage, counters: &mut Counters) {
        let held = &mut self.held[index];
        counters.must(held.stage.may_become(next), "a statement goes its ways only");
        match (held.stage, next) {
            (Stage::Vacant, _) => {
                self.in_hand += 1;
                self.ids.insert(held.id);
            }
            (_, Stage::Vacant) => {
                self.in_hand -= 1;
                self.ids.remove(&held.id);
                held.text = Text::default();
            }
            // Never sent again.
            (_, Stage::Orphaned(_)) => held.text = Text::default(),
            _ => {}
        }
        held.stage = next;
    }

    pub fn get(&self, index: usize) -> Option<&Held> {
        self.held.get(index).filter(|held| held.stage != Stage::Vacant)
    }

    /// An execution of it has ended, and may have run.
    pub fn note_ran(&mut self, index: usize) {
        self.held[index].ran = true;
    }

    pub fn is_open(&self, id: u64) -> bool {
        self.ids.contains(&id)
    }

    pub fn in_hand(&self) -> usize {
        self.in_hand
    }
}
