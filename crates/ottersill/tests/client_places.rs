//! Places for clients: a client that has left gives its place to others at once.

mod support;

use std::io::Write;
use std::time::Duration;

use ottersill_testkit::stand_in::{Client, message};
use support::in_process::InProcessRouter;
use support::*;

/// The number of descriptors of the smallest router of the pages, which allow more than this many clients.
const FEW_DESCRIPTORS: (&str, &str) = ("\"sockets\": 1024", "\"sockets\": 256");
const MOST_CLIENTS: usize = 200;
const NEW_CLIENTS: usize = 4;
/// The least memory that the pages name, a quarter of which is for statements.
const SMALL_MEMORY: (&str, &str) = ("\"memory_mb\": 192", "\"memory_mb\": 32");
/// Half-sent statements that use up that memory, and some more.
const HALF_SENT: usize = 75;
/// Length of the longest values, as hexadecimal digits.
const LONGEST_VALUE_DIGITS: usize = 2 * 64 * 1024;

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

/// All but the last bytes of a long statement.
fn half_statement() -> Vec<u8> {
    let text = write(7, 8000).replace("\\x61", &format!("\\x{}", "61".repeat(LONGEST_VALUE_DIGITS / 2)));
    let mut bytes = message(b'Q', format!("{text}\0").as_bytes());
    bytes.truncate(bytes.len() - 200);
    bytes
}

fn send_half_a_statement(router: &InProcessRouter) -> Client {
    let mut client = router.connect();
    client.socket.write_all(&half_statement()).expect("statement could not be sent");
    client
}

/// Guards against clients that are closed for want of room: others that were refused in the middle of a long statement and left kept
/// their places while what they had sent was passed over a little at a time.
#[test]
fn a_client_that_was_refused_and_left_holds_no_place() {
    const TIMES: usize = 10;
    let mut router = InProcessRouter::start_with(&[SMALL_MEMORY]);
    let refused = |router: &mut InProcessRouter| router.event_loop.context().counters.rejected_without_memory;
    let mut half_sent: Vec<Client> = (0..HALF_SENT)
        .map(|_| {
            let client = send_half_a_statement(&router);
            router.poll_once();
            client
        })
        .collect();
    router.poll_for(Duration::from_millis(200));
    // Of two that were read at once for the last memory both may be refused, which leaves it to one that comes alone.
    half_sent.push(send_half_a_statement(&router));
    router.poll_for(Duration::from_millis(100));
    assert!(refused(&mut router) > 0, "there is memory left");
    let open_before = router.event_loop.clients().len();
    for _ in 0..TIMES {
        let refused_before = refused(&mut router);
        let mut client = send_half_a_statement(&router);
        router.poll_until("the client is refused", |router| refused(router) > refused_before);
        // A connection with unread answers would be reset, and its end would overtake what the router has not read.
        client.read_answer().expect("no greeting");
        client.read_answer().expect("no rejection");
    }
    (0..3).for_each(|_| router.poll_once());
    let open = router.event_loop.clients().len();
    assert!(open <= open_before, "{open} connections are open, {open_before} before");
    drop(half_sent);
}
