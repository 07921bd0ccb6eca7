//! The scenarios: the settings of the router, the requests that it gets, and the faults and changes of its endpoints.

use ottersill_routing::interface::*;

use crate::settings::{routing_config, workload_settings};
use crate::simulation::{Change, Scenario};

const SHORT_READ: usize = 0;
const LONG_READ: usize = 1;
const WRITE: usize = 2;
const GROUP_DEDUPLICATED_WRITE: usize = 3;
const SESSION_READ: usize = 4;
const FRESH_READ: usize = 5;
const IDEMPOTENT_WRITE: usize = 6;
const SITE_DEDUPLICATED_WRITE: usize = 7;
const GLOBALLY_DEDUPLICATED_WRITE: usize = 8;
const ANY_READ: usize = 9;

/// The workloads, in the order of the constants above.
pub fn workloads() -> Vec<WorkloadSettings> {
    let deduplicated = |within, window| Effect::Deduplicated { within, window };
    vec![
        workload_settings(Consistency::Bounded(1.0), Effect::Idempotent, 3.0, 0.3, 0.75),
        workload_settings(Consistency::Any, Effect::Idempotent, 6.0, 3.0, 6.0),
        workload_settings(Consistency::Primary, Effect::NonIdempotent, 4.0, 0.6, 2.0),
        workload_settings(Consistency::Primary, deduplicated(DeduplicationScope::Group, 0.5), 4.0, 0.6, 2.0),
        workload_settings(Consistency::Session, Effect::Idempotent, 2.0, 0.3, 0.8),
        workload_settings(Consistency::Fresh, Effect::Idempotent, 5.0, 0.4, 1.0),
        workload_settings(Consistency::Primary, Effect::Idempotent, 3.0, 0.5, 1.5),
        workload_settings(Consistency::Primary, deduplicated(DeduplicationScope::Site, 1.0), 4.0, 0.6, 2.0),
        workload_settings(
            Consistency::Primary,
            deduplicated(DeduplicationScope::Everywhere, 2.0),
            4.0,
            0.6,
            2.0,
        ),
        workload_settings(Consistency::Any, Effect::Idempotent, 1.0, 0.25, 0.6),
    ]
}

pub fn config(seed: u64) -> RoutingConfig {
    RoutingConfig { seed, ..routing_config(workloads()) }
}

/// Returns the weight of each workload; it is 0 for those that `pairs` does not contain.
pub fn weights(pairs: &[(usize, u64)]) -> Vec<u64> {
    let mut weights = vec![0; workloads().len()];
    for (workload, weight) in pairs {
        weights[*workload] = *weight;
    }
    weights
}

/// The scenario from which the others are derived: one router, two groups of four endpoints, a light load, no failures.
pub fn baseline(seed: u64) -> Scenario {
    Scenario {
        config: config(seed),
        weights: weights(&[(SHORT_READ, 6), (LONG_READ, 1), (WRITE, 2)]),
        groups: 2,
        endpoints_in_group: 4,
        sites: 2,
        requests_per_second: 60.0,
        duration_seconds: 40.0,
        relative_service_time: 0.15,
        max_lag_seconds: 0.3,
        failures_per_mille: 0,
        changes: Vec::new(),
        hangups_per_mille: 10,
        stalls_per_mille: 0,
        sessions: 0,
        states_last_write: false,
        client_retries_per_mille: 0,
        hidden_writes_per_mille: 0,
        has_work_estimates: false,
        reports_utilization: false,
        has_fleet_quotas: false,
    }
}

pub fn bounded_reads() -> Scenario {
    Scenario { max_lag_seconds: 1.6, ..baseline(1) }
}

pub fn checked_reads() -> Scenario {
    let config = RoutingConfig { endpoints_check_reads: true, ..config(2) };
    Scenario {
        config,
        max_lag_seconds: 1.6,
        requests_per_second: 120.0,
        failures_per_mille: 10,
        ..baseline(2)
    }
}

/// The router remembers the last write of each session.
pub fn remembered_sessions() -> Scenario {
    let config = RoutingConfig { must_remember_writes: true, ..config(3) };
    Scenario {
        config,
        weights: weights(&[(SESSION_READ, 5), (GROUP_DEDUPLICATED_WRITE, 2), (WRITE, 1)]),
        sessions: 30,
        max_lag_seconds: 0.8,
        failures_per_mille: 30,
        changes: vec![Change::Drain, Change::Restore, Change::Join],
        ..baseline(3)
    }
}

/// Requests state the time of their session's last write.
pub fn told_sessions() -> Scenario {
    Scenario {
        weights: weights(&[(SESSION_READ, 5), (IDEMPOTENT_WRITE, 2), (ANY_READ, 2)]),
        sessions: 30,
        states_last_write: true,
        max_lag_seconds: 2.0,
        changes: vec![Change::Failover, Change::Slow, Change::Recover, Change::Recover],
        ..baseline(4)
    }
}

pub fn fresh_reads() -> Scenario {
    Scenario {
        weights: weights(&[(FRESH_READ, 5), (IDEMPOTENT_WRITE, 2), (WRITE, 1)]),
        failures_per_mille: 20,
        changes: vec![Change::Failover, Change::Crash, Change::Recover, Change::Recover],
        ..baseline(5)
    }
}

pub fn writes_of_each_effect() -> Scenario {
    Scenario {
        weights: weights(&[
            (WRITE, 2),
            (GROUP_DEDUPLICATED_WRITE, 2),
            (SITE_DEDUPLICATED_WRITE, 2),
            (GLOBALLY_DEDUPLICATED_WRITE, 2),
            (IDEMPOTENT_WRITE, 2),
        ]),
        failures_per_mille: 120,
        changes: vec![Change::Failover, Change::Recover, Change::Crash],
        ..baseline(6)
    }
}

pub fn no_health_checks() -> Scenario {
    let config = RoutingConfig { may_check_health: false, ..config(7) };
    let changes = vec![Change::Hang, Change::Recover, Change::Crash, Change::Recover];
    Scenario { config, failures_per_mille: 20, max_lag_seconds: 0.6, changes, ..baseline(7) }
}

pub fn hung_endpoints() -> Scenario {
    Scenario {
        weights: weights(&[(SHORT_READ, 6), (ANY_READ, 3), (IDEMPOTENT_WRITE, 1)]),
        requests_per_second: 150.0,
        changes: vec![Change::Hang, Change::Recover, Change::Recover],
        ..baseline(8)
    }
}

pub fn no_cancelling() -> Scenario {
    let config = RoutingConfig { may_cancel_attempts: false, max_attempts: 2, ..config(9) };
    Scenario { config, ..hung_endpoints() }
}

pub fn tenants() -> Scenario {
    let config = RoutingConfig { tenant_rates: vec![4.0, 20.0, 60.0], ..config(10) };
    Scenario {
        config,
        requests_per_second: 250.0,
        relative_service_time: 0.4,
        duration_seconds: 20.0,
        ..baseline(10)
    }
}

pub fn sites_and_sizes() -> Scenario {
    let config = RoutingConfig { site: Some(2), routers: 3, ..config(11) };
    Scenario {
        config,
        sites: 3,
        endpoints_in_group: 6,
        requests_per_second: 200.0,
        duration_seconds: 20.0,
        ..baseline(11)
    }
}

pub fn warming_endpoints() -> Scenario {
    let config = RoutingConfig { routers: 4, ..config(12) };
    let changes = vec![Change::Restart, Change::Join, Change::Failover, Change::Crash, Change::Recover];
    Scenario { config, groups: 3, requests_per_second: 150.0, changes, ..baseline(12) }
}

pub fn fleet_quotas() -> Scenario {
    let config = RoutingConfig { routers: 3, ..config(13) };
    let changes = vec![Change::Restart, Change::Hang, Change::Recover, Change::Recover];
    Scenario {
        config,
        has_fleet_quotas: true,
        failures_per_mille: 40,
        requests_per_second: 120.0,
        changes,
        ..baseline(13)
    }
}

pub fn replaced_endpoints() -> Scenario {
    let changes = vec![Change::Drain, Change::Remove, Change::Restore, Change::Join, Change::Failover];
    Scenario { changes, failures_per_mille: 10, ..baseline(14) }
}

pub fn only_draining_bars() -> Scenario {
    let config =
        RoutingConfig { only_draining_excludes: true, reports: ReportSource::NoReports, ..config(15) };
    Scenario { config, ..replaced_endpoints() }
}

pub fn hundreds_of_routers() -> Scenario {
    let config = RoutingConfig {
        routers: 300,
        list_on_request: true,
        reports: ReportSource::WithHealthChecks,
        ..config(16)
    };
    Scenario {
        config,
        groups: 6,
        requests_per_second: 40.0,
        duration_seconds: 60.0,
        reports_utilization: true,
        failures_per_mille: 60,
        changes: vec![Change::RejectAttempts, Change::Recover, Change::Restart, Change::Failover],
        ..baseline(16)
    }
}

pub fn hundreds_of_checking_routers() -> Scenario {
    let config = RoutingConfig { routers: 200, endpoints_check_reads: true, ..config(17) };
    Scenario {
        config,
        reports_utilization: true,
        max_lag_seconds: 1.3,
        relative_service_time: 0.3,
        ..hundreds_of_routers()
    }
}

pub fn overload() -> Scenario {
    Scenario {
        weights: weights(&[(SHORT_READ, 6), (LONG_READ, 1), (WRITE, 2), (ANY_READ, 3)]),
        requests_per_second: 600.0,
        relative_service_time: 0.5,
        duration_seconds: 12.0,
        failures_per_mille: 30,
        client_retries_per_mille: 200,
        changes: vec![Change::Slow, Change::Recover, Change::RejectAttempts, Change::Recover],
        ..baseline(18)
    }
}

pub fn lagging_replicas() -> Scenario {
    Scenario {
        weights: weights(&[(SHORT_READ, 12), (WRITE, 2), (LONG_READ, 2)]),
        groups: 1,
        requests_per_second: 250.0,
        relative_service_time: 0.4,
        duration_seconds: 25.0,
        max_lag_seconds: 3.0,
        ..baseline(19)
    }
}

pub fn stalling_router() -> Scenario {
    let changes = vec![Change::Hang, Change::Recover, Change::Crash];
    Scenario {
        stalls_per_mille: 60,
        requests_per_second: 150.0,
        failures_per_mille: 10,
        changes,
        ..baseline(20)
    }
}

/// Most requests have an estimate of their work, and some reads contain a text that writes.
pub fn known_work_and_hidden_writes() -> Scenario {
    Scenario {
        has_work_estimates: true,
        hidden_writes_per_mille: 40,
        requests_per_second: 200.0,
        duration_seconds: 25.0,
        ..baseline(21)
    }
}

pub fn repeats_and_late_answers() -> Scenario {
    let mut config = config(22);
    config.workloads.iter_mut().for_each(|workload| workload.late_value_fraction = 0.3);
    let changes = vec![Change::Failover, Change::Crash, Change::Recover];
    Scenario {
        config,
        client_retries_per_mille: 300,
        failures_per_mille: 80,
        relative_service_time: 0.3,
        hangups_per_mille: 100,
        changes,
        ..baseline(22)
    }
}

pub fn scarce_retries() -> Scenario {
    Scenario {
        weights: weights(&[(SHORT_READ, 3), (ANY_READ, 5), (IDEMPOTENT_WRITE, 3)]),
        failures_per_mille: 350,
        requests_per_second: 100.0,
        ..baseline(23)
    }
}

pub fn reads_that_may_be_long() -> Scenario {
    Scenario {
        weights: weights(&[(SHORT_READ, 3), (ANY_READ, 8), (WRITE, 1)]),
        has_work_estimates: true,
        relative_service_time: 0.25,
        requests_per_second: 100.0,
        ..baseline(24)
    }
}

/// Each of many groups gets few requests, most of which are answered late.
pub fn slow_answers_at_many_routers() -> Scenario {
    let config = RoutingConfig { routers: 40, reports: ReportSource::WithHealthChecks, ..config(25) };
    Scenario {
        config,
        weights: weights(&[(SHORT_READ, 8), (ANY_READ, 2), (WRITE, 2)]),
        groups: 8,
        requests_per_second: 50.0,
        duration_seconds: 80.0,
        relative_service_time: 0.8,
        failures_per_mille: 150,
        reports_utilization: true,
        changes: vec![Change::Slow, Change::Slow, Change::Recover, Change::Restart, Change::RejectAttempts],
        ..baseline(25)
    }
}

/// Endpoints check reads, lag by up to about the staleness bound, and report rarely.
pub fn reads_near_their_bound() -> Scenario {
    let config = RoutingConfig {
        routers: 40,
        endpoints_check_reads: true,
        reports: ReportSource::WithHealthChecks,
        ..config(26)
    };
    Scenario { config, max_lag_seconds: 1.1, groups: 4, requests_per_second: 80.0, ..baseline(26) }
}

/// Many groups, with endpoints that restart all the time.
pub fn warming_in_many_groups() -> Scenario {
    let config = RoutingConfig { routers: 2, ..config(27) };
    Scenario {
        config,
        groups: 10,
        requests_per_second: 150.0,
        changes: vec![Change::Restart, Change::Restart, Change::Join, Change::Failover],
        ..baseline(27)
    }
}

/// The router stalls at nearly every third tick.
pub fn frequent_stalls() -> Scenario {
    Scenario { stalls_per_mille: 300, ..hung_endpoints() }
}
