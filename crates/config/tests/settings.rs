//! Guards against a setting that is parsed into the wrong value, and against changed texts of errors. The values are
//! described as text that is independent of the names of Rust fields, so that renaming a field doesn't change the
//! expectations.

use ottersill_config::deployment::{DeploymentNames, DeploymentSettings};
use ottersill_routing::interface::{
    Consistency, DeduplicationScope, Effect, ReportSource, RoutingConfig, WorkloadSettings,
};
use rstest::rstest;
use serde_json::{Value, json};

/// The settings of example/router.json.
fn example() -> Value {
    let file: Value =
        serde_json::from_str(include_str!("../../../example/router.json")).expect("the example is not JSON");
    file["settings"].clone()
}

/// Settings with every known key, none of them at its default, and with one unknown key.
fn every_key() -> Value {
    json!({
        "balancers": 300,
        "zone": "shore",
        "localities": ["hill", "shore", "island"],
        "accounts": [{"name": "red", "quota_per_s": 12.5, "share": 0.5}, {"name": "blue", "quota_per_s": 40}],
        "over_share_worth": 0.25,
        "registry_mode": "subscribe",
        "profiles": [
            {"name": "any", "aim_ms": 100, "deadline_ms": 250, "credit": 1, "late_value": 0,
             "effect": "pure", "group": "all", "window_ms": 0},
            {"name": "fresh", "aim_ms": 110, "deadline_ms": 260, "credit": 1.5, "late_value": 0.1,
             "effect": "pure", "group": "cell", "window_ms": 10},
            {"name": "session", "aim_ms": 120, "deadline_ms": 270, "credit": 2, "late_value": 0.2,
             "effect": "token", "group": "all", "window_ms": 500},
            {"name": "bounded", "aim_ms": 130, "deadline_ms": 280, "credit": 2.5, "late_value": 0.3,
             "effect": "token", "group": "zone", "window_ms": 600},
            {"name": "write", "aim_ms": 140, "deadline_ms": 290, "credit": 3, "late_value": 0.4,
             "effect": "token", "group": "cell", "window_ms": 700},
            {"name": "once", "aim_ms": 150, "deadline_ms": 300, "credit": 4, "late_value": 0.5,
             "effect": "side_effect", "group": "all", "window_ms": 800}
        ],
        "domain": {"class_read": ["any", "fresh", "session", "bounded", "write", "write"],
                   "oldest_data_ms": [1, 2, 3, 750, 4, 5], "counted_from_ms": 4500,
                   "when_behind": "refuse", "write_marks": "remembered"},
        "policy_limits": {"cancelling": false, "probes": false, "send_cap": 5, "retry_after": true,
                          "max_retry_after_ms": 450, "connect_timeout_ms": 125, "keepalive_ms": 8000},
        "rules": {"cold_from": 0.15, "ramp_time_ms": 4000, "fall_multiple": 1.5, "overload_for_ms": 750,
                  "drain_grace_ms": 400, "soft_removal": true},
        "stats": {"how": "answers", "fields": ["x0", "x1"]},
        "a_key_of_later": {"held": [1]}
    })
}

fn parse(settings: &Value) -> DeploymentSettings {
    serde_json::from_value(settings.clone()).expect("settings are not of the expected form")
}

fn describe_workload(workload: &WorkloadSettings) -> String {
    let consistency = match workload.consistency {
        Consistency::Primary => "primary".to_string(),
        Consistency::Fresh => "fresh".to_string(),
        Consistency::Session => "session".to_string(),
        Consistency::Bounded(bound) => format!("at most {bound} s old"),
        Consistency::Any => "any".to_string(),
    };
    let effect = match workload.effect {
        Effect::Idempotent => "idempotent".to_string(),
        Effect::NonIdempotent => "once".to_string(),
        Effect::Deduplicated { within, window } => {
            let within = match within {
                DeduplicationScope::Everywhere => "everywhere",
                DeduplicationScope::Site => "in a site",
                DeduplicationScope::Group => "in a group",
            };
            format!("deduplicated {within} for {window} s")
        }
    };
    let (priority_weight, late) = (workload.priority_weight, workload.late_value_fraction);
    let (aim, limit) = (workload.slo_time, workload.statement_timeout);
    format!(
        "{consistency}, {effect}, importance {priority_weight}, late {late}, aim {aim} s, limit {limit} s"
    )
}

fn describe(config: &RoutingConfig, names: &DeploymentNames) -> Vec<String> {
    let reports = match config.reports {
        ReportSource::WithAnswers => "with answers",
        ReportSource::WithHealthChecks => "with probes",
        ReportSource::NoReports => "nowhere",
    };
    let mut lines = vec![
        format!("seed {} routers {} site {:?}", config.seed, config.routers, config.site),
        format!("tenants {:?} over share {}", config.tenant_rates, config.over_share_factor),
        format!("reports {reports}"),
        format!("members check reads {}", config.endpoints_check_reads),
        format!("remembers writes {}", config.must_remember_writes),
        format!("list on request {}", config.list_on_request),
        format!("may probe {} may cancel {}", config.may_check_health, config.may_cancel_attempts),
        format!("at most {} attempts, {} s until retry", config.max_attempts, config.max_retry_after),
        format!("only draining bars {}", config.only_draining_excludes),
        format!("cold {} warm after {} s", config.initial_capacity_fraction, config.warmup_seconds),
        format!("falls at {} for {} s", config.overload_multiple, config.overload_seconds),
        format!("names {:?} {:?} {:?}", names.workloads, names.tenants, names.sites),
        format!(
            "timeouts {:?} reads {:?} zero {} s",
            names.statement_timeouts, names.is_read_only, names.lsn_epoch_seconds
        ),
    ];
    lines.extend(config.workloads.iter().map(describe_workload));
    lines
}

#[test]
fn the_example_has_these_values() {
    let settings = parse(&example());
    let (config, names) = (settings.routing_config(77).expect("settings are rejected"), settings.names());
    assert_eq!(
        describe(&config, &names),
        [
            "seed 77 routers 1 site Some(0)",
            "tenants [] over share 1",
            "reports with probes",
            "members check reads true",
            "remembers writes false",
            "list on request false",
            "may probe true may cancel true",
            "at most 8 attempts, 0.5 s until retry",
            "only draining bars false",
            "cold 0.3 warm after 10 s",
            "falls at 2.5 for 1 s",
            r#"names ["get", "put"] [] ["here"]"#,
            "timeouts [2.0, 2.0] reads [true, false] zero 0 s",
            "at most 3 s old, idempotent, importance 1, late 0.3, aim 0.3 s, limit 2 s",
            "primary, once, importance 2, late 0.3, aim 0.5 s, limit 2 s",
        ]
    );
    let timeouts = settings.backend_timeouts().expect("timeouts are missing");
    assert_eq!((timeouts.connect, timeouts.idle, timeouts.drain_grace), (0.25, 15.0, 0.25));
}

#[test]
fn every_key_is_read() {
    let settings = parse(&every_key());
    let (config, names) =
        (settings.routing_config(u64::MAX).expect("settings are rejected"), settings.names());
    assert_eq!(
        describe(&config, &names),
        [
            "seed 18446744073709551615 routers 300 site Some(1)",
            "tenants [12.5, 40.0] over share 0.25",
            "reports with answers",
            "members check reads true",
            "remembers writes true",
            "list on request true",
            "may probe false may cancel false",
            "at most 5 attempts, 0.45 s until retry",
            "only draining bars true",
            "cold 0.15 warm after 4 s",
            "falls at 1.5 for 0.75 s",
            r#"names ["any", "fresh", "session", "bounded", "write", "once"] ["red", "blue"] ["hill", "shore", "island"]"#,
            "timeouts [0.25, 0.26, 0.27, 0.28, 0.29, 0.3] reads [true, true, true, true, false, false] zero 4.5 s",
            "any, idempotent, importance 1, late 0, aim 0.1 s, limit 0.25 s",
            "fresh, idempotent, importance 1.5, late 0.1, aim 0.11 s, limit 0.26 s",
            "session, deduplicated everywhere for 0.5 s, importance 2, late 0.2, aim 0.12 s, limit 0.27 s",
            "at most 0.75 s old, deduplicated in a site for 0.6 s, importance 2.5, late 0.3, aim 0.13 s, limit 0.28 s",
            "primary, deduplicated in a group for 0.7 s, importance 3, late 0.4, aim 0.14 s, limit 0.29 s",
            "primary, once, importance 4, late 0.5, aim 0.15 s, limit 0.3 s",
        ]
    );
    let timeouts = settings.backend_timeouts().expect("timeouts are missing");
    assert_eq!((timeouts.connect, timeouts.idle, timeouts.drain_grace), (0.125, 8.0, 0.4));
}

/// Values that occur in neither of the two settings above.
#[rstest]
#[case::no_reports("/stats/how", json!("none"), 2, "reports nowhere")]
#[case::reports_without_role("/stats/fields", json!(["x0"]), 2, "reports nowhere")]
#[case::reads_not_checked("/domain/when_behind", json!("none"), 3, "members check reads false")]
#[case::no_retry_after("/policy_limits/retry_after", json!(false), 7, "at most 5 attempts, 0 s until retry")]
#[case::unknown_zone("/zone", json!("reef"), 0, "seed 5 routers 300 site None")]
fn other_values_are_read(
    #[case] key: &str,
    #[case] value: Value,
    #[case] line: usize,
    #[case] expected: &str,
) {
    let mut settings = every_key();
    *settings.pointer_mut(key).expect("the settings lack the key") = value;
    let settings = parse(&settings);
    let config = settings.routing_config(5).expect("settings are rejected");
    assert_eq!(describe(&config, &settings.names())[line], expected);
}

#[rstest]
#[case::class("/domain/class_read/2", json!("odd"), "class_read: expected write, fresh, session, bounded or any, found \"odd\"")]
#[case::group("/profiles/3/group", json!("odd"), "group: expected all, zone or cell, found \"odd\"")]
#[case::effect("/profiles/0/effect", json!("odd"), "effect: expected pure, token or side_effect, found \"odd\"")]
#[case::reports("/stats/how", json!("odd"), "stats.how: expected answers, probe or none, found \"odd\"")]
#[case::when_behind("/domain/when_behind", json!("odd"), "when_behind: expected none, refuse or wait, found \"odd\"")]
#[case::write_marks("/domain/write_marks", json!("odd"), "write_marks: expected carried or remembered, found \"odd\"")]
#[case::registry("/registry_mode", json!("odd"), "registry_mode: expected automatic or subscribe, found \"odd\"")]
#[case::class_count("/domain/class_read", json!(["any"]), "class_read and oldest_data_ms: expected an entry for each of profiles")]
#[case::bound_count("/domain/oldest_data_ms", json!([]), "class_read and oldest_data_ms: expected an entry for each of profiles")]
fn unknown_values_are_rejected(#[case] key: &str, #[case] value: Value, #[case] expected: &str) {
    let mut settings = every_key();
    *settings.pointer_mut(key).expect("the settings lack the key") = value;
    let error = parse(&settings).routing_config(5).expect_err("invalid settings are accepted");
    assert_eq!(error.to_string(), expected);
}

#[rstest]
#[case::connect("connect_timeout_ms", "policy_limits: missing field `connect_timeout_ms`")]
#[case::idle("keepalive_ms", "policy_limits: missing field `keepalive_ms`")]
fn timeouts_are_required_only_for_sockets(#[case] key: &str, #[case] expected: &str) {
    let mut settings = every_key();
    settings["policy_limits"].as_object_mut().expect("policy_limits is not an object").remove(key);
    let settings = parse(&settings);
    assert!(settings.routing_config(5).is_ok());
    assert_eq!(settings.backend_timeouts().expect_err("invalid settings are accepted").to_string(), expected);
}

/// The error has the full path of the field, which its message lacks.
#[rstest]
#[case::class("/domain/class_read/2", "domain.class_read[2]")]
#[case::group("/profiles/3/group", "profiles[3].group")]
#[case::effect("/profiles/0/effect", "profiles[0].effect")]
#[case::reports("/stats/how", "stats.how")]
fn errors_have_the_full_path(#[case] key: &str, #[case] path: &str) {
    let mut settings = every_key();
    *settings.pointer_mut(key).expect("the settings lack the key") = json!("odd");
    assert_eq!(parse(&settings).routing_config(5).expect_err("invalid settings are accepted").path(), path);
}
