//! The first requests after a long idle period, in which the endpoints have closed idle connections or dropped them silently.

mod support;

use std::time::Duration;

use ottersill_testkit::scripted_peer::ScriptedEndpoint;
use rstest::rstest;
use support::*;

/// Replaces the time for which endpoints keep an idle connection by one that is short enough to wait for.
const SHORT_KEEPALIVE: (&str, &str) = ("\"keepalive_ms\": 15000", "\"keepalive_ms\": 1000");

/// Guards against sending the first request after an idle period on a lost connection: the request would have to be aborted, as it
/// may have run. An endpoint may forget a connection once its keep-alive time is over, so the router has to close it before that, even
/// if the router was stopped meanwhile and finds the request and the expired keep-alive time in the same iteration.
#[rstest]
#[case::closed(&[], ScriptedEndpoint::pause_greeting_and_close_idle, Duration::ZERO, false)]
#[case::closed_while_stopped(&[], ScriptedEndpoint::pause_greeting_and_close_idle, Duration::ZERO, true)]
#[case::reset(&[], ScriptedEndpoint::reset_idle, Duration::ZERO, false)]
#[case::reset_while_stopped(&[], ScriptedEndpoint::reset_idle, Duration::ZERO, true)]
#[case::forgotten(&[SHORT_KEEPALIVE], ScriptedEndpoint::blackhole_idle, Duration::from_millis(1100), false)]
#[case::forgotten_while_stopped(&[SHORT_KEEPALIVE], ScriptedEndpoint::blackhole_idle, Duration::from_millis(1100), true)]
fn the_first_requests_after_an_idle_period_use_new_connections(
    #[case] settings: &[(&str, &str)],
    #[case] end_idle: fn(&ScriptedEndpoint),
    #[case] idle: Duration,
    #[case] stopped: bool,
) {
    // A health check whose connection is closed may cost the primary its role. The write then waits until its role is observed again.
    let fixture = Fixture::start(&[&[LONG_STATEMENT_TIMEOUT, LONG_SLO_TIME], settings].concat());
    let (mut reader, mut writer) = (fixture.router.client(), fixture.router.client());
    if stopped {
        fixture.router.signal("-STOP");
    }
    std::thread::sleep(idle);
    for endpoint in [&fixture.primary, &fixture.replica] {
        end_idle(endpoint);
        endpoint.resume_greeting();
    }
    reader.send(&read(7, 8000)).expect("query could not be sent");
    writer.send(&write(7, 8000)).expect("query could not be sent");
    fixture.router.signal("-CONT");
    // A health check whose connection was closed may keep the read away from the replica.
    let endpoints = [&fixture.replica, &fixture.primary].into_iter().cycle().take(1000);
    let arrivals = endpoints.filter_map(|endpoint| endpoint.next_within(Duration::from_millis(10)));
    arrivals.take(2).for_each(|arrival| arrival.answer("served"));
    assert_eq!(reader.read_answer().expect("no answer"), "row:served SELECT 1");
    assert_eq!(writer.read_answer().expect("no answer"), "row:served INSERT 0 1");
}
