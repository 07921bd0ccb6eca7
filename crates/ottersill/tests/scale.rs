//! What a router needs with 1,024 endpoints, beside what it needs with 64 under the same traffic: work is counted, as time
//! on a shared machine says little. Bounds are those of large deployments (`ottersill_testkit::scale::Quantity::growth`); each
//! has a test of its own, and all look at one pair of runs.

use std::path::Path;
use std::sync::LazyLock;
use std::time::Duration;

use ottersill_testkit::scale::{Comparison, Measurement, Quantity, ScalePlan};
use rstest::rstest;

const SMALL_HOSTS: usize = 64;
const LARGE_HOSTS: usize = 1024;
/// Connections that the router may have opened and the endpoints not yet counted.
const MAX_UNCOUNTED: u64 = 5;
/// Long enough for a hundred requests, and for several changes of the list.
const DURATION: Duration = Duration::from_secs(5);

static COMPARISON: LazyLock<Comparison> = LazyLock::new(|| {
    Comparison::new((SMALL_HOSTS, measure(SMALL_HOSTS)), (LARGE_HOSTS, measure(LARGE_HOSTS)))
});

fn measure(hosts: usize) -> Vec<Measurement> {
    let plan = ScalePlan { endpoints: hosts, duration: DURATION, ..ScalePlan::default() };
    let example = include_str!("../../../example/router.json");
    vec![Measurement::run(&plan, Path::new(env!("CARGO_BIN_EXE_ottersill")), example).expect("a run")]
}

#[rstest]
#[case::peak_memory(Quantity::PeakMemory)]
#[case::descriptors(Quantity::Descriptors)]
#[case::connections(Quantity::Connections)]
#[case::lists(Quantity::Lists)]
#[case::health_checks(Quantity::HealthChecks)]
#[case::served(Quantity::Served)]
fn sixteen_times_the_endpoints_stay_within_the_bound_of(#[case] quantity: Quantity) {
    let row = COMPARISON.row(quantity).expect("a row for each quantity");
    assert!(row.is_within, "\n{row}");
}

/// Guards against a rig that counts nothing: what the router says and what the endpoints saw have to agree, and all that the
/// load was to do has to have been done.
#[test]
fn both_runs_did_what_was_planned() {
    for (run, hosts) in COMPARISON.small.iter().chain(&COMPARISON.large).zip([SMALL_HOSTS, LARGE_HOSTS]) {
        assert_eq!(run.requests, 100, "{run:?}");
        let answered = run.completed + run.rejected + run.aborted + run.unanswered;
        assert_eq!(answered, 100, "{run:?}");
        assert_eq!(run.unanswered, 0, "{run:?}");
        // A few may be on their way in the moment of counting.
        let uncounted = run.backend_connections_opened.abs_diff(run.backend_connections);
        assert!(uncounted <= MAX_UNCOUNTED, "{run:?}");
        assert!(run.health_checks > 0 && run.peak_descriptors > 0, "{run:?}");
        // The whole list once, each endpoint in over a hundred bytes.
        assert!(run.list_bytes > 100 * hosts as u64, "{run:?}");
    }
}
