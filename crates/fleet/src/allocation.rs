//! How a total is divided by demand.

use std::cmp::Reverse;

use crate::convert::to_usize;

/// What one member asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Units that it could use.
    pub units: u64,
    /// When it last got a unit, by a counter that only grows. Single units go first to the member with the lowest.
    pub last_served: u64,
}

/// The share of each member: max-min fair, so that nobody gets less than a member that asks for less, and all of the
/// total is given out as long as anybody asks for anything. What is left beyond all demands is spread in proportion to
/// them.
pub fn allocate(total: u64, demands: &[Demand]) -> Vec<u64> {
    let mut shares = vec![0; demands.len()];
    let by_demand = smallest_demand_first(demands);
    let by_turn = longest_waiting_first(&by_demand, demands);
    let left = fill_equally(total, &by_demand, demands, &mut shares);
    let left = top_up(left, &by_turn, demands, &mut shares);
    spread_in_proportion(left, &by_turn, &by_demand, demands, &mut shares);
    shares
}

/// Indices of all that ask for something. Rounding leaves its units to the last, so among equals the one that waited
/// longest comes last.
fn smallest_demand_first(demands: &[Demand]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..demands.len()).filter(|index| demands[*index].units > 0).collect();
    order.sort_by_key(|index| (demands[*index].units, Reverse(demands[*index].last_served)));
    order
}

fn longest_waiting_first(order: &[usize], demands: &[Demand]) -> Vec<usize> {
    let mut by_turn = order.to_vec();
    by_turn.sort_by_key(|index| demands[*index].last_served);
    by_turn
}

/// Gives each at most an equal part of what is left and at most what it asks for; returns the units left.
fn fill_equally(total: u64, order: &[usize], demands: &[Demand], shares: &mut [u64]) -> u64 {
    let (mut left, mut members) = (total, order.len() as u64);
    for index in order {
        let share = demands[*index].units.min(left / members.max(1));
        shares[*index] = share;
        left -= share;
        members -= 1;
    }
    left
}

/// Gives units that rounding left over to those that asked for more than they have, one each; returns the units left.
fn top_up(mut left: u64, by_turn: &[usize], demands: &[Demand], shares: &mut [u64]) -> u64 {
    for index in by_turn {
        if left > 0 && shares[*index] < demands[*index].units {
            shares[*index] += 1;
            left -= 1;
        }
    }
    left
}

/// Spreads what is left beyond all demands, in proportion to them; the remainder goes by turn.
fn spread_in_proportion(
    mut left: u64,
    by_turn: &[usize],
    by_demand: &[usize],
    demands: &[Demand],
    shares: &mut [u64],
) {
    let all: u64 = by_demand.iter().map(|index| demands[*index].units).sum();
    if left == 0 || all == 0 {
        return;
    }
    let surplus = left;
    for index in by_demand {
        let exact = u128::from(surplus) * u128::from(demands[*index].units) / u128::from(all);
        let more = u64::try_from(exact).unwrap_or(surplus);
        shares[*index] += more;
        left -= more;
    }
    for index in by_turn.iter().cycle().take(to_usize(left)) {
        shares[*index] += 1;
    }
}
