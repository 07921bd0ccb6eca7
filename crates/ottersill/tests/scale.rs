//! Compares the resources that a router needs with 1,024 endpoints to those with 64 under the same traffic. Work is
//! counted, as elapsed time on a shared machine is not meaningful. The bounds are those of large deployments
//! (`ottersill_testkit::scale::Quantity::growth`); each has a test case of its own, and all use one pair of runs.

use std::path::Path;
use std::sync::LazyLock;
use std::time::Duration;

use ottersill_testkit::scale::{Comparison, Measurement, Quantity, ScalePlan};
use rstest::rstest;

const SMALL_ENDPOINTS: usize = 64;
const LARGE_ENDPOINTS: usize = 1024;
/// Number of connections that the router may have opened and the endpoints not yet counted.
const MAX_UNCOUNTED: u64 = 5;
/// Long enough for a hundred requests and several changes of the endpoint list.
const DURATION: Duration = Duration::from_secs(5);

static COMPARISON: LazyLock<Comparison> = LazyLock::new(|| {
    Comparison::new((SMALL_ENDPOINTS, measure(SMALL_ENDPOINTS)), (LARGE_ENDPOINTS, measure(LARGE_ENDPOINTS)))
});

fn measure(endpoints: usize) -> Vec<Measurement> {
    let plan = ScalePlan { endpoints, duration: DURATION, ..ScalePlan::default() };
    let example = include_str!("../../../example/router.json");
    vec![Measurement::run(&plan, Path::new(env!("CARGO_BIN_EXE_ottersill")), example).expect("run failed")]
}

#[rstest]
#[case::peak_memory(Quantity::PeakMemory)]
#[case::descriptors(Quantity::Descriptors)]
#[case::connections(Quantity::Connections)]
#[case::lists(Quantity::Lists)]
#[case::health_checks(Quantity::HealthChecks)]
#[case::served(Quantity::Served)]
fn sixteen_times_the_endpoints_stay_within_the_bound_of(#[case] quantity: Quantity) {
    let row = COMPARISON.row(quantity).expect("no row for this quantity");
    assert!(row.is_within, "\n{row}");
}

/// Guards against runs that count nothing: the counters of the router and those of the endpoints have to agree, and the
/// whole planned load has to have been sent.
#[test]
fn both_runs_did_what_was_planned() {
    for (run, endpoints) in
        COMPARISON.small.iter().chain(&COMPARISON.large).zip([SMALL_ENDPOINTS, LARGE_ENDPOINTS])
    {
        assert_eq!(run.requests, 100, "{run:?}");
        let answered = run.completed + run.rejected + run.aborted + run.unanswered;
        assert_eq!(answered, 100, "{run:?}");
        assert_eq!(run.unanswered, 0, "{run:?}");
        // A few connections may be in the process of opening when they are counted.
        let uncounted = run.backend_connections_opened.abs_diff(run.backend_connections);
        assert!(uncounted <= MAX_UNCOUNTED, "{run:?}");
        assert!(run.health_checks > 0 && run.peak_descriptors > 0, "{run:?}");
        // At least one complete list, of more than a hundred bytes for each endpoint.
        assert!(run.list_bytes > 100 * endpoints as u64, "{run:?}");
    }
}
