//! Parameters of a cluster.

/// Parameters of a cluster. Times are in seconds unless noted otherwise.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// Number of routers.
    pub routers: usize,
    /// Number of routers that are voters; these are the first ones.
    pub voters: usize,
    /// Number of endpoints of the stand-in store.
    pub endpoints: usize,
    /// Seed of the routers, the proxies and the fault schedule.
    pub seed: u64,
    /// Budget of concurrent attempts at each endpoint.
    pub attempts_per_endpoint: u64,
    /// Budget of health checks per second.
    pub health_checks_per_second: u64,
    /// Budget of retries per second.
    pub retries_per_second: u64,
    /// Budget of attempts per second at each endpoint in slow start.
    pub attempts_per_second_in_slow_start: u64,
    /// Floor of each router in the budget of concurrent attempts, which it keeps without the leader.
    pub floor: u64,
    /// Duration of a leader's lease after its last election.
    pub leader_lease_seconds: f64,
    /// Duration of a lease that the leader grants.
    pub lease_seconds: f64,
    /// Duration for which a router keeps its floor.
    pub floor_lease_seconds: f64,
    /// Longest time by which an attempt may outlive the grant under which it started.
    pub hold_seconds: f64,
    /// Longest statement timeout, in milliseconds.
    pub deadline_ms: u64,
    /// Duration of a statement at an endpoint.
    pub statement_seconds: f64,
    /// Whether the routers form a fleet and exchange datagrams.
    pub fleet_enabled: bool,
    /// Whether routers write audit files.
    pub audit: bool,
    /// Additional command-line arguments of each router.
    pub arguments: Vec<String>,
}

impl Default for ClusterPlan {
    fn default() -> ClusterPlan {
        ClusterPlan {
            routers: 5,
            voters: 3,
            endpoints: 3,
            seed: 1,
            attempts_per_endpoint: 12,
            health_checks_per_second: 200,
            retries_per_second: 20,
            attempts_per_second_in_slow_start: 20,
            floor: 1,
            leader_lease_seconds: 0.6,
            lease_seconds: 1.2,
            floor_lease_seconds: 3.0,
            hold_seconds: 0.6,
            deadline_ms: 600,
            statement_seconds: 0.02,
            fleet_enabled: true,
            audit: true,
            arguments: Vec::new(),
        }
    }
}
