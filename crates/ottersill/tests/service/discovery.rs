//! How the router follows the discovery service, and serves without it.

use crate::fixture::{read, start_service, wait_until};

#[test]
fn a_leaving_endpoint_gets_no_new_requests() {
    let service = start_service(1024);
    service.store.set_health(1, "leaving");
    let mut client = service.client();
    wait_until("the endpoint update takes effect", || {
        let before = service.store.received(1).len();
        (0..20).for_each(|_| assert!(client.query(&read(2000)).expect("no answer").starts_with("row:")));
        service.store.received(1).len() == before
    });
}

/// Some discovery agents close the connection after each answer. Updates must arrive all the same.
#[test]
fn updates_arrive_from_a_discovery_that_closes_each_connection() {
    let service = start_service(1024);
    service.store.close_discovery_connections();
    for health in ["leaving", "active", "leaving"] {
        service.store.set_health(1, health);
        let mut client = service.client();
        wait_until("the endpoint update takes effect", || {
            let before = service.store.received(1).len();
            (0..20).for_each(|_| assert!(client.query(&read(2000)).expect("no answer").starts_with("row:")));
            (service.store.received(1).len() == before) == (health == "leaving")
        });
    }
}

#[test]
fn requests_are_served_while_discovery_is_silent() {
    let service = start_service(1024);
    service.store.set_discovery_silent(true);
    let mut client = service.client();
    (0..20).for_each(|_| assert!(client.query(&read(2000)).expect("no answer").starts_with("row:")));
}
