//! Clients that leave before they are answered, with statements unread, and ids that come again on another connection.

mod support;

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use ottersill_testkit::stand_in::{Client, message};
use rstest::rstest;
use support::*;

/// An attempt that begins later than this after its client has closed is one too many.
const CLOSE_TOLERANCE: Duration = Duration::from_millis(100);
/// How long the endpoints are watched for statements that should not come.
const WATCHED: Duration = Duration::from_millis(300);

/// The least memory that the pages name.
const SMALL_MEMORY: (&str, &str) = ("\"memory_mb\": 192", "\"memory_mb\": 32");

fn pipelined_reads(first: u32, count: u32) -> Vec<u8> {
    let text = |number| format!("{}\0", read(1_000 + number, 8000));
    (first..first + count).flat_map(|number| message(b'Q', text(number).as_bytes())).collect()
}

/// Guards against an effect that happens twice: the client of a write leaves, and a write with the same id comes on another
/// connection, while the first runs or after it has run.
#[rstest]
#[case::while_it_runs(false)]
#[case::after_it_ran(true)]
fn a_write_whose_client_left_is_not_run_again_when_its_id_returns(#[case] is_over: bool) {
    let fixture = Fixture::start(&[LONG_STATEMENT_TIMEOUT, LONG_SLO_TIME]);
    let mut first = fixture.router.client();
    let address = first.socket.local_addr().expect("no address");
    first.send(&write(7, 8000)).expect("query could not be sent");
    let running = fixture.primary.next_statement();
    drop(first);
    wait_until_closed(fixture.router.address, address);
    let running = if is_over {
        running.answer("once");
        // The router reads the answer before the next statement, as endpoints come first.
        thread::sleep(Duration::from_millis(100));
        None
    } else {
        Some(running)
    };
    let mut second = fixture.router.client();
    let answer = second.query(&write(7, 8000)).expect("no answer");
    assert!(!answer.contains("row:") && !answer.contains("C53300"), "{answer}");
    assert!(fixture.primary.next_within(WATCHED).is_none(), "the write was sent again");
    drop(running);
}

/// Guards against the same effect twice where the client's close and the endpoint's answer arrive in one iteration: the answer is
/// written to a connection that its client has closed.
#[test]
fn a_write_that_is_answered_as_its_client_leaves_is_not_run_again_when_its_id_returns() {
    let fixture = Fixture::start(&[LONG_STATEMENT_TIMEOUT, LONG_SLO_TIME]);
    let mut first = fixture.router.client();
    let address = first.socket.local_addr().expect("no address");
    first.send(&write(7, 8000)).expect("query could not be sent");
    let running = fixture.primary.next_statement();
    fixture.router.signal("-STOP");
    running.answer("once");
    wait_until_unread_from(fixture.primary.address);
    drop(first);
    wait_until_end_received(fixture.router.address, address);
    fixture.router.signal("-CONT");
    let mut second = fixture.router.client();
    let answer = second.query(&write(7, 8000)).expect("no answer");
    assert!(answer.contains("C40003"), "{answer}");
    assert!(fixture.primary.next_within(WATCHED).is_none(), "the write was sent again");
}

/// Guards against a client that can't send a read again because its connection broke: a read has no effect.
#[test]
fn a_read_whose_client_left_is_run_again_when_its_id_returns() {
    let fixture = Fixture::start(&[LONG_STATEMENT_TIMEOUT, LONG_SLO_TIME]);
    let mut first = fixture.router.client();
    let address = first.socket.local_addr().expect("no address");
    first.send(&read(7, 8000)).expect("query could not be sent");
    let running = fixture.replica.next_statement();
    drop(first);
    wait_until_closed(fixture.router.address, address);
    running.answer("unread");
    thread::sleep(Duration::from_millis(100));
    let mut second = fixture.router.client();
    second.send(&read(7, 8000)).expect("query could not be sent");
    fixture.replica.next_statement().answer("again");
    assert_eq!(second.read_answer().expect("no answer"), "row:again SELECT 1");
}

/// Guards against statements that are sent on although their clients have closed their connections with much still unread.
#[rstest]
#[case::read_at_once(1, 200)]
#[case::more_than_is_read_at_once(1, 3_000)]
#[case::more_than_is_read_ahead(1, 60_000)]
#[case::more_than_there_is_memory_for(20, 12_000)]
fn pipelined_statements_are_not_sent_after_their_clients_have_closed(
    #[case] clients: u32,
    #[case] statements: u32,
) {
    let fixture = Fixture::start(&[LONG_STATEMENT_TIMEOUT, LONG_SLO_TIME, SMALL_MEMORY]);
    let connected: Vec<Client> = (0..clients).map(|_| fixture.router.client()).collect();
    let mut running = Vec::new();
    for (number, mut client) in (1..).zip(connected) {
        client.send(&read(number, 8000)).expect("query could not be sent");
        running.push((fixture.replica.next_statement(), client));
    }
    let senders = running.into_iter().zip(1..).map(|((first, client), number)| {
        thread::spawn(move || {
            send_until_full(&client, &pipelined_reads(number * statements, statements));
            (first, Instant::now())
        })
    });
    let senders: Vec<_> = senders.collect();
    let running: Vec<_> = senders.into_iter().map(|sender| sender.join().expect("sender panicked")).collect();
    let closed = running.iter().map(|(_, closed)| *closed).max().expect("no client");
    thread::sleep(CLOSE_TOLERANCE);
    running.into_iter().for_each(|(first, _)| first.answer("unread"));
    while let Some(late) = fixture.replica.next_within(WATCHED) {
        assert!(late.received_at < closed + CLOSE_TOLERANCE, "sent after the close: {}", late.text);
        late.answer("unread");
    }
}

/// Sends as much as the router and the system take, whether or not that is all.
fn send_until_full(client: &Client, bytes: &[u8]) {
    client.socket.set_write_timeout(Some(Duration::from_secs(1))).expect("write timeout could not be set");
    let _ = (&client.socket).write_all(bytes);
}
