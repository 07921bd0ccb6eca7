//! Conversion of the settings to the [`RoutingConfig`].

use ottersill_routing::interface::{ReportSource, RoutingConfig, WorkloadSettings};

use super::workload::workload_settings;
use super::{DeploymentSettings, SettingsError, seconds};

/// The field of a load report that holds the endpoint's role.
const ROLE_FIELD: &str = "x1";

impl DeploymentSettings {
    /// Returns the configuration of routing. `seed` is the seed of the router's random choices.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::UnknownValue`] if a field has a value that is not defined for it, and
    /// [`SettingsError::EntryCount`] if an array of `domain` does not have one entry for each of `profiles`.
    pub fn routing_config(&self, seed: u64) -> Result<RoutingConfig, SettingsError> {
        let (limits, rules) = (&self.policy_limits, &self.rules);
        Ok(RoutingConfig {
            seed,
            routers: self.balancers,
            site: self.localities.iter().position(|name| *name == self.zone),
            workloads: self.workloads()?,
            tenant_rates: self.accounts.iter().map(|account| account.quota_per_s).collect(),
            over_share_factor: self.over_share_worth,
            reports: self.report_source()?,
            endpoints_check_reads: self.endpoints_check_reads()?,
            must_remember_writes: self.must_remember_writes()?,
            list_on_request: self.list_on_request()?,
            may_check_health: limits.probes,
            may_cancel_attempts: limits.cancelling,
            max_attempts: limits.send_cap,
            max_retry_after: if limits.retry_after { seconds(limits.max_retry_after_ms) } else { 0.0 },
            only_draining_excludes: rules.soft_removal,
            initial_capacity_fraction: rules.cold_from,
            warmup_seconds: seconds(rules.ramp_time_ms),
            overload_multiple: rules.fall_multiple,
            overload_seconds: seconds(rules.overload_for_ms),
        })
    }

    fn workloads(&self) -> Result<Vec<WorkloadSettings>, SettingsError> {
        let (profiles, domain) = (&self.profiles, &self.domain);
        if domain.class_read.len() != profiles.len() || domain.oldest_data_ms.len() != profiles.len() {
            return Err(SettingsError::EntryCount);
        }
        let consistency = domain.class_read.iter().zip(&domain.oldest_data_ms);
        let workloads = profiles.iter().zip(consistency).enumerate();
        workloads
            .map(|(index, (profile, (class_read, oldest_data_ms)))| {
                workload_settings(index, profile, class_read, *oldest_data_ms)
            })
            .collect()
    }

    /// Returns the source of load reports. Load reports are used only if they include the role of the endpoint.
    fn report_source(&self) -> Result<ReportSource, SettingsError> {
        let include_role = self.stats.fields.iter().any(|field| field == ROLE_FIELD);
        match self.stats.how.as_str() {
            "answers" if include_role => Ok(ReportSource::WithAnswers),
            "probe" if include_role => Ok(ReportSource::WithHealthChecks),
            "answers" | "probe" | "none" => Ok(ReportSource::NoReports),
            found => Err(unknown_value("stats.how", "stats.how", "answers, probe or none", found)),
        }
    }

    fn endpoints_check_reads(&self) -> Result<bool, SettingsError> {
        match self.domain.when_behind.as_str() {
            "none" => Ok(false),
            "refuse" | "wait" => Ok(true),
            found => Err(unknown_value("when_behind", "domain.when_behind", "none, refuse or wait", found)),
        }
    }

    fn must_remember_writes(&self) -> Result<bool, SettingsError> {
        match self.domain.write_marks.as_str() {
            "carried" => Ok(false),
            "remembered" => Ok(true),
            found => Err(unknown_value("write_marks", "domain.write_marks", "carried or remembered", found)),
        }
    }

    fn list_on_request(&self) -> Result<bool, SettingsError> {
        match self.registry_mode.as_str() {
            "automatic" => Ok(false),
            "subscribe" => Ok(true),
            found => Err(unknown_value("registry_mode", "registry_mode", "automatic or subscribe", found)),
        }
    }
}

fn unknown_value(
    field: &'static str,
    path: &'static str,
    expected: &'static str,
    found: &str,
) -> SettingsError {
    SettingsError::UnknownValue { field, path: path.to_string(), expected, found: found.to_string() }
}
