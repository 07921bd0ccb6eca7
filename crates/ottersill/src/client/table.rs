//! All client connections, and the bytes of statements that are stored for them.

use std::ops::{Index, IndexMut};

use bytes::BytesMut;
use slab::Slab;

use crate::client::connection::ClientConnection;

/// Client connections by their number, which is used again once a connection is removed.
#[derive(Default)]
pub struct ClientTable {
    connections: Slab<ClientConnection>,
    stored_statement_bytes: usize,
}

impl ClientTable {
    /// The number that the next connection gets.
    pub fn next_id(&self) -> usize {
        self.connections.vacant_key()
    }

    /// Adds a connection under [`next_id`](Self::next_id).
    pub fn insert(&mut self, connection: ClientConnection) {
        self.connections.insert(connection);
    }

    /// Removes a connection; what was stored for it is no longer counted.
    ///
    /// # Panics
    /// If no connection has that number.
    pub fn remove(&mut self, id: usize) -> ClientConnection {
        let connection = self.connections.remove(id);
        self.stored_statement_bytes -= connection.stored_bytes;
        connection
    }

    /// The connection with that number.
    pub fn get(&self, id: usize) -> Option<&ClientConnection> {
        self.connections.get(id)
    }

    /// As [`get`](Self::get), to be changed.
    pub fn get_mut(&mut self, id: usize) -> Option<&mut ClientConnection> {
        self.connections.get_mut(id)
    }

    /// All connections with their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &ClientConnection)> {
        self.connections.iter()
    }

    /// How many connections there are.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// No connection is left.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Bytes of statements, whole or not, that are stored for all connections.
    pub fn stored_statement_bytes(&self) -> usize {
        self.stored_statement_bytes
    }

    /// Counts what is stored for a connection: what was read ahead, and the text of its request in flight. Buffers grow
    /// by doubling, so each byte counts twice.
    pub fn count_stored_bytes(&mut self, id: usize, request_bytes: usize) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        if connection.inbox.is_empty() {
            // What is left of it would hold on to all that was read with it.
            connection.inbox = BytesMut::new();
        }
        let stored = 2 * (connection.inbox.len() + request_bytes);
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
