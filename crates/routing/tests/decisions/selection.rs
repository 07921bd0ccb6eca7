//! Which of the endpoints that may serve a request does.

use crate::common::*;

#[test]
fn reads_spread_by_executions_in_flight() {
    let mut world = World::settled(false, [0.0; 3]);
    let mut hosts: Vec<usize> = (0..6).map(|_| world.ask(READ)).collect();
    hosts = hosts.into_iter().map(|request| world.sent_to(request)[0]).collect();
    hosts.sort_unstable();
    assert_eq!(hosts, [1, 1, 2, 2, 3, 3]);
}

/// Found in an incident: long reads spread evenly stopped the log on every replica.
#[test]
fn long_reads_stay_together_on_the_member_furthest_behind() {
    let mut world = World::settled(true, [0.0, 0.4, 0.1]);
    let reports: Vec<usize> = (0..4).map(|_| world.ask(REPORT)).collect();
    assert!(reports.into_iter().all(|report| world.sent_to(report) == [2]));
}
