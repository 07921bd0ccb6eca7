//! What clients may send, and the errors that they get for what they may not send.

use std::io::Write;
use std::thread;
use std::time::Duration;

use ottersill_testkit::stand_in::{Behaviour, Client, message};
use rstest::rstest;

use crate::fixture::{TIMEOUT, read, start_service, wait_until, write, write_with_id};

#[test]
fn pipelined_queries_sent_byte_by_byte_are_answered_in_order() {
    let service = start_service(1024);
    let mut client = Client::connect(service.router.address).expect("connection failed");
    client.socket.set_read_timeout(Some(TIMEOUT)).expect("read timeout could not be set");
    for query in [&write("4f", 2000), "", &read(2000), "SELECT 1"] {
        for byte in message(b'Q', format!("{query}\0").as_bytes()) {
            client.socket.write_all(&[byte]).expect("byte could not be sent");
        }
    }
    let answers: Vec<String> = (0..5).map(|_| client.read_answer().expect("no answer")).collect();
    assert_eq!(answers, ["", "row:value INSERT 0 1", "empty", "row:value SELECT 1", "C08P01"]);
}

#[rstest]
#[case::length_out_of_bounds(b"Q\x7f\xff\xff\xff", "08P01")]
#[case::extended_protocol(b"P\0\0\0\x08\0\0\0\0", "0A000")]
fn an_invalid_message_gets_an_error_and_ends_the_connection(#[case] bytes: &[u8], #[case] code: &str) {
    let service = start_service(1024);
    let (mut invalid, mut other) = (service.client(), service.client());
    invalid.socket.write_all(bytes).expect("bytes could not be sent");
    let (tag, body) = invalid.receive_message().expect("no error message");
    assert!(tag == b'E' && String::from_utf8_lossy(&body).contains(code));
    assert!(invalid.receive_message().is_err(), "the connection is still open");
    assert!(other.query(&read(2000)).expect("no answer").starts_with("row:"));
}

/// A client that keeps sending after a fatal error must still be able to read that error.
#[test]
fn a_fatal_error_can_be_read_by_a_client_that_keeps_sending() {
    let service = start_service(1024);
    let mut client = service.client();
    client.socket.write_all(b"Q\x7f\xff\xff\xff").expect("bytes could not be sent");
    for _ in 0..50 {
        client.socket.write_all(&[b'x'; 4096]).expect("bytes could not be sent");
        thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(client.next_row_or_error(), "C08P01");
}

#[rstest]
#[case::no_comment("SELECT 1", "C08P01")]
#[case::unknown_workload("SELECT 1 /* id=1,c=none,d=9,cluster=1 */", "C42704")]
#[case::unknown_cluster("SELECT 1 /* id=1,c=get,d=9,cluster=77 */", "C42704")]
fn an_invalid_query_gets_an_error_and_the_session_continues(#[case] query: &str, #[case] expected: &str) {
    let service = start_service(1024);
    let mut client = service.client();
    assert_eq!(client.query(query).expect("no answer"), expected);
    assert!(client.query(&read(2000)).expect("no answer").starts_with("row:"));
}

/// Sent on, the statement would be taken for a second attempt of the one in flight, and later for one of a write that may have run.
#[test]
fn a_statement_with_an_id_in_flight_is_refused() {
    let service = start_service(1024);
    let (mut first, mut second) = (service.client(), service.client());
    service.store.set_behaviour(0, Behaviour::NeverAnswers);
    let id = 0xffff;
    first.send(&write_with_id(id, "bf", 700)).expect("query could not be sent");
    wait_until("the primary receives the first write", || {
        !service.store.received(0).is_empty() && service.store.received(0).concat().contains("'bf'")
    });
    let before = service.received_count();
    assert_eq!(second.query(&write_with_id(id, "cf", 700)).expect("no answer"), "C08P01");
    assert_eq!(service.received_count(), before);
    assert_eq!(first.read_answer().expect("no answer"), "C40003");
    service.store.set_behaviour(0, Behaviour::Primary);
    let before = service.received_count();
    assert_eq!(second.query(&write_with_id(id, "cf", 2000)).expect("no answer"), "C40003");
    assert_eq!(service.received_count(), before);
    assert_eq!(second.query(&write("cf", 2000)).expect("no answer"), "row:value INSERT 0 1");
}
