//! Reloads in quick succession that switch between slow discovery services.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use ottersill_testkit::scripted_peer::ScriptedDiscovery;
use support::machine::time_without_stalls_since;
use support::*;

/// Time limit from the last SIGHUP until the list of the last discovery service is in use.
const LIST_TIMEOUT: Duration = Duration::from_secs(4);

/// Number of open descriptors of the router.
fn descriptors(router: &Router) -> usize {
    let open = std::fs::read_dir(format!("/proc/{}/fd", router.process.id()))
        .expect("descriptors could not be listed");
    open.count()
}

/// Ten SIGHUPs within a second, which alternate between two discovery services. Both accept calls and do not answer at first. The
/// list of the last one must be in use in time, the list of the other one must have no effect, and no connection may remain open.
#[test]
fn the_last_of_ten_reloads_in_a_second_applies() {
    let fixture = Fixture::start(&[]);
    let discoveries = [
        ScriptedDiscovery::start().expect("discovery service did not start"),
        ScriptedDiscovery::start().expect("discovery service did not start"),
    ];
    let text = std::fs::read_to_string(&fixture.router.config).expect("configuration could not be read");
    let before = descriptors(&fixture.router);
    for round in 0..10 {
        let at = discoveries[round % 2].address.to_string();
        std::fs::write(&fixture.router.config, text.replace(&fixture.discovery.address.to_string(), &at))
            .expect("configuration could not be written");
        fixture.router.signal("-HUP");
        thread::sleep(Duration::from_millis(100));
    }
    let [other, last] = &discoveries;
    let signalled = Instant::now();
    // Calls made before the last signal are closed by now, or their answers are ignored.
    let stale: Vec<_> = std::iter::from_fn(|| other.next_within(Duration::from_millis(1))).collect();
    for call in stale {
        call.answer(&fixture.endpoint_list(7, "leaving", "active"));
    }
    thread::sleep(Duration::from_millis(1500));
    let calls: Vec<_> = std::iter::from_fn(|| last.next_within(Duration::from_millis(1))).collect();
    assert!(!calls.is_empty());
    // Answers all calls; those that the router has given up are closed.
    calls.into_iter().for_each(|call| call.answer(&fixture.endpoint_list(1, "active", "leaving")));
    let next = last.next_within(LIST_TIMEOUT).expect("router did not ask for a newer list");
    assert!(next.request_line.contains("since=1"), "{}", next.request_line);
    let took = time_without_stalls_since(signalled);
    assert!(took < LIST_TIMEOUT, "{took:?}");
    fixture.assert_read_avoids_draining_replica();
    // One connection of the client, and those to endpoints that were opened meanwhile.
    let after = descriptors(&fixture.router);
    assert!(after <= before + 4, "{before}, {after}");
}
