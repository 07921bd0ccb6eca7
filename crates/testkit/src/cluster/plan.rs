//! What a cluster is made of.

/// What a cluster is made of. Times are in seconds where nothing else is said.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// How many routers there are.
    pub routers: usize,
    /// How many of these elect the leader.
    pub voters: usize,
    /// How many endpoints the store has.
    pub endpoints: usize,
    /// Seed of the routers, the proxies and the schedule of faults.
    pub seed: u64,
    /// Budget of executions at each endpoint at once.
    pub executions: u64,
    /// Budget of health checks a second.
    pub probes: u64,
    /// Budget of retries a second.
    pub retries: u64,
    /// Budget of executions a second at each endpoint in slow start.
    pub cold_executions: u64,
    /// Units of executions that each router keeps without the leader.
    pub floor: u64,
    /// How long a leader leads after it was last elected.
    pub leader_lease: f64,
    /// How long what the leader grants lasts.
    pub lease: f64,
    /// How long a router keeps its floor.
    pub floor_lease: f64,
    /// How long an execution may outlive the grant under which it began.
    pub hold: f64,
    /// The longest statement timeout, in milliseconds.
    pub deadline_ms: u64,
    /// How long a statement takes.
    pub statement_seconds: f64,
    /// Whether routers talk to each other.
    pub fleet_enabled: bool,
    /// Whether routers write audit files.
    pub audit: bool,
    /// Further arguments of each router.
    pub arguments: Vec<String>,
}

impl Default for ClusterPlan {
    fn default() -> ClusterPlan {
        ClusterPlan {
            routers: 5,
            voters: 3,
            endpoints: 3,
            seed: 1,
            executions: 12,
            probes: 200,
            retries: 20,
            cold_executions: 20,
            floor: 1,
            leader_lease: 0.6,
            lease: 1.2,
            floor_lease: 3.0,
            hold: 0.6,
            deadline_ms: 600,
            statement_seconds: 0.02,
            fleet_enabled: true,
            audit: true,
            arguments: Vec::new(),
        }
    }
}
