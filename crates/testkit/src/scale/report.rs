//! The table that compares a small and a large deployment.

use std::fmt;

use serde::Serialize;

use super::{Growth, Measurement, Quantity};

/// One quantity in both deployments, as medians of all runs.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The quantity that is compared.
    pub quantity: Quantity,
    /// Value in the small deployment.
    pub small: f64,
    /// Value in the large deployment.
    pub large: f64,
    /// Bound on the value in the large deployment.
    pub bound: f64,
    /// Whether the value in the large deployment is within the bound.
    pub is_within: bool,
}

/// Comparison of a small and a large deployment.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Number of endpoints in the small deployment.
    pub small_hosts: usize,
    /// Number of endpoints in the large deployment.
    pub large_hosts: usize,
    /// One row for each quantity.
    pub rows: Vec<Row>,
    /// All runs of the small deployment.
    pub small: Vec<Measurement>,
    /// All runs of the large deployment.
    pub large: Vec<Measurement>,
}

impl Comparison {
    /// Compares the medians of the runs. Each argument is the number of endpoints of a deployment and its runs.
    pub fn new(
        (small_hosts, small): (usize, Vec<Measurement>),
        (large_hosts, large): (usize, Vec<Measurement>),
    ) -> Comparison {
        let row = |quantity: Quantity| {
            let (small, large) = (median(quantity, &small), median(quantity, &large));
            let growth = quantity.growth();
            let bound = growth.bound(small, large_hosts);
            Row { quantity, small, large, bound, is_within: growth.allows(large, bound) }
        };
        let rows = Quantity::ALL.map(row).to_vec();
        Comparison { small_hosts, large_hosts, rows, small, large }
    }

    /// Returns the row of a quantity.
    pub fn row(&self, quantity: Quantity) -> Option<&Row> {
        self.rows.iter().find(|row| row.quantity == quantity)
    }

    /// Returns the number of rows that are not within their bound.
    pub fn exceeded(&self) -> usize {
        self.rows.iter().filter(|row| !row.is_within).count()
    }
}

/// Returns the median of a quantity; for an even number of runs, the higher of the two middle values.
fn median(quantity: Quantity, runs: &[Measurement]) -> f64 {
    let mut values: Vec<f64> = runs.iter().map(|run| quantity.of(run)).collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (small, large) = (format!("{} hosts", self.small_hosts), format!("{} hosts", self.large_hosts));
        writeln!(f, "| {:18} | {small:>10} | {large:>10} | {:>10} | of bound | verdict |", "", "bound")?;
        writeln!(f, "| {:-<18} | {:-<10} | {:-<10} | {:-<10} | -------- | ------- |", "", "", "", "")?;
        self.rows.iter().try_for_each(|row| writeln!(f, "{row}"))
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Row { quantity, small, large, bound, is_within } = self;
        let decimals = quantity.decimals();
        let verdict = match (is_within, quantity.growth()) {
            (true, _) => "within",
            (false, Growth::AtMost { .. }) => "OVER",
            (false, Growth::AtLeast { .. }) => "UNDER",
        };
        let of_bound = 100.0 * large / bound;
        write!(
            f,
            "| {quantity:18} | {small:10.decimals$} | {large:10.decimals$} | {bound:10.decimals$} | {of_bound:6.0} % | {verdict:7} |"
        )
    }
}
