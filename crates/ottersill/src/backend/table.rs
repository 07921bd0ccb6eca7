//! The table of backend connections, by number and by endpoint, and the list of idle connections to each endpoint.

use std::ops::{Index, IndexMut};

use slab::Slab;

use crate::backend::connection::BackendConnection;

/// Backend connections by their number. The number of a removed connection is reused.
#[derive(Default)]
pub struct BackendTable {
    connections: Slab<BackendConnection>,
    /// The connections to each endpoint, by the endpoint's index.
    by_endpoint: Vec<EndpointConnections>,
}

/// The connections to one endpoint.
#[derive(Default)]
struct EndpointConnections {
    /// The number of connections.
    count: usize,
    /// The ids of the idle connections; the most recently used one is the last.
    idle: Vec<usize>,
}

impl BackendTable {
    /// Returns the id of the next connection to be inserted.
    pub fn next_id(&self) -> usize {
        self.connections.vacant_key()
    }

    /// Adds a connection under [`next_id`](Self::next_id).
    pub fn insert(&mut self, connection: BackendConnection) {
        let endpoint = connection.endpoint;
        if self.by_endpoint.len() <= endpoint {
            self.by_endpoint.resize_with(endpoint + 1, EndpointConnections::default);
        }
        self.by_endpoint[endpoint].count += 1;
        self.connections.insert(connection);
    }

    /// Removes a connection, also from the idle ones.
    ///
    /// # Panics
    /// If no connection has that id.
    pub fn remove(&mut self, id: usize) -> BackendConnection {
        let connection = self.connections.remove(id);
        let to_endpoint = &mut self.by_endpoint[connection.endpoint];
        to_endpoint.count -= 1;
        to_endpoint.idle.retain(|idle| *idle != id);
        connection
    }

    /// Returns the connection with that id.
    pub fn get(&self, id: usize) -> Option<&BackendConnection> {
        self.connections.get(id)
    }

    /// Returns the connection with that id for modification.
    pub fn get_mut(&mut self, id: usize) -> Option<&mut BackendConnection> {
        self.connections.get_mut(id)
    }

    /// Returns whether there is a connection with that number.
    pub fn contains(&self, id: usize) -> bool {
        self.connections.contains(id)
    }

    /// Iterates over all connections with their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &BackendConnection)> {
        self.connections.iter()
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns the number of connections to an endpoint.
    pub fn count_to(&self, endpoint: usize) -> usize {
        self.by_endpoint.get(endpoint).map_or(0, |to_endpoint| to_endpoint.count)
    }

    /// Returns whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Adds a connection to the idle ones of its endpoint.
    pub fn push_idle(&mut self, id: usize) {
        let endpoint = self.connections[id].endpoint;
        self.by_endpoint[endpoint].idle.push(id);
    }

    /// Takes out the most recently used idle connection to an endpoint.
    pub fn pop_idle(&mut self, endpoint: usize) -> Option<usize> {
        self.by_endpoint.get_mut(endpoint)?.idle.pop()
    }

    /// Returns the connection that has been idle for longest, across all endpoints.
    pub fn longest_idle(&self) -> Option<usize> {
        let oldest_of_each =
            self.by_endpoint.iter().filter_map(|to_endpoint| to_endpoint.idle.first().copied());
        oldest_of_each.min_by(|a, b| self[*a].idle_since.total_cmp(&self[*b].idle_since))
    }
}

impl Index<usize> for BackendTable {
    type Output = BackendConnection;

    fn index(&self, id: usize) -> &BackendConnection {
        &self.connections[id]
    }
}

impl IndexMut<usize> for BackendTable {
    fn index_mut(&mut self, id: usize) -> &mut BackendConnection {
        &mut self.connections[id]
    }
}
