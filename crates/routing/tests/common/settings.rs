//! The settings that the tests of this package start from.

use ottersill_routing::interface::*;

/// Settings of a workload in which an answer after the SLO time has no value. Times are in seconds.
pub fn workload_settings(
    consistency: Consistency,
    effect: Effect,
    priority_weight: f64,
    slo_time: f64,
    statement_timeout: f64,
) -> WorkloadSettings {
    WorkloadSettings {
        consistency,
        effect,
        priority_weight,
        late_value_fraction: 0.0,
        slo_time,
        statement_timeout,
    }
}

/// Settings of a single router at site 0 for these workloads, without the features that only some deployments have.
pub fn routing_config(workloads: Vec<WorkloadSettings>) -> RoutingConfig {
    RoutingConfig {
        seed: 7,
        routers: 1,
        site: Some(0),
        workloads,
        tenant_rates: Vec::new(),
        over_share_factor: 0.1,
        reports: ReportSource::WithAnswers,
        endpoints_check_reads: false,
        must_remember_writes: false,
        list_on_request: false,
        may_check_health: true,
        may_cancel_attempts: true,
        max_attempts: 8,
        max_retry_after: 1.0,
        only_draining_excludes: false,
        initial_capacity_fraction: 0.2,
        warmup_seconds: 10.0,
        overload_multiple: 2.5,
        overload_seconds: 1.0,
    }
}
