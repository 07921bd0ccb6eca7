//! Failures of endpoints or floods of other clients, with a shutdown in the middle: every request gets exactly one
//! final answer.

#[path = "service/fixture.rs"]
#[allow(dead_code, reason = "the other users of the fixture need more of it")]
mod fixture;
mod support;

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use fixture::{Service, TIMEOUT, read_with_id, start_service, write_with_id};
use ottersill_testkit::stand_in::{Behaviour, Client};
use rstest::rstest;
use support::machine::time_without_stalls;
use support::may_have_read_all;

/// Deadline of each request.
const DEADLINE_MS: u32 = 1000;
/// Time from SIGTERM to the earliest SIGKILL, for a longest deadline of 2 s.
const SIGKILL_AFTER: Duration = Duration::from_millis(2700);
/// Requests that arrive later than this after SIGTERM may be left unanswered because of the SIGKILL.
const ANSWERS_REQUIRED_UNTIL: Duration = Duration::from_millis(700);
/// Descriptor limit of a router that is to run out of descriptors.
const FEW_DESCRIPTORS: usize = 60;

/// What other clients do at the same time.
#[derive(Clone, Copy)]
enum OtherClients {
    Nothing,
    /// Pipeline many requests, read nothing, and disconnect.
    Flood,
    /// Hold as many connections as they can open, and send nothing.
    IdleConnections,
    FloodAndIdleConnections,
}

/// Each of these failures costs a request at most its row. Clients send one request after the other throughout: each
/// gets one final answer, in time, also if the router receives SIGTERM meanwhile, and before it may be killed.
#[rstest]
#[case::flood(1024, 6, [Behaviour::Primary, Behaviour::Replica, Behaviour::Replica], OtherClients::Flood)]
#[case::corrupt_rows(1024, 6, [Behaviour::CorruptsRow; 3], OtherClients::Nothing)]
#[case::invalid_messages(1024, 6, [Behaviour::SendsInvalidMessage; 3], OtherClients::Nothing)]
#[case::resets(1024, 6, [Behaviour::ResetsConnection; 3], OtherClients::Nothing)]
#[case::idle_connections(
    FEW_DESCRIPTORS,
    6,
    [Behaviour::Primary, Behaviour::Replica, Behaviour::Replica],
    OtherClients::IdleConnections
)]
#[case::more_clients_than_descriptors(FEW_DESCRIPTORS, 40, [Behaviour::NeverAnswers; 3], OtherClients::Nothing)]
#[case::all_at_once(
    FEW_DESCRIPTORS,
    40,
    [Behaviour::CorruptsRow, Behaviour::ResetsConnection, Behaviour::NeverAnswers],
    OtherClients::FloodAndIdleConnections
)]
fn each_request_gets_one_answer_in_time(
    #[case] descriptors: usize,
    #[case] clients: u32,
    #[case] endpoints: [Behaviour; 3],
    #[case] others: OtherClients,
) {
    let mut service = start_service(descriptors);
    let address = service.router.address;
    let is_over = Arc::new(AtomicBool::new(false));
    let senders: Vec<JoinHandle<Vec<RequestOutcome>>> =
        (0..clients).map(|number| send_requests_until(number, address, &is_over)).collect();
    for (endpoint, behaviour) in endpoints.into_iter().enumerate() {
        service.store.set_behaviour(endpoint, behaviour);
    }
    let others = start_other_clients(others, address, &is_over);
    thread::sleep(Duration::from_millis(500));
    let signalled_at = Instant::now();
    service.signal("-TERM");
    thread::sleep(ANSWERS_REQUIRED_UNTIL);
    is_over.store(true, Ordering::Relaxed);
    let requests: Vec<RequestOutcome> =
        senders.into_iter().flat_map(|sender| sender.join().expect("client thread panicked")).collect();
    others.into_iter().for_each(|other| other.join().expect("thread of another client panicked"));
    let required: Vec<&RequestOutcome> =
        requests.iter().filter(|request| request.sent_at < signalled_at + ANSWERS_REQUIRED_UNTIL).collect();
    assert!(required.len() >= clients as usize);
    for request in required {
        assert_eq!(request.answers, 1, "{request:?}");
        // The extra second allows for a busy machine.
        let due = request.sent_at + Duration::from_millis(u64::from(DEADLINE_MS) + 1000);
        let in_time = request.answered_at < due.min(signalled_at + SIGKILL_AFTER) || {
            let took = time_without_stalls(request.sent_at, request.answered_at);
            let since_signal =
                time_without_stalls(signalled_at.min(request.answered_at), request.answered_at);
            took < due - request.sent_at && since_signal < SIGKILL_AFTER
        };
        assert!(in_time, "{request:?}");
    }
    assert_clean_exit(&mut service);
}

fn assert_clean_exit(service: &mut Service) {
    let (code, log) = service.wait_for_exit();
    assert!(code == Some(0) && log.contains("invariant_violations_total=0"), "{code:?}\n{log}");
}

/// A request and its outcome.
#[derive(Debug)]
#[allow(dead_code, reason = "the text is for the message of a failure")]
struct RequestOutcome {
    text: String,
    sent_at: Instant,
    answered_at: Instant,
    answers: usize,
}

fn send_requests_until(
    number: u32,
    address: SocketAddr,
    is_over: &Arc<AtomicBool>,
) -> JoinHandle<Vec<RequestOutcome>> {
    let is_over = Arc::clone(is_over);
    thread::spawn(move || {
        let mut requests = Vec::new();
        let mut client = None;
        for round in 0.. {
            if is_over.load(Ordering::Relaxed) {
                break;
            }
            let id = number * 0x10_0000 + round;
            let text = match round % 2 {
                0 => read_with_id(id, DEADLINE_MS),
                _ => write_with_id(id, "1f", DEADLINE_MS),
            };
            let Some((sent_at, answers)) = send_until_read(&mut client, address, &text) else { break };
            requests.push(RequestOutcome { text, sent_at, answered_at: Instant::now(), answers });
        }
        requests
    })
}

/// Sends a request on the client's connection, or on a new one; returns when it was sent and how many final answers
/// arrived. A request that crosses the end of its connection stays unread at the router and is sent again, as the
/// protocol page allows. Returns None if no connection can be opened any more.
fn send_until_read(kept: &mut Option<Client>, address: SocketAddr, text: &str) -> Option<(Instant, usize)> {
    loop {
        let mut client = match kept.take() {
            Some(client) => client,
            None => {
                // Limits the rate of new connections, as the system keeps state of each one for a while.
                thread::sleep(Duration::from_millis(20));
                connect(address).ok()?
            }
        };
        let from = client.socket.local_addr().expect("socket has no local address");
        let sent = client.send(text);
        let sent_at = Instant::now();
        let result = sent.and_then(|()| final_answers(&mut client));
        match result {
            Ok((answers, is_open)) => {
                *kept = Some(client).filter(|_| is_open);
                return Some((sent_at, answers));
            }
            Err(error) => {
                assert!(
                    error.kind() != io::ErrorKind::WouldBlock,
                    "neither an answer nor the end of the connection: {text}"
                );
                if was_read(address, from) {
                    return Some((sent_at, 0));
                }
            }
        }
    }
}

fn connect(address: SocketAddr) -> io::Result<Client> {
    let client = Client::connect(address)?;
    client.socket.set_read_timeout(Some(TIMEOUT))?;
    Ok(client)
}

/// Whether the router read a request before it ended the connection. Written data may take a while to arrive, so it
/// checks repeatedly.
fn was_read(router: SocketAddr, client: SocketAddr) -> bool {
    (0..20).all(|_| {
        thread::sleep(Duration::from_millis(5));
        may_have_read_all(router, client)
    })
}

/// Reads up to ReadyForQuery, or to the end of the connection after an answer; returns how many rows and errors
/// arrived, and whether the connection stays open.
fn final_answers(client: &mut Client) -> io::Result<(usize, bool)> {
    let mut answers = 0;
    let mut greeted = false;
    loop {
        match client.receive_message() {
            // The greeting of a new connection ends in ReadyForQuery too.
            Ok((b'R', _)) => greeted = true,
            Ok((b'Z', _)) if greeted && answers == 0 => greeted = false,
            Ok((b'Z', _)) => return Ok((answers, true)),
            Ok((b'D' | b'E', _)) => answers += 1,
            Ok(_) => {}
            Err(_) if answers > 0 => return Ok((answers, false)),
            Err(error) => return Err(error),
        }
    }
}

fn start_other_clients(
    others: OtherClients,
    address: SocketAddr,
    is_over: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let spawn = |run: fn(SocketAddr, &AtomicBool)| {
        let is_over = Arc::clone(is_over);
        thread::spawn(move || run(address, &is_over))
    };
    match others {
        OtherClients::Nothing => Vec::new(),
        OtherClients::Flood => vec![spawn(flood), spawn(flood)],
        OtherClients::IdleConnections => vec![spawn(open_idle_connections)],
        OtherClients::FloodAndIdleConnections => vec![spawn(flood), spawn(open_idle_connections)],
    }
}

fn flood(address: SocketAddr, is_over: &AtomicBool) {
    for round in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let Ok(mut client) = connect(address) else { return };
        for number in 0..200 {
            let id = 0x1000_0000 + round * 200 + number;
            // The router may close the connection before everything is sent.
            if client.send(&read_with_id(id, DEADLINE_MS)).is_err() {
                break;
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
}

fn open_idle_connections(address: SocketAddr, is_over: &AtomicBool) {
    let mut held = Vec::new();
    while !is_over.load(Ordering::Relaxed) && held.len() < 400 {
        let Ok(socket) = TcpStream::connect(address) else { return };
        held.push(socket);
        thread::sleep(Duration::from_millis(3));
    }
}
