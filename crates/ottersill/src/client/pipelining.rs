//! Pipelined statements: complete statements in a client's inbox, which wait until those ahead of them are answered.
//!
//! Each message is looked through once, as soon as it is complete: its statement counts as accepted from then on, so its id is
//! held, and the statements ahead of it must not take longer than its client waits.

use std::collections::VecDeque;
use std::mem;

use ottersill_routing::statement_ids::{BYTES_PER_HELD_ID, HeldId, IdConflict, StatementIds};

use crate::client::Clients;
use crate::client::arrivals::Arrivals;
use crate::protocol::frame;
use crate::protocol::statement_text::{CommentPreview, preview_comment};

/// Maximum number of pipelined statements whose deadlines are checked before a statement is sent: it bounds the cost of each
/// statement. Statements further behind are checked once those ahead of them are answered.
pub const MAX_CHECKED_PIPELINED: usize = 16;

/// Capacity for statements that is kept while none waits.
const KEPT_CAPACITY: usize = 16;

/// The id of a statement as it was read ahead of the statement's turn.
#[derive(Debug)]
pub struct ReadAheadId {
    /// The number of the id.
    pub id: u64,
    /// The id, held for the statement; or why the statement can't have it, which stays so whatever becomes of the other one.
    pub held: Result<HeldId, IdConflict>,
}

/// A complete statement that has not been handled yet.
#[derive(Debug)]
struct PipelinedStatement {
    /// Where its message begins in the client's input, in bytes from the first message after the startup.
    position: usize,
    /// When its client stops waiting, in Unix seconds; infinite if the statement does not tell.
    deadline: f64,
    id: ReadAheadId,
}

/// The statements in an inbox. Messages without an id are not recorded, as they are refused at their turn.
#[derive(Debug, Default)]
pub struct Pipeline {
    statements: VecDeque<PipelinedStatement>,
    /// Position of the inbox's first byte.
    taken: usize,
    /// Position of the first message that has not been looked through, as it was not complete.
    scanned: usize,
}

impl Pipeline {
    /// Looks through the messages of an inbox that have become complete, and holds their ids. `now` is in Unix seconds.
    pub fn scan(&mut self, inbox: &[u8], arrivals: &Arrivals, ids: &StatementIds, now: f64) {
        while let Ok(Some(length)) = frame::message_length(&inbox[self.scanned - self.taken..]) {
            let offset = self.scanned - self.taken;
            let text = frame::query_text(&inbox[offset..offset + length]);
            if let Some(comment) = text.and_then(preview_comment) {
                let arrived_at = arrivals.time_of(offset, now);
                self.record(&comment, arrived_at, ids, now);
            }
            self.scanned += length;
        }
    }

    fn record(&mut self, comment: &CommentPreview, arrived_at: f64, ids: &StatementIds, now: f64) {
        self.statements.push_back(PipelinedStatement {
            position: self.scanned,
            deadline: comment.time_left.map_or(f64::INFINITY, |time_left| arrived_at + time_left),
            id: ReadAheadId { id: comment.id, held: ids.hold(now, comment.id) },
        });
    }

    /// Records that a message of that length was taken out of the inbox. Returns the id of its statement, if it was read ahead.
    pub fn take(&mut self, length: usize) -> Option<ReadAheadId> {
        let position = self.taken;
        self.taken += length;
        self.scanned = self.scanned.max(self.taken);
        self.statements.front().filter(|first| first.position == position)?;
        let first = self.statements.pop_front()?;
        if self.statements.is_empty() && self.statements.capacity() > KEPT_CAPACITY {
            self.statements = VecDeque::new();
        }
        Some(first.id)
    }

    /// Gives up all statements and releases their ids: none of them is going to run.
    pub fn abandon(&mut self) {
        self.statements = VecDeque::new();
    }

    /// Returns the earliest deadline of the first statements, in Unix seconds; infinite if there is none.
    pub fn earliest_deadline(&self) -> f64 {
        let checked = self.statements.iter().take(MAX_CHECKED_PIPELINED);
        checked.map(|statement| statement.deadline).fold(f64::INFINITY, f64::min)
    }

    /// Returns the memory in use for the statements, in bytes, without their texts.
    pub fn allocated_bytes(&self) -> usize {
        self.statements.capacity() * mem::size_of::<PipelinedStatement>()
            + self.statements.len() * BYTES_PER_HELD_ID
    }
}

impl Clients {
    /// Returns the deadline of a client's statement, in Unix seconds: the earliest of its own deadline, the answer deadline of a
    /// router that is shutting down, and the deadlines of the statements pipelined behind it. Answers are sent in order, so a
    /// statement that waits for a longer one ahead of it would be answered too late.
    pub fn statement_deadline(&self, id: usize, own_deadline: f64) -> f64 {
        let pipelined =
            self.table.get(id).map_or(f64::INFINITY, |client| client.pipeline.earliest_deadline());
        own_deadline.min(self.answer_deadline).min(pipelined)
    }
}
