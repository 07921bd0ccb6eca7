//! Races between events: a client's disconnect, an endpoint list, a deduplication window or a close that comes at the
//! instant at which it was once handled wrongly. Where the router has to find two events in one iteration of its event
//! loop, it is suspended with SIGSTOP until both have arrived.

mod support;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use ottersill_testkit::scripted_peer::{ScriptedDiscovery, ScriptedEndpoint, endpoint_list};
use ottersill_testkit::stand_in::{Client, message};
use rstest::rstest;
use socket2::{Domain, Socket, Type};
use support::machine::time_without_stalls_since;
use support::*;

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Closes,
    Terminates,
    Resets,
    HalfCloses,
}

fn disconnect(mut client: Client, how: Disconnect) -> Option<Client> {
    match how {
        Disconnect::Closes => None,
        Disconnect::Terminates => {
            client.socket.write_all(b"X\0\0\0\x04").expect("sending Terminate failed");
            None
        }
        Disconnect::Resets => {
            let zero = Some(Duration::ZERO);
            rustix::net::sockopt::set_socket_linger(&client.socket, zero).expect("setting SO_LINGER failed");
            None
        }
        Disconnect::HalfCloses => {
            client.socket.shutdown(std::net::Shutdown::Write).expect("closing the sending side failed");
            Some(client)
        }
    }
}

/// Guards against sending a statement whose client has disconnected: the backend connection comes up and the client
/// disconnects in the same iteration of the event loop, and backend connections are read before clients.
#[rstest]
#[case::closes(Disconnect::Closes)]
#[case::terminates(Disconnect::Terminates)]
#[case::resets(Disconnect::Resets)]
#[case::half_closes(Disconnect::HalfCloses)]
fn no_first_attempt_is_sent_for_a_disconnected_client(#[case] how: Disconnect) {
    let fixture = Fixture::start(&[LONG_CONNECT_TIMEOUT, LONG_STATEMENT_TIMEOUT, LONG_SLO_TIME]);
    let client = fixture.read_waiting_for_connection(7, 8000);
    fixture.router.signal("-STOP");
    let client_address = client.socket.local_addr().expect("socket has no local address");
    let half_open = disconnect(client, how);
    wait_until_end_received(fixture.router.address, client_address);
    fixture.replica.resume_greeting();
    wait_until_unread_from(fixture.replica.address);
    fixture.router.signal("-CONT");
    fixture.assert_next_statement_is_a_new_read();
    drop(half_open);
}

/// The same between two attempts: the endpoint rejects or fails the first one, and the retry must not be sent to the
/// next endpoint.
#[rstest]
#[case::rejected("53300")]
#[case::failed("XX000")]
#[case::too_stale("72000")]
fn no_retry_is_sent_for_a_disconnected_client(#[case] code: &str) {
    let fixture = Fixture::start(&[LONG_STATEMENT_TIMEOUT, LONG_SLO_TIME]);
    let mut client = fixture.router.client();
    client.send(&read(7, 8000)).expect("sending the query failed");
    let first = fixture.replica.next_statement();
    fixture.router.signal("-STOP");
    first.fail(code);
    wait_until_unread_from(fixture.replica.address);
    let client_address = client.socket.local_addr().expect("socket has no local address");
    drop(client);
    wait_until_end_received(fixture.router.address, client_address);
    fixture.router.signal("-CONT");
    let mut next = fixture.router.client();
    next.send(&write(8, 8000)).expect("sending the query failed");
    let arrival = fixture.primary.next_statement();
    assert!(arrival.text.contains("id=b8"), "{}", arrival.text);
    arrival.answer("next");
    assert_eq!(next.read_answer().expect("no answer from the router"), "row:next INSERT 0 1");
    assert!(fixture.replica.next_within(Duration::from_millis(50)).is_none());
}

/// Guards against sending the statement of a disconnected client that has pipelined more than the router reads ahead:
/// the end of the connection lies behind the unread data.
#[rstest]
#[case::incomplete_message(400_000, 300_000)]
#[case::many_statements(0, 600_000)]
fn disconnect_behind_pipelined_data_is_detected(#[case] declared: usize, #[case] sent: usize) {
    let fixture = Fixture::start(&[LONG_CONNECT_TIMEOUT, LONG_STATEMENT_TIMEOUT, LONG_SLO_TIME]);
    let mut client = fixture.read_waiting_for_connection(7, 8000);
    let ahead = if declared > 0 {
        let mut part = vec![b'Q'];
        part.extend((declared as u32).to_be_bytes());
        part.resize(sent, b'x');
        part
    } else {
        message(b'Q', format!("{}\0", read(9, 8000)).as_bytes()).repeat(sent / 80)
    };
    // Fills the socket buffers of the system; the router reads only a part of it.
    client.socket.set_nonblocking(true).expect("setting the socket to non-blocking failed");
    let mut at = 0;
    let started = Instant::now();
    while at < ahead.len() && started.elapsed() < Duration::from_millis(300) {
        match client.socket.write(&ahead[at..]) {
            Ok(wrote) => at += wrote,
            Err(_) => thread::sleep(Duration::from_millis(5)),
        }
    }
    assert!(at > 200_000, "{at}");
    let client_address = client.socket.local_addr().expect("socket has no local address");
    drop(client);
    wait_until("the router closes the disconnected client", || {
        router_socket_state(fixture.router.address, client_address).is_none()
    });
    fixture.replica.resume_greeting();
    fixture.assert_next_statement_is_a_new_read();
}

/// Guards against closing a client for the amount that it pipelines: every pipelined statement is accepted and answered
/// in order. More than four long statements were once treated as a flood, and the client was closed.
#[rstest]
#[case::some(3, 192)]
#[case::some_with_little_memory(3, 2)]
#[case::more_than_is_read_ahead(40, 192)]
fn all_pipelined_statements_are_answered(#[case] long_statements: usize, #[case] memory_mb: usize) {
    let memory = format!("\"memory_mb\": {memory_mb}");
    let fixture = Fixture::start(&[LONG_STATEMENT_TIMEOUT, LONG_SLO_TIME, ("\"memory_mb\": 192", &memory)]);
    let mut client = fixture.router.client();
    client.send(&read(7, 8000)).expect("sending the query failed");
    let first = fixture.replica.next_statement();
    let long = |number| write(number, 8000).replace("\\x61", &format!("\\x{}", "61".repeat(65_000)));
    let mut ahead = client.socket.try_clone().expect("cloning the socket failed");
    let sender = thread::spawn(move || {
        for number in 0..long_statements {
            let text = format!("{}\0", long(0x100 + number as u32));
            ahead.write_all(&message(b'Q', text.as_bytes())).expect("sending the pipelined statement failed");
        }
    });
    // Once another client is served in a later iteration of the event loop, the router has read all that it reads ahead.
    thread::sleep(Duration::from_millis(300));
    assert_eq!(fixture.router.client().query("").expect("no answer from the router"), "empty");
    first.answer("late");
    assert_eq!(client.read_answer().expect("no answer from the router"), "row:late SELECT 1");
    for number in 0..long_statements {
        let arrival = fixture.primary.next_statement();
        assert!(arrival.text.contains(&format!("id=b{:x},", 0x100 + number)), "out of order");
        arrival.answer("late");
        assert_eq!(client.read_answer().expect("no answer from the router"), "row:late INSERT 0 1");
    }
    client.send(&read(8, 8000)).expect("sending the query failed");
    fixture.replica.next_statement().answer("late");
    assert_eq!(client.read_answer().expect("no answer from the router"), "row:late SELECT 1");
    drop(client);
    sender.join().expect("sender thread panicked");
}

/// Connects a client and sends two statements in one write.
fn client_with_two_statements(fixture: &Fixture, first: &str, second: &str) -> Client {
    let mut client = fixture.router.client();
    let of = |text: &str| message(b'Q', format!("{text}\0").as_bytes());
    client.socket.write_all(&[of(first), of(second)].concat()).expect("sending both queries failed");
    client
}

/// Guards against restarting the deadline of a pipelined statement: its time passes while the first one is in flight,
/// so the endpoint must be sent the remaining time, not the full time.
#[test]
fn pipelined_statement_is_sent_with_its_remaining_time() {
    let fixture = Fixture::start(&[LONG_STATEMENT_TIMEOUT, LONG_SLO_TIME]);
    let mut client = client_with_two_statements(&fixture, &read(7, 3000), &read(8, 3000));
    let first = fixture.replica.next_statement();
    thread::sleep(Duration::from_millis(800));
    first.answer("first");
    assert_eq!(client.read_answer().expect("no answer from the router"), "row:first SELECT 1");
    let second = fixture.replica.next_statement();
    let left_ms = second.text.split(",d=").nth(1).and_then(|d| d.split(',').next()?.parse::<u32>().ok());
    assert!(left_ms.is_some_and(|left_ms| left_ms <= 2200), "{}", second.text);
    second.answer("second");
    assert_eq!(client.read_answer().expect("no answer from the router"), "row:second SELECT 1");
}

/// Guards against a late answer for a pipelined statement with a short deadline: answers keep their order, so a first
/// statement with a deadline of 8 s has to end by the deadline of the second one, 1 s.
#[rstest]
#[case::a_read(&read(7, 8000))]
#[case::a_write(&write(7, 8000))]
fn pipelined_statements_end_by_the_earliest_deadline(#[case] first: &str) {
    let fixture = Fixture::start(&[LONG_STATEMENT_TIMEOUT, LONG_SLO_TIME]);
    let started = Instant::now();
    let mut client = client_with_two_statements(&fixture, first, &read(8, 1000));
    let answers = [
        client.read_answer().expect("no answer from the router"),
        client.read_answer().expect("no answer from the router"),
    ];
    let took = time_without_stalls_since(started);
    assert!(answers.iter().all(|answer| answer.starts_with('C')), "{answers:?}");
    // An answer that is half a second late is worth nothing; a later one counts as missing.
    assert!(took < Duration::from_millis(1500), "{took:?}");
}

/// Guards against sending a statement to an endpoint that began to drain, or left, while the connection to it was
/// coming up.
#[rstest]
#[case::drains("leaving")]
#[case::has_left("left")]
fn no_statement_is_sent_to_an_endpoint_that_began_to_drain(#[case] health: &str) {
    let fixture = Fixture::start(&[LONG_CONNECT_TIMEOUT, LONG_STATEMENT_TIMEOUT, LONG_SLO_TIME]);
    let mut client = fixture.read_waiting_for_connection(7, 8000);
    fixture.discovery.serve_list(2, &fixture.endpoint_list(2, "active", health));
    // The router has applied the list when it calls discovery again; without a replica the primary serves reads.
    let next_call = fixture.discovery.next_call();
    let at_primary = fixture.primary.next_statement();
    fixture.replica.resume_greeting();
    assert!(fixture.replica.next_within(Duration::from_millis(200)).is_none());
    at_primary.answer("elsewhere");
    assert_eq!(client.read_answer().expect("no answer from the router"), "row:elsewhere SELECT 1");
    drop(next_call);
}

/// The primary deduplicates retries for 300 ms. Guards against a retry that is chosen within that window and sent after
/// it, once its connection has come up.
#[test]
fn write_is_not_retried_after_its_deduplication_window() {
    let deduplicated = (
        "\"effect\": \"side_effect\", \"group\": \"all\", \"window_ms\": 0",
        "\"effect\": \"token\", \
                   \"group\": \"cell\", \"window_ms\": 300",
    );
    let fixture = Fixture::start(&[LONG_CONNECT_TIMEOUT, LONG_STATEMENT_TIMEOUT, deduplicated]);
    let mut client = fixture.router.client();
    client.send(&write(7, 8000)).expect("sending the query failed");
    let first = fixture.primary.next_statement();
    let started = first.received_at;
    fixture.primary.pause_greeting_and_close_idle();
    first.fail_and_close("XX000");
    fixture.primary.wait_for_connections(1);
    thread::sleep(Duration::from_millis(400).saturating_sub(started.elapsed()));
    fixture.primary.resume_greeting();
    assert!(
        fixture.primary.next_within(Duration::from_millis(300)).is_none(),
        "after {:?}",
        started.elapsed()
    );
    assert_eq!(client.read_answer().expect("no answer from the router"), "C40003");
}

/// The staleness bound is one second at the time of sending. Guards against a read that is sent to a replica which met
/// the bound when it was chosen, but not when its connection came up; these endpoints answer reads without checking
/// their own staleness.
#[test]
fn read_is_not_sent_to_a_replica_that_became_stale() {
    let fixture = Fixture::start(&[
        LONG_CONNECT_TIMEOUT,
        LONG_STATEMENT_TIMEOUT,
        LONG_SLO_TIME,
        ("\"oldest_data_ms\": [3000, 0]", "\"oldest_data_ms\": [1000, 0]"),
        ("\"when_behind\": \"wait\"", "\"when_behind\": \"none\""),
    ]);
    fixture.replica.freeze_position();
    let frozen_at = Instant::now();
    let mut client = fixture.read_waiting_for_connection(7, 8000);
    thread::sleep(Duration::from_millis(1300).saturating_sub(frozen_at.elapsed()));
    fixture.replica.resume_greeting();
    // The primary is always current.
    let arrival = fixture.primary.next_statement();
    assert!(fixture.replica.next_within(Duration::from_millis(50)).is_none());
    arrival.answer("fresh");
    assert_eq!(client.read_answer().expect("no answer from the router"), "row:fresh SELECT 1");
}

/// A client with a small receive buffer, so that most of a long answer stays on the router's side until the client reads.
fn client_with_small_receive_buffer(at: SocketAddr) -> Client {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("creating the socket failed");
    socket.set_recv_buffer_size(2048).expect("setting the receive buffer size failed");
    socket.connect(&at.into()).expect("connecting failed");
    let mut client = Client { socket: socket.into() };
    client.socket.set_read_timeout(Some(TIMEOUT)).expect("setting the read timeout failed");
    client
        .socket
        .write_all(b"\0\0\0\x25\0\x03\0\0user\0backend\0database\0store\0\0")
        .expect("sending the startup message failed");
    client.read_answer().expect("no greeting from the router");
    client
}

/// The router ends an idle connection while a statement is on its way. Guards against closing the socket at once: the
/// arriving statement would then reset the connection, and the part of the last answer that the client has not read
/// would be lost.
#[rstest]
#[case::idle(false, false, 0)]
#[case::idle_with_slow_client(false, false, 1500)]
#[case::idle_with_client_ending_first(false, true, 300)]
#[case::shuts_down(true, false, 0)]
fn closing_a_connection_loses_no_answer(
    #[case] shuts_down: bool,
    #[case] client_ends: bool,
    #[case] reads_after_ms: u64,
) {
    let fixture = Fixture::start(&[]);
    let mut client = client_with_small_receive_buffer(fixture.router.address);
    client.send(&read(7, 2000)).expect("sending the query failed");
    let value = "kept".repeat(16_000);
    fixture.replica.next_statement().answer(&value);
    if shuts_down {
        fixture.router.signal("-TERM");
    }
    // "04" is FIN_WAIT1: the FIN is queued behind the data that the client has not read.
    let at = client.socket.local_addr().expect("socket has no local address");
    wait_until("the router ends the connection", || {
        router_socket_state(fixture.router.address, at).as_deref() == Some("04")
    });
    client.send(&read(8, 2000)).expect("sending the second query failed");
    if client_ends {
        client.socket.shutdown(std::net::Shutdown::Write).expect("closing the sending side failed");
    }
    thread::sleep(Duration::from_millis(reads_after_ms));
    assert_eq!(
        client.read_answer().expect("the answer did not arrive complete"),
        format!("row:{value} SELECT 1")
    );
    let end = client.receive_message().expect_err("a message follows the answer");
    assert_eq!(end.kind(), ErrorKind::UnexpectedEof, "{end}");
    assert!(
        fixture.replica.next_within(Duration::from_millis(50)).is_none(),
        "a statement that arrives after the end was forwarded"
    );
}

/// Guards against a second SIGTERM or a SIGHUP that cuts a shutdown short: every accepted statement is answered, and
/// the exit status stays 0.
#[test]
fn further_signals_do_not_shorten_the_shutdown() {
    let mut fixture = Fixture::start(&[]);
    let mut client = fixture.router.client();
    client.send(&read(7, 2000)).expect("sending the query failed");
    let arrival = fixture.replica.next_statement();
    for name in ["-TERM", "-HUP", "-TERM"] {
        fixture.router.signal(name);
        assert_eq!(fixture.router.client().query("").expect("no answer from the router"), "empty");
    }
    arrival.answer("taken");
    assert_eq!(client.read_answer().expect("no answer from the router"), "row:taken SELECT 1");
    let started = Instant::now();
    while fixture.router.process.try_wait().expect("waiting for the router failed").is_none() {
        assert!(started.elapsed() < TIMEOUT, "the router does not exit");
        thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(fixture.router.process.wait().expect("waiting for the router failed").code(), Some(0));
}

/// The descriptor limit of the system is below that of the settings. Guards against a client that stays in the listen
/// backlog after accepting has failed, since no further event announces it.
#[test]
fn waiting_client_is_accepted_once_a_descriptor_is_free() {
    let discovery = ScriptedDiscovery::start().expect("discovery did not start");
    let host = ScriptedEndpoint::start(true).expect("endpoint did not start");
    let router = Router::spawn(&config_text(discovery.address, &[]), Some(24));
    discovery.serve_list(1, &endpoint_list(1, &[("one", host.address, "active")]));
    let router = router.wait_until_ready();
    let mut connected: Vec<Client> = Vec::new();
    let full = loop {
        let mut client = Client::connect(router.address).expect("connecting failed");
        client
            .socket
            .set_read_timeout(Some(Duration::from_millis(500)))
            .expect("setting the read timeout failed");
        match client.read_answer() {
            Ok(_) => connected.push(client),
            Err(_) => break client,
        }
        assert!(connected.len() < 24, "the limit is not in force");
    };
    let mut waiting = full;
    waiting.socket.set_read_timeout(Some(TIMEOUT)).expect("setting the read timeout failed");
    connected.clear();
    waiting.read_answer().expect("no greeting from the router");
}

/// A connect timeout of 4 s. Guards against deriving the time allowed to a silent client from it, by which every client
/// was closed as soon as it connected.
#[test]
fn long_connect_timeout_closes_no_client() {
    let fixture = Fixture::start(&[("\"connect_timeout_ms\": 250", "\"connect_timeout_ms\": 4000")]);
    let mut client = fixture.router.client();
    thread::sleep(Duration::from_millis(500));
    client.send(&read(7, 2000)).expect("sending the query failed");
    fixture.replica.next_statement().answer("served");
    assert_eq!(client.read_answer().expect("no answer from the router"), "row:served SELECT 1");
    let mut silent = TcpStream::connect(fixture.router.address).expect("connecting failed");
    silent.set_read_timeout(Some(TIMEOUT)).expect("setting the read timeout failed");
    let started = Instant::now();
    let _ = silent.read(&mut [0; 1]);
    let took = time_without_stalls_since(started);
    assert!(took < Duration::from_secs(3), "{took:?}");
    // The time of a shutdown is derived from the same settings.
    fixture.router.signal("-TERM");
    let mut last = fixture.router.client();
    last.send(&read(8, 2000)).expect("sending the query failed");
    fixture.replica.next_statement().answer("served still");
    assert_eq!(last.read_answer().expect("no answer from the router"), "row:served still SELECT 1");
}

/// Guards against forwarding a part of an answer that ends in a reset, and against retrying a write that may have run.
#[rstest]
#[case::nothing(0)]
#[case::within_the_row_description(12)]
#[case::before_the_completion(60)]
fn partial_answer_is_not_forwarded(#[case] bytes: usize) {
    let fixture = Fixture::start(&[]);
    let mut client = fixture.router.client();
    client.send(&write(7, 2000)).expect("sending the query failed");
    fixture.primary.next_statement().answer_partly_and_reset("half", bytes);
    assert_eq!(client.read_answer().expect("no answer from the router"), "C40003");
    assert!(fixture.primary.next_within(Duration::from_millis(100)).is_none());
}
