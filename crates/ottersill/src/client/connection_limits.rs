//! What the limits on descriptors and memory leave for connections.

/// How many connections the limit on descriptors leaves, and how many bytes the limit on memory.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// For client and backend connections together.
    pub total: usize,
    /// For clients.
    pub clients: usize,
    /// With more than this of those that have queried, the longest idle ones are closed as others come.
    pub established_clients: usize,
    /// Beside all these, for clients that are accepted to be told that there is no room.
    pub rejected_clients: usize,
    /// For statements of clients, whole or not.
    pub statement_bytes: usize,
    /// For the cache of fingerprints.
    pub fingerprint_bytes: usize,
}
