//! What an allocation promises, for any total and any demands.

use ottersill_fleet::allocation::{Demand, allocate};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn shares_add_up_and_none_is_wasted_while_somebody_asks(
        total in 0u64..500,
        demands in prop::collection::vec(0u64..300, 1..40),
        first in 0u64..40,
    ) {
        let asked: Vec<Demand> = demands
            .iter()
            .enumerate()
            .map(|(index, units)| Demand { units: *units, last_served: (index as u64 + first) % 40 })
            .collect();
        let shares = allocate(total, &asked);
        let sum: u64 = shares.iter().sum();
        prop_assert!(sum <= total);
        let wanted: u64 = demands.iter().sum();
        // All of it goes out as soon as anybody asks for anything.
        prop_assert_eq!(sum, if wanted > 0 { total } else { 0 });
        for (share, demand) in shares.iter().zip(&demands) {
            // Nobody is short of what it asks for while another has more than one unit beyond its share.
            if share < demand {
                prop_assert!(shares.iter().all(|other| *other <= share + 1), "{:?} of {:?}", shares, demands);
            }
            prop_assert!(*demand > 0 || *share == 0);
        }
    }

    #[test]
    fn a_total_smaller_than_the_fleet_goes_round(total in 1u64..5, members in 6usize..20) {
        let mut turns = vec![0u64; members];
        let (mut served, mut grants) = (vec![0u64; members], 0);
        for _ in 0..members * 4 {
            let asked: Vec<Demand> = turns.iter().map(|turn| Demand { units: 3, last_served: *turn }).collect();
            let shares = allocate(total, &asked);
            prop_assert_eq!(shares.iter().sum::<u64>(), total);
            let mut got: Vec<usize> = (0..members).filter(|index| shares[*index] > 0).collect();
            got.sort_by_key(|index| turns[*index]);
            for index in got {
                // As at the leader, each grant has a number of its own.
                grants += 1;
                (turns[index], served[index]) = (grants, served[index] + shares[index]);
            }
        }
        let (least, most) = (served.iter().min(), served.iter().max());
        prop_assert!(least >= Some(&1) && most.zip(least).is_some_and(|(most, least)| most - least <= 2), "{:?}", served);
    }
}
