//! The sum over all members stays within the total, whatever fails; and what is there is used.

mod simulation;

use ottersill_fleet::node::FleetNode;
use ottersill_fleet::quota_ledger::Pools;
use ottersill_fleet::settings::BudgetTotal;
use rstest::rstest;
use simulation::{Simulation, seed_count, storm};

#[rstest]
#[case::five_of_three_voters(5, 3, 40, 1, 10_000)]
#[case::all_vote(3, 3, 12, 1, 20_000)]
#[case::total_smaller_than_the_fleet(6, 3, 4, 0, 30_000)]
fn no_schedule_of_faults_lets_the_sum_exceed_the_total(
    #[case] nodes: usize,
    #[case] voters: usize,
    #[case] total: u64,
    #[case] floor: u64,
    #[case] first: u64,
) {
    let (mut highest, mut spent, mut elections) = (0.0f64, 0.0f64, 0);
    for seed in first..first + seed_count(60) {
        let simulation = storm(Simulation::new(seed, nodes, voters, total, floor), 30.0);
        let most = simulation.assert_within_total(seed);
        (highest, spent) = (highest.max(simulation.highest), spent.max(most));
        elections += simulation
            .nodes
            .iter()
            .filter_map(|n| n.fleet.as_ref())
            .map(|f| f.counters().elections)
            .sum::<u64>();
    }
    println!(
        "{nodes} members: highest sum {highest:.3} of the total, spent {spent:.3}, {elections} elections"
    );
    // The faults are no reason to divide nothing.
    assert!(highest > 0.7 && elections > 0);
}

#[test]
fn a_clock_beyond_the_bound_is_found_by_the_sum() {
    let mut simulation = calm(4, 3, 30, 0);
    simulation.nodes.iter_mut().for_each(|node| node.appetite = 100.0);
    simulation.run(13.0, |_| {});
    assert!(simulation.violations.is_empty());
    // Half as fast as it should be: it goes on spending what others have by then.
    simulation.slow_down(3, 0.5);
    for other in 0..3 {
        (simulation.cut[3][other], simulation.cut[other][3]) = (true, true);
    }
    simulation.run(18.0, |_| {});
    assert!(!simulation.violations.is_empty(), "a planted fault that nobody finds");
}

#[rstest]
#[case::three(3)]
#[case::thirty(30)]
#[case::three_hundred(300)]
fn many_members_go_by_the_total_and_use_it(#[case] count: usize) {
    many(count);
}

/// As many as `OTTERSILL_MEMBERS` says, for figures.
#[test]
fn as_many_as_asked_for() {
    let count = std::env::var("OTTERSILL_MEMBERS").ok().and_then(|text| text.parse().ok());
    many(count.unwrap_or(12));
}

fn many(count: usize) {
    let total = 10 * count as u64;
    let mut simulation = calm(count, 5.min(count | 1), total, 1);
    simulation.nodes.iter_mut().for_each(|node| node.appetite = 20.0);
    simulation.run(14.0, |_| {});
    let sum = simulation.sum(0);
    let sent = |simulation: &Simulation| -> Vec<(u64, u64)> {
        let counters =
            simulation.nodes.iter().filter_map(|node| node.fleet.as_ref()).map(FleetNode::counters);
        counters.map(|counters| (counters.sent, counters.sent_bytes)).collect()
    };
    let before = sent(&simulation);
    simulation.run(18.0, |_| {});
    let mut each: Vec<(u64, u64)> = sent(&simulation)
        .iter()
        .zip(before)
        .map(|(now, then)| ((now.0 - then.0) / 4, (now.1 - then.1) / 4))
        .collect();
    each.sort_by_key(|(_, bytes)| *bytes);
    let (usual, most) = (each[count / 2], each[count - 1]);
    assert!(sum >= total * 88 / 100, "{sum} of {total}, of which a tenth is set aside for those to come");
    // No voter: the loss of a leader has a test of its own.
    (5..count).step_by(3).for_each(|dead| simulation.kill(dead));
    simulation.run(22.0, |_| {});
    let after = simulation.sum(0);
    println!(
        "{count}: {sum}, then {after} of {total}; datagrams and bytes a second of a member {usual:?}, the leader {most:?}"
    );
    assert!(after >= total * 80 / 100, "{after} of {total}");
    assert!(simulation.violations.is_empty(), "{:?}", simulation.violations.first());
}

fn calm(nodes: usize, voters: usize, total: u64, floor: u64) -> Simulation {
    let mut simulation = Simulation::new(7, nodes, voters, total, floor);
    simulation.nodes.iter_mut().for_each(|node| node.appetite = 0.0);
    simulation.start_all();
    // Floors settle first.
    simulation.run(10.0, |_| {});
    simulation
}

#[test]
fn shares_follow_the_traffic_and_each_keeps_its_floor() {
    let mut simulation = calm(5, 3, 100, 1);
    simulation.nodes[1].appetite = 400.0;
    simulation.run(12.0, |_| {});
    let leased = simulation.leased(1, 0);
    assert!(leased.demand >= 85 && leased.floor == 1, "{leased:?}");
    simulation.nodes[1].appetite = 0.0;
    simulation.nodes[4].appetite = 400.0;
    simulation.run(14.0, |_| {});
    let leased = simulation.leased(4, 0);
    assert!(leased.demand >= 85 && leased.floor == 1, "two seconds after the shift {leased:?}");
    assert_eq!(simulation.leased(2, 0).floor, 1);
    assert!(simulation.violations.is_empty());
}

#[test]
fn a_member_that_is_cut_off_goes_on_within_its_floor_and_then_not_at_all() {
    let mut simulation = calm(5, 3, 100, 2);
    simulation.nodes[4].appetite = 100.0;
    simulation.run(12.0, |_| {});
    for other in 0..4 {
        (simulation.cut[4][other], simulation.cut[other][4]) = (true, true);
    }
    simulation.run(15.0, |_| {});
    assert_eq!(simulation.leased(4, 0), Pools { demand: 0, floor: 2 });
    simulation.run(19.0, |_| {});
    assert_eq!(simulation.leased(4, 0), Pools::default(), "floors are leases, too");
    assert!(simulation.violations.is_empty());
}

#[test]
fn what_the_dead_had_is_in_use_again_within_a_lease_and_a_second() {
    let mut simulation = calm(6, 3, 90, 0);
    simulation.nodes.iter_mut().for_each(|node| node.appetite = 400.0);
    simulation.run(13.0, |_| {});
    assert!(simulation.sum(0) >= 88, "{}", simulation.sum(0));
    [3, 5].into_iter().for_each(|dead| simulation.kill(dead));
    let lease = simulation.nodes[0].config.lease_seconds;
    simulation.run(13.0 + lease + 1.0, |_| {});
    assert!(simulation.sum(0) >= 88, "{}", simulation.sum(0));
    assert!(simulation.violations.is_empty());
}

#[test]
fn a_new_leader_goes_on_with_what_is_held() {
    let mut simulation = calm(5, 3, 60, 0);
    simulation.nodes.iter_mut().for_each(|node| node.appetite = 100.0);
    simulation.run(13.0, |_| {});
    simulation.kill(simulation.leader().expect("a leader"));
    let mut least = u64::MAX;
    simulation.run(17.0, |simulation| least = least.min(simulation.sum(0)));
    // The dead one's share is missing for a lease, nobody else's.
    assert!(least >= 40, "{least} of 60");
    assert!(simulation.violations.is_empty());
}

#[test]
fn a_total_that_shrinks_at_one_member_is_in_force_within_a_lease() {
    let mut simulation = calm(5, 3, 60, 0);
    simulation.nodes.iter_mut().for_each(|node| node.appetite = 100.0);
    simulation.run(13.0, |_| {});
    let (now, id) = (simulation.clock(4), simulation.nodes[4].config.budgets[0].id);
    simulation.nodes[4].fleet.as_mut().expect("a fleet").set_totals(now, &[BudgetTotal { id, total: 20 }]);
    simulation.run(13.0 + 2.0 + 0.3, |_| {});
    assert!(simulation.sum(0) <= 20, "{}", simulation.sum(0));
    let mut highest = 0;
    simulation.run(20.0, |simulation| highest = highest.max(simulation.sum(0)));
    assert!((15..=20).contains(&highest), "{highest}");
}

#[test]
fn one_by_one_started_again_under_load_nothing_is_lost_for_long() {
    let mut simulation = calm(5, 3, 50, 0);
    simulation.nodes.iter_mut().for_each(|node| node.appetite = 100.0);
    simulation.run(13.0, |_| {});
    for node in 0..5 {
        simulation.leave(node);
        let until = simulation.time + 0.5;
        simulation.run(until, |_| {});
        simulation.start(node);
        simulation.run(until + 3.0, |_| {});
        assert!(simulation.sum(0) >= 35, "after {node}: {}", simulation.sum(0));
    }
    assert!(simulation.violations.is_empty());
}

#[test]
fn foreign_corrupted_and_old_datagrams_change_nothing() {
    use ottersill_fleet::node::{FleetNode, MemberIdentity};
    let start = |name: &str, incarnation: u64, secret: &'static [u8]| {
        let config = simulation::config(name, 3, 30, 1, 6);
        let seeds = simulation::voter_peers(3);
        let address = simulation::address(9);
        FleetNode::start(0.0, config, MemberIdentity { incarnation, address, seeds, secret, seed: 5 })
    };
    let mut me = start("r0", 4, b"ours");
    let sent = |from: &mut FleetNode| {
        from.tick(0.0);
        let all = from.take_datagrams().into_iter();
        all.filter(|datagram| datagram.to == "r0").map(|datagram| datagram.bytes).next().expect("a datagram")
    };
    let foreign = sent(&mut start("r1", 9, b"theirs"));
    me.handle_datagram(0.0, &foreign);
    assert_eq!((me.counters().unauthenticated, me.counters().outdated), (1, 0));
    let ours = sent(&mut start("r1", 9, b"ours"));
    me.handle_datagram(0.0, &ours);
    me.handle_datagram(0.0, &ours);
    assert_eq!((me.counters().unauthenticated, me.counters().outdated), (1, 1));
    for at in 0..ours.len() {
        let mut corrupted = ours.clone();
        corrupted[at] ^= 1;
        me.handle_datagram(0.0, &corrupted);
        me.handle_datagram(0.0, &ours[..at]);
    }
    assert_eq!(me.counters().unauthenticated as usize, 1 + 2 * ours.len());
    let earlier = sent(&mut start("r1", 8, b"ours"));
    me.handle_datagram(0.0, &earlier);
    assert_eq!(me.counters().outdated, 2);
    let namesake = sent(&mut start("r0x", 8, b"ours"));
    me.handle_datagram(0.0, &namesake);
    assert_eq!(me.counters().outdated, 2);
}

/// One of five has 80% of the traffic, then another: how much of the total can be spent where it is asked for.
#[test]
fn what_is_there_is_where_it_is_asked_for_within_two_seconds_of_a_shift() {
    const TOTAL: u64 = 200;
    let mut simulation = calm(5, 3, TOTAL, 0);
    // As much as there is, in all.
    let demand = |busy: usize, node: usize| TOTAL as f64 * if node == busy { 0.8 } else { 0.05 };
    let useful = |simulation: &Simulation, busy: usize| -> f64 {
        let of = |node: usize| simulation.leased(node, 0).sum() as f64;
        (0..5).map(|node| of(node).min(demand(busy, node))).sum::<f64>() / TOTAL as f64
    };
    let fixed: f64 = (0..5).map(|node| (TOTAL as f64 / 5.0).min(demand(1, node))).sum::<f64>() / TOTAL as f64;
    (0..5).for_each(|node| simulation.nodes[node].appetite = demand(1, node));
    simulation.run(14.0, |_| {});
    let settled = useful(&simulation, 1);
    (0..5).for_each(|node| simulation.nodes[node].appetite = demand(4, node));
    let mut after = Vec::new();
    for step in 1..=4 {
        simulation.run(14.0 + 0.5 * f64::from(step), |_| {});
        after.push((useful(&simulation, 4) * 100.0).round() / 100.0);
    }
    println!("static {fixed:.2}, settled {settled:.2}, by half seconds after a shift {after:?}, ideal 1.00");
    assert!(fixed < 0.45 && settled >= 0.95 && after[3] >= 0.95, "{settled} {after:?}");
    assert!(simulation.violations.is_empty());
}
