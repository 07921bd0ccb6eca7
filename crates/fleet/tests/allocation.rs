//! Properties of [`allocate`] for random totals and demands.

use ottersill_fleet::allocation::{Demand, allocate};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn shares_are_fair_and_sum_to_the_total_while_there_is_demand(
        total in 0u64..500,
        units in prop::collection::vec(0u64..300, 1..40),
        served_offset in 0u64..40,
    ) {
        let demands: Vec<Demand> = units
            .iter()
            .enumerate()
            .map(|(index, units)| Demand { units: *units, last_served: (index as u64 + served_offset) % 40 })
            .collect();
        let shares = allocate(total, &demands);
        let allocated: u64 = shares.iter().sum();
        prop_assert!(allocated <= total);
        let total_demand: u64 = units.iter().sum();
        // The total is allocated completely if any member has demand.
        prop_assert_eq!(allocated, if total_demand > 0 { total } else { 0 });
        for (share, demand) in shares.iter().zip(&units) {
            // A member gets less than its demand only if no other member gets over one unit more than it.
            if share < demand {
                prop_assert!(
                    shares.iter().all(|other| *other <= share + 1),
                    "shares {:?}, demands {:?}",
                    shares,
                    units
                );
            }
            prop_assert!(*demand > 0 || *share == 0);
        }
    }

    #[test]
    fn a_total_smaller_than_the_member_count_is_rotated_among_the_members(
        total in 1u64..5,
        members in 6usize..20,
    ) {
        let mut last_served = vec![0u64; members];
        let (mut received, mut grant_count) = (vec![0u64; members], 0);
        for _ in 0..members * 4 {
            let demands: Vec<Demand> =
                last_served.iter().map(|last| Demand { units: 3, last_served: *last }).collect();
            let shares = allocate(total, &demands);
            prop_assert_eq!(shares.iter().sum::<u64>(), total);
            let mut served_now: Vec<usize> = (0..members).filter(|index| shares[*index] > 0).collect();
            served_now.sort_by_key(|index| last_served[*index]);
            for index in served_now {
                // Each grant gets its own serial number, as at the leader.
                grant_count += 1;
                (last_served[index], received[index]) = (grant_count, received[index] + shares[index]);
            }
        }
        let (least, most) = (received.iter().min(), received.iter().max());
        prop_assert!(
            least >= Some(&1) && most.zip(least).is_some_and(|(most, least)| most - least <= 2),
            "{:?}",
            received
        );
    }
}
