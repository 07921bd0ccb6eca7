//! The table of client connections, which also counts the statement bytes stored for them.

use std::ops::{Index, IndexMut};

use slab::Slab;

use crate::client::connection::{ClientConnection, ConnectionPhase};

/// Client connections by id. The id of a removed connection is reused.
#[derive(Default)]
pub struct ClientTable {
    connections: Slab<ClientConnection>,
    stored_statement_bytes: usize,
}

impl ClientTable {
    /// Returns the id of the next connection to be inserted.
    pub fn next_id(&self) -> usize {
        self.connections.vacant_key()
    }

    /// Adds a connection under [`next_id`](Self::next_id).
    pub fn insert(&mut self, connection: ClientConnection) {
        self.connections.insert(connection);
    }

    /// Removes a connection and subtracts its stored bytes from the total.
    ///
    /// # Panics
    /// If no connection has this id.
    pub fn remove(&mut self, id: usize) -> ClientConnection {
        let connection = self.connections.remove(id);
        self.stored_statement_bytes -= connection.stored_bytes;
        connection
    }

    /// Returns the connection with this id.
    pub fn get(&self, id: usize) -> Option<&ClientConnection> {
        self.connections.get(id)
    }

    /// Returns the connection with this id for modification.
    pub fn get_mut(&mut self, id: usize) -> Option<&mut ClientConnection> {
        self.connections.get_mut(id)
    }

    /// Iterates over all connections with their ids.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &ClientConnection)> {
        self.connections.iter()
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Memory in use for statements, complete or not, of all connections, in bytes.
    pub fn stored_statement_bytes(&self) -> usize {
        self.stored_statement_bytes
    }

    /// Updates the count of bytes stored for a connection: input that was read ahead, what is recorded of the statements in it, and
    /// the statement of its request in flight.
    pub fn count_stored_bytes(&mut self, id: usize) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        if !matches!(connection.phase, ConnectionPhase::Busy(_)) {
            connection.inbox.release_messages();
        }
        let stored = connection.inbox.allocated_bytes() + connection.pipeline.allocated_bytes();
        self.stored_statement_bytes = self.stored_statement_bytes + stored - connection.stored_bytes;
        connection.stored_bytes = stored;
    }
}

impl Index<usize> for ClientTable {
    type Output = ClientConnection;

    fn index(&self, id: usize) -> &ClientConnection {
        &self.connections[id]
    }
}

impl IndexMut<usize> for ClientTable {
    fn index_mut(&mut self, id: usize) -> &mut ClientConnection {
        &mut self.connections[id]
    }
}
