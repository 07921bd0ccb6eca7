//! The bounds on what a large deployment needs, and the verdicts of the comparison table.

use ottersill_testkit::scale::{Comparison, Measurement, Quantity};

const SMALL_ENDPOINTS: usize = 200;
const LARGE_ENDPOINTS: usize = 3200;

fn small() -> Measurement {
    Measurement {
        cpu_seconds: 0.16,
        peak_memory_bytes: 7_000_000,
        peak_descriptors: 52,
        backend_connections: 482,
        backend_connections_opened: 482,
        list_bytes: 32_000,
        health_checks: 323,
        requests: 400,
        completed: 400,
        rejected: 0,
        aborted: 0,
        unanswered: 0,
    }
}

fn compare(small: Vec<Measurement>, large: Vec<Measurement>) -> Comparison {
    Comparison::new((SMALL_ENDPOINTS, small), (LARGE_ENDPOINTS, large))
}

/// Compares the bounds with those that the operators' page gives, calculated by hand for one small deployment. They are in
/// the order of `Quantity::ALL`.
#[test]
fn each_bound_is_that_of_the_operators_page() {
    let comparison = compare(vec![small()], vec![small()]);
    let bounds: Vec<f64> = comparison.rows.iter().map(|row| row.bound).collect();
    let by_hand = [0.34, 31.3, 144.0, 1245.0, 1728.0, 807.5, 0.85];
    assert_eq!(bounds.len(), by_hand.len());
    for (row, by_hand) in comparison.rows.iter().zip(by_hand) {
        assert!((row.bound - by_hand).abs() < 1e-6, "{row}");
        assert!(row.is_within, "{row}");
    }
}

#[test]
fn a_value_at_its_bound_is_within_and_one_beyond_it_is_not() {
    let at_bound = Measurement { backend_connections: 1245, completed: 340, ..small() };
    assert_eq!(compare(vec![small()], vec![at_bound]).exceeded(), 0);
    let beyond = Measurement { backend_connections: 1246, completed: 339, ..small() };
    let comparison = compare(vec![small()], vec![beyond]);
    let exceeded: Vec<Quantity> =
        comparison.rows.iter().filter(|row| !row.is_within).map(|row| row.quantity).collect();
    assert_eq!(exceeded, [Quantity::Connections, Quantity::Served]);
    assert_eq!(comparison.exceeded(), 2);
}

/// Guards against a single outlier that decides a row, and against bounds that are not calculated from the median.
#[test]
fn medians_of_the_runs_are_compared() {
    let runs =
        |checks: [u64; 3]| checks.map(|health_checks| Measurement { health_checks, ..small() }).to_vec();
    let comparison = compare(runs([900, 100, 200]), runs([501, 9_000, 400]));
    let row = comparison.row(Quantity::HealthChecks).expect("no row for the quantity");
    assert_eq!((row.small, row.large, row.bound, row.is_within), (200.0, 501.0, 500.0, false));
}
