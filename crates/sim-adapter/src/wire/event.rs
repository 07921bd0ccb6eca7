//! The forms of events. Fields that the adapter does not use are not listed and are skipped.

use std::borrow::Cow;

use ottersill_config::deployment::DeploymentSettings;
use serde::Deserialize;

use super::RequestId;

/// An event.
pub enum Event<'a> {
    /// The instance starts.
    Create(Box<Create>),
    /// The instance is killed.
    Kill,
    /// A numbered list of endpoints is declared, for all instances of the process.
    Roster(Roster),
    /// Something for an instance that runs.
    Running(InstanceEvent<'a>),
}

/// An event for an instance that runs.
pub enum InstanceEvent<'a> {
    /// Discovery tells the instance of a list.
    BackendsChanged(BackendsChanged),
    /// A client's request arrives.
    Demand(Demand<'a>),
    /// An attempt ended.
    Resolved(Resolved<'a>),
    /// A health check ended.
    HealthResult(HealthResult<'a>),
    /// A timer has expired.
    Reminder(Reminder<'a>),
    /// A client went away.
    Hangup(Hangup),
}

/// The instance starts.
#[derive(Deserialize)]
pub struct Create {
    /// The seed of its random choices.
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
    /// 0: ready, 2: gone, 3: draining.
    pub state: u8,
    /// Size in comparison to other endpoints, without unit.
    pub power_hint: f64,
    /// The number of its group.
    pub set: u64,
    /// The name of its zone.
    pub site: String,
    /// When it last started, in milliseconds of the batch clock; 0: long ago.
    #[serde(default)]
    pub started_at_ms: f64,
    /// Its name.
    pub host: String,
}

/// Discovery tells of a list.
#[derive(Deserialize)]
pub struct BackendsChanged {
    /// 0: changes only, 1: the whole list, 2: the whole list as last known, 3: the call failed.
    pub kind: u8,
    /// The number of the [`Roster`] with the entries.
    #[serde(default)]
    pub list: Option<u8>,
}

/// A client's request.
#[derive(Deserialize)]
pub struct Demand<'a> {
    /// Its number.
    pub tid: RequestId,
    /// The name of its workload.
    #[serde(borrow)]
    pub priority: Cow<'a, str>,
    /// Its tenant.
    #[serde(default, borrow)]
    pub owner: Option<Tenant<'a>>,
    /// Its session.
    #[serde(default)]
    pub key: Option<u64>,
    /// Milliseconds until the client gives up.
    pub budget_ms: f64,
    /// The number of its group.
    pub partition_no: u64,
    /// Milliseconds since the session's last write was committed; 0: none.
    #[serde(default)]
    pub token_ms: f64,
    /// Whether the client marked it as a repeat.
    #[serde(default)]
    pub resent: bool,
}

/// A tenant's name; the wire writes 0 where there is none.
#[derive(Deserialize)]
#[serde(untagged)]
pub enum Tenant<'a> {
    /// The name.
    Name(#[serde(borrow)] Cow<'a, str>),
    /// No tenant, whatever the number.
    Nobody(u64),
}

/// An attempt ended.
#[derive(Deserialize)]
pub struct Resolved<'a> {
    /// The number of its request.
    pub tid: RequestId,
    /// Milliseconds since it was sent.
    pub cost_time_ms: f64,
    /// What the answer tells of the endpoint's role and position; see [`Progress`].
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

/// Four times a position plus a role.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(transparent)]
pub struct Progress(u64);

/// The role of an endpoint as [`Progress`] has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgressRole {
    /// It answered as the primary.
    Primary,
    /// It answered as a replica.
    Replica,
}

impl Progress {
    /// The role of the endpoint, if it is told.
    pub fn role(self) -> Option<ProgressRole> {
        match self.0 % 4 {
            1 => Some(ProgressRole::Primary),
            2 => Some(ProgressRole::Replica),
            _ => None,
        }
    }

    /// Milliseconds since the time from which positions are counted, if a position is told.
    pub fn position_ms(self) -> Option<u64> {
        Some(self.0 / 4).filter(|position| *position > 0)
    }
}

/// The values of a load report that the router uses.
#[derive(Deserialize)]
pub struct Pressure {
    /// Seconds since the time from which positions are counted.
    #[serde(default)]
    pub x0: Option<f64>,
    /// 1 if the endpoint was the primary.
    #[serde(default)]
    pub x1: Option<f64>,
    /// The fraction of its CPU that is busy.
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

/// A client went away.
#[derive(Deserialize)]
pub struct Hangup {
    /// The number of its request.
    pub tid: RequestId,
}

/// A timer has expired. An instance has only one kind of timer, so its name is required by the wire and not used.
#[derive(Deserialize)]
pub struct Reminder<'a> {
    /// The name that the instance gave to it.
    #[serde(borrow)]
    pub name: Cow<'a, str>,
}
