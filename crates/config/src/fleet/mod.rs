//! The fleet file (`fleet.textproto`): the members of the fleet, and the budgets that they share.
//!
//! The file is in protobuf text format and follows the schema `proto/fleet.proto`. [`FleetFile::from_textproto`] parses
//! and validates it. [`FleetConfigError`] reports where the file is invalid, and why.
//!
//! Modules in reading order: `schema` (the file as parsed), `check` (validation), `error`, `locate` (line and column of a
//! field).

mod check;
mod error;
mod locate;
mod schema;

use std::net::SocketAddr;

use ottersill_fleet::settings::{FleetConfig, Peer};
use serde::Deserialize;

pub use error::{FleetConfigError, Reason};

/// What a budget limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
pub enum BudgetKind {
    /// Not specified in the file, which is rejected.
    #[serde(rename = "UNKNOWN")]
    Unknown,
    /// Attempts in flight at one endpoint, from all routers.
    #[serde(rename = "EXECUTIONS_AT_EACH_HOST")]
    AttemptsPerEndpoint,
    /// Retries of requests of which an earlier attempt may have taken effect.
    #[serde(rename = "SECOND_TRIES")]
    Retries,
    /// Health checks.
    #[serde(rename = "PROBES")]
    HealthChecks,
    /// New connections to endpoints.
    #[serde(rename = "NEW_CONNECTIONS")]
    NewConnections,
    /// Attempts sent to one endpoint, from all routers, during its slow start.
    #[serde(rename = "EXECUTIONS_AT_EACH_COLD_HOST")]
    AttemptsPerWarmingEndpoint,
}

impl BudgetKind {
    /// Whether each endpoint has a budget of this kind of its own.
    pub fn is_per_endpoint(self) -> bool {
        matches!(self, BudgetKind::AttemptsPerEndpoint | BudgetKind::AttemptsPerWarmingEndpoint)
    }

    /// The name that identifies the budget in datagrams and audit lines. It must never change.
    pub fn budget_name(self) -> &'static str {
        match self {
            BudgetKind::Unknown => "unknown",
            BudgetKind::AttemptsPerEndpoint => "executions at each host",
            BudgetKind::Retries => "second tries",
            BudgetKind::HealthChecks => "probes",
            BudgetKind::NewConnections => "new connections",
            BudgetKind::AttemptsPerWarmingEndpoint => "executions at each cold host",
        }
    }
}

/// A validated fleet file, from the point of view of one member of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetFile {
    /// Voters, leases and budgets, which are the same for all members.
    pub fleet: FleetConfig,
    /// The members that the file lists.
    pub peers: Vec<Peer>,
    /// The address at which the other members reach this one.
    pub advertised_address: SocketAddr,
    /// The address at which this member receives datagrams.
    pub listen_address: SocketAddr,
    /// The loopback address at which this member answers `ottersill fleet`, if configured.
    pub control_address: Option<SocketAddr>,
    /// Path of the file with the secret that authenticates members.
    pub key_file: String,
    /// Path of the file to which grants and spent units are written, if configured.
    pub audit_file: Option<String>,
    /// What each budget of `fleet` limits, in the same order.
    pub budget_kinds: Vec<BudgetKind>,
}

impl FleetFile {
    /// Returns the first group of fields in which `other` differs that a reload can't change, or `None` if a reload can
    /// apply all changes. Members have to agree on leases at all times, so leases can only be changed while no member is
    /// running.
    pub fn restart_required(&self, other: &FleetFile) -> Option<&'static str> {
        let (ours, theirs) = (&self.fleet, &other.fleet);
        let fields = [
            (
                "voter, leases, drift, members_at_most or a budget's floor, every_s or hold_s",
                ours.shared_settings_hash() != theirs.shared_settings_hash(),
            ),
            ("peer", self.peers != other.peers),
            ("listen", self.listen_address != other.listen_address),
            ("control", self.control_address != other.control_address),
            ("key_file", self.key_file != other.key_file),
            ("audit_file", self.audit_file != other.audit_file),
        ];
        fields.into_iter().find(|(_, differs)| *differs).map(|(field, _)| field)
    }
}
