//! The JSON object as parsed. Keys that are not listed here are ignored.

use serde::Deserialize;

/// The settings of a deployment, parsed but not yet validated.
///
/// The names of its fields are the keys of the JSON object.
#[derive(Clone, PartialEq, Deserialize)]
pub struct DeploymentSettings {
    /// The number of routers of the deployment.
    pub(super) balancers: usize,
    /// The workloads.
    pub(super) profiles: Vec<Profile>,
    pub(super) domain: Domain,
    /// The tenants.
    #[serde(default)]
    pub(super) accounts: Vec<Account>,
    /// Value of a request above its tenant's share, as a fraction of its priority weight.
    pub(super) over_share_worth: f64,
    pub(super) policy_limits: PolicyLimits,
    /// Whether discovery sends the endpoint list by itself (`automatic`) or on request (`subscribe`).
    pub(super) registry_mode: String,
    pub(super) rules: Rules,
    pub(super) stats: Stats,
    /// The zone of this router, one of `localities`.
    pub(super) zone: String,
    /// The names of all zones (sites).
    pub(super) localities: Vec<String>,
}

/// A workload (class of requests).
#[derive(Clone, PartialEq, Deserialize)]
pub(super) struct Profile {
    pub(super) name: String,
    /// SLO time.
    pub(super) aim_ms: f64,
    /// Priority weight.
    pub(super) credit: f64,
    /// Statement timeout.
    pub(super) deadline_ms: f64,
    /// Whether a request may run more than once: `pure`, `token` or `side_effect`.
    pub(super) effect: String,
    /// Endpoints among which a repeat is recognized, if the effect is `token`: `all`, `zone` or `cell`.
    pub(super) group: String,
    /// Fraction of the priority weight that an answer after the SLO time still earns.
    pub(super) late_value: f64,
    /// How long repeats are dropped, if the effect is `token`.
    pub(super) window_ms: f64,
}

/// A tenant.
#[derive(Clone, PartialEq, Deserialize)]
pub(super) struct Account {
    pub(super) name: String,
    /// Requests per second, summed over all routers, that are within the tenant's share.
    pub(super) quota_per_s: f64,
}

/// Consistency: what the workloads may read, and how replication positions are reported.
#[derive(Clone, PartialEq, Deserialize)]
pub(super) struct Domain {
    /// The consistency that each workload requires, with one entry for each of `profiles`.
    pub(super) class_read: Vec<String>,
    /// The staleness bound of each workload of the class `bounded`, with one entry for each of `profiles`.
    pub(super) oldest_data_ms: Vec<f64>,
    /// The clock time from which replication positions are counted.
    pub(super) counted_from_ms: f64,
    /// What an endpoint does with a read for which it lags too far: `none` (it answers from old data), `refuse` or `wait`.
    pub(super) when_behind: String,
    /// Whether reads state the last write of their session (`carried`) or routers keep it (`remembered`).
    pub(super) write_marks: String,
}

/// What a router is allowed to do.
#[derive(Clone, PartialEq, Deserialize)]
pub(super) struct PolicyLimits {
    /// Whether attempts may be cancelled.
    pub(super) cancelling: bool,
    /// Whether health checks may be sent.
    pub(super) probes: bool,
    /// Maximum number of attempts of one request.
    pub(super) send_cap: u32,
    /// Whether a rejected client may be told to wait before it retries.
    pub(super) retry_after: bool,
    /// Maximum time that a rejected client may be told to wait.
    #[serde(default)]
    pub(super) max_retry_after_ms: f64,
    /// Present only if routers use sockets.
    pub(super) connect_timeout_ms: Option<f64>,
    /// Present only if routers use sockets.
    pub(super) keepalive_ms: Option<f64>,
}

/// Parameters for starting, draining and overloaded endpoints.
#[derive(Clone, PartialEq, Deserialize)]
pub(super) struct Rules {
    /// Fraction of its full capacity that an endpoint has at least when it has just started.
    pub(super) cold_from: f64,
    /// Time after its start until an endpoint has its full capacity.
    pub(super) ramp_time_ms: f64,
    /// Multiple of its present capacity that makes a warming endpoint fail if it is sent this for `overload_for_ms`.
    pub(super) fall_multiple: f64,
    pub(super) overload_for_ms: f64,
    /// Grace period of a draining endpoint. Used only if routers use sockets.
    pub(super) drain_grace_ms: Option<f64>,
    /// Whether only endpoints that were listed as draining are excluded, and not those that are merely gone from the
    /// list.
    #[serde(default)]
    pub(super) soft_removal: bool,
}

/// The source and the fields of load reports.
#[derive(Clone, PartialEq, Deserialize)]
pub(super) struct Stats {
    /// What carries load reports: `answers`, `probe` (health checks) or `none`.
    pub(super) how: String,
    /// The fields of a load report.
    #[serde(default)]
    pub(super) fields: Vec<String>,
}
