//! One of hundreds of routers, each of which gets a few requests per second. A report from a given group arrives every few
//! seconds, and one from a given endpoint every few tens of seconds. Whatever one router does happens 300 times in the fleet.

mod common;

use std::collections::BTreeSet;

use common::*;
use ottersill_routing::interface::*;
use rstest::rstest;

/// One of 300 routers, whose group has endpoint 0 as its primary. The lags of the replicas are in seconds.
fn low_traffic_router(seed: u64, lags: [f64; 3]) -> Simulation {
    let mut simulation = Simulation::new(RoutingConfig { seed, routers: 300, ..config(true) });
    report_all(&mut simulation, lags);
    simulation
}

/// Delivers a report of each endpoint.
fn report_all(simulation: &mut Simulation, lags: [f64; 3]) {
    simulation.report(0, Role::Primary, 0.0);
    (1..4).for_each(|endpoint| simulation.report(endpoint, Role::Replica, lags[endpoint - 1]));
}

/// Ends the last attempt of a request, with the final answer, and returns its endpoint.
fn end_last_attempt(
    simulation: &mut Simulation,
    request: usize,
    outcome: AttemptOutcome,
    elapsed: f64,
) -> Option<usize> {
    let endpoint = simulation.sent_to(request).last().copied()?;
    let (observed, report) = (LoadReport::default(), None);
    let result =
        AttemptResult { request, endpoint, outcome, elapsed, has_final_answer: true, observed, report };
    simulation.router.on_attempt_result(simulation.now, &result, &mut simulation.transport);
    Some(endpoint)
}

/// Delivers a load report of a replica without lag.
fn report_utilization(simulation: &mut Simulation, endpoint: usize, utilization: f64) {
    let report =
        LoadReport { role: Some(Role::Replica), lsn: Some(simulation.now), utilization: Some(utilization) };
    simulation.router.on_health_check(
        simulation.now,
        endpoint,
        AttemptOutcome::Completed,
        report,
        &mut simulation.transport,
    );
}

/// Guards against sending a request to the same full endpoint again and again: eight attempts within 12 ms.
#[rstest]
#[case::other_replicas_fresh([0.0; 3], 3)]
#[case::the_only_fresh_one([0.0, 9.0, 9.0], 1)]
fn an_endpoint_that_refused_a_request_is_not_sent_it_again(
    #[case] lags: [f64; 3],
    #[case] expected_min: usize,
) {
    let mut simulation = low_traffic_router(7, lags);
    let read = simulation.send_request(READ);
    for _ in 0..8 {
        let Some(endpoint) = simulation.sent_to(read).last().copied() else { break };
        if simulation.sent_to(read).len() > simulation.count(TransportCall::StartAttempt(read, endpoint)) + 3
        {
            break;
        }
        simulation.end_attempt(read, endpoint, AttemptOutcome::Refused, None);
    }
    let sent = simulation.sent_to(read);
    let endpoints: BTreeSet<usize> = sent.iter().copied().collect();
    assert_eq!(endpoints.len(), sent.len(), "{sent:?}");
    assert!(endpoints.len() >= expected_min, "attempts sent: {sent:?}");
}

/// Guards against sending long reads to all replicas because each router alone has room at each of them: the replication
/// positions of all replicas stop advancing, and no replica is left for bounded reads. Also guards against counting removed
/// endpoints as capacity.
#[rstest]
#[case::a_third_of_the_work(0.5, None, &[2])]
#[case::half(1.0, None, &[1, 2])]
#[case::two_thirds(2.0, None, &[1, 2, 3])]
#[case::four_ninths(0.8, None, &[1, 2])]
#[case::four_ninths_and_one_replica_removed(0.8, Some(3), &[2])]
fn long_reads_use_only_as_many_replicas_as_their_work_fills(
    #[case] elapsed: f64,
    #[case] removed: Option<usize>,
    #[case] endpoints: &[usize],
) {
    let mut endpoints_used = BTreeSet::new();
    for seed in 0..20 {
        let mut simulation = low_traffic_router(seed, [0.0; 3]);
        removed
            .into_iter()
            .for_each(|endpoint| simulation.update_endpoint(endpoint, EndpointState::Removed, None));
        for round in 0..30 {
            let reads: Vec<usize> = (0..20).map(|_| simulation.send_request(READ)).collect();
            reads.into_iter().for_each(|read| {
                end_last_attempt(&mut simulation, read, AttemptOutcome::Completed, 0.05);
            });
            let long_read = simulation.send_request(LONG_READ);
            let endpoint = end_last_attempt(&mut simulation, long_read, AttemptOutcome::Completed, elapsed);
            // The first rounds are needed to learn the cost of the work.
            endpoints_used.extend(endpoint.filter(|_| round >= 10));
            simulation.advance(1.0);
            report_all(&mut simulation, [0.0; 3]);
        }
    }
    assert_eq!(endpoints_used.into_iter().collect::<Vec<_>>(), endpoints);
}

/// Guards against bounded reads that wait at the replicas of the long reads, whose positions have not been reported recently.
#[test]
fn bounded_reads_avoid_the_replicas_that_serve_long_reads() {
    let mut simulation = low_traffic_router(7, [0.0; 3]);
    for _ in 0..12 {
        let long_read = simulation.send_request(LONG_READ);
        end_last_attempt(&mut simulation, long_read, AttemptOutcome::Completed, 0.5);
        let reads: Vec<usize> = (0..20).map(|_| simulation.send_request(READ)).collect();
        reads.into_iter().for_each(|read| {
            end_last_attempt(&mut simulation, read, AttemptOutcome::Completed, 0.05);
        });
    }
    simulation.advance(1.5);
    let long_read_endpoints = simulation.send_and_get_endpoints(LONG_READ);
    let reads: Vec<usize> = (0..20).flat_map(|_| simulation.send_and_get_endpoints(READ)).collect();
    assert!(
        !reads.is_empty() && reads.iter().all(|endpoint| !long_read_endpoints.contains(endpoint)),
        "{long_read_endpoints:?} {reads:?}"
    );
}

/// An endpoint that other routers keep busy looks idle to a router that has no attempts in flight there; only its load report
/// shows that it is busy.
#[rstest]
#[case::recent_report(0.5, 0..5)]
#[case::old_report(40.0, 10..40)]
fn a_busy_endpoint_gets_few_reads_while_its_load_report_is_recent(
    #[case] seconds_since_report: f64,
    #[case] expected: std::ops::Range<usize>,
) {
    let mut simulation = low_traffic_router(7, [0.0; 3]);
    [(1, 1.0), (2, 0.2), (3, 0.2)]
        .into_iter()
        .for_each(|(endpoint, utilization)| report_utilization(&mut simulation, endpoint, utilization));
    simulation.now += seconds_since_report;
    let mut sent = 0;
    for _ in 0..60 {
        let read = simulation.send_request(READ);
        sent +=
            usize::from(end_last_attempt(&mut simulation, read, AttemptOutcome::Completed, 0.05) == Some(1));
    }
    assert!(expected.contains(&sent), "{sent} reads");
}

/// Guards against avoiding a replica for an old lag: its position has advanced since its last report.
#[rstest]
#[case::just_now(0.5, false)]
#[case::long_ago(12.0, true)]
fn a_replica_that_lagged_at_its_last_report_is_tried_again_later(
    #[case] seconds_since_report: f64,
    #[case] tried: bool,
) {
    let mut simulation = low_traffic_router(7, [0.0, 9.0, 9.0]);
    simulation.now += seconds_since_report;
    let mut endpoints = BTreeSet::new();
    for _ in 0..30 {
        let read = simulation.send_request(READ);
        endpoints.extend(end_last_attempt(&mut simulation, read, AttemptOutcome::Completed, 0.05));
    }
    assert_eq!(endpoints.contains(&2) && endpoints.contains(&3), tried, "{endpoints:?}");
}

/// Guards against overloading a primary whose load reports lack the utilization: reads that found no replica with room went to
/// it however late it answered, and delayed the writes.
#[rstest]
#[case::fast(0.1, 25..41)]
#[case::nearly_half_of_the_slo_time(0.49, 0..12)]
fn a_primary_with_slow_answers_gets_few_reads(
    #[case] fraction_of_slo_time: f64,
    #[case] expected: std::ops::Range<usize>,
) {
    let mut simulation = low_traffic_router(7, [0.0; 3]);
    (1..4).for_each(|endpoint| simulation.update_endpoint(endpoint, EndpointState::Removed, None));
    for _ in 0..20 {
        simulation.advance(0.3);
        let write = simulation.send_request(WRITE);
        assert_eq!(
            end_last_attempt(&mut simulation, write, AttemptOutcome::Completed, fraction_of_slo_time * 0.6),
            Some(0)
        );
    }
    let mut sent = 0;
    for _ in 0..40 {
        simulation.advance(0.3);
        let read = simulation.send_request(READ);
        sent += usize::from(
            end_last_attempt(&mut simulation, read, AttemptOutcome::Completed, fraction_of_slo_time * 0.3)
                == Some(0),
        );
    }
    assert!(expected.contains(&sent), "{sent} reads");
}

/// Guards against full replicas next to a primary that has two thirds of its capacity to spare.
#[rstest]
#[case::few_writes(0.01, 8..30)]
#[case::much_work_in_writes(0.2, 0..1)]
fn the_primary_gets_reads_only_until_it_is_as_loaded_as_a_replica(
    #[case] write_seconds: f64,
    #[case] expected: std::ops::Range<usize>,
) {
    let mut simulation = low_traffic_router(7, [0.0, 9.0, 9.0]);
    let mut at_primary = 0;
    for round in 0..40 {
        let read = simulation.send_request(READ);
        let endpoint = end_last_attempt(&mut simulation, read, AttemptOutcome::Completed, 0.05);
        at_primary += usize::from(round >= 10 && endpoint == Some(0));
        let request = simulation.send_request(WRITE);
        end_last_attempt(&mut simulation, request, AttemptOutcome::Completed, write_seconds);
        simulation.advance(0.5);
        report_all(&mut simulation, [0.0, 9.0, 9.0]);
    }
    assert!(expected.contains(&at_primary), "{at_primary} reads at the primary");
}

/// Nearly all late answers are timeouts, as clients give up soon after the SLO time. If answers are lost, however, those that
/// arrive are fast, and rejecting reads would not help.
#[rstest]
#[case::answers_are_slow(0.2, true)]
#[case::answers_are_lost(0.03, false)]
fn timeouts_count_as_overload_only_if_answers_are_slow(#[case] elapsed: f64, #[case] is_overloaded: bool) {
    let mut simulation = low_traffic_router(7, [0.0; 3]);
    let (mut rejected, mut requests) = (0, 0);
    for round in 0..120 {
        let read = simulation.send_request(READ);
        let at_once = simulation.count(TransportCall::Reject(read));
        let (outcome, elapsed) = if round % 2 == 0 {
            (AttemptOutcome::TimedOut, 0.39)
        } else {
            (AttemptOutcome::Completed, elapsed)
        };
        end_last_attempt(&mut simulation, read, outcome, elapsed);
        if round >= 40 {
            (rejected, requests) = (rejected + at_once, requests + 1);
        }
        simulation.advance(0.3);
        report_all(&mut simulation, [0.0; 3]);
    }
    assert_eq!(rejected > requests / 3, is_overloaded, "{rejected} of {requests} reads rejected");
}

/// Guards against throttling nearly all writes for old lags: a group that reports rarely last reported its lags long ago.
#[test]
fn writes_are_not_throttled_for_lags_reported_long_ago() {
    let mut simulation = low_traffic_router(7, [3.0; 3]);
    for round in 0..80 {
        (0..6).for_each(|_| {
            simulation.send_request(READ);
        });
        let write = simulation.send_request(WRITE);
        assert_eq!(simulation.count(TransportCall::Reject(write)), 0, "round {round}");
        end_last_attempt(&mut simulation, write, AttemptOutcome::Completed, 0.05);
        simulation.advance(0.5);
        report_all(&mut simulation, [3.0; 3]);
    }
}

/// Guards against overloading a warming endpoint: in a group of which half the members were removed, a router that knew few
/// members sent it twice its share, and the sum over hundreds of routers made it fail.
#[test]
fn a_warming_endpoint_gets_no_extra_requests_for_removed_endpoints() {
    let mut simulation = Simulation::new(RoutingConfig { routers: 300, ..config(true) });
    [2, 3]
        .into_iter()
        .for_each(|endpoint| simulation.update_endpoint(endpoint, EndpointState::Removed, None));
    simulation.update_endpoint(1, EndpointState::Ready, Some(simulation.now));
    let mut sent = 0;
    for _ in 0..400 {
        simulation.report(1, Role::Replica, 0.0);
        let read = simulation.send_request(READ);
        sent +=
            usize::from(end_last_attempt(&mut simulation, read, AttemptOutcome::Completed, 0.05) == Some(1));
        simulation.router.on_client_gone(read);
    }
    // A fifth of its capacity at the start, times its share of one half of the group, is a tenth.
    assert!((20..60).contains(&sent), "{sent} reads");
}

/// Guards against overloading a new primary that is still warming: writes waited for it at all routers, were sent together
/// when it became known, at 3.6 times what it could complete in a second, and it failed.
#[rstest]
#[case::just_started(0.0)]
#[case::half_warm(5.0)]
fn a_backlog_is_not_sent_to_a_warming_primary_at_once(#[case] age_seconds: f64) {
    // Forty routers, each with ten writes a second that one primary takes.
    let sent = |waited_seconds: f64| -> usize {
        let sent_by_router = |seed: u64| {
            let mut config = config(true);
            config.workloads[DEDUPLICATED_WRITE].late_value_fraction = 0.3;
            let mut simulation = Simulation::new(RoutingConfig { seed, routers: 40, ..config });
            (0..4).for_each(|endpoint| simulation.report(endpoint, Role::Replica, 0.0));
            simulation.update_endpoint(
                0,
                EndpointState::Ready,
                Some(simulation.now + waited_seconds + 0.1 - age_seconds),
            );
            let mut sent = 0;
            let mut send_write = |simulation: &mut Simulation| {
                simulation.send_request_with_time_left(DEDUPLICATED_WRITE, 4.0);
                simulation.advance(0.1);
                let calls = std::mem::take(&mut simulation.transport.0);
                for call in calls {
                    if let TransportCall::StartAttempt(request, endpoint) = call {
                        sent += usize::from(endpoint == 0);
                        simulation.end_attempt(request, endpoint, AttemptOutcome::Completed, None);
                    }
                }
            };
            (0..(waited_seconds / 0.1).round() as usize).for_each(|_| send_write(&mut simulation));
            simulation.advance(0.1);
            simulation.report(0, Role::Primary, 0.0);
            // The requests of the following second arrive in addition to the backlog.
            (0..10).for_each(|_| send_write(&mut simulation));
            sent
        };
        (1..=40).map(sent_by_router).sum()
    };
    let (with_backlog, without_backlog) = (sent(1.5), sent(0.0));
    // The requests that arrive within the overload period in which an endpoint fails, and a quarter more for the backlog.
    assert!(
        without_backlog > 40 && with_backlog < without_backlog * 3 / 2,
        "{with_backlog} with a backlog, {without_backlog} without"
    );
}

/// Guards against a burst of health checks: 300 new routers that each check all endpoints at once send more health checks than
/// there are requests in their first seconds.
#[test]
fn a_new_router_checks_only_groups_that_have_requests() {
    let mut simulation = Simulation::new(RoutingConfig { routers: 300, ..config(true) });
    for _ in 0..200 {
        simulation.now += 0.02;
        simulation.router.on_tick(simulation.now, &mut simulation.transport);
    }
    let health_checks = |simulation: &Simulation| {
        simulation
            .transport
            .0
            .iter()
            .filter(|call| matches!(call, TransportCall::StartHealthCheck(_)))
            .count()
    };
    assert_eq!(health_checks(&simulation), 0, "no request has arrived");
    simulation.send_request(READ);
    assert_eq!(
        health_checks(&simulation),
        1,
        "a request waits, so one member of its group is checked at once"
    );
    simulation.advance(0.04);
    assert_eq!(
        health_checks(&simulation),
        4,
        "that check is not answered, so all members of the group are checked"
    );
}

/// Guards against checking all members of an unknown group for its first request: that made up 3,200 of the 3,888 health checks
/// of a minute in a fleet of 3,200 endpoints. Each case states the answers to the checks so far and the number of members that
/// have been checked after these, while no time passes.
#[rstest]
#[case::read(READ, &[], 1)]
#[case::read_that_found_a_replica(READ, &[Role::Replica], 1)]
#[case::write(WRITE, &[], 2)]
#[case::write_that_found_a_replica(WRITE, &[Role::Replica], 3)]
#[case::write_that_found_two_replicas(WRITE, &[Role::Replica; 2], 4)]
#[case::write_that_found_the_primary(WRITE, &[Role::Primary], 2)]
fn an_unknown_group_has_few_members_checked_for_one_request(
    #[case] workload: usize,
    #[case] roles: &[Role],
    #[case] expected: usize,
) {
    let mut simulation = Simulation::new(RoutingConfig { routers: 300, ..config(false) });
    let request = simulation.send_request(workload);
    let checked = |simulation: &Simulation| -> Vec<usize> {
        let endpoint = |call: &TransportCall| {
            if let TransportCall::StartHealthCheck(endpoint) = call { Some(*endpoint) } else { None }
        };
        simulation.transport.0.iter().filter_map(endpoint).collect()
    };
    for (index, role) in roles.iter().enumerate() {
        let endpoint = checked(&simulation)[index];
        simulation.report(endpoint, *role, 0.0);
    }
    assert_eq!(checked(&simulation).len(), expected);
    let can_be_served = match workload {
        READ => !roles.is_empty(),
        _ => roles.contains(&Role::Primary),
    };
    assert_eq!(simulation.sent_to(request).len(), usize::from(can_be_served));
}

/// A few members that hang, refuse or lag must not keep a request from the others: all members are checked while there is enough
/// time left for an answer.
#[rstest]
#[case::hung(READ, 0.75, None, 0.04)]
#[case::hung_for_a_write(WRITE, 2.0, None, 0.04)]
#[case::connect_failed(READ, 0.75, Some((AttemptOutcome::ConnectFailed, None)), 0.02)]
#[case::connect_failed_for_a_write(WRITE, 2.0, Some((AttemptOutcome::ConnectFailed, None)), 0.02)]
#[case::too_far_behind(READ, 0.75, Some((AttemptOutcome::Completed, Some(9.0))), 0.04)]
#[case::little_time(READ, 0.1, None, 0.0)]
fn all_members_are_checked_if_the_first_checks_do_not_help(
    #[case] workload: usize,
    #[case] time_left: f64,
    #[case] answer: Option<(AttemptOutcome, Option<f64>)>,
    #[case] within_seconds: f64,
) {
    for seed in 0..20 {
        let mut simulation = Simulation::new(RoutingConfig { routers: 300, seed, ..config(false) });
        let request = simulation.send_request_with_time_left(workload, time_left);
        let checked = (0..4)
            .filter(|endpoint| simulation.count(TransportCall::StartHealthCheck(*endpoint)) > 0)
            .collect::<Vec<_>>();
        if let Some((outcome, lag)) = answer {
            for endpoint in &checked {
                let report = match lag {
                    Some(lag) => LoadReport {
                        role: Some(Role::Replica),
                        lsn: Some(simulation.now - lag),
                        utilization: None,
                    },
                    None => LoadReport::default(),
                };
                simulation.router.on_health_check(
                    simulation.now,
                    *endpoint,
                    outcome,
                    report,
                    &mut simulation.transport,
                );
            }
        }
        simulation.advance(within_seconds);
        assert!(
            (0..4).all(|endpoint| simulation.count(TransportCall::StartHealthCheck(endpoint)) > 0),
            "seed {seed}"
        );
        let other = (0..4).find(|endpoint| !checked.contains(endpoint)).unwrap_or(0);
        simulation.report(other, if workload == WRITE { Role::Primary } else { Role::Replica }, 0.0);
        assert_eq!(simulation.sent_to(request), [other], "seed {seed}");
    }
}

/// Routers choose different members for their first check, so that all routers together check each member of a new group
/// equally often.
#[test]
fn the_first_checks_of_many_routers_are_spread_evenly() {
    let mut checks = [0; 4];
    for seed in 0..400 {
        let mut simulation = Simulation::new(RoutingConfig { routers: 400, seed, ..config(false) });
        simulation.send_request(READ);
        (0..4).for_each(|endpoint| {
            checks[endpoint] += simulation.count(TransportCall::StartHealthCheck(endpoint));
        });
    }
    // 100 each, plus or minus four standard deviations.
    assert!(checks.iter().all(|checks| (65..=135).contains(checks)), "health checks: {checks:?}");
}

/// Guards against repeating a health check as soon as it is refused while a request waits.
#[rstest]
#[case::connect_failed(AttemptOutcome::ConnectFailed)]
#[case::refused(AttemptOutcome::Refused)]
fn a_refused_health_check_is_not_repeated_at_once(#[case] outcome: AttemptOutcome) {
    let mut simulation = Simulation::new(RoutingConfig { routers: 300, ..config(true) });
    simulation.send_request(READ);
    let health_checks = |simulation: &Simulation| {
        (0..4).map(|endpoint| simulation.count(TransportCall::StartHealthCheck(endpoint))).sum::<usize>()
    };
    let sent = health_checks(&simulation);
    assert!(sent > 0);
    for _ in 0..20 {
        (0..4).for_each(|endpoint| {
            simulation.router.on_health_check(
                simulation.now,
                endpoint,
                outcome,
                LoadReport::default(),
                &mut simulation.transport,
            );
        });
    }
    assert_eq!(health_checks(&simulation), sent, "no time has passed");
}

/// If the fleet divides the attempts in flight at an endpoint among the routers, a router stays within its quota.
#[test]
fn the_in_flight_quota_limits_attempts_in_flight() {
    let mut simulation = Simulation::with_reports(true, [0.0; 3]);
    let quota =
        |endpoint: usize, units: f64| EndpointQuota { endpoint, in_flight_quota: Some(units), tokens: None };
    let fleet_quota = |units: f64| FleetQuota {
        endpoints: (0..4).map(|endpoint| quota(endpoint, units)).collect(),
        ..FleetQuota::default()
    };
    simulation.router.on_quota(simulation.now, &fleet_quota(1.0), &mut simulation.transport);
    let reads: Vec<usize> = (0..9).map(|_| simulation.send_request(READ)).collect();
    let in_flight = reads.iter().filter(|request| !simulation.sent_to(**request).is_empty()).count();
    assert!((3..=4).contains(&in_flight), "{in_flight} attempts in flight");
    assert_eq!(simulation.router.waiting(0), 9 - in_flight);
    simulation.router.on_quota(simulation.now, &fleet_quota(3.0), &mut simulation.transport);
    assert!(
        simulation.router.waiting(0) < 9 - in_flight,
        "waiting requests are sent once the quota is larger"
    );
}

/// If the fleet has a budget for warming endpoints, it replaces the random samples of slow start: no attempt is sent without a
/// token, and each token is used.
#[test]
fn a_warming_endpoint_is_sent_one_attempt_per_token() {
    let mut simulation = Simulation::with_reports(true, [0.0; 3]);
    simulation.update_endpoint(1, EndpointState::Ready, Some(simulation.now - 1.0));
    assert!(
        simulation.router.is_warming(simulation.now, 1) && !simulation.router.is_warming(simulation.now, 2)
    );
    let grant_tokens = |simulation: &mut Simulation, tokens: f64| {
        let endpoints = vec![EndpointQuota { endpoint: 1, in_flight_quota: None, tokens: Some(tokens) }];
        let fleet_quota = FleetQuota { endpoints, routers: Some(4), retries: None };
        simulation.router.on_quota(simulation.now, &fleet_quota, &mut simulation.transport);
    };
    grant_tokens(&mut simulation, 0.0);
    for _ in 0..40 {
        let read = simulation.send_request(READ);
        assert_ne!(simulation.sent_to(read).last(), Some(&1));
        end_last_attempt(&mut simulation, read, AttemptOutcome::Completed, 0.01);
    }
    grant_tokens(&mut simulation, 1.0);
    let read = simulation.send_request(READ);
    assert_eq!(simulation.sent_to(read).last(), Some(&1));
}
