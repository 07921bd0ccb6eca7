//! The phases of a router process: when each ends, and which follows.

use ottersill::lifecycle::shutdown::{Observation, Phase};
use rstest::rstest;

const STARTED_AT: f64 = 1000.0;

/// A router that has clients and knows endpoints, without a request to shut down.
fn observation(now: f64) -> Observation {
    Observation {
        now,
        started_at: STARTED_AT,
        shutdown_requested: false,
        knows_endpoints: true,
        has_no_clients: false,
        longest_statement_timeout: 2.0,
    }
}

#[rstest]
#[case::without_a_list(4.9, false, false, Phase::Starting)]
#[case::with_a_list(0.1, true, false, Phase::Serving)]
#[case::timed_out_without_a_list(5.0, false, false, Phase::Serving)]
#[case::shut_down_before_serving(0.1, true, true, Phase::Stopped)]
fn a_router_serves_once_it_knows_endpoints(
    #[case] after: f64,
    #[case] knows_endpoints: bool,
    #[case] shutdown_requested: bool,
    #[case] expected: Phase,
) {
    let observed = Observation { knows_endpoints, shutdown_requested, ..observation(STARTED_AT + after) };
    assert_eq!(Phase::Starting.next(&observed), expected);
}

/// Guards against a shutdown that lasts until the process is killed, which is 0.7 s after the longest statement timeout, and against
/// one that rejects clients at once.
#[rstest]
#[case::common_timeout(2.0, 1.225, 2.45)]
#[case::short_timeout(0.1, 0.5, 0.55)]
#[case::timeout_above_the_maximum(10.0, 1.725, 3.45)]
fn clients_are_accepted_for_half_of_a_shutdown(
    #[case] longest_statement_timeout: f64,
    #[case] lame_duck: f64,
    #[case] answer_time: f64,
) {
    let requested =
        Observation { shutdown_requested: true, longest_statement_timeout, ..observation(2000.0) };
    let Phase::LameDuck { until, answer_deadline } = Phase::Serving.next(&requested) else {
        panic!("the shutdown did not begin")
    };
    let close = |at: f64, expected: f64| (at - 2000.0 - expected).abs() < 1e-9;
    assert!(close(until, lame_duck) && close(answer_deadline, answer_time), "{until} {answer_deadline}");
    let phase = Phase::LameDuck { until, answer_deadline };
    assert_eq!(phase.next(&Observation { now: until - 0.001, has_no_clients: true, ..requested }), phase);
    let next = phase.next(&Observation { now: until, ..requested });
    assert_eq!(next, Phase::Draining { until: until + longest_statement_timeout + 1.0 });
}

#[rstest]
#[case::clients_are_left(0.0, false, false)]
#[case::no_client_is_left(0.0, true, true)]
#[case::timed_out(3.0, false, true)]
fn draining_ends_with_the_last_client(#[case] after: f64, #[case] has_no_clients: bool, #[case] ends: bool) {
    let phase = Phase::Draining { until: 2003.0 };
    let observed = Observation { shutdown_requested: true, has_no_clients, ..observation(2000.0 + after) };
    assert_eq!(phase.next(&observed), if ends { Phase::Stopped } else { phase });
}
