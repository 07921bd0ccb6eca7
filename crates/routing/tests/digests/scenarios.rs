//! The scenarios: what a router is set to, what it is asked for, what happens to its endpoints.

use ottersill_routing::interface::*;

use crate::settings::{request_class, routing_config};
use crate::simulation::{Change, Scenario};

const SHORT_READ: usize = 0;
const LONG_READ: usize = 1;
const WRITE: usize = 2;
const GROUP_WRITE: usize = 3;
const SESSION_READ: usize = 4;
const FRESH_READ: usize = 5;
const SAFE_WRITE: usize = 6;
const SITE_WRITE: usize = 7;
const GLOBAL_WRITE: usize = 8;
const ANY_READ: usize = 9;

pub fn workloads() -> Vec<WorkloadSettings> {
    let once_in = |within, window| Effect::Deduplicated { within, window };
    vec![
        request_class(Consistency::Bounded(1.0), Effect::Idempotent, 3.0, 0.3, 0.75),
        request_class(Consistency::Any, Effect::Idempotent, 6.0, 3.0, 6.0),
        request_class(Consistency::Primary, Effect::NonIdempotent, 4.0, 0.6, 2.0),
        request_class(Consistency::Primary, once_in(DeduplicationScope::Group, 0.5), 4.0, 0.6, 2.0),
        request_class(Consistency::Session, Effect::Idempotent, 2.0, 0.3, 0.8),
        request_class(Consistency::Fresh, Effect::Idempotent, 5.0, 0.4, 1.0),
        request_class(Consistency::Primary, Effect::Idempotent, 3.0, 0.5, 1.5),
        request_class(Consistency::Primary, once_in(DeduplicationScope::Site, 1.0), 4.0, 0.6, 2.0),
        request_class(Consistency::Primary, once_in(DeduplicationScope::Everywhere, 2.0), 4.0, 0.6, 2.0),
        request_class(Consistency::Any, Effect::Idempotent, 1.0, 0.25, 0.6),
    ]
}

pub fn terms(seed: u64) -> RoutingConfig {
    RoutingConfig { seed, ..routing_config(workloads()) }
}

pub fn weights(pairs: &[(usize, u64)]) -> Vec<u64> {
    let mut weights = vec![0; workloads().len()];
    for (workload, weight) in pairs {
        weights[*workload] = *weight;
    }
    weights
}

/// Two groups of four endpoints under one router, a light load, nothing that fails.
pub fn calm(seed: u64) -> Scenario {
    Scenario {
        terms: terms(seed),
        weights: weights(&[(SHORT_READ, 6), (LONG_READ, 1), (WRITE, 2)]),
        groups: 2,
        endpoints_in_group: 4,
        sites: 2,
        requests_per_second: 60.0,
        seconds: 40.0,
        service_time: 0.15,
        lag: 0.3,
        failures: 0,
        changes: Vec::new(),
        hangups: 10,
        stalls: 0,
        sessions: 0,
        tells_writes: false,
        repeats: 0,
        hidden_writes: 0,
        with_work: false,
        tells_utilization: false,
        with_parts: false,
    }
}

pub fn bounded_reads() -> Scenario {
    Scenario { lag: 1.6, ..calm(1) }
}

pub fn checked_reads() -> Scenario {
    let terms = RoutingConfig { endpoints_check_reads: true, ..terms(2) };
    Scenario { terms, lag: 1.6, requests_per_second: 120.0, failures: 10, ..calm(2) }
}

pub fn remembered_sessions() -> Scenario {
    let terms = RoutingConfig { must_remember_writes: true, ..terms(3) };
    Scenario {
        terms,
        weights: weights(&[(SESSION_READ, 5), (GROUP_WRITE, 2), (WRITE, 1)]),
        sessions: 30,
        lag: 0.8,
        failures: 30,
        changes: vec![Change::Drain, Change::Restore, Change::Join],
        ..calm(3)
    }
}

pub fn told_sessions() -> Scenario {
    Scenario {
        weights: weights(&[(SESSION_READ, 5), (SAFE_WRITE, 2), (ANY_READ, 2)]),
        sessions: 30,
        tells_writes: true,
        lag: 2.0,
        changes: vec![Change::Failover, Change::Slow, Change::Recover, Change::Recover],
        ..calm(4)
    }
}

pub fn fresh_reads() -> Scenario {
    Scenario {
        weights: weights(&[(FRESH_READ, 5), (SAFE_WRITE, 2), (WRITE, 1)]),
        failures: 20,
        changes: vec![Change::Failover, Change::Crash, Change::Recover, Change::Recover],
        ..calm(5)
    }
}

pub fn writes_of_each_effect() -> Scenario {
    Scenario {
        weights: weights(&[
            (WRITE, 2),
            (GROUP_WRITE, 2),
            (SITE_WRITE, 2),
            (GLOBAL_WRITE, 2),
            (SAFE_WRITE, 2),
        ]),
        failures: 120,
        changes: vec![Change::Failover, Change::Recover, Change::Crash],
        ..calm(6)
    }
}

pub fn no_health_checks() -> Scenario {
    let terms = RoutingConfig { may_check_health: false, ..terms(7) };
    let changes = vec![Change::Hang, Change::Recover, Change::Crash, Change::Recover];
    Scenario { terms, failures: 20, lag: 0.6, changes, ..calm(7) }
}

pub fn hung_endpoints() -> Scenario {
    Scenario {
        weights: weights(&[(SHORT_READ, 6), (ANY_READ, 3), (SAFE_WRITE, 1)]),
        requests_per_second: 150.0,
        changes: vec![Change::Hang, Change::Recover, Change::Recover],
        ..calm(8)
    }
}

pub fn no_cancelling() -> Scenario {
    let terms = RoutingConfig { may_cancel_attempts: false, max_attempts: 2, ..terms(9) };
    Scenario { terms, ..hung_endpoints() }
}

pub fn tenants() -> Scenario {
    let terms = RoutingConfig { tenant_rates: vec![4.0, 20.0, 60.0], ..terms(10) };
    Scenario { terms, requests_per_second: 250.0, service_time: 0.4, seconds: 20.0, ..calm(10) }
}

pub fn sites_and_sizes() -> Scenario {
    let terms = RoutingConfig { site: Some(2), routers: 3, ..terms(11) };
    Scenario { terms, sites: 3, endpoints_in_group: 6, requests_per_second: 200.0, seconds: 20.0, ..calm(11) }
}

pub fn warming_endpoints() -> Scenario {
    let terms = RoutingConfig { routers: 4, ..terms(12) };
    let changes = vec![Change::Restart, Change::Join, Change::Failover, Change::Crash, Change::Recover];
    Scenario { terms, groups: 3, requests_per_second: 150.0, changes, ..calm(12) }
}

pub fn fleet_quotas() -> Scenario {
    let terms = RoutingConfig { routers: 3, ..terms(13) };
    let changes = vec![Change::Restart, Change::Hang, Change::Recover, Change::Recover];
    Scenario { terms, with_parts: true, failures: 40, requests_per_second: 120.0, changes, ..calm(13) }
}

pub fn replaced_endpoints() -> Scenario {
    let changes = vec![Change::Drain, Change::Remove, Change::Restore, Change::Join, Change::Failover];
    Scenario { changes, failures: 10, ..calm(14) }
}

pub fn only_draining_excludes() -> Scenario {
    let terms = RoutingConfig { only_draining_excludes: true, reports: ReportSource::NoReports, ..terms(15) };
    Scenario { terms, ..replaced_endpoints() }
}

pub fn hundreds_of_routers() -> Scenario {
    let terms = RoutingConfig {
        routers: 300,
        list_on_request: true,
        reports: ReportSource::WithHealthChecks,
        ..terms(16)
    };
    Scenario {
        terms,
        groups: 6,
        requests_per_second: 40.0,
        seconds: 60.0,
        tells_utilization: true,
        failures: 60,
        changes: vec![Change::Crowd, Change::Recover, Change::Restart, Change::Failover],
        ..calm(16)
    }
}

pub fn hundreds_of_checking_routers() -> Scenario {
    let terms = RoutingConfig { routers: 200, endpoints_check_reads: true, ..terms(17) };
    Scenario { terms, tells_utilization: true, lag: 1.3, service_time: 0.3, ..hundreds_of_routers() }
}

pub fn overload() -> Scenario {
    Scenario {
        weights: weights(&[(SHORT_READ, 6), (LONG_READ, 1), (WRITE, 2), (ANY_READ, 3)]),
        requests_per_second: 600.0,
        service_time: 0.5,
        seconds: 12.0,
        failures: 30,
        repeats: 200,
        changes: vec![Change::Slow, Change::Recover, Change::Crowd, Change::Recover],
        ..calm(18)
    }
}

pub fn lagging_replicas() -> Scenario {
    Scenario {
        weights: weights(&[(SHORT_READ, 12), (WRITE, 2), (LONG_READ, 2)]),
        groups: 1,
        requests_per_second: 250.0,
        service_time: 0.4,
        seconds: 25.0,
        lag: 3.0,
        ..calm(19)
    }
}

pub fn stalling_router() -> Scenario {
    let changes = vec![Change::Hang, Change::Recover, Change::Crash];
    Scenario { stalls: 60, requests_per_second: 150.0, failures: 10, changes, ..calm(20) }
}

pub fn known_work_and_hidden_writes() -> Scenario {
    Scenario { with_work: true, hidden_writes: 40, requests_per_second: 200.0, seconds: 25.0, ..calm(21) }
}

pub fn repeats_and_late_answers() -> Scenario {
    let mut terms = terms(22);
    terms.workloads.iter_mut().for_each(|workload| workload.late_value_fraction = 0.3);
    let changes = vec![Change::Failover, Change::Crash, Change::Recover];
    Scenario { terms, repeats: 300, failures: 80, service_time: 0.3, hangups: 100, changes, ..calm(22) }
}

pub fn scarce_retries() -> Scenario {
    Scenario {
        weights: weights(&[(SHORT_READ, 3), (ANY_READ, 5), (SAFE_WRITE, 3)]),
        failures: 350,
        requests_per_second: 100.0,
        ..calm(23)
    }
}

pub fn reads_that_may_be_long() -> Scenario {
    Scenario {
        weights: weights(&[(SHORT_READ, 3), (ANY_READ, 8), (WRITE, 1)]),
        with_work: true,
        service_time: 0.25,
        requests_per_second: 100.0,
        ..calm(24)
    }
}

/// Few requests for each of many groups, most of them late.
pub fn slow_answers_at_many_routers() -> Scenario {
    let terms = RoutingConfig { routers: 40, reports: ReportSource::WithHealthChecks, ..terms(25) };
    Scenario {
        terms,
        weights: weights(&[(SHORT_READ, 8), (ANY_READ, 2), (WRITE, 2)]),
        groups: 8,
        requests_per_second: 50.0,
        seconds: 80.0,
        service_time: 0.8,
        failures: 150,
        tells_utilization: true,
        changes: vec![Change::Slow, Change::Slow, Change::Recover, Change::Restart, Change::Crowd],
        ..calm(25)
    }
}

/// Endpoints check reads, lag by about the bound, and are heard of rarely.
pub fn reads_near_their_bound() -> Scenario {
    let terms = RoutingConfig {
        routers: 40,
        endpoints_check_reads: true,
        reports: ReportSource::WithHealthChecks,
        ..terms(26)
    };
    Scenario { terms, lag: 1.1, groups: 4, requests_per_second: 80.0, ..calm(26) }
}

/// As many groups as are asked for very differently, with endpoints that restart all the time.
pub fn warming_in_many_groups() -> Scenario {
    let terms = RoutingConfig { routers: 2, ..terms(27) };
    Scenario {
        terms,
        groups: 10,
        requests_per_second: 150.0,
        changes: vec![Change::Restart, Change::Restart, Change::Join, Change::Failover],
        ..calm(27)
    }
}

/// A router that stalls at nearly every third timer call.
pub fn frequent_stalls() -> Scenario {
    Scenario { stalls: 300, ..hung_endpoints() }
}
