//! Max-min fair division of a total by demand.

use std::cmp::Reverse;

use crate::convert::to_usize;

/// The demand of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Units that the member could use.
    pub units: u64,
    /// Value of an increasing counter when the member last received a unit. Single remaining units go to the members with
    /// the lowest value first.
    pub last_served: u64,
}

/// Returns the share of each member. The shares are max-min fair: no member gets less than a member with a smaller
/// demand. The total is allocated completely if any demand is above zero; units beyond the sum of all demands are
/// distributed in proportion to the demands.
pub fn allocate(total: u64, demands: &[Demand]) -> Vec<u64> {
    let mut shares = vec![0; demands.len()];
    let by_demand = smallest_demand_first(demands);
    let by_waiting_time = longest_waiting_first(&by_demand, demands);
    let remaining = allocate_max_min(total, &by_demand, demands, &mut shares);
    let remaining = distribute_remainder(remaining, &by_waiting_time, demands, &mut shares);
    distribute_surplus(remaining, &by_waiting_time, &by_demand, demands, &mut shares);
    shares
}

/// Returns the indices of all members with a demand above zero, in ascending order of demand. Units left by rounding go
/// to the last ones, so among members with equal demand the one that has waited longest comes last.
fn smallest_demand_first(demands: &[Demand]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..demands.len()).filter(|index| demands[*index].units > 0).collect();
    order.sort_by_key(|index| (demands[*index].units, Reverse(demands[*index].last_served)));
    order
}

fn longest_waiting_first(order: &[usize], demands: &[Demand]) -> Vec<usize> {
    let mut by_waiting_time = order.to_vec();
    by_waiting_time.sort_by_key(|index| demands[*index].last_served);
    by_waiting_time
}

/// Allocates to each member at most an equal share of the remaining units and at most its demand. Returns the units that
/// remain.
fn allocate_max_min(total: u64, order: &[usize], demands: &[Demand], shares: &mut [u64]) -> u64 {
    let (mut remaining, mut members) = (total, order.len() as u64);
    for index in order {
        let share = demands[*index].units.min(remaining / members.max(1));
        shares[*index] = share;
        remaining -= share;
        members -= 1;
    }
    remaining
}

/// Distributes the units left by rounding, one each, to the members whose demand exceeds their share. Returns the units
/// that remain.
fn distribute_remainder(
    mut remaining: u64,
    by_waiting_time: &[usize],
    demands: &[Demand],
    shares: &mut [u64],
) -> u64 {
    for index in by_waiting_time {
        if remaining > 0 && shares[*index] < demands[*index].units {
            shares[*index] += 1;
            remaining -= 1;
        }
    }
    remaining
}

/// Distributes the units that exceed the sum of all demands, in proportion to the demands. Units left by rounding go to
/// the members that have waited longest.
fn distribute_surplus(
    mut remaining: u64,
    by_waiting_time: &[usize],
    by_demand: &[usize],
    demands: &[Demand],
    shares: &mut [u64],
) {
    let total_demand: u64 = by_demand.iter().map(|index| demands[*index].units).sum();
    if remaining == 0 || total_demand == 0 {
        return;
    }
    let surplus = remaining;
    for index in by_demand {
        let exact = u128::from(surplus) * u128::from(demands[*index].units) / u128::from(total_demand);
        let extra = u64::try_from(exact).unwrap_or(surplus);
        shares[*index] += extra;
        remaining -= extra;
    }
    for index in by_waiting_time.iter().cycle().take(to_usize(remaining)) {
        shares[*index] += 1;
    }
}
