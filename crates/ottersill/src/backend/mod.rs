//! Backend connections: the connections to database endpoints, and the attempts and health checks that they carry.

pub mod connection;
mod pool;
pub mod reply;
mod sending;
mod session;
pub mod table;

use std::io;

use ottersill_config::deployment::BackendTimeouts;
use ottersill_routing::interface::AttemptOutcome;

use crate::backend::connection::{Assignment, BackendConnection};
use crate::backend::reply::Reply;
use crate::backend::table::BackendTable;

/// A connection carries nothing any more: how that has ended, for the event loop to count and report.
#[derive(Debug)]
pub struct FinishedAssignment {
    /// What it carried; none if that was withdrawn before, or it was idle.
    pub assignment: Option<Assignment>,
    /// The endpoint's index.
    pub endpoint: usize,
    /// When the assignment was given, in Unix seconds.
    pub assigned_at: f64,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The answer, as far as it was read.
    pub reply: Reply,
}

/// How a connection stands after it was written and read. What was read is told of by [`Backends::next_event`]; after that
/// [`Backends::end_transfer`] is due.
#[derive(Debug)]
pub enum TransferEnd {
    /// All was read.
    Drained,
    /// More is there to read, and no further readiness will tell of it.
    MoreLeft,
    /// It broke or ended.
    Broken,
    /// It will never come up.
    NeverUp(io::Error),
}

/// What the event loop is told of the messages that were read.
#[derive(Debug)]
pub enum BackendEvent {
    /// The connection is up: what it was opened for may go out.
    Up,
    /// What it carried is over.
    Finished(FinishedAssignment),
    /// What it carried is over, and the connection closed.
    Closed(FinishedAssignment),
    /// No whole message is left.
    AllRead,
    /// The connection is gone.
    Gone,
}

/// All backend connections. Times are Unix seconds.
pub struct Backends {
    table: BackendTable,
    timeouts: BackendTimeouts,
}

impl Backends {
    /// There is no connection yet.
    pub fn new(timeouts: BackendTimeouts) -> Backends {
        Backends { table: BackendTable::default(), timeouts }
    }

    /// All connections with their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &BackendConnection)> {
        self.table.iter()
    }

    /// The connection with that number.
    pub fn get(&self, id: usize) -> Option<&BackendConnection> {
        self.table.get(id)
    }

    /// How many connections there are.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// There is no connection.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// How long a connection may take to come up, in seconds.
    pub fn connect_timeout(&self) -> f64 {
        self.timeouts.connect
    }
}
