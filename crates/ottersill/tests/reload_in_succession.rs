//! New configurations in quick succession, to discoveries that are slow.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use ottersill_testkit::scripted_peer::ScriptedDiscovery;
use support::machine::own_time_since;
use support::*;

/// What the last one tells counts as told so long after SIGHUP.
const TOLD: Duration = Duration::from_secs(4);

fn descriptors(router: &Router) -> usize {
    let open = std::fs::read_dir(format!("/proc/{}/fd", router.process.id())).expect("descriptors");
    open.count()
}

/// Ten SIGHUPs in a second, each naming the other one of two discoveries, both of which take calls and say nothing at first: the
/// last one named is heard in time, nothing of the other one counts, and no connection is left over. Right already.
#[test]
fn ten_configurations_in_a_second_end_with_the_last() {
    let fixture = Fixture::start(&[]);
    let discoveries =
        [ScriptedDiscovery::start().expect("discovery"), ScriptedDiscovery::start().expect("discovery")];
    let text = std::fs::read_to_string(&fixture.router.config).expect("a configuration");
    let before = descriptors(&fixture.router);
    for round in 0..10 {
        let at = discoveries[round % 2].address.to_string();
        std::fs::write(&fixture.router.config, text.replace(&fixture.discovery.address.to_string(), &at))
            .expect("a configuration");
        fixture.router.signal("-HUP");
        thread::sleep(Duration::from_millis(100));
    }
    let [other, last] = &discoveries;
    let asked = Instant::now();
    // Calls made before the last signal are closed by now, or answered for nothing.
    let stale: Vec<_> = std::iter::from_fn(|| other.next_within(Duration::from_millis(1))).collect();
    for call in stale {
        call.answer(&fixture.endpoint_list(7, "leaving", "active"));
    }
    thread::sleep(Duration::from_millis(1500));
    let calls: Vec<_> = std::iter::from_fn(|| last.next_within(Duration::from_millis(1))).collect();
    assert!(!calls.is_empty());
    // All of them: those given up are closed.
    calls.into_iter().for_each(|call| call.answer(&fixture.endpoint_list(1, "active", "leaving")));
    let next = last.next_within(TOLD).expect("it asks for what is newer");
    assert!(next.request_line.contains("since=1"), "{}", next.request_line);
    let took = own_time_since(asked);
    assert!(took < TOLD, "{took:?}");
    fixture.read_avoids_the_draining_replica();
    // The client's, and those to hosts that were opened meanwhile.
    let after = descriptors(&fixture.router);
    assert!(after <= before + 4, "{before}, {after}");
}
