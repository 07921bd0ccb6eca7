//! The time left that a statement tells its host (`d`) is at most what its client has, with 0.15 s of slack.

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

const SLACK: Duration = Duration::from_millis(150);
/// Of the slack, what is left to the way to the host when a router was held up for as long as it may be.
const WAY: Duration = Duration::from_millis(30);

/// The time left that the host was told.
fn told(arrival: &ReceivedStatement) -> Duration {
    let told = arrival.text.rsplit(",d=").next().and_then(|d| d.split([',', ' ']).next()?.parse().ok());
    Duration::from_millis(told.expect("a time left"))
}

/// By how much this exceeds what the client, which sent it at that time, had left as it came.
fn excess(arrival: &ReceivedStatement, sent: Instant, had_ms: u64) -> Duration {
    let waited = arrival.received_at.saturating_duration_since(sent);
    (told(arrival) + waited).saturating_sub(Duration::from_millis(had_ms))
}

/// Passes a connection on, in small segments and with small buffers, and stops to pass on what goes to the host while told so:
/// a long statement is then written in parts.
struct NarrowPath {
    at: SocketAddr,
    blocked: Arc<AtomicBool>,
}

impl NarrowPath {
    fn start(host: SocketAddr) -> NarrowPath {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        // With segments this small the other side's buffer holds half of the longest statement.
        socket.set_tcp_mss(100).expect("small segments");
        socket.set_recv_buffer_size(2048).expect("a small buffer");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("an address");
        socket.listen(64).expect("a listener");
        let listener = TcpListener::from(socket);
        let at = listener.local_addr().expect("an address");
        let blocked = Arc::new(AtomicBool::new(false));
        let kept = Arc::clone(&blocked);
        thread::spawn(move || {
            for router in listener.incoming().flatten() {
                let host = TcpStream::connect(host).expect("a connection");
                let back = (host.try_clone().expect("the same"), router.try_clone().expect("the same"));
                let blocked = Arc::clone(&kept);
                thread::spawn(move || pass_on(router, host, &blocked));
                thread::spawn(move || pass_on(back.0, back.1, &AtomicBool::new(false)));
            }
        });
        NarrowPath { at, blocked }
    }
}

fn pass_on(mut from: TcpStream, mut to: TcpStream, blocked: &AtomicBool) {
    let mut space = [0; 4096];
    to.set_nodelay(true).expect("no delay");
    loop {
        while blocked.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(1));
        }
        match from.read(&mut space) {
            Ok(bytes) if bytes > 0 && to.write_all(&space[..bytes]).is_ok() => {}
            // It ends with either side.
            _ => return to.shutdown(std::net::Shutdown::Write).unwrap_or_default(),
        }
    }
}

/// A long write that is stuck halfway to its primary.
fn half_written() -> (Fixture, NarrowPath, ottersill_testkit::stand_in::Client, Instant) {
    let discovery = ScriptedDiscovery::start().expect("discovery");
    let (primary, replica) =
        (ScriptedEndpoint::start(true).expect("a host"), ScriptedEndpoint::start(false).expect("a host"));
    let path = NarrowPath::start(primary.address);
    let router = Router::spawn(&config_text(discovery.address, &[LONG, LATE]), None);
    let hosts = [("one", path.at, "active"), ("two", replica.address, "active")];
    discovery.serve_list(1, &endpoint_list(1, &hosts));
    let fixture = Fixture { primary, replica, discovery, router: router.until_ready() };
    let mut client = fixture.router.client();
    client.send(&write(1, 9000)).expect("a query");
    fixture.primary.next_statement().answer("first");
    assert_eq!(client.read_answer().expect("an answer"), "row:first INSERT 0 1");
    path.blocked.store(true, Ordering::Relaxed);
    let long = write(7, 3000).replace("\\x61", &format!("\\x{}", "61".repeat(65_000)));
    let sent = Instant::now();
    client.send(&long).expect("a long query");
    (fixture, path, client, sent)
}

/// What was not written at once went out later, with the time that was left at first.
#[test]
fn a_statement_written_in_parts_tells_what_is_left_by_then() {
    let (fixture, path, mut client, sent) = half_written();
    thread::sleep(Duration::from_millis(700));
    path.blocked.store(false, Ordering::Relaxed);
    let arrival = fixture.primary.next_statement();
    let excess = excess(&arrival, sent, 3000);
    assert!(excess <= SLACK, "{excess:?}");
    arrival.answer("whole");
    assert_eq!(client.read_answer().expect("an answer"), "row:whole INSERT 0 1");
}

/// Its client closes while a part of it is written: the rest is not, so that it never begins.
#[test]
fn a_statement_written_in_parts_does_not_begin_for_a_client_that_is_gone() {
    let (fixture, path, client, _) = half_written();
    thread::sleep(Duration::from_millis(100));
    let gone = client.socket.local_addr().expect("an address");
    drop(client);
    until("the router sees the end", || router_side(fixture.router.at, gone).is_none());
    path.blocked.store(false, Ordering::Relaxed);
    assert!(fixture.primary.next_within(Duration::from_millis(500)).is_none());
}

/// The query lay in the router's buffer while the router stood still, which it can't know. Its time was counted from the reading
/// of it, which used up the slack: nothing was left for the way to the host.
#[test]
fn a_query_that_came_while_the_router_was_held_up_tells_no_more_than_is_left() {
    let fixture = Fixture::start(&[]);
    let mut client = fixture.router.client();
    fixture.router.signal("-STOP");
    client.send(&read(7, 2000)).expect("a query");
    thread::sleep(SLACK);
    fixture.router.signal("-CONT");
    let arrival = fixture.replica.next_statement();
    let excess = (told(&arrival) + SLACK).saturating_sub(Duration::from_millis(2000));
    assert!(excess + WAY <= SLACK, "{excess:?}");
    arrival.answer("served");
    assert_eq!(client.read_answer().expect("an answer"), "row:served SELECT 1");
}

/// The connection comes up late: the time that this took is subtracted. Right already.
#[test]
fn a_statement_on_a_late_connection_tells_what_is_left() {
    let fixture = Fixture::start(&[PATIENT, LONG, LATE]);
    let sent = Instant::now();
    let client = fixture.read_on_its_way(7, 8000);
    thread::sleep(Duration::from_millis(500));
    fixture.replica.resume_greeting();
    let arrival = fixture.replica.next_statement();
    let excess = excess(&arrival, sent, 8000);
    assert!(excess <= SLACK, "{excess:?}");
    drop(client);
}

/// The first host fails after a while, and the next one is told what is left by then. Right already.
#[test]
fn a_retry_tells_what_is_left() {
    let fixture = Fixture::start(&[LONG, LATE]);
    let mut client = fixture.router.client();
    let sent = Instant::now();
    client.send(&read(7, 8000)).expect("a query");
    let first = fixture.replica.next_statement();
    thread::sleep(Duration::from_millis(500));
    first.fail("53300");
    let arrival = fixture.primary.next_statement();
    let excess = excess(&arrival, sent, 8000);
    assert!(excess <= SLACK, "{excess:?}");
    arrival.answer("served");
    assert_eq!(client.read_answer().expect("an answer"), "row:served SELECT 1");
}
