//! The names of a deployment's workloads, tenants and sites.

use super::{DeploymentSettings, seconds};

/// The part of the settings that the program needs in addition to the routing configuration. Routing identifies
/// workloads, tenants and sites by index only; the position of a name in these lists is its index.
pub struct DeploymentNames {
    /// Names of the workloads.
    pub workloads: Vec<String>,
    /// The statement timeout of each workload, in seconds. No client of the workload waits longer.
    pub statement_timeouts: Vec<f64>,
    /// Whether each workload is read-only.
    pub is_read_only: Vec<bool>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the sites (zones).
    pub sites: Vec<String>,
    /// The clock time from which replication positions are counted, in seconds.
    pub lsn_epoch_seconds: f64,
}

impl DeploymentSettings {
    /// Returns the names of workloads, tenants and sites, in the order of the settings.
    pub fn names(&self) -> DeploymentNames {
        let profiles = &self.profiles;
        DeploymentNames {
            workloads: profiles.iter().map(|profile| profile.name.clone()).collect(),
            statement_timeouts: profiles.iter().map(|profile| seconds(profile.deadline_ms)).collect(),
            is_read_only: self.domain.class_read.iter().map(|class| class != "write").collect(),
            tenants: self.accounts.iter().map(|account| account.name.clone()).collect(),
            sites: self.localities.clone(),
            lsn_epoch_seconds: seconds(self.domain.counted_from_ms),
        }
    }
}
