//! Client connections: how they are accepted, read, answered and closed.

mod accept;
pub mod answers;
pub mod arrivals;
mod close;
pub mod connection;
pub mod connection_limits;
mod input_memory;
mod limits;
mod listener;
pub mod pipelining;
pub mod receiving;
mod session;
pub mod table;
mod time_limits;

use bytes::Bytes;
use ottersill_routing::statement_ids::StatementIds;

use crate::client::connection::ClientConnection;
use crate::client::connection_limits::ConnectionLimits;
use crate::client::listener::ClientListener;
use crate::client::pipelining::ReadAheadId;
use crate::client::table::ClientTable;
use crate::log_throttle::LogThrottle;

pub use crate::client::listener::MAX_ACCEPTS_PER_WAKE;

/// An event of a client connection that the event loop has to handle.
#[derive(Debug)]
pub enum ClientEvent {
    /// A complete statement was read. Once it has been passed on or answered, the client's next event can be fetched.
    Statement {
        /// Text of the statement.
        text: Bytes,
        /// When the first byte of the statement arrived, in Unix seconds.
        arrived_at: f64,
        /// The id of the statement, if it could be read ahead of the statement's turn.
        read_ahead_id: Option<ReadAheadId>,
    },
    /// A statement is rejected before it is complete, as there is no memory for it. Once it has been answered, the client's next
    /// event can be fetched.
    MemoryExhausted,
    /// The client disconnected while a request of it was in flight; its connection is closed.
    Disconnected {
        /// Number of the request.
        request_id: usize,
    },
}

/// Result of accepting the next client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptOutcome {
    /// A client was accepted with this id, and its input has to be read in this iteration.
    Client(usize),
    /// The client was closed because its socket could not be registered with the event loop before its deadline.
    Closed,
    /// A single connection failed; the next one may be accepted.
    ConnectionFailed,
    /// The accept backlog is empty.
    BacklogEmpty,
    /// Accepting is retried after a delay; no client is accepted before.
    Delayed,
}

/// All client connections, and the listener for them. Times are Unix seconds.
pub struct Clients {
    table: ClientTable,
    listener: ClientListener,
    limits: ConnectionLimits,
    /// The ids of all statements of the router.
    statement_ids: StatementIds,
    /// Set after SIGTERM and the time in which new clients are still accepted: idle connections are closed.
    is_draining: bool,
    /// When all accepted requests have to be answered; infinite unless the router is shutting down.
    answer_deadline: f64,
    /// Limits the log lines about clients that violate the protocol.
    rejections: LogThrottle,
    /// Limits the log lines about clients that had more than their share.
    deferrals: LogThrottle,
}

impl Clients {
    /// Creates an empty set of connections without a listener. Their statements take their ids from `statement_ids`.
    pub fn new(limits: ConnectionLimits, statement_ids: StatementIds) -> Clients {
        Clients {
            table: ClientTable::default(),
            listener: ClientListener::default(),
            limits,
            statement_ids,
            is_draining: false,
            answer_deadline: f64::INFINITY,
            rejections: LogThrottle::default(),
            deferrals: LogThrottle::default(),
        }
    }

    /// Iterates over all connections with their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &ClientConnection)> {
        self.table.iter()
    }

    /// Returns the connection with this id.
    pub fn get(&self, id: usize) -> Option<&ClientConnection> {
        self.table.get(id)
    }

    /// Records that input may have lain unread at a client's socket since `at`, in Unix seconds.
    pub fn note_ready(&mut self, id: usize, at: f64) {
        if let Some(client) = self.table.get_mut(id) {
            client.unread_since.get_or_insert(at);
        }
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Memory in use for statements, complete or not, in bytes.
    pub fn stored_statement_bytes(&self) -> usize {
        self.table.stored_statement_bytes()
    }

    /// Sets the time by which all accepted requests have to be answered, in Unix seconds.
    pub fn set_answer_deadline(&mut self, answer_deadline: f64) {
        self.answer_deadline = answer_deadline;
    }

    /// Starts to drain: from now on idle connections are closed, and the listener once no client waits in its backlog.
    pub fn start_draining(&mut self) {
        self.is_draining = true;
    }
}
