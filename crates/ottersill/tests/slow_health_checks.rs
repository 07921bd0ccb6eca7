//! Endpoints that answer health checks more slowly than a connection may take to come up.

mod support;

use std::time::{Duration, Instant};

use support::load::start_store;
use support::*;

/// Longer than the connect timeout of the example configuration (250 ms), which is also the usual limit of health checks.
const SLOW_HEALTH_CHECK: Duration = Duration::from_millis(400);
/// The slow start of the example configuration (`ramp_time_ms`), as endpoints whose first check fails may have restarted, and two
/// health checks of the longest time limit.
const SERVED_WITHIN: Duration = Duration::from_secs(10 + 2 * 2);

/// Guards against a primary that is never found because each of its answers to health checks comes later than the router waits: all
/// statements were rejected without end.
#[test]
fn a_primary_that_answers_health_checks_slowly_is_found() {
    let (store, discovery) = start_store().expect("store did not start");
    store.set_health_check_duration(SLOW_HEALTH_CHECK);
    let router = Router::spawn(&config_text(discovery, &[]), None).wait_until_ready();
    let started = Instant::now();
    for number in 0.. {
        let mut client = router.client();
        let answer = client.query(&write(number, 2000)).expect("no answer");
        if answer.starts_with("row:") {
            return;
        }
        assert!(
            started.elapsed() < SERVED_WITHIN,
            "{number} writes were not served, the last got {answer:?}"
        );
    }
}
