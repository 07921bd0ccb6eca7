//! The parameters of one run.

use std::time::Duration;

use super::FloodInput;

/// The clients and routers of one run.
#[derive(Clone, Debug)]
pub struct FloodPlan {
    /// What the flooding clients send; `None` for a run without them.
    pub input: Option<FloodInput>,
    /// Number of flooding clients.
    pub flooders: usize,
    /// Number of connections with half a statement that stay open beside the flood.
    pub half_sent: usize,
    /// Number of usual clients.
    pub usual: usize,
    /// Statements per second of each usual client.
    pub rate: f64,
    /// One statement in this many is a write; with zero, none is.
    pub write_every: u64,
    /// Duration of the load.
    pub duration: Duration,
    /// Number of routers, each on a core of its own. Clients are divided among them.
    pub routers: usize,
    /// Number of busy threads that share each router's core with it.
    pub competitors: usize,
    /// The memory limit in the router's configuration, in MB.
    pub memory_mb: usize,
}
