//! Trouble at the hosts or with other clients, and a stop in the middle of it: no request goes without its one final answer.

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

use fixture::{PATIENCE, Service, read_as, service, write};
use ottersill_testkit::stand_in::{Behaviour, Client};
use rstest::rstest;
use support::machine::own_time;
use support::may_have_read_all;

/// How long each of them waits for an answer.
const TIME_LEFT_MS: u32 = 1000;
/// From SIGTERM to the earliest SIGKILL, for a longest deadline of 2 s.
const KILLED_AFTER: Duration = Duration::from_millis(2700);
/// What arrives later than this after SIGTERM may be left unanswered by the SIGKILL.
const OWED_UNTIL: Duration = Duration::from_millis(700);
/// Descriptors of a router that is to run out of them.
const FEW: usize = 60;

/// What other clients do meanwhile.
#[derive(Clone, Copy)]
enum Others {
    Nothing,
    /// Send many requests ahead, read nothing, and leave.
    Flood,
    /// Hold as many connections as they get, and say nothing.
    Crowd,
    FloodAndCrowd,
}

/// Each of these costs a request at most its row. Clients ask all the while, one request after the other: each has one final answer, in its time, also if the router is
/// told to stop meanwhile, and before it may be killed. Right already.
#[rstest]
#[case::flood(1024, 6, [Behaviour::Primary, Behaviour::Replica, Behaviour::Replica], Others::Flood)]
#[case::spoilt_answers(1024, 6, [Behaviour::CorruptsRow; 3], Others::Nothing)]
#[case::babble(1024, 6, [Behaviour::SendsInvalidMessage; 3], Others::Nothing)]
#[case::resets(1024, 6, [Behaviour::ResetsConnection; 3], Others::Nothing)]
#[case::silent_crowd(FEW, 6, [Behaviour::Primary, Behaviour::Replica, Behaviour::Replica], Others::Crowd)]
#[case::more_clients_than_descriptors(FEW, 40, [Behaviour::NeverAnswers; 3], Others::Nothing)]
#[case::all_at_once(
    FEW,
    40,
    [Behaviour::CorruptsRow, Behaviour::ResetsConnection, Behaviour::NeverAnswers],
    Others::FloodAndCrowd
)]
fn each_request_is_answered_through(
    #[case] descriptors: usize,
    #[case] clients: u32,
    #[case] hosts: [Behaviour; 3],
    #[case] others: Others,
) {
    let mut service = service(descriptors);
    let at = service.router.at;
    let over = Arc::new(AtomicBool::new(false));
    let askers: Vec<JoinHandle<Vec<Asked>>> =
        (0..clients).map(|number| ask_until(number, at, &over)).collect();
    for (host, behaviour) in hosts.into_iter().enumerate() {
        service.store.set_behaviour(host, behaviour);
    }
    let others = start(others, at, &over);
    thread::sleep(Duration::from_millis(500));
    let told_at = Instant::now();
    service.signal("-TERM");
    thread::sleep(OWED_UNTIL);
    over.store(true, Ordering::Relaxed);
    let asked: Vec<Asked> = askers.into_iter().flat_map(|asker| asker.join().expect("a client")).collect();
    others.into_iter().for_each(|other| other.join().expect("another client"));
    let owed: Vec<&Asked> = asked.iter().filter(|asked| asked.sent_at < told_at + OWED_UNTIL).collect();
    assert!(owed.len() >= clients as usize);
    for asked in owed {
        assert_eq!(asked.answers, 1, "{asked:?}");
        // The second is for a machine that is busy.
        let due = asked.sent_at + Duration::from_millis(u64::from(TIME_LEFT_MS) + 1000);
        let in_time = asked.answered_at < due.min(told_at + KILLED_AFTER) || {
            let took = own_time(asked.sent_at, asked.answered_at);
            let since_told = own_time(told_at.min(asked.answered_at), asked.answered_at);
            took < due - asked.sent_at && since_told < KILLED_AFTER
        };
        assert!(in_time, "{asked:?}");
    }
    ends_in_order(&mut service);
}

fn ends_in_order(service: &mut Service) {
    let (code, log) = service.exit();
    assert!(code == Some(0) && log.contains("invariant_violations_total=0"), "{code:?}\n{log}");
}

/// A request, and what became of it.
#[derive(Debug)]
#[allow(dead_code, reason = "the text is for the message of a failure")]
struct Asked {
    text: String,
    sent_at: Instant,
    answered_at: Instant,
    answers: usize,
}

fn ask_until(number: u32, at: SocketAddr, over: &Arc<AtomicBool>) -> JoinHandle<Vec<Asked>> {
    let over = Arc::clone(over);
    thread::spawn(move || {
        let mut asked = Vec::new();
        let mut client = None;
        for round in 0.. {
            if over.load(Ordering::Relaxed) {
                break;
            }
            let id = number * 0x10_0000 + round;
            let text = match round % 2 {
                0 => read_as(id, TIME_LEFT_MS),
                _ => write("1f", TIME_LEFT_MS).replace("id=5d", &format!("id=e{id:x}")),
            };
            let Some((sent_at, answers)) = ask_once(&mut client, at, &text) else { break };
            asked.push(Asked { text, sent_at, answered_at: Instant::now(), answers });
        }
        asked
    })
}

/// Asks on the client's connection, or on a new one; gives when the request was sent and how many final answers came. One that crosses the end of its
/// connection lies unread at the router and is sent again, as the protocol page has it. None if nobody can connect any more.
fn ask_once(kept: &mut Option<Client>, at: SocketAddr, text: &str) -> Option<(Instant, usize)> {
    loop {
        let mut client = match kept.take() {
            Some(client) => client,
            None => {
                // Nobody comes again at once for ever; the system would have to remember all these connections.
                thread::sleep(Duration::from_millis(20));
                connect(at).ok()?
            }
        };
        let from = client.socket.local_addr().expect("an address");
        let sent = client.send(text);
        let sent_at = Instant::now();
        let heard = sent.and_then(|()| final_answers(&mut client));
        match heard {
            Ok((answers, is_open)) => {
                *kept = Some(client).filter(|_| is_open);
                return Some((sent_at, answers));
            }
            Err(error) => {
                assert!(error.kind() != io::ErrorKind::WouldBlock, "neither an answer nor an end: {text}");
                if was_read(at, from) {
                    return Some((sent_at, 0));
                }
            }
        }
    }
}

fn connect(at: SocketAddr) -> io::Result<Client> {
    let client = Client::connect(at)?;
    client.socket.set_read_timeout(Some(PATIENCE))?;
    Ok(client)
}

/// Whether a request whose connection was ended was read before; what was written may take a while to be there.
fn was_read(router: SocketAddr, client: SocketAddr) -> bool {
    (0..20).all(|_| {
        thread::sleep(Duration::from_millis(5));
        may_have_read_all(router, client)
    })
}

/// Reads up to ReadyForQuery, or to the end behind an answer: how many rows and errors came, and whether the connection goes on.
fn final_answers(client: &mut Client) -> io::Result<(usize, bool)> {
    let mut answers = 0;
    let mut greeted = false;
    loop {
        match client.receive_message() {
            // The greeting of a new connection ends in this too.
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

fn start(others: Others, at: SocketAddr, over: &Arc<AtomicBool>) -> Vec<JoinHandle<()>> {
    let spawn = |what: fn(SocketAddr, &AtomicBool)| {
        let over = Arc::clone(over);
        thread::spawn(move || what(at, &over))
    };
    match others {
        Others::Nothing => Vec::new(),
        Others::Flood => vec![spawn(flood), spawn(flood)],
        Others::Crowd => vec![spawn(crowd)],
        Others::FloodAndCrowd => vec![spawn(flood), spawn(crowd)],
    }
}

fn flood(at: SocketAddr, over: &AtomicBool) {
    for round in 0.. {
        if over.load(Ordering::Relaxed) {
            return;
        }
        let Ok(mut client) = connect(at) else { return };
        for number in 0..200 {
            let id = 0x1000_0000 + round * 200 + number;
            // It may be closed before it has sent all.
            if client.send(&read_as(id, TIME_LEFT_MS)).is_err() {
                break;
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
}

fn crowd(at: SocketAddr, over: &AtomicBool) {
    let mut held = Vec::new();
    while !over.load(Ordering::Relaxed) && held.len() < 400 {
        let Ok(socket) = TcpStream::connect(at) else { return };
        held.push(socket);
        thread::sleep(Duration::from_millis(3));
    }
}
