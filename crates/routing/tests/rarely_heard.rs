//! One of hundreds of routers: each sees a few statements a second, hears of a group in seconds and of a host in tens of
//! seconds. What it does for itself is done three hundred times over. All of it was found on the fleet days.

mod common;

use std::collections::BTreeSet;

use common::*;
use ottersill_routing::interface::*;
use rstest::rstest;

/// One of 300 routers whose group has host 0 as its primary.
fn rarely_heard(seed: u64, lags: [f64; 3]) -> World {
    let mut world = World::new(RoutingConfig { seed, routers: 300, ..terms(true) });
    tell(&mut world, lags);
    world
}

fn tell(world: &mut World, lags: [f64; 3]) {
    world.report(0, Role::Primary, 0.0);
    (1..4).for_each(|endpoint| world.report(endpoint, Role::Replica, lags[endpoint - 1]));
}

/// Ends all that is out of a statement, at once and for good.
fn end(world: &mut World, request: usize, outcome: AttemptOutcome, elapsed: f64) -> Option<usize> {
    let endpoint = world.sent_to(request).last().copied()?;
    let (observed, report) = (LoadReport::default(), None);
    let result =
        AttemptResult { request, endpoint, outcome, elapsed, has_final_answer: true, observed, report };
    world.router.on_attempt_result(world.now, &result, &mut world.book);
    Some(endpoint)
}

fn word(world: &mut World, endpoint: usize, utilization: f64) {
    let report =
        LoadReport { role: Some(Role::Replica), lsn: Some(world.now), utilization: Some(utilization) };
    world.router.on_health_check(world.now, endpoint, AttemptOutcome::Completed, report, &mut world.book);
}

/// One statement tried the same full host eight times within 12 ms.
#[rstest]
#[case::other_replicas_fresh([0.0; 3], 3)]
#[case::the_only_fresh_one([0.0, 9.0, 9.0], 1)]
fn a_host_that_said_full_is_not_asked_again_for_the_same_statement(
    #[case] lags: [f64; 3],
    #[case] least: usize,
) {
    let mut world = rarely_heard(7, lags);
    let read = world.ask(READ);
    for _ in 0..8 {
        let Some(endpoint) = world.sent_to(read).last().copied() else { break };
        if world.sent_to(read).len() > world.count(Done::Execute(read, endpoint)) + 3 {
            break;
        }
        world.end(read, endpoint, AttemptOutcome::Refused, None);
    }
    let sent = world.sent_to(read);
    let hosts: BTreeSet<usize> = sent.iter().copied().collect();
    assert_eq!(hosts.len(), sent.len(), "{sent:?}");
    assert!(hosts.len() >= least, "{sent:?}");
}

/// ReportSource went to all replicas, as each router had room at each; all logs stopped, and bounded reads had nowhere to go.
/// And on days on which hosts are replaced, those that left counted as if they could take a part.
#[rstest]
#[case::a_third_of_the_work(0.5, None, &[2])]
#[case::half(1.0, None, &[1, 2])]
#[case::two_thirds(2.0, None, &[1, 2, 3])]
#[case::four_ninths(0.8, None, &[1, 2])]
#[case::four_ninths_and_one_has_left(0.8, Some(3), &[2])]
fn long_reads_are_kept_on_as_many_replicas_as_their_work_fills(
    #[case] elapsed: f64,
    #[case] left: Option<usize>,
    #[case] hosts: &[usize],
) {
    let mut found = BTreeSet::new();
    for seed in 0..20 {
        let mut world = rarely_heard(seed, [0.0; 3]);
        left.into_iter().for_each(|endpoint| world.list(endpoint, EndpointState::Removed, None));
        for round in 0..30 {
            let reads: Vec<usize> = (0..20).map(|_| world.ask(READ)).collect();
            reads.into_iter().for_each(|read| {
                end(&mut world, read, AttemptOutcome::Completed, 0.05);
            });
            let report = world.ask(REPORT);
            let endpoint = end(&mut world, report, AttemptOutcome::Completed, elapsed);
            // What the work is has to be learnt first.
            found.extend(endpoint.filter(|_| round >= 10));
            world.pass(1.0);
            tell(&mut world, [0.0; 3]);
        }
    }
    assert_eq!(found.into_iter().collect::<Vec<_>>(), hosts);
}

/// Bounded reads waited at the replicas where the reports are, whose positions nobody had asked for of late.
#[test]
fn bounded_reads_keep_off_the_replicas_of_long_ones() {
    let mut world = rarely_heard(7, [0.0; 3]);
    for _ in 0..12 {
        let report = world.ask(REPORT);
        end(&mut world, report, AttemptOutcome::Completed, 0.5);
        let reads: Vec<usize> = (0..20).map(|_| world.ask(READ)).collect();
        reads.into_iter().for_each(|read| {
            end(&mut world, read, AttemptOutcome::Completed, 0.05);
        });
    }
    world.pass(1.5);
    let kept = world.ask_and_place(REPORT);
    let reads: Vec<usize> = (0..20).flat_map(|_| world.ask_and_place(READ)).collect();
    assert!(!reads.is_empty() && reads.iter().all(|endpoint| !kept.contains(endpoint)), "{kept:?} {reads:?}");
}

/// A host that all others keep busy looks idle to a router that has nothing out there; its own word tells.
#[rstest]
#[case::just_told(0.5, 0..5)]
#[case::told_long_ago(40.0, 10..40)]
fn a_busy_host_gets_few_reads_while_its_word_is_new(
    #[case] since: f64,
    #[case] expected: std::ops::Range<usize>,
) {
    let mut world = rarely_heard(7, [0.0; 3]);
    [(1, 1.0), (2, 0.2), (3, 0.2)]
        .into_iter()
        .for_each(|(endpoint, utilization)| word(&mut world, endpoint, utilization));
    world.now += since;
    let mut utilization = 0;
    for _ in 0..60 {
        let read = world.ask(READ);
        utilization += usize::from(end(&mut world, read, AttemptOutcome::Completed, 0.05) == Some(1));
    }
    assert!(expected.contains(&utilization), "{utilization}");
}

/// The log of a replica that was behind when it last told stands elsewhere by now.
#[rstest]
#[case::just_now(0.5, false)]
#[case::long_ago(12.0, true)]
fn a_replica_told_to_be_behind_is_tried_again(#[case] since: f64, #[case] tried: bool) {
    let mut world = rarely_heard(7, [0.0, 9.0, 9.0]);
    world.now += since;
    let mut hosts = BTreeSet::new();
    for _ in 0..30 {
        let read = world.ask(READ);
        hosts.extend(end(&mut world, read, AttemptOutcome::Completed, 0.05));
    }
    assert_eq!(hosts.contains(&2) && hosts.contains(&3), tried, "{hosts:?}");
}

/// Hosts that don't tell how busy they are: reads that found no replica with room went to the primary, however late that
/// answered, and kept it from the writes (boards-wales, suva-members).
#[rstest]
#[case::quick(0.1, 25..41)]
#[case::as_slow_as_it_may_be(0.49, 0..12)]
fn a_primary_that_answers_late_gets_few_reads(#[case] share: f64, #[case] expected: std::ops::Range<usize>) {
    let mut world = rarely_heard(7, [0.0; 3]);
    (1..4).for_each(|endpoint| world.list(endpoint, EndpointState::Removed, None));
    for _ in 0..20 {
        world.pass(0.3);
        let write = world.ask(WRITE);
        assert_eq!(end(&mut world, write, AttemptOutcome::Completed, share * 0.6), Some(0));
    }
    let mut sent = 0;
    for _ in 0..40 {
        world.pass(0.3);
        let read = world.ask(READ);
        sent += usize::from(end(&mut world, read, AttemptOutcome::Completed, share * 0.3) == Some(0));
    }
    assert!(expected.contains(&sent), "{sent}");
}

/// Replicas were full while the primary had two thirds to spare.
#[rstest]
#[case::few_writes(0.01, 8..30)]
#[case::as_much_work_in_writes(0.2, 0..1)]
fn the_primary_takes_what_leaves_it_no_more_than_a_replica_has(
    #[case] write: f64,
    #[case] expected: std::ops::Range<usize>,
) {
    let mut world = rarely_heard(7, [0.0, 9.0, 9.0]);
    let mut at_primary = 0;
    for round in 0..40 {
        let read = world.ask(READ);
        let endpoint = end(&mut world, read, AttemptOutcome::Completed, 0.05);
        at_primary += usize::from(round >= 10 && endpoint == Some(0));
        let request = world.ask(WRITE);
        end(&mut world, request, AttemptOutcome::Completed, write);
        world.pass(0.5);
        tell(&mut world, [0.0, 9.0, 9.0]);
    }
    assert!(expected.contains(&at_primary), "{at_primary}");
}

/// Nearly all late answers are time-outs, as clients give up soon after the SLO time; but where answers get lost, those
/// that come are quick, and turning reads away would help nobody.
#[rstest]
#[case::answers_take_long(0.2, true)]
#[case::answers_get_lost(0.03, false)]
fn time_outs_tell_of_a_crowd_where_answers_take_long(#[case] elapsed: f64, #[case] crowd: bool) {
    let mut world = rarely_heard(7, [0.0; 3]);
    let (mut rejected, mut asked) = (0, 0);
    for round in 0..120 {
        let read = world.ask(READ);
        let at_once = world.count(Done::Reject(read));
        let (outcome, elapsed) = if round % 2 == 0 {
            (AttemptOutcome::TimedOut, 0.39)
        } else {
            (AttemptOutcome::Completed, elapsed)
        };
        end(&mut world, read, outcome, elapsed);
        if round >= 40 {
            (rejected, asked) = (rejected + at_once, asked + 1);
        }
        world.pass(0.3);
        tell(&mut world, [0.0; 3]);
    }
    assert_eq!(rejected > asked / 3, crowd, "{rejected} of {asked}");
}

/// Where the group is heard of rarely, lags were told long ago: nearly all writes were held back for them.
#[test]
fn writes_are_not_held_back_for_lags_told_long_ago() {
    let mut world = rarely_heard(7, [3.0; 3]);
    for round in 0..80 {
        (0..6).for_each(|_| {
            world.ask(READ);
        });
        let write = world.ask(WRITE);
        assert_eq!(world.count(Done::Reject(write)), 0, "round {round}");
        end(&mut world, write, AttemptOutcome::Completed, 0.05);
        world.pass(0.5);
        tell(&mut world, [3.0; 3]);
    }
}

/// A router that has heard of few members, in a group from which half have left, sent a cold one twice its part; summed
/// over hundreds of routers it was pushed over (fleet days, a version between).
#[test]
fn a_cold_host_gets_no_more_for_those_that_left() {
    let mut world = World::new(RoutingConfig { routers: 300, ..terms(true) });
    [2, 3].into_iter().for_each(|endpoint| world.list(endpoint, EndpointState::Removed, None));
    world.list(1, EndpointState::Ready, Some(world.now));
    let mut sent = 0;
    for _ in 0..400 {
        world.report(1, Role::Replica, 0.0);
        let read = world.ask(READ);
        sent += usize::from(end(&mut world, read, AttemptOutcome::Completed, 0.05) == Some(1));
        world.router.on_client_gone(read);
    }
    // A fifth of its capacity at the start, times its half of the group: a tenth.
    assert!((20..60).contains(&sent), "{sent}");
}

/// Found by a hunt for broken rules (walsall-orders hf58516, boards-wales hc70465): writes had waited at all routers for a new
/// primary that was cold, went out together as it became known, 3.6 times what it could do in a second, and it fell over.
#[rstest]
#[case::just_started(0.0)]
#[case::half_warm(5.0)]
fn what_waited_for_a_cold_primary_does_not_all_go_there_at_once(#[case] age: f64) {
    // Forty routers, each with ten writes a second that one primary takes.
    let sent = |waited: f64| -> usize {
        let each = |seed: u64| {
            let mut late_too = terms(true);
            late_too.workloads[MARKED].late_value_fraction = 0.3;
            let mut world = World::new(RoutingConfig { seed, routers: 40, ..late_too });
            (0..4).for_each(|endpoint| world.report(endpoint, Role::Replica, 0.0));
            world.list(0, EndpointState::Ready, Some(world.now + waited + 0.1 - age));
            let mut sent = 0;
            let mut ask = |world: &mut World| {
                world.ask_with(MARKED, 4.0);
                world.pass(0.1);
                let out = std::mem::take(&mut world.book.0);
                for done in out {
                    if let Done::Execute(request, endpoint) = done {
                        sent += usize::from(endpoint == 0);
                        world.end(request, endpoint, AttemptOutcome::Completed, None);
                    }
                }
            };
            (0..(waited / 0.1).round() as usize).for_each(|_| ask(&mut world));
            world.pass(0.1);
            world.report(0, Role::Primary, 0.0);
            // What is asked in the second that follows comes beside it.
            (0..10).for_each(|_| ask(&mut world));
            sent
        };
        (1..=40).map(each).sum()
    };
    let (backlog, none) = (sent(1.5), sent(0.0));
    // What is offered in the span in which a host falls over, and a quarter of that for what waited.
    assert!(none > 40 && backlog < none * 3 / 2, "{backlog} with a backlog, {none} without");
}

/// Three hundred fresh routers that each ask all hosts at once ask more than all statements of their first seconds together.
#[test]
fn a_fresh_router_asks_only_where_it_is_asked() {
    let mut world = World::new(RoutingConfig { routers: 300, ..terms(true) });
    for _ in 0..200 {
        world.now += 0.02;
        world.router.on_tick(world.now, &mut world.book);
    }
    let probes = |world: &World| world.book.0.iter().filter(|done| matches!(done, Done::Probe(_))).count();
    assert_eq!(probes(&world), 0, "nobody has asked for anything");
    world.ask(READ);
    assert_eq!(probes(&world), 1, "a request waits: one member of its group, at once");
    world.pass(0.04);
    assert_eq!(probes(&world), 4, "it has not been answered: all members of its group");
}

/// A group that a router meets for the first time had all members checked for one request: 3,200 of 3,888 health checks of a
/// minute in a fleet of 3,200. Each case tells what the members that were checked so far have answered, and how many are checked
/// then, without any time passing.
#[rstest]
#[case::read(READ, &[], 1)]
#[case::read_that_met_a_replica(READ, &[Role::Replica], 1)]
#[case::write(WRITE, &[], 2)]
#[case::write_that_met_a_replica(WRITE, &[Role::Replica], 3)]
#[case::write_that_met_two(WRITE, &[Role::Replica; 2], 4)]
#[case::write_that_met_the_primary(WRITE, &[Role::Primary], 2)]
fn a_group_that_is_met_for_the_first_time_has_few_members_checked(
    #[case] workload: usize,
    #[case] roles: &[Role],
    #[case] expected: usize,
) {
    let mut world = World::new(RoutingConfig { routers: 300, ..terms(false) });
    let request = world.ask(workload);
    let checked = |world: &World| -> Vec<usize> {
        let endpoint = |done: &Done| if let Done::Probe(endpoint) = done { Some(*endpoint) } else { None };
        world.book.0.iter().filter_map(endpoint).collect()
    };
    for (index, role) in roles.iter().enumerate() {
        let endpoint = checked(&world)[index];
        world.report(endpoint, *role, 0.0);
    }
    assert_eq!(checked(&world).len(), expected);
    let is_served = match workload {
        READ => !roles.is_empty(),
        _ => roles.contains(&Role::Primary),
    };
    assert_eq!(world.sent_to(request).len(), usize::from(is_served));
}

/// A few members that hang, refuse or lag must not keep a request from the others: it has all of them checked while there is
/// time enough for an answer.
#[rstest]
#[case::hung(READ, 0.75, None, 0.04)]
#[case::hung_for_a_write(WRITE, 2.0, None, 0.04)]
#[case::refused(READ, 0.75, Some((AttemptOutcome::ConnectFailed, None)), 0.02)]
#[case::refused_for_a_write(WRITE, 2.0, Some((AttemptOutcome::ConnectFailed, None)), 0.02)]
#[case::too_far_behind(READ, 0.75, Some((AttemptOutcome::Completed, Some(9.0))), 0.04)]
#[case::little_time(READ, 0.1, None, 0.0)]
fn a_request_that_few_checks_do_not_help_has_all_members_checked(
    #[case] workload: usize,
    #[case] time_left: f64,
    #[case] answer: Option<(AttemptOutcome, Option<f64>)>,
    #[case] within: f64,
) {
    for seed in 0..20 {
        let mut world = World::new(RoutingConfig { routers: 300, seed, ..terms(false) });
        let request = world.ask_with(workload, time_left);
        let checked = (0..4).filter(|endpoint| world.count(Done::Probe(*endpoint)) > 0).collect::<Vec<_>>();
        if let Some((outcome, lag)) = answer {
            for endpoint in &checked {
                let report = match lag {
                    Some(lag) => LoadReport {
                        role: Some(Role::Replica),
                        lsn: Some(world.now - lag),
                        utilization: None,
                    },
                    None => LoadReport::default(),
                };
                world.router.on_health_check(world.now, *endpoint, outcome, report, &mut world.book);
            }
        }
        world.pass(within);
        assert!((0..4).all(|endpoint| world.count(Done::Probe(endpoint)) > 0), "seed {seed}");
        let other = (0..4).find(|endpoint| !checked.contains(endpoint)).unwrap_or(0);
        world.report(other, if workload == WRITE { Role::Primary } else { Role::Replica }, 0.0);
        assert_eq!(world.sent_to(request), [other], "seed {seed}");
    }
}

/// Each router has its own member checked first, so that all together ask each of a new group as often.
#[test]
fn the_first_checks_of_many_routers_are_spread_evenly() {
    let mut checks = [0; 4];
    for seed in 0..400 {
        let mut world = World::new(RoutingConfig { routers: 400, seed, ..terms(false) });
        world.ask(READ);
        (0..4).for_each(|endpoint| checks[endpoint] += world.count(Done::Probe(endpoint)));
    }
    // 100 each, give or take four standard deviations.
    assert!(checks.iter().all(|checks| (65..=135).contains(checks)), "{checks:?}");
}

/// A host that refuses at once was asked again with each refusal while a statement waited: 0.21 of G on a herd day.
#[rstest]
#[case::refused(AttemptOutcome::ConnectFailed)]
#[case::turned_away(AttemptOutcome::Refused)]
fn a_refused_probe_is_not_sent_again_at_once(#[case] outcome: AttemptOutcome) {
    let mut world = World::new(RoutingConfig { routers: 300, ..terms(true) });
    world.ask(READ);
    let probes = |world: &World| (0..4).map(|endpoint| world.count(Done::Probe(endpoint))).sum::<usize>();
    let asked = probes(&world);
    assert!(asked > 0);
    for _ in 0..20 {
        (0..4).for_each(|h| {
            world.router.on_health_check(world.now, h, outcome, LoadReport::default(), &mut world.book);
        });
    }
    assert_eq!(probes(&world), asked, "no time has passed");
}

/// Where the fleet divides what may be out at a host, a router goes by its part.
#[test]
fn a_part_of_the_fleet_s_budget_bounds_what_is_out() {
    let mut world = World::settled(true, [0.0; 3]);
    let part =
        |endpoint: usize, units: f64| EndpointQuota { endpoint, in_flight_quota: Some(units), tokens: None };
    let parts = |units: f64| FleetQuota {
        endpoints: (0..4).map(|endpoint| part(endpoint, units)).collect(),
        ..FleetQuota::default()
    };
    world.router.on_quota(world.now, &parts(1.0), &mut world.book);
    let asked: Vec<usize> = (0..9).map(|_| world.ask(READ)).collect();
    let out = asked.iter().filter(|request| !world.sent_to(**request).is_empty()).count();
    assert!((3..=4).contains(&out), "{out}");
    assert_eq!(world.router.waiting(0), 9 - out);
    world.router.on_quota(world.now, &parts(3.0), &mut world.book);
    assert!(world.router.waiting(0) < 9 - out, "what waits goes out once there is more");
}

/// Where the fleet has a budget for cold hosts, that goes before the lots: none is sent without a unit, and each unit is used.
#[test]
fn a_cold_host_gets_what_the_fleet_has_for_it() {
    let mut world = World::settled(true, [0.0; 3]);
    world.list(1, EndpointState::Ready, Some(world.now - 1.0));
    assert!(world.router.is_warming(world.now, 1) && !world.router.is_warming(world.now, 2));
    let hand_over = |world: &mut World, tokens: f64| {
        let endpoints = vec![EndpointQuota { endpoint: 1, in_flight_quota: None, tokens: Some(tokens) }];
        let parts = FleetQuota { endpoints, routers: Some(4), retries: None };
        world.router.on_quota(world.now, &parts, &mut world.book);
    };
    hand_over(&mut world, 0.0);
    for _ in 0..40 {
        let read = world.ask(READ);
        assert_ne!(world.sent_to(read).last(), Some(&1));
        end(&mut world, read, AttemptOutcome::Completed, 0.01);
    }
    hand_over(&mut world, 1.0);
    let read = world.ask(READ);
    assert_eq!(world.sent_to(read).last(), Some(&1));
}
