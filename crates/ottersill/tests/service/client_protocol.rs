//! What a client may send, and what it is told where it may not.

use std::io::Write;
use std::thread;
use std::time::Duration;

use ottersill_testkit::stand_in::{Behaviour, Client, message};
use rstest::rstest;

use crate::fixture::{PATIENCE, poll, read, service, write};

#[test]
fn queries_sent_ahead_byte_by_byte_are_answered_in_order() {
    let service = service(1024);
    let mut client = Client::connect(service.router.at).expect("a connection");
    client.socket.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    for query in [&write("4f", 2000), "", &read(2000), "SELECT 1"] {
        for byte in message(b'Q', format!("{query}\0").as_bytes()) {
            client.socket.write_all(&[byte]).expect("a byte");
        }
    }
    let answers: Vec<String> = (0..5).map(|_| client.read_answer().expect("an answer")).collect();
    assert_eq!(answers, ["", "row:value INSERT 0 1", "empty", "row:value SELECT 1", "C08P01"]);
}

#[rstest]
#[case::longer_than_any(b"Q\x7f\xff\xff\xff", "08P01")]
#[case::extended_protocol(b"P\0\0\0\x08\0\0\0\0", "0A000")]
fn a_client_that_sends_nonsense_is_told_and_closed(#[case] bytes: &[u8], #[case] code: &str) {
    let service = service(1024);
    let (mut strange, mut other) = (service.client(), service.client());
    strange.socket.write_all(bytes).expect("bytes");
    let (tag, body) = strange.receive_message().expect("an error");
    assert!(tag == b'E' && String::from_utf8_lossy(&body).contains(code));
    assert!(strange.receive_message().is_err(), "the connection ends");
    assert!(other.query(&read(2000)).expect("an answer").starts_with("row:"));
}

/// A client that sends on after it was dismissed must still be able to read why.
#[test]
fn a_dismissal_is_read_whatever_the_client_sends_after_it() {
    let service = service(1024);
    let mut client = service.client();
    client.socket.write_all(b"Q\x7f\xff\xff\xff").expect("bytes");
    for _ in 0..50 {
        client.socket.write_all(&[b'x'; 4096]).expect("bytes");
        thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(client.next_row_or_error(), "C08P01");
}

#[rstest]
#[case::no_comment("SELECT 1", "C08P01")]
#[case::unknown_workload("SELECT 1 /* id=1,c=none,d=9,cluster=1 */", "C42704")]
#[case::unknown_cluster("SELECT 1 /* id=1,c=get,d=9,cluster=77 */", "C42704")]
fn a_strange_query_is_told_and_the_session_goes_on(#[case] query: &str, #[case] expected: &str) {
    let service = service(1024);
    let mut client = service.client();
    assert_eq!(client.query(query).expect("an answer"), expected);
    assert!(client.query(&read(2000)).expect("an answer").starts_with("row:"));
}

/// Sent on, it would be a second copy of what is out.
#[test]
fn the_id_of_an_open_statement_is_refused() {
    let service = service(1024);
    let (mut first, mut second) = (service.client(), service.client());
    service.store.set_behaviour(0, Behaviour::NeverAnswers);
    first.send(&write("bf", 700)).expect("a query");
    poll("taken", || {
        !service.store.received(0).is_empty() && service.store.received(0).concat().contains("'bf'")
    });
    let before = service.taken();
    assert_eq!(second.query(&write("cf", 700)).expect("an answer"), "C08P01");
    assert_eq!(service.taken(), before);
    assert_eq!(first.read_answer().expect("an answer"), "C40003");
    service.store.set_behaviour(0, Behaviour::Primary);
    assert_eq!(second.query(&write("cf", 2000)).expect("an answer"), "row:value INSERT 0 1");
}
