//! The fleet file (`fleet.textproto`): the members of the fleet, and the budgets that all of them share.
//!
//! The file is protobuf text format by the schema `proto/fleet.proto`. [`FleetFile::from_textproto`] reads and
//! checks it; [`FleetConfigError`] says where the file is wrong and why.
//!
//! Modules in reading order: `schema` (the file as parsed), `check` (what has to hold), `error`, `locate` (line and
//! column of a field).

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
    /// The file does not say; rejected.
    #[serde(rename = "UNKNOWN")]
    Unknown,
    /// Attempts in flight at one endpoint, from all routers.
    #[serde(rename = "EXECUTIONS_AT_EACH_HOST")]
    AttemptsPerEndpoint,
    /// Retries of requests of which an earlier attempt may have had an effect.
    #[serde(rename = "SECOND_TRIES")]
    Retries,
    /// Health checks.
    #[serde(rename = "PROBES")]
    HealthChecks,
    /// Connections opened to endpoints.
    #[serde(rename = "NEW_CONNECTIONS")]
    NewConnections,
    /// Attempts sent to one endpoint, from all routers, during its slow start.
    #[serde(rename = "EXECUTIONS_AT_EACH_COLD_HOST")]
    AttemptsPerWarmingEndpoint,
}

impl BudgetKind {
    /// Whether each endpoint has a budget of this kind to itself.
    pub fn is_per_endpoint(self) -> bool {
        matches!(self, BudgetKind::AttemptsPerEndpoint | BudgetKind::AttemptsPerWarmingEndpoint)
    }

    /// The name under which the fleet knows the budget. Budgets are identified by it in datagrams and audit lines, so
    /// it never changes.
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

/// A fleet file that passed all checks, as one member of the fleet sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetFile {
    /// Voters, leases and budgets, which all members have alike.
    pub fleet: FleetConfig,
    /// The members that the file lists.
    pub peers: Vec<Peer>,
    /// The address at which the others reach this member.
    pub at: SocketAddr,
    /// The address at which this member receives datagrams.
    pub listen: SocketAddr,
    /// The loopback address at which this member answers `ottersill fleet`, if it does.
    pub control: Option<SocketAddr>,
    /// Path of the file with the secret that proves membership.
    pub key_file: String,
    /// Path of the file to which grants and spent units are written, if they are.
    pub audit_file: Option<String>,
    /// What each budget of `fleet` limits, in the same order.
    pub budget_kinds: Vec<BudgetKind>,
}

impl FleetFile {
    /// The fields in which `other` differs that can't be changed by a reload; `None` if a reload can take over all
    /// changes. Members have to agree on leases at any time, so these change only while no member runs.
    pub fn restart_required(&self, other: &FleetFile) -> Option<&'static str> {
        let (ours, theirs) = (&self.fleet, &other.fleet);
        let fields = [
            (
                "voter, leases, drift, members_at_most or a budget's floor, every_s or hold_s",
                ours.shared_settings_hash() != theirs.shared_settings_hash(),
            ),
            ("peer", self.peers != other.peers),
            ("listen", self.listen != other.listen),
            ("control", self.control != other.control),
            ("key_file", self.key_file != other.key_file),
            ("audit_file", self.audit_file != other.audit_file),
        ];
        fields.into_iter().find(|(_, differs)| *differs).map(|(field, _)| field)
    }
}
