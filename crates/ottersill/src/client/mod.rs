//! Client connections: how they are accepted, read, answered and closed.

mod accept;
pub mod answers;
mod close;
pub mod connection;
pub mod connection_limits;
mod limits;
mod listener;
mod pipelining;
mod session;
pub mod table;
mod time_limits;

use bytes::Bytes;

use crate::client::connection::ClientConnection;
use crate::client::connection_limits::ConnectionLimits;
use crate::client::listener::ClientListener;
use crate::client::table::ClientTable;

pub use crate::client::listener::MAX_ACCEPTS_PER_WAKE;

/// What the event loop has to do for a client.
#[derive(Debug)]
pub enum ClientEvent {
    /// A statement was read whole. Once it has been handed on or answered, the next event of the client follows.
    Statement {
        /// Its text.
        text: Bytes,
        /// When its first byte came, in Unix seconds.
        arrived_at: f64,
    },
    /// The client left while that request of it was in flight; its connection is closed.
    Left {
        /// The request's number.
        request_id: usize,
    },
}

/// What came of accepting the next client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accepted {
    /// It has that number, and is to be read at once.
    Client(usize),
    /// It was closed, as the event loop could not watch it in its time.
    Closed,
    /// It was lost; the next may be in order.
    Lost,
    /// Nobody waits.
    NoneWaiting,
    /// Accepting is tried again after a delay; nobody else is accepted before.
    Delayed,
}

/// All client connections and the listener for them. Times are Unix seconds.
pub struct Clients {
    table: ClientTable,
    listener: ClientListener,
    limits: ConnectionLimits,
    /// After SIGTERM and the time in which clients still come: connections are closed once they idle.
    is_draining: bool,
    /// What is accepted is answered by then; infinite, unless the router has been told to stop.
    answers_by: f64,
}

impl Clients {
    /// Nobody is connected, and nobody can connect yet.
    pub fn new(limits: ConnectionLimits) -> Clients {
        Clients {
            table: ClientTable::default(),
            listener: ClientListener::default(),
            limits,
            is_draining: false,
            answers_by: f64::INFINITY,
        }
    }

    /// All connections with their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &ClientConnection)> {
        self.table.iter()
    }

    /// The connection with that number.
    pub fn get(&self, id: usize) -> Option<&ClientConnection> {
        self.table.get(id)
    }

    /// How many connections there are.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// No connection is left.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// What is accepted is to be answered by then.
    pub fn limit_answers(&mut self, answers_by: f64) {
        self.answers_by = answers_by;
    }

    /// From now on connections are closed once they idle, and the listener once nobody waits there.
    pub fn start_draining(&mut self) {
        self.is_draining = true;
    }
}
