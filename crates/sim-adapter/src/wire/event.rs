//! The types of events. Fields that the adapter does not use are not declared here; parsing skips them.

use std::borrow::Cow;

use ottersill_config::deployment::DeploymentSettings;
use serde::Deserialize;

use super::RequestId;

/// An event.
pub enum Event<'a> {
    /// Starts the instance.
    Create(Box<Create>),
    /// Kills the instance.
    Kill,
    /// Declares a numbered list of endpoints for all instances of the process.
    Roster(Roster),
    /// An event for a running instance.
    Running(InstanceEvent<'a>),
}

/// An event for a running instance.
pub enum InstanceEvent<'a> {
    /// Discovery sent the instance an endpoint list, or a call to discovery failed.
    BackendsChanged(BackendsChanged),
    /// A client's request arrived.
    Demand(Demand<'a>),
    /// An attempt ended.
    Resolved(Resolved<'a>),
    /// A health check ended.
    HealthResult(HealthResult<'a>),
    /// A timer has expired.
    Reminder(Reminder<'a>),
    /// A client disconnected.
    Hangup(Hangup),
}

/// Starts an instance.
#[derive(Deserialize)]
pub struct Create {
    /// The seed of the instance's random choices.
    pub nonce64: u64,
    /// The settings of the deployment.
    pub boot_info: DeploymentSettings,
}

/// A numbered list of endpoints.
#[derive(Deserialize)]
pub struct Roster {
    /// The number by which [`BackendsChanged`] refers to it.
    pub list: u8,
    /// Its entries.
    pub members_list: Vec<Entry>,
}

/// One endpoint of a list.
#[derive(Deserialize)]
pub struct Entry {
    /// 0: ready, 2: removed, 3: draining.
    pub state: u8,
    /// Size relative to other endpoints, without unit.
    pub power_hint: f64,
    /// The number of its group.
    pub set: u64,
    /// The name of its zone.
    pub site: String,
    /// When the endpoint last started, in milliseconds of the batch clock. 0 means long ago.
    #[serde(default)]
    pub started_at_ms: f64,
    /// The name of the endpoint.
    pub host: String,
}

/// Discovery sent an endpoint list, or a call to discovery failed.
#[derive(Deserialize)]
pub struct BackendsChanged {
    /// 0: changes only, 1: the full list, 2: the full list as last known, 3: the call failed.
    pub kind: u8,
    /// The number of the [`Roster`] with the entries.
    #[serde(default)]
    pub list: Option<u8>,
}

/// A client's request.
#[derive(Deserialize)]
pub struct Demand<'a> {
    /// The number of the request.
    pub tid: RequestId,
    /// The name of the request's workload.
    #[serde(borrow)]
    pub priority: Cow<'a, str>,
    /// The tenant, if any.
    #[serde(default, borrow)]
    pub owner: Option<Tenant<'a>>,
    /// The session, if any.
    #[serde(default)]
    pub key: Option<u64>,
    /// Milliseconds until the client gives up.
    pub budget_ms: f64,
    /// The number of the request's group.
    pub partition_no: u64,
    /// Milliseconds since the session's last write was committed. 0 means that there was no write.
    #[serde(default)]
    pub token_ms: f64,
    /// Whether the client flagged the request as a retry.
    #[serde(default)]
    pub resent: bool,
}

/// The tenant of a request. The wire has the number 0 instead of a name if there is none.
#[derive(Deserialize)]
#[serde(untagged)]
pub enum Tenant<'a> {
    /// The name of the tenant.
    Name(#[serde(borrow)] Cow<'a, str>),
    /// No tenant. The number is ignored.
    Nobody(u64),
}

/// An attempt ended.
#[derive(Deserialize)]
pub struct Resolved<'a> {
    /// The number of its request.
    pub tid: RequestId,
    /// Milliseconds since the attempt was sent.
    pub cost_time_ms: f64,
    /// The endpoint's role and replication position as reported by the answer.
    #[serde(default)]
    pub progress: Progress,
    /// The name of the endpoint.
    #[serde(borrow)]
    pub host: Cow<'a, str>,
    /// The name of the outcome.
    #[serde(borrow)]
    pub result: Cow<'a, str>,
    /// Whether the request has its final answer, by this outcome or before.
    #[serde(default)]
    pub done_flag: bool,
    /// A load report.
    #[serde(default)]
    pub pressure: Option<Pressure>,
}

/// A replication position and a role, encoded as four times the position plus the role.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(transparent)]
pub struct Progress(u64);

/// The role of an endpoint as encoded in [`Progress`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgressRole {
    /// The endpoint answered as the primary.
    Primary,
    /// The endpoint answered as a replica.
    Replica,
}

impl Progress {
    /// Returns the role of the endpoint, if it is reported.
    pub fn role(self) -> Option<ProgressRole> {
        match self.0 % 4 {
            1 => Some(ProgressRole::Primary),
            2 => Some(ProgressRole::Replica),
            _ => None,
        }
    }

    /// Returns the replication position in milliseconds since the epoch of positions, if it is reported.
    pub fn position_ms(self) -> Option<u64> {
        Some(self.0 / 4).filter(|position| *position > 0)
    }
}

/// The values of a load report that the router uses.
#[derive(Deserialize)]
pub struct Pressure {
    /// The replication position, in seconds since the epoch of positions.
    #[serde(default)]
    pub x0: Option<f64>,
    /// The role: 1 if the endpoint was the primary.
    #[serde(default)]
    pub x1: Option<f64>,
    /// The fraction of the endpoint's CPU that is busy.
    #[serde(default)]
    pub utilization: Option<f64>,
}

/// A health check ended.
#[derive(Deserialize)]
pub struct HealthResult<'a> {
    /// The name of the endpoint.
    #[serde(borrow)]
    pub host: Cow<'a, str>,
    /// The name of the outcome.
    #[serde(borrow)]
    pub result: Cow<'a, str>,
    /// A load report.
    #[serde(default)]
    pub pressure: Option<Pressure>,
}

/// A client disconnected.
#[derive(Deserialize)]
pub struct Hangup {
    /// The number of its request.
    pub tid: RequestId,
}

/// A timer has expired. The wire requires the name, but the adapter does not use it, since an instance has only one kind
/// of timer.
#[derive(Deserialize)]
pub struct Reminder<'a> {
    /// The name that the instance gave to the timer.
    #[serde(borrow)]
    pub name: Cow<'a, str>,
}
