//! Names of the deployment.

use super::{DeploymentSettings, seconds};

/// What the program keeps of the settings beside the terms of routing: routing knows workloads, tenants and sites by
/// index only, and the position of a name in these lists is its index.
pub struct Catalog {
    /// Names of the workloads.
    pub workloads: Vec<String>,
    /// The statement timeout of each workload, in seconds: no client of it waits longer.
    pub timeouts: Vec<f64>,
    /// Whether each workload only reads.
    pub reads: Vec<bool>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the sites (zones).
    pub sites: Vec<String>,
    /// The clock time from which log positions are counted, in seconds.
    pub lsn_epoch_seconds: f64,
}

impl DeploymentSettings {
    /// The names of workloads, tenants and sites, in the order of the settings.
    pub fn catalog(&self) -> Catalog {
        let profiles = &self.profiles;
        Catalog {
            workloads: profiles.iter().map(|profile| profile.name.clone()).collect(),
            timeouts: profiles.iter().map(|profile| seconds(profile.deadline_ms)).collect(),
            reads: self.domain.class_read.iter().map(|class| class != "write").collect(),
            tenants: self.accounts.iter().map(|account| account.name.clone()).collect(),
            sites: self.localities.clone(),
            lsn_epoch_seconds: seconds(self.domain.counted_from_ms),
        }
    }
}
