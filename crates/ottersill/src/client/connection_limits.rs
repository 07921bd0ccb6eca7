//! Limits on connections and their memory, derived from the configured limits on descriptors and memory.

/// Numbers of connections that the descriptor limit allows, and bytes that the memory limit allows.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Maximum number of client and backend connections together.
    pub total: usize,
    /// Maximum number of admitted client connections.
    pub clients: usize,
    /// Number of clients that have queried above which the longest idle of them are closed when others connect.
    pub established_clients: usize,
    /// Additional descriptors for clients that are accepted only to be rejected for lack of room.
    pub rejected_clients: usize,
    /// Memory for statements of clients, complete or not.
    pub statement_bytes: usize,
    /// Memory for the fingerprint cache.
    pub fingerprint_bytes: usize,
}
