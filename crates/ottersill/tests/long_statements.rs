//! Long statements for which no memory is left: each is answered, and the statements behind them are answered as usual.

mod support;

use std::io::Write;
use std::time::{Duration, Instant};

use ottersill_testkit::stand_in::{Client, message};
use rstest::rstest;
use support::machine::time_without_stalls_since;
use support::*;

/// The least memory that the pages name, a quarter of which is for statements.
const SMALL_MEMORY: (&str, &str) = ("\"memory_mb\": 192", "\"memory_mb\": 32");
/// Clients with half a statement each that use up the memory for statements, and some more.
const HALF_SENT: usize = 75;
/// Length of the longest values, as hexadecimal digits.
const LONGEST_VALUE_DIGITS: usize = 2 * 64 * 1024;
/// The longest time that a client that stops in the middle of a statement is owed an error or a close after.
const BAD_CLIENT_LIMIT: Duration = Duration::from_secs(3);
const WATCHED: Duration = Duration::from_millis(300);
const SETTINGS: [(&str, &str); 3] = [LONG_STATEMENT_TIMEOUT, LONG_SLO_TIME, SMALL_MEMORY];

fn query(text: &str) -> Vec<u8> {
    message(b'Q', format!("{text}\0").as_bytes())
}

fn long_write(number: u32) -> Vec<u8> {
    query(&write(number, 8000).replace("\\x61", &format!("\\x{}", "61".repeat(LONGEST_VALUE_DIGITS / 2))))
}

/// Uses up the memory for statements by clients that stop 200 bytes before the end of a long statement.
fn use_up_memory(fixture: &Fixture) -> Vec<Client> {
    let statement = long_write(0xffff);
    let half_sent = || {
        let mut client = fixture.router.client();
        client.socket.write_all(&statement[..statement.len() - 200]).expect("statement could not be sent");
        client
    };
    let mut clients: Vec<Client> = (0..HALF_SENT).map(|_| half_sent()).collect();
    // The last of them are refused, as there is no memory left.
    std::thread::sleep(WATCHED);
    // Of two that were read at once for the last memory both may be refused, which leaves it to one that comes alone.
    let last = half_sent();
    let address = last.socket.local_addr().expect("no address");
    wait_until("the router reads the statement", || may_have_read_all(fixture.router.address, address));
    clients.push(last);
    clients
}

fn assert_rejected(client: &mut Client) {
    let answer = client.read_answer().expect("no answer");
    assert!(answer.starts_with("C53300"), "{answer}");
}

fn assert_read_is_served(fixture: &Fixture, client: &mut Client) {
    fixture.replica.next_statement().answer("served");
    assert_eq!(client.read_answer().expect("no answer"), "row:served SELECT 1");
}

/// Guards against statements that are never answered: a long one ahead of them was refused with an error that ends the connection.
#[rstest]
#[case::behind_one(1)]
#[case::behind_four(4)]
fn statements_behind_a_long_one_without_memory_are_answered(#[case] long_statements: u32) {
    let fixture = Fixture::start(&SETTINGS);
    let half_sent = use_up_memory(&fixture);
    let mut client = fixture.router.client();
    let mut bytes: Vec<u8> = (0..long_statements).flat_map(|number| long_write(100 + number)).collect();
    bytes.extend(query(&read(7, 8000)));
    client.socket.write_all(&bytes).expect("statements could not be sent");
    (0..long_statements).for_each(|_| assert_rejected(&mut client));
    assert_read_is_served(&fixture, &mut client);
    drop(half_sent);
    // The connection goes on, and so do long statements once there is memory again.
    client.socket.write_all(&long_write(200)).expect("statement could not be sent");
    fixture.primary.next_statement().answer("long");
    assert_eq!(client.read_answer().expect("no answer"), "row:long INSERT 0 1");
}

/// Guards against statements that are never answered where the rest of the long one comes after its rejection, in parts.
#[test]
fn the_rest_of_a_long_statement_may_come_after_its_rejection() {
    let fixture = Fixture::start(&SETTINGS);
    let half_sent = use_up_memory(&fixture);
    let mut client = fixture.router.client();
    let bytes = [long_write(100), query(&read(7, 8000))].concat();
    let (first, rest) = bytes.split_at(bytes.len() / 2);
    client.socket.write_all(first).expect("statement could not be sent");
    assert_rejected(&mut client);
    for part in rest.chunks(rest.len() / 5 + 1) {
        std::thread::sleep(Duration::from_millis(20));
        client.socket.write_all(part).expect("statement could not be sent");
    }
    assert_read_is_served(&fixture, &mut client);
    drop(half_sent);
}

/// Guards against a client that holds its place by never sending the rest of a statement that was rejected.
#[test]
fn a_client_that_never_sends_the_rest_is_closed_in_time() {
    let fixture = Fixture::start(&SETTINGS);
    let half_sent = use_up_memory(&fixture);
    let mut client = fixture.router.client();
    let started = Instant::now();
    let long = long_write(100);
    client.socket.write_all(&long[..long.len() / 2]).expect("statement could not be sent");
    assert_rejected(&mut client);
    assert!(client.receive_message().is_err(), "the connection is still open");
    let took = time_without_stalls_since(started);
    assert!(took < BAD_CLIENT_LIMIT, "{took:?}");
    drop(half_sent);
}

/// Guards against statements that are never answered as the router drains while it passes over a rejected statement.
#[test]
fn statements_behind_a_rejected_one_are_answered_while_the_router_drains() {
    let fixture = Fixture::start(&SETTINGS);
    let half_sent = use_up_memory(&fixture);
    let mut client = fixture.router.client();
    let bytes = [long_write(100), query(&read(7, 8000))].concat();
    let (first, rest) = bytes.split_at(bytes.len() / 2);
    client.socket.write_all(first).expect("statement could not be sent");
    assert_rejected(&mut client);
    fixture.router.signal("-TERM");
    wait_until("the router stops listening", || {
        std::net::TcpStream::connect(fixture.router.address).is_err()
    });
    client.socket.write_all(rest).expect("statement could not be sent");
    assert_read_is_served(&fixture, &mut client);
    drop(half_sent);
}

/// How a statement is answered that goes no further than its client's connection.
#[derive(Clone, Copy, Debug)]
enum Refusal {
    /// It names a workload that does not exist.
    Invalid,
    /// There is no memory for it.
    NoMemory,
}

impl Refusal {
    /// Has a statement of the client refused.
    fn provoke(self, fixture: &Fixture, client: &mut Client) {
        match self {
            Refusal::Invalid => {
                let answer = client.query(&read(100, 8000).replace("c=get", "c=unknown")).expect("no answer");
                assert!(answer.starts_with('C'), "{answer}");
            }
            Refusal::NoMemory => {
                let half_sent = use_up_memory(fixture);
                client.socket.write_all(&long_write(100)).expect("statement could not be sent");
                assert_rejected(client);
                drop(half_sent);
            }
        }
    }
}

/// Guards against statements that are never answered: a connection on which all before them were refused was closed as one that
/// had sent none, in the middle of a statement.
#[rstest]
fn a_connection_whose_statements_were_refused_goes_on(
    #[values(Refusal::Invalid, Refusal::NoMemory)] refusal: Refusal,
    #[values(false, true)] is_begun_before_the_time_limit: bool,
) {
    // A client that has sent nothing is closed 2.6 s after it has connected.
    const SHORTLY_BEFORE_THE_TIME_LIMIT: Duration = Duration::from_millis(2400);
    const AFTER_THE_TIME_LIMIT: Duration = Duration::from_millis(2900);
    let fixture = Fixture::start(&SETTINGS);
    let mut client = fixture.router.client();
    let connected = Instant::now();
    std::thread::sleep(Duration::from_millis(1500));
    refusal.provoke(&fixture, &mut client);
    let bytes = query(&read(7, 8000));
    let begun = if is_begun_before_the_time_limit { bytes.len() / 2 } else { 0 };
    std::thread::sleep(SHORTLY_BEFORE_THE_TIME_LIMIT.saturating_sub(connected.elapsed()));
    client.socket.write_all(&bytes[..begun]).expect("statement could not be sent");
    std::thread::sleep(AFTER_THE_TIME_LIMIT.saturating_sub(connected.elapsed()));
    client.socket.write_all(&bytes[begun..]).expect("statement could not be sent");
    assert_read_is_served(&fixture, &mut client);
}
