//! Members whose wall clock was stepped back between two starts, so that their incarnation is smaller than the one that
//! their peers know. They get their shares again within a lease, and the leases of two processes of one name never add
//! up.

// Not all of its helpers are used here.
#[allow(dead_code)]
mod simulation;

use std::time::Duration;

use ottersill_fleet::election::{Candidate, CandidateRequest, VoterReply};
use ottersill_fleet::node::{Event, FleetNode, MemberIdentity};
use ottersill_fleet::settings::incarnation;
use rstest::rstest;
use simulation::{Simulation, run_with_random_faults, seed_count};

/// Runs five members, three of which vote, until their leases have settled. Their incarnations are those of a correct
/// wall clock.
fn settled_simulation(floor: u64) -> Simulation {
    let mut simulation = Simulation::new(11, 5, 3, 60, floor);
    simulation.nodes.iter_mut().for_each(|node| node.offered_rate = 100.0);
    (0..5).for_each(|node| simulation.start_as(node, 1_000_000));
    simulation.run(13.0, |_| {});
    assert!(simulation.sum_over_members(0) >= 50, "{}", simulation.sum_over_members(0));
    simulation
}

fn leased_units(simulation: &Simulation, node: usize) -> u64 {
    simulation.leased(node, 0).sum()
}

/// Guards against peers that accept only the largest incarnation of a name, and drop all messages of its next process
/// for as long as they run.
#[rstest]
#[case::voter(0, 500_000)]
#[case::non_voter(4, 500_000)]
#[case::clock_never_set(4, 1)]
#[case::correct_clock(4, 2_000_000)]
fn a_member_restarted_after_its_clock_was_stepped_back_has_its_share_within_a_lease_and_a_second(
    #[case] node: usize,
    #[case] incarnation: u64,
) {
    let mut simulation = settled_simulation(1);
    simulation.kill(node);
    let until = simulation.time + 0.2;
    simulation.run(until, |_| {});
    simulation.start_as(node, incarnation);
    let lease = simulation.nodes[0].config.lease_seconds;
    simulation.run(until + lease + 1.0, |_| {});
    let outdated: u64 =
        simulation.nodes.iter().filter_map(|n| n.fleet.as_ref()).map(|f| f.counters().outdated).sum();
    println!("{} units; {outdated} datagrams rejected as outdated", leased_units(&simulation, node));
    assert!(
        leased_units(&simulation, node) >= 5,
        "{} units; {outdated} datagrams rejected as outdated",
        leased_units(&simulation, node)
    );
    assert!(simulation.violations.is_empty(), "{:?}", simulation.violations.first());
}

/// Guards against routers that treat the new leader's term as older than a term they have seen before the voters were
/// restarted, because the rounds of the election start again. They would get no units until they are restarted, too.
#[rstest]
#[case::correct_clocks(true, 0)]
#[case::clocks_stepped_back(false, 0)]
#[case::leader_changes(true, 2)]
#[case::leader_changes_and_clocks_stepped_back(false, 2)]
fn after_a_restart_of_all_voters_every_member_has_its_share_again(
    #[case] clocks_correct: bool,
    #[case] leader_changes: u64,
) {
    let mut simulation = settled_simulation(0);
    for change in 0..leader_changes {
        let leader = simulation.leader().expect("no member is leader");
        simulation.kill(leader);
        let until = simulation.time + 4.0;
        simulation.run(until, |_| {});
        simulation.start_as(leader, 1_000_001 + change);
        simulation.run(until + 3.0, |_| {});
    }
    (0..3).for_each(|voter| simulation.kill(voter));
    let until = simulation.time + 0.5;
    simulation.run(until, |_| {});
    (0..3).for_each(|voter| simulation.start_as(voter, if clocks_correct { 2_000_000 } else { 1_000 }));
    simulation.run(until + 8.0, |_| {});
    for router in 0..5 {
        assert!(
            leased_units(&simulation, router) >= 5,
            "router {router} has {}",
            leased_units(&simulation, router)
        );
    }
    assert!(simulation.violations.is_empty(), "{:?}", simulation.violations.first());
}

/// Guards against leases of two processes of one name that add up, and against names that never get units again.
#[test]
fn no_schedule_of_faults_and_clock_steps_exceeds_the_total_or_excludes_a_member() {
    for seed in 50_000..50_000 + seed_count(60) {
        let mut simulation = Simulation::new(seed, 5, 3, 40, 1);
        simulation.random_incarnations = true;
        let mut simulation = run_with_random_faults(simulation, 30.0);
        // Without further faults, every member gets its share.
        simulation.cut.iter_mut().flatten().for_each(|cut| *cut = false);
        simulation.link_faults = simulation::LinkFaults {
            loss_probability: 0.0,
            duplicate_probability: 0.0,
            delay_seconds: 0.002,
            ..simulation::LinkFaults::default()
        };
        for node in 0..5 {
            match simulation.nodes[node].fleet.is_some() {
                true => simulation.resume(node),
                false => simulation.start(node),
            }
            simulation.nodes[node].offered_rate = 60.0;
        }
        simulation.run(45.0, |_| {});
        simulation.assert_within_total(seed);
        let shares: Vec<u64> = (0..5).map(|node| leased_units(&simulation, node)).collect();
        assert!(shares.iter().all(|share| *share >= 3), "seed {seed}: {shares:?}");
    }
}

/// Guards against two processes with the same incarnation, whose leases the leader would count as those of one process.
/// A clock that is stepped back shows the same time twice, and a clock before 1970 gives no time.
#[test]
fn two_starts_at_the_same_wall_clock_time_get_different_incarnations() {
    let now = Duration::from_micros(1_764_672_000_123_456);
    assert_ne!(incarnation(Some(now), 1), incarnation(Some(now), 2));
    assert_ne!(incarnation(None, 1), incarnation(None, 2));
    // If the clock is correct, a process that starts at least 100 ms later has the larger incarnation.
    let later = now + Duration::from_millis(100);
    assert!(incarnation(Some(now), u64::MAX) < incarnation(Some(later), 0));
}

/// Starts a member of a fleet with three voters, whose datagrams the test delivers itself.
fn member(name: &str, incarnation: u64) -> FleetNode {
    member_of(name, incarnation, 3)
}

fn member_of(name: &str, incarnation: u64, voters: usize) -> FleetNode {
    let config = simulation::config(name, voters, 30, 1, 6);
    let seeds = simulation::voter_peers(voters);
    let identity = MemberIdentity {
        incarnation,
        address: simulation::address(9),
        seeds,
        secret: b"ours",
        seed: incarnation,
    };
    FleetNode::start(0.0, config, identity)
}

/// Ticks `from` and delivers all datagrams that it sends to `to`. Returns their number.
fn deliver(now: f64, from: &mut FleetNode, to: &mut FleetNode) -> usize {
    from.tick(now);
    let mut outgoing = from.take_datagrams();
    outgoing.retain(|datagram| datagram.to == to.process().name);
    outgoing.iter().for_each(|datagram| to.handle_datagram(now, &datagram.bytes));
    outgoing.len()
}

/// Returns how many times `member` has raised its incarnation since its events were last taken.
fn raise_count(member: &mut FleetNode) -> usize {
    member.take_events().iter().filter(|event| matches!(event, Event::IncarnationRaised { .. })).count()
}

/// Takes the datagrams that `from` sends to `to`, without a tick.
fn pending_datagrams(from: &mut FleetNode, to: &FleetNode) -> Vec<Vec<u8>> {
    let to = &to.process().name;
    from.take_datagrams().into_iter().filter(|sent| sent.to == *to).map(|sent| sent.bytes).collect()
}

/// Guards against two processes that learn of the same earlier process and take the same incarnation.
#[test]
fn two_processes_that_learn_of_the_same_earlier_one_take_different_incarnations() {
    let raised_to = |incarnation: u64| {
        let (mut peer, mut earlier, mut later) =
            (member("r0", 5), member("r9", 2_000), member("r9", incarnation));
        deliver(0.0, &mut earlier, &mut peer);
        deliver(0.0, &mut later, &mut peer);
        deliver(0.0, &mut peer, &mut later);
        later.process().incarnation
    };
    let (one, other) = (raised_to(1_000), raised_to(1_001));
    assert!(one > 2_000 && other > 2_000 && one != other, "{one} and {other}");
}

/// Two members each know a later process of the other's name. Guards against both ignoring the other's answer, and
/// against both answering each other's answers endlessly.
#[test]
fn members_that_each_know_a_later_process_of_the_other_both_raise_their_incarnation() {
    let (mut earlier_one, mut earlier_other) = (member("r0", 5_000), member("r1", 5_000));
    let (mut one, mut other) = (member("r0", 4_000), member("r1", 4_000));
    // Delayed datagrams of the earlier processes arrive.
    deliver(0.0, &mut earlier_one, &mut other);
    deliver(0.0, &mut earlier_other, &mut one);
    // The datagrams to the earlier processes are lost.
    let _ = (one.take_datagrams(), other.take_datagrams());
    // Only one of them ticks, so the other sends only answers.
    for step in 0..20 {
        if one.process().incarnation > 5_000 {
            break;
        }
        deliver(0.1 * f64::from(step), &mut one, &mut other);
        for answer in pending_datagrams(&mut other, &one) {
            one.handle_datagram(0.1 * f64::from(step), &answer);
            assert!(pending_datagrams(&mut one, &other).is_empty(), "an answer was answered");
        }
    }
    assert!(one.process().incarnation > 5_000);
    for step in 20..40 {
        deliver(0.1 * f64::from(step), &mut other, &mut one);
        deliver(0.1 * f64::from(step), &mut one, &mut other);
    }
    assert!(other.process().incarnation > 5_000);
}

/// Guards against a process that has been in use for a long time and takes precedence over one that started later.
/// Peers would then accept the two alternately.
#[test]
fn a_long_running_process_is_superseded_by_one_that_started_later() {
    let mut leader = member_of("r0", 5, 1);
    let mut first = member_of("r9", 2_000, 1);
    let mut time = 0.0;
    let run = |until: f64, time: &mut f64, leader: &mut FleetNode, others: &mut [&mut FleetNode]| {
        while *time < until {
            for other in others.iter_mut() {
                deliver(*time, other, leader);
                deliver(*time, leader, other);
            }
            *time += 0.05;
        }
    };
    run(3.0, &mut time, &mut leader, &mut [&mut first]);
    assert!(
        leader.is_leader(time) && first.leader() == Some("r0"),
        "the first process got no answer from a leader"
    );
    time = 70.0;
    run(73.0, &mut time, &mut leader, &mut [&mut first]);
    // The clock of the second process is behind that of the first.
    let mut second = member_of("r9", 10, 1);
    run(76.0, &mut time, &mut leader, &mut [&mut first, &mut second]);
    assert!(second.process().incarnation > 2_000);
    assert_eq!(first.process().incarnation, 2_000);
    let supersessions = first.take_events().iter().filter(|e| matches!(e, Event::Superseded { .. })).count();
    assert_eq!(supersessions, 1, "it is reported once");
}

/// Guards against a leader that takes another incarnation and continues its term with an empty ledger.
#[test]
fn a_candidate_restarted_with_another_incarnation_is_not_leader() {
    let mut candidate = Candidate::start(0.0, 0, 1_000, 3, 1.0, 0.0);
    let Some(CandidateRequest::Prepare(ballot)) = candidate.tick(0.0, false) else { panic!("no ballot") };
    let promise = VoterReply::Promised { held: false };
    assert_eq!(candidate.handle_reply(0.0, 0, ballot, promise), None);
    assert_eq!(candidate.handle_reply(0.0, 1, ballot, promise), Some(CandidateRequest::Accept(ballot)));
    for voter in 0..2 {
        assert_eq!(candidate.handle_reply(0.0, voter, ballot, VoterReply::Granted), None);
    }
    assert_eq!(candidate.term(0.1), Some(ballot));
    candidate.restart_as(2_000);
    assert_eq!(candidate.term(0.1), None);
    let request = candidate.handle_reply(0.1, 2, ballot, VoterReply::Granted);
    assert_eq!(
        (request, candidate.term(0.1)),
        (None, None),
        "a delayed reply to the earlier process is used"
    );
    let next_request = candidate.tick(1.0, false);
    assert!(
        matches!(next_request, Some(CandidateRequest::Prepare(next)) if next > ballot && next.incarnation == 2_000)
    );
}

/// Guards against grants of two ledgers in one term. A partitioned voter knows a larger incarnation of the leader's
/// name, and the leader learns of it from this voter long after its election by others that did not know it.
#[test]
fn a_leader_that_learns_of_its_earlier_process_ends_its_term_and_all_members_have_their_shares_again() {
    let mut simulation = settled_simulation(0);
    let cut = |simulation: &mut Simulation, cut: bool| {
        for other in [0, 1, 3, 4] {
            (simulation.cut[2][other], simulation.cut[other][2]) = (cut, cut);
        }
    };
    cut(&mut simulation, true);
    [0, 1, 3, 4].into_iter().for_each(|node| simulation.kill(node));
    let until = simulation.time + 1.0;
    simulation.run(until, |_| {});
    [0, 1].into_iter().for_each(|node| simulation.start_as(node, 1_000));
    [3, 4].into_iter().for_each(|node| simulation.start_as(node, 2_000_000));
    simulation.run(until + 8.0, |_| {});
    let leader = simulation.leader().expect("no member is leader");
    let incarnation = |simulation: &Simulation| {
        let fleet = simulation.nodes[leader].fleet.as_ref().expect("leader is not running");
        fleet.process().incarnation
    };
    assert_eq!(incarnation(&simulation), 1_000);
    assert!(leased_units(&simulation, 4) >= 5);
    cut(&mut simulation, false);
    simulation.run(until + 16.0, |_| {});
    assert!(incarnation(&simulation) > 1_000_000);
    for router in 0..5 {
        assert!(
            leased_units(&simulation, router) >= 5,
            "router {router} has {}",
            leased_units(&simulation, router)
        );
    }
    assert!(simulation.violations.is_empty(), "{:?}", simulation.violations.first());
}

/// Guards against two processes of one name that raise their incarnations endlessly, and against a process that has run
/// for a long time and takes precedence over one that started later.
#[test]
fn of_two_processes_of_one_name_the_later_start_prevails_and_raises_are_bounded() {
    let (mut peer, mut first, mut second) = (member("r0", 5), member("r9", 2_000), member("r9", 1_000));
    // Two processes that started together run for ten seconds, in which they stop raising their incarnations.
    for step in 0..100 {
        let now = f64::from(step) * 0.1;
        for process in [&mut first, &mut second] {
            deliver(now, process, &mut peer);
            deliver(now, &mut peer, process);
        }
    }
    let raises = raise_count(&mut first) + raise_count(&mut second);
    assert!((1..=16).contains(&raises), "{raises} raises");
    // A third process starts two minutes later with a clock that is behind. It takes precedence after one raise.
    let largest = first.process().incarnation.max(second.process().incarnation);
    let mut third = member("r9", 10);
    for step in 0..20 {
        let now = 120.0 + f64::from(step) * 0.1;
        for process in [&mut first, &mut second, &mut third] {
            deliver(now, process, &mut peer);
            deliver(now, &mut peer, process);
        }
    }
    assert_eq!(raise_count(&mut third), 1);
    assert!(third.process().incarnation > largest);
    let raises = raise_count(&mut first) + raise_count(&mut second);
    assert_eq!(raises, 0, "a long-running process raised its incarnation");
}

/// Guards against two members that each know a later process of the other's name and answer each other's answers
/// endlessly.
#[test]
fn two_members_with_smaller_incarnations_do_not_answer_each_other_endlessly() {
    let (mut one, mut other) = (member("r0", 5_000), member("r1", 5_000));
    deliver(0.0, &mut one, &mut other);
    deliver(0.0, &mut other, &mut one);
    // Both are restarted with smaller incarnations. Each exchanges datagrams with the other's earlier process, which
    // knows its larger incarnation.
    let (mut restarted_one, mut restarted_other) = (member("r0", 4_000), member("r1", 4_000));
    let mut datagrams = 0;
    for _ in 0..50 {
        datagrams +=
            deliver(0.0, &mut restarted_one, &mut other) + deliver(0.0, &mut restarted_other, &mut one);
        datagrams +=
            deliver(0.0, &mut other, &mut restarted_one) + deliver(0.0, &mut one, &mut restarted_other);
    }
    assert!(datagrams < 60, "{datagrams} datagrams without time passing");
    assert_eq!((raise_count(&mut restarted_one), raise_count(&mut restarted_other)), (1, 1));
}
