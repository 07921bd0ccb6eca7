//! Members whose wall clock was stepped back between two starts: their incarnation is smaller than the one that their
//! peers know. They get their shares again within a lease, and no leases of two lives of one name add up.

// Not every helper of it is needed here.
#[allow(dead_code)]
mod simulation;

use std::time::Duration;

use ottersill_fleet::election::{Candidate, CandidateRequest, VoterReply};
use ottersill_fleet::node::{Event, FleetNode, MemberIdentity};
use ottersill_fleet::settings::incarnation;
use rstest::rstest;
use simulation::{Simulation, seed_count, storm};

/// Five members, of which three vote, with incarnations as of a clock that is right.
fn settled(floor: u64) -> Simulation {
    let mut simulation = Simulation::new(11, 5, 3, 60, floor);
    simulation.nodes.iter_mut().for_each(|node| node.appetite = 100.0);
    (0..5).for_each(|node| simulation.start_as(node, 1_000_000));
    simulation.run(13.0, |_| {});
    assert!(simulation.sum(0) >= 50, "{}", simulation.sum(0));
    simulation
}

fn share(simulation: &Simulation, node: usize) -> u64 {
    simulation.leased(node, 0).sum()
}

/// Guards against: peers that go by the largest incarnation of a name drop all that its next process says, for as long
/// as they run.
#[rstest]
#[case::a_voter(0, 500_000)]
#[case::no_voter(4, 500_000)]
#[case::a_clock_that_was_never_set(4, 1)]
#[case::a_clock_that_is_right(4, 2_000_000)]
fn a_member_started_again_after_its_clock_went_back_has_its_share_within_a_lease(
    #[case] node: usize,
    #[case] incarnation: u64,
) {
    let mut simulation = settled(1);
    simulation.kill(node);
    let until = simulation.time + 0.2;
    simulation.run(until, |_| {});
    simulation.start_as(node, incarnation);
    let lease = simulation.nodes[0].config.lease_seconds;
    simulation.run(until + lease + 1.0, |_| {});
    let refused: u64 =
        simulation.nodes.iter().filter_map(|n| n.fleet.as_ref()).map(|f| f.counters().outdated).sum();
    println!("{} units; {refused} datagrams refused as old", share(&simulation, node));
    assert!(
        share(&simulation, node) >= 5,
        "{} units; {refused} datagrams refused as old",
        share(&simulation, node)
    );
    assert!(simulation.violations.is_empty(), "{:?}", simulation.violations.first());
}

/// Guards against: routers that have seen a term of the voters' earlier lives take the new leader's for an older one, as
/// rounds of election begin anew, and get nothing until they are started again themselves.
#[rstest]
#[case::clocks_that_are_right(true, 0)]
#[case::clocks_that_went_back(false, 0)]
#[case::after_some_changes_of_leader(true, 2)]
#[case::after_some_changes_of_leader_and_clocks_went_back(false, 2)]
fn when_all_voters_start_again_the_others_have_their_shares_again(
    #[case] forward: bool,
    #[case] changes: u64,
) {
    let mut simulation = settled(0);
    for change in 0..changes {
        let leader = simulation.leader().expect("a leader");
        simulation.kill(leader);
        let until = simulation.time + 4.0;
        simulation.run(until, |_| {});
        simulation.start_as(leader, 1_000_001 + change);
        simulation.run(until + 3.0, |_| {});
    }
    (0..3).for_each(|voter| simulation.kill(voter));
    let until = simulation.time + 0.5;
    simulation.run(until, |_| {});
    (0..3).for_each(|voter| simulation.start_as(voter, if forward { 2_000_000 } else { 1_000 }));
    simulation.run(until + 8.0, |_| {});
    for router in 0..5 {
        assert!(share(&simulation, router) >= 5, "router {router} has {}", share(&simulation, router));
    }
    assert!(simulation.violations.is_empty(), "{:?}", simulation.violations.first());
}

/// Guards against: leases of two lives of one name that add up, and names that are shut out for good.
#[test]
fn no_schedule_of_faults_and_clock_steps_lets_the_sum_exceed_the_total_or_shuts_a_member_out() {
    for seed in 50_000..50_000 + seed_count(60) {
        let mut simulation = Simulation::new(seed, 5, 3, 40, 1);
        simulation.wall_clocks_step = true;
        let mut simulation = storm(simulation, 30.0);
        // Calm again: each has its share.
        simulation.cut.iter_mut().flatten().for_each(|cut| *cut = false);
        simulation.link_faults = simulation::LinkFaults { lost: 0.0, twice: 0.0, delay: 0.002 };
        for node in 0..5 {
            match simulation.nodes[node].fleet.is_some() {
                true => simulation.resume(node),
                false => simulation.start(node),
            }
            simulation.nodes[node].appetite = 60.0;
        }
        simulation.run(45.0, |_| {});
        simulation.assert_within_total(seed);
        let shares: Vec<u64> = (0..5).map(|node| share(&simulation, node)).collect();
        assert!(shares.iter().all(|share| *share >= 3), "seed {seed}: {shares:?}");
    }
}

/// Guards against: one incarnation for two processes, whose leases the leader would count as one's. A clock that is
/// stepped back shows the same time twice, and one before 1970 shows none.
#[test]
fn two_starts_at_one_reading_of_the_clock_are_two_processes() {
    let now = Duration::from_micros(1_764_672_000_123_456);
    assert_ne!(incarnation(Some(now), 1), incarnation(Some(now), 2));
    assert_ne!(incarnation(None, 1), incarnation(None, 2));
    // Where the clock is right, a later start has the larger one, from a tenth of a second on.
    let later = now + Duration::from_millis(100);
    assert!(incarnation(Some(now), u64::MAX) < incarnation(Some(later), 0));
}

/// One member and what it sends, by hand.
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

/// All that `from` sends to `to`, delivered.
fn deliver(now: f64, from: &mut FleetNode, to: &mut FleetNode) -> usize {
    from.tick(now);
    let mut outgoing = from.take_datagrams();
    outgoing.retain(|datagram| datagram.to == to.process().name);
    outgoing.iter().for_each(|datagram| to.handle_datagram(now, &datagram.bytes));
    outgoing.len()
}

fn raised(member: &mut FleetNode) -> usize {
    member.take_events().iter().filter(|event| matches!(event, Event::IncarnationRaised { .. })).count()
}

/// What `from` wants sent to `to` now, without a tick.
fn pending(from: &mut FleetNode, to: &FleetNode) -> Vec<Vec<u8>> {
    let to = &to.process().name;
    from.take_datagrams().into_iter().filter(|sent| sent.to == *to).map(|sent| sent.bytes).collect()
}

/// Guards against: two processes that learn of the same earlier one and take the same incarnation.
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

/// Guards against: two members of which each knows a later process of the other's name. Neither would hear the other's
/// answer, or both would answer answers for ever.
#[test]
fn members_that_each_know_a_later_process_of_the_other_learn_and_end_it() {
    let (mut earlier_one, mut earlier_other) = (member("r0", 5_000), member("r1", 5_000));
    let (mut one, mut other) = (member("r0", 4_000), member("r1", 4_000));
    // Datagrams of the earlier processes come late.
    deliver(0.0, &mut earlier_one, &mut other);
    deliver(0.0, &mut earlier_other, &mut one);
    // What they send to the earlier processes is lost.
    let _ = (one.take_datagrams(), other.take_datagrams());
    // Only one of them ticks, so all that the other sends is answers.
    for step in 0..20 {
        if one.process().incarnation > 5_000 {
            break;
        }
        deliver(0.1 * f64::from(step), &mut one, &mut other);
        for answer in pending(&mut other, &one) {
            one.handle_datagram(0.1 * f64::from(step), &answer);
            assert!(pending(&mut one, &other).is_empty(), "an answer to an answer");
        }
    }
    assert!(one.process().incarnation > 5_000);
    for step in 20..40 {
        deliver(0.1 * f64::from(step), &mut other, &mut one);
        deliver(0.1 * f64::from(step), &mut one, &mut other);
    }
    assert!(other.process().incarnation > 5_000);
}

/// Guards against: a process that has long been in use and shuts out the one that was started after it, which peers
/// would then hear in turns.
#[test]
fn a_process_that_has_run_for_long_stands_back_for_one_that_started_later() {
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
    assert!(leader.is_leader(time) && first.leader() == Some("r0"), "it was answered");
    time = 70.0;
    run(73.0, &mut time, &mut leader, &mut [&mut first]);
    // On a clock that is behind the first one's.
    let mut second = member_of("r9", 10, 1);
    run(76.0, &mut time, &mut leader, &mut [&mut first, &mut second]);
    assert!(second.process().incarnation > 2_000);
    assert_eq!(first.process().incarnation, 2_000);
    let stood_back = first.take_events().iter().filter(|e| matches!(e, Event::Superseded { .. })).count();
    assert_eq!(stood_back, 1, "and says so once");
}

/// Guards against: a leader that goes on in its term as another process, with an empty ledger.
#[test]
fn a_candidate_that_goes_on_as_another_process_is_not_leader() {
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
    let late = candidate.handle_reply(0.1, 2, ballot, VoterReply::Granted);
    assert_eq!((late, candidate.term(0.1)), (None, None), "a late reply to the earlier process");
    let again = candidate.tick(1.0, false);
    assert!(
        matches!(again, Some(CandidateRequest::Prepare(next)) if next > ballot && next.incarnation == 2_000)
    );
}

/// Guards against: grants of two ledgers in one term. The leader learns of a larger incarnation of its name from a voter
/// that was cut off, long after it was elected by others that knew of none.
#[test]
fn a_leader_that_learns_of_its_earlier_process_ends_its_term_and_all_have_their_shares_again() {
    let mut simulation = settled(0);
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
    let leader = simulation.leader().expect("a leader");
    let incarnation = |simulation: &Simulation| {
        let fleet = simulation.nodes[leader].fleet.as_ref().expect("a node");
        fleet.process().incarnation
    };
    assert_eq!(incarnation(&simulation), 1_000);
    assert!(share(&simulation, 4) >= 5);
    cut(&mut simulation, false);
    simulation.run(until + 16.0, |_| {});
    assert!(incarnation(&simulation) > 1_000_000);
    for router in 0..5 {
        assert!(share(&simulation, router) >= 5, "router {router} has {}", share(&simulation, router));
    }
    assert!(simulation.violations.is_empty(), "{:?}", simulation.violations.first());
}

/// Guards against: two processes of one name that go on outbidding each other, or a process that has run for long and
/// shuts out the one that followed it.
#[test]
fn of_two_processes_of_one_name_the_later_start_counts_and_neither_outbids_for_ever() {
    let (mut peer, mut first, mut second) = (member("r0", 5), member("r9", 2_000), member("r9", 1_000));
    // Ten seconds of both, started together: their duel ends.
    for step in 0..100 {
        let now = f64::from(step) * 0.1;
        for process in [&mut first, &mut second] {
            deliver(now, process, &mut peer);
            deliver(now, &mut peer, process);
        }
    }
    let duel = raised(&mut first) + raised(&mut second);
    assert!((1..=16).contains(&duel), "{duel} times");
    // A third is started two minutes later, on a clock that is behind; it has its way at once.
    let last = first.process().incarnation.max(second.process().incarnation);
    let mut third = member("r9", 10);
    for step in 0..20 {
        let now = 120.0 + f64::from(step) * 0.1;
        for process in [&mut first, &mut second, &mut third] {
            deliver(now, process, &mut peer);
            deliver(now, &mut peer, process);
        }
    }
    assert_eq!(raised(&mut third), 1);
    assert!(third.process().incarnation > last);
    let late = raised(&mut first) + raised(&mut second);
    assert_eq!(late, 0, "those that have run for long stand back");
}

/// Guards against: two members that each know a later process of the other's name, and answer each other's answers.
#[test]
fn two_members_that_both_went_back_do_not_answer_each_other_for_ever() {
    let (mut one, mut other) = (member("r0", 5_000), member("r1", 5_000));
    deliver(0.0, &mut one, &mut other);
    deliver(0.0, &mut other, &mut one);
    // Both are started anew with smaller incarnations, and hear each other's earlier lives' peers at once.
    let (mut late_one, mut late_other) = (member("r0", 4_000), member("r1", 4_000));
    let mut datagrams = 0;
    for _ in 0..50 {
        datagrams += deliver(0.0, &mut late_one, &mut other) + deliver(0.0, &mut late_other, &mut one);
        datagrams += deliver(0.0, &mut other, &mut late_one) + deliver(0.0, &mut one, &mut late_other);
    }
    assert!(datagrams < 60, "{datagrams} in an instant");
    assert_eq!((raised(&mut late_one), raised(&mut late_other)), (1, 1));
}
