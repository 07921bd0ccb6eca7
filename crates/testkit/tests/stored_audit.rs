//! An audit file that an earlier version of the router wrote is read as it was meant, whatever the types are called now.
//!
//! `data/audit-0.1.0.jsonl` was written by router `a` of three that had the budgets of `deploy/fleet.textproto`, at commit
//! 5872259: its lines on one endpoint, and its health checks up to two seconds before an endpoint went silent.

use std::collections::BTreeMap;

use ottersill_testkit::audit::{Entry, Whole, audit, read};

const STORED: &str = include_str!("data/audit-0.1.0.jsonl");
const EXECUTIONS: &str = "executions at each host";
const PROBES: &str = "probes";

fn budgets(executions: u64, probes: u64) -> BTreeMap<String, Whole> {
    BTreeMap::from([
        (EXECUTIONS.to_string(), Whole::InHand { units: executions, hold: 3.0 }),
        (PROBES.to_string(), Whole::Rate { units: probes, every: 1.0 }),
    ])
}

fn stored_entries() -> Vec<Entry> {
    read(STORED).expect("the stored form is read").entries
}

#[test]
fn each_line_of_an_old_audit_file_is_read() {
    let entries = stored_entries();
    assert_eq!(entries.len(), STORED.lines().count());
    let count = |what: &str| entries.iter().filter(|entry| entry.what == what).count();
    assert_eq!(["right", "take", "put", "put unproved"].map(count), [58, 26, 4, 1]);
    let grant = &entries[69];
    assert_eq!((grant.process.as_str(), grant.incarnation), ("a", 1_796_208_201_476_548));
    assert_eq!((grant.budget.as_str(), grant.subject), (EXECUTIONS, 8_339_790_007_301_228_056));
    // Numbers are read to the last digit but one.
    let is = |read: f64, written: f64| (read - written).abs() < 1e-6;
    assert!(is(grant.at, 1_796_208_208.121_230_1), "{}", grant.at);
    let [(units, until), (floor, floor_until)] = grant.until.expect("until when it lasts");
    assert_eq!((units, floor), (36, 0));
    assert!(is(until, 1_796_208_210.081_486_2), "{until}");
    assert!(is(floor_until, 1_796_208_237.527_030_7), "{floor_until}");
    assert_eq!(entries[73].until, None);
}

#[test]
fn an_old_audit_file_is_audited_as_it_was() {
    let verdict = audit(&stored_entries(), &budgets(48, 60));
    assert!(verdict.faults.is_empty(), "{:?}", verdict.faults);
    assert_eq!((verdict.grants, verdict.spent, verdict.processes), (58, 26, 1));
    assert_eq!((verdict.highest[EXECUTIONS], verdict.highest[PROBES]), (0.75, 1.0));
}

/// Guards against an audit that reads the lines and adds up nothing.
#[test]
fn smaller_budgets_than_the_old_file_was_written_under_are_found_broken() {
    assert!(!audit(&stored_entries(), &budgets(35, 60)).faults.is_empty());
    assert!(!audit(&stored_entries(), &budgets(48, 59)).faults.is_empty());
}
