//! What the router does with what discovery says, and without it.

use crate::fixture::{poll, read, service};

#[test]
fn a_host_that_leaves_gets_nothing_new() {
    let service = service(1024);
    service.store.set_health(1, "leaving");
    let mut client = service.client();
    poll("told", || {
        let before = service.store.received(1).len();
        (0..20).for_each(|_| assert!(client.query(&read(2000)).expect("an answer").starts_with("row:")));
        service.store.received(1).len() == before
    });
}

/// Some agents end the connection with each answer: news must come all the same.
#[test]
fn a_discovery_that_closes_is_watched_on() {
    let service = service(1024);
    service.store.close_discovery_connections();
    for health in ["leaving", "active", "leaving"] {
        service.store.set_health(1, health);
        let mut client = service.client();
        poll("told", || {
            let before = service.store.received(1).len();
            (0..20).for_each(|_| assert!(client.query(&read(2000)).expect("an answer").starts_with("row:")));
            (service.store.received(1).len() == before) == (health == "leaving")
        });
    }
}

#[test]
fn silent_discovery_stops_nothing() {
    let service = service(1024);
    service.store.set_discovery_silent(true);
    let mut client = service.client();
    (0..20).for_each(|_| assert!(client.query(&read(2000)).expect("an answer").starts_with("row:")));
}
