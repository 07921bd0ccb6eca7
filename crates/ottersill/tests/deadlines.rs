//! The time left that the router sends to an endpoint with a statement (`d`) exceeds what the client has left by at most 0.15 s.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use ottersill_testkit::scripted_peer::{
    ReceivedStatement, ScriptedDiscovery, ScriptedEndpoint, endpoint_list,
};
use socket2::{Domain, Socket, Type};
use support::*;

/// By how much the time left that is sent to an endpoint may exceed the client's.
const SLACK: Duration = Duration::from_millis(150);
/// How much of the slack has to remain for the transfer to the endpoint if the router was stalled for as long as it may be.
const TRANSFER_ALLOWANCE: Duration = Duration::from_millis(30);

/// Returns the time left that the endpoint received with the statement.
fn time_left(arrival: &ReceivedStatement) -> Duration {
    let left = arrival.text.rsplit(",d=").next().and_then(|d| d.split([',', ' ']).next()?.parse().ok());
    Duration::from_millis(left.expect("no time left in the comment"))
}

/// Returns by how much the time left that the endpoint received exceeds what the client had left on arrival. The client sent the
/// statement at `sent` with `had_ms` left.
fn excess(arrival: &ReceivedStatement, sent: Instant, had_ms: u64) -> Duration {
    let waited = arrival.received_at.saturating_duration_since(sent);
    (time_left(arrival) + waited).saturating_sub(Duration::from_millis(had_ms))
}

/// A proxy in front of an endpoint with small segments and small buffers. While `blocked` is set it does not forward what the router
/// sends, so the router writes a long statement in parts.
struct NarrowProxy {
    at: SocketAddr,
    blocked: Arc<AtomicBool>,
}

impl NarrowProxy {
    fn start(endpoint: SocketAddr) -> NarrowProxy {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("socket could not be opened");
        // With segments this small the send buffer of the router holds half of the longest statement.
        socket.set_tcp_mss(100).expect("segment size could not be set");
        socket.set_recv_buffer_size(2048).expect("buffer size could not be set");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("bind failed");
        socket.listen(64).expect("listen failed");
        let listener = TcpListener::from(socket);
        let at = listener.local_addr().expect("no address");
        let blocked = Arc::new(AtomicBool::new(false));
        let shared = Arc::clone(&blocked);
        thread::spawn(move || {
            for router in listener.incoming().flatten() {
                let endpoint = TcpStream::connect(endpoint).expect("connection failed");
                let reverse = (
                    endpoint.try_clone().expect("socket could not be cloned"),
                    router.try_clone().expect("socket could not be cloned"),
                );
                let blocked = Arc::clone(&shared);
                thread::spawn(move || forward(router, endpoint, &blocked));
                thread::spawn(move || forward(reverse.0, reverse.1, &AtomicBool::new(false)));
            }
        });
        NarrowProxy { at, blocked }
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, blocked: &AtomicBool) {
    let mut buffer = [0; 4096];
    to.set_nodelay(true).expect("TCP_NODELAY could not be set");
    loop {
        while blocked.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(1));
        }
        match from.read(&mut buffer) {
            Ok(bytes) if bytes > 0 && to.write_all(&buffer[..bytes]).is_ok() => {}
            // Ends when either side closes.
            _ => return to.shutdown(std::net::Shutdown::Write).unwrap_or_default(),
        }
    }
}

/// Starts a fixture with a long write of which the router could write only a part to the primary. Returns the time of sending too.
fn partly_written() -> (Fixture, NarrowProxy, ottersill_testkit::stand_in::Client, Instant) {
    let discovery = ScriptedDiscovery::start().expect("discovery service did not start");
    let (primary, replica) = (
        ScriptedEndpoint::start(true).expect("endpoint did not start"),
        ScriptedEndpoint::start(false).expect("endpoint did not start"),
    );
    let proxy = NarrowProxy::start(primary.address);
    let router =
        Router::spawn(&config_text(discovery.address, &[LONG_STATEMENT_TIMEOUT, LONG_SLO_TIME]), None);
    let endpoints = [("one", proxy.at, "active"), ("two", replica.address, "active")];
    discovery.serve_list(1, &endpoint_list(1, &endpoints));
    let fixture = Fixture { primary, replica, discovery, router: router.wait_until_ready() };
    let mut client = fixture.router.client();
    client.send(&write(1, 9000)).expect("query could not be sent");
    fixture.primary.next_statement().answer("first");
    assert_eq!(client.read_answer().expect("no answer"), "row:first INSERT 0 1");
    proxy.blocked.store(true, Ordering::Relaxed);
    let long = write(7, 3000).replace("\\x61", &format!("\\x{}", "61".repeat(65_000)));
    let sent = Instant::now();
    client.send(&long).expect("query could not be sent");
    (fixture, proxy, client, sent)
}

/// Guards against sending an outdated time left: the part of a statement that could not be written at once went out later with the
/// time that was left at first.
#[test]
fn a_statement_written_in_parts_carries_the_current_time_left() {
    let (fixture, proxy, mut client, sent) = partly_written();
    thread::sleep(Duration::from_millis(700));
    proxy.blocked.store(false, Ordering::Relaxed);
    let arrival = fixture.primary.next_statement();
    let excess = excess(&arrival, sent, 3000);
    assert!(excess <= SLACK, "{excess:?}");
    arrival.answer("whole");
    assert_eq!(client.read_answer().expect("no answer"), "row:whole INSERT 0 1");
}

/// The client closes when a part of its statement is written. The rest is not written, so the statement never begins to run.
#[test]
fn a_partly_written_statement_of_a_closed_client_does_not_run() {
    let (fixture, proxy, client, _) = partly_written();
    thread::sleep(Duration::from_millis(100));
    let client_address = client.socket.local_addr().expect("no address");
    drop(client);
    wait_until("the router closes the connection", || {
        router_socket_state(fixture.router.address, client_address).is_none()
    });
    proxy.blocked.store(false, Ordering::Relaxed);
    assert!(fixture.primary.next_within(Duration::from_millis(500)).is_none());
}

/// The query arrives while the router is stalled, which the router can't know. Its time was counted from when it was read, which used
/// up the slack and left nothing for the transfer to the endpoint.
#[test]
fn a_query_that_arrives_while_the_router_is_stalled_stays_within_the_slack() {
    let fixture = Fixture::start(&[]);
    let mut client = fixture.router.client();
    fixture.router.signal("-STOP");
    client.send(&read(7, 2000)).expect("query could not be sent");
    thread::sleep(SLACK);
    fixture.router.signal("-CONT");
    let arrival = fixture.replica.next_statement();
    let excess = (time_left(&arrival) + SLACK).saturating_sub(Duration::from_millis(2000));
    assert!(excess + TRANSFER_ALLOWANCE <= SLACK, "{excess:?}");
    arrival.answer("served");
    assert_eq!(client.read_answer().expect("no answer"), "row:served SELECT 1");
}

/// The time that a slow connection takes to be established is subtracted.
#[test]
fn a_statement_on_a_slow_connection_carries_the_current_time_left() {
    let fixture = Fixture::start(&[LONG_CONNECT_TIMEOUT, LONG_STATEMENT_TIMEOUT, LONG_SLO_TIME]);
    let sent = Instant::now();
    let client = fixture.read_waiting_for_connection(7, 8000);
    thread::sleep(Duration::from_millis(500));
    fixture.replica.resume_greeting();
    let arrival = fixture.replica.next_statement();
    let excess = excess(&arrival, sent, 8000);
    assert!(excess <= SLACK, "{excess:?}");
    drop(client);
}

/// The first endpoint fails after a while, and the next one receives the time that is left by then.
#[test]
fn a_retry_carries_the_current_time_left() {
    let fixture = Fixture::start(&[LONG_STATEMENT_TIMEOUT, LONG_SLO_TIME]);
    let mut client = fixture.router.client();
    let sent = Instant::now();
    client.send(&read(7, 8000)).expect("query could not be sent");
    let first = fixture.replica.next_statement();
    thread::sleep(Duration::from_millis(500));
    first.fail("53300");
    let arrival = fixture.primary.next_statement();
    let excess = excess(&arrival, sent, 8000);
    assert!(excess <= SLACK, "{excess:?}");
    arrival.answer("served");
    assert_eq!(client.read_answer().expect("no answer"), "row:served SELECT 1");
}
