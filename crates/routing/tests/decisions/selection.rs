//! Which of the eligible endpoints is selected for a request.

use crate::common::*;

#[test]
fn reads_are_balanced_by_attempts_in_flight() {
    let mut simulation = Simulation::with_reports(false, [0.0; 3]);
    let mut endpoints: Vec<usize> = (0..6).map(|_| simulation.send_request(READ)).collect();
    endpoints = endpoints.into_iter().map(|request| simulation.sent_to(request)[0]).collect();
    endpoints.sort_unstable();
    assert_eq!(endpoints, [1, 1, 2, 2, 3, 3]);
}

/// Guards against long reads that stop the replication log on every replica because they are spread evenly.
#[test]
fn long_reads_share_the_replica_that_lags_most() {
    let mut simulation = Simulation::with_reports(true, [0.0, 0.4, 0.1]);
    let reports: Vec<usize> = (0..4).map(|_| simulation.send_request(LONG_READ)).collect();
    assert!(reports.into_iter().all(|report| simulation.sent_to(report) == [2]));
}
