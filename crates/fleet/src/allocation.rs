//! How a whole is divided by what each asks for.

use std::cmp::Reverse;

/// Max-min fair parts: nobody gets less than another that asks for less, and none goes to waste while somebody asks.
/// What is left beyond all that was asked for is spread in proportion, as room for what comes next. `asked` is
/// each one's demand and its turn; units that can't be divided go by turn, the lowest first.
pub fn allocate(total: u64, asked: &[(u64, u64)]) -> Vec<u64> {
    let mut parts = vec![0; asked.len()];
    let mut order: Vec<usize> = (0..asked.len()).filter(|index| asked[*index].0 > 0).collect();
    // Rounding leaves its units to the last, so among equals who has waited longest comes last.
    order.sort_by_key(|index| (asked[*index].0, Reverse(asked[*index].1)));
    let (mut left, mut count) = (total, order.len() as u64);
    for index in &order {
        let part = asked[*index].0.min(left / count.max(1));
        parts[*index] = part;
        left -= part;
        count -= 1;
    }
    // Units that were lost to rounding go to who asked for more than it has, by turn.
    let mut by_turn = order.clone();
    by_turn.sort_by_key(|index| asked[*index].1);
    for index in &by_turn {
        if left > 0 && parts[*index] < asked[*index].0 {
            parts[*index] += 1;
            left -= 1;
        }
    }
    let all: u64 = order.iter().map(|index| asked[*index].0).sum();
    if left > 0 && all > 0 {
        let room = left;
        for index in &order {
            let more = (u128::from(room) * u128::from(asked[*index].0) / u128::from(all)) as u64;
            parts[*index] += more;
            left -= more;
        }
        for index in by_turn.iter().cycle().take(left as usize) {
            parts[*index] += 1;
        }
    }
    parts
}
