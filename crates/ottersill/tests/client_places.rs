//! Places for clients: a client that has left gives its place to others at once.

mod support;

use ottersill_testkit::stand_in::Client;
use support::in_process::InProcessRouter;

/// The number of descriptors of the smallest router of the pages, which allow more than this many clients.
const FEW_DESCRIPTORS: (&str, &str) = ("\"sockets\": 1024", "\"sockets\": 256");
const MOST_CLIENTS: usize = 200;
const NEW_CLIENTS: usize = 4;

/// Guards against clients that are closed or rejected for want of room although others have left, whose ends are found in the iteration in
/// which new clients connect.
#[test]
fn a_client_that_left_makes_room_for_one_that_connects() {
    let mut router = InProcessRouter::start_with(&[FEW_DESCRIPTORS]);
    let turned_away = |router: &mut InProcessRouter| {
        let counters = &router.event_loop.context().counters;
        counters.client_connections_rejected + counters.client_connections_closed_idle
    };
    let mut clients: Vec<Client> = Vec::new();
    while turned_away(&mut router) == 0 && clients.len() < MOST_CLIENTS {
        clients.push(router.connect());
        router.poll_once();
    }
    let turned_away_before = turned_away(&mut router);
    assert!(turned_away_before > 0, "the router has room for more than {MOST_CLIENTS} clients");
    // The last of them was turned away, and held no place.
    clients.truncate(clients.len() - 1 - NEW_CLIENTS);
    let new_clients: Vec<Client> = (0..NEW_CLIENTS).map(|_| router.connect()).collect();
    router.poll_once();
    assert_eq!(turned_away(&mut router), turned_away_before, "clients were turned away for want of room");
    drop(new_clients);
}
