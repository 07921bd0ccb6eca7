//! Backend connections: the connections to database endpoints, and the attempts and health checks assigned to them.

pub mod connection;
mod pool;
pub mod reply;
mod sending;
mod session;
pub mod table;

use std::io;

use ottersill_config::deployment::BackendTimeouts;
use ottersill_routing::interface::{AttemptOutcome, LoadReport};

use crate::backend::connection::{Assignment, BackendConnection};
use crate::backend::reply::Reply;
use crate::backend::table::BackendTable;

/// The end of a connection's assignment, for the event loop to count and report.
#[derive(Debug)]
pub struct FinishedAssignment {
    /// The attempt or health check; `None` if it was withdrawn before, or if the connection was idle.
    pub assignment: Option<Assignment>,
    /// The endpoint's index.
    pub endpoint: usize,
    /// When it was assigned to the connection, in Unix seconds.
    pub assigned_at: f64,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The endpoint's answer, as far as it was read.
    pub reply: Reply,
}

/// What an endpoint's answer to the empty query ahead of an assignment shows.
#[derive(Clone, Copy, Debug)]
pub struct Synchronization {
    /// The assignment, if it was not withdrawn.
    pub assignment: Option<Assignment>,
    /// The endpoint's index.
    pub endpoint: usize,
    /// Role and replication position from the answer itself.
    pub observed: LoadReport,
    /// The load report that came with the answer.
    pub load_report: Option<LoadReport>,
}

/// The state of a connection after it was written and read. The caller then handles the messages that were read by
/// [`Backends::next_event`], and calls [`Backends::end_transfer`] after that.
#[derive(Debug)]
pub enum TransferEnd {
    /// All available bytes were read.
    Drained,
    /// More bytes are available, and no further readiness event will announce them.
    MoreToRead,
    /// The connection failed, or the endpoint closed it.
    Broken,
    /// The connection could not be established.
    ConnectFailed(io::Error),
}

/// An event that results from the messages that were read, for the event loop to handle.
#[derive(Debug)]
pub enum BackendEvent {
    /// The startup is complete: the assignment for which the connection was opened may be sent.
    Up,
    /// The endpoint has answered the empty query ahead of the connection's assignment.
    Synchronized(Synchronization),
    /// The connection's assignment has ended.
    Finished(FinishedAssignment),
    /// The connection's assignment has ended, and the connection is closed.
    Closed(FinishedAssignment),
    /// No complete message is left in the read buffer.
    AllRead,
    /// The connection had its share of this iteration; further messages are left in the read buffer.
    ShareUsed,
    /// The connection no longer exists.
    Gone,
}

/// All backend connections. Times are Unix seconds.
pub struct Backends {
    table: BackendTable,
    timeouts: BackendTimeouts,
}

impl Backends {
    /// Creates an empty set of connections.
    pub fn new(timeouts: BackendTimeouts) -> Backends {
        Backends { table: BackendTable::default(), timeouts }
    }

    /// Iterates over all connections with their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &BackendConnection)> {
        self.table.iter()
    }

    /// Returns the connection with that number.
    pub fn get(&self, id: usize) -> Option<&BackendConnection> {
        self.table.get(id)
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Returns the time limit for establishing a connection, in seconds.
    pub fn connect_timeout(&self) -> f64 {
        self.timeouts.connect
    }
}
