//! An audit file that an earlier version of the router wrote is still parsed and audited with the same result. Guards
//! against a renamed type or field that changes the stored format.
//!
//! `data/audit-0.1.0.jsonl` was written by router `a` of three routers with the budgets of `deploy/fleet.textproto`, at
//! commit 5872259. It holds the lines about one endpoint, and the health checks up to two seconds before an endpoint
//! stopped answering.

use std::collections::BTreeMap;

use ottersill_testkit::audit::{BudgetLimit, Entry, audit, parse_audit_file};

const STORED: &str = include_str!("data/audit-0.1.0.jsonl");
const EXECUTIONS: &str = "executions at each host";
const PROBES: &str = "probes";

fn budgets(executions: u64, probes: u64) -> BTreeMap<String, BudgetLimit> {
    BTreeMap::from([
        (EXECUTIONS.to_string(), BudgetLimit::Concurrent { units: executions, hold_seconds: 3.0 }),
        (PROBES.to_string(), BudgetLimit::Rate { units: probes, period_seconds: 1.0 }),
    ])
}

fn stored_entries() -> Vec<Entry> {
    parse_audit_file(STORED).expect("stored audit file is rejected").entries
}

#[test]
fn each_line_of_an_old_audit_file_is_parsed() {
    let entries = stored_entries();
    assert_eq!(entries.len(), STORED.lines().count());
    let count = |what: &str| entries.iter().filter(|entry| entry.what == what).count();
    assert_eq!(["right", "take", "put", "put unproved"].map(count), [58, 26, 4, 1]);
    let grant = &entries[69];
    assert_eq!((grant.process.as_str(), grant.incarnation), ("a", 1_796_208_201_476_548));
    assert_eq!((grant.budget.as_str(), grant.subject), (EXECUTIONS, 8_339_790_007_301_228_056));
    // Numbers are parsed exactly but for the last digit.
    let is_close = |parsed: f64, written: f64| (parsed - written).abs() < 1e-6;
    assert!(is_close(grant.at, 1_796_208_208.121_230_1), "{}", grant.at);
    let [(units, until), (floor, floor_until)] = grant.until.expect("the entry has no expiry times");
    assert_eq!((units, floor), (36, 0));
    assert!(is_close(until, 1_796_208_210.081_486_2), "expiry of the units: {until}");
    assert!(is_close(floor_until, 1_796_208_237.527_030_7), "expiry of the floor: {floor_until}");
    assert_eq!(entries[73].until, None);
}

#[test]
fn an_old_audit_file_has_the_same_verdict() {
    let verdict = audit(&stored_entries(), &budgets(48, 60));
    assert!(verdict.violations.is_empty(), "{:?}", verdict.violations);
    assert_eq!((verdict.grants, verdict.units_acquired, verdict.processes), (58, 26, 1));
    assert_eq!((verdict.highest_fraction[EXECUTIONS], verdict.highest_fraction[PROBES]), (0.75, 1.0));
}

/// Guards against an audit that parses the lines but does not add them up.
#[test]
fn smaller_budgets_than_those_of_the_old_file_are_violated() {
    assert!(!audit(&stored_entries(), &budgets(35, 60)).violations.is_empty());
    assert!(!audit(&stored_entries(), &budgets(48, 59)).violations.is_empty());
}
