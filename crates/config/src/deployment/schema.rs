//! The JSON object as parsed, key by key. Keys that are not listed here are ignored.

use serde::Deserialize;

/// The settings of a deployment, parsed but not yet checked.
///
/// The names of its fields are the keys of the JSON object.
#[derive(Clone, PartialEq, Deserialize)]
pub struct DeploymentSettings {
    /// Routers of the deployment.
    pub(super) balancers: usize,
    pub(super) profiles: Vec<Profile>,
    pub(super) domain: Domain,
    #[serde(default)]
    pub(super) accounts: Vec<Account>,
    pub(super) over_share_worth: f64,
    pub(super) policy_limits: PolicyLimits,
    pub(super) registry_mode: String,
    pub(super) rules: Rules,
    pub(super) stats: Stats,
    /// The zone of this router, one of `localities`.
    pub(super) zone: String,
    pub(super) localities: Vec<String>,
}

/// One workload (class of requests).
#[derive(Clone, PartialEq, Deserialize)]
pub(super) struct Profile {
    pub(super) name: String,
    pub(super) aim_ms: f64,
    pub(super) credit: f64,
    pub(super) deadline_ms: f64,
    pub(super) effect: String,
    pub(super) group: String,
    pub(super) late_value: f64,
    pub(super) window_ms: f64,
}

/// One tenant.
#[derive(Clone, PartialEq, Deserialize)]
pub(super) struct Account {
    pub(super) name: String,
    pub(super) quota_per_s: f64,
}

/// Consistency: what the workloads may read, and how positions are told.
#[derive(Clone, PartialEq, Deserialize)]
pub(super) struct Domain {
    /// One entry for each of `profiles`.
    pub(super) class_read: Vec<String>,
    /// One entry for each of `profiles`.
    pub(super) oldest_data_ms: Vec<f64>,
    pub(super) counted_from_ms: f64,
    pub(super) when_behind: String,
    pub(super) write_marks: String,
}

/// What a router may do.
#[derive(Clone, PartialEq, Deserialize)]
pub(super) struct PolicyLimits {
    pub(super) cancelling: bool,
    pub(super) probes: bool,
    pub(super) send_cap: u32,
    pub(super) retry_after: bool,
    #[serde(default)]
    pub(super) max_retry_after_ms: f64,
    /// Present only where routers work over sockets.
    pub(super) connect_timeout_ms: Option<f64>,
    /// Present only where routers work over sockets.
    pub(super) keepalive_ms: Option<f64>,
}

/// Figures of the rules on starting and draining endpoints.
#[derive(Clone, PartialEq, Deserialize)]
pub(super) struct Rules {
    pub(super) cold_from: f64,
    pub(super) ramp_time_ms: f64,
    pub(super) fall_multiple: f64,
    pub(super) overload_for_ms: f64,
    /// Used only where routers work over sockets.
    pub(super) drain_grace_ms: Option<f64>,
    #[serde(default)]
    pub(super) soft_removal: bool,
}

/// Load reports.
#[derive(Clone, PartialEq, Deserialize)]
pub(super) struct Stats {
    pub(super) how: String,
    #[serde(default)]
    pub(super) fields: Vec<String>,
}
