//! Peers that do only what a test tells them, when it tells them: a host and a discovery whose answers are given by hand,
//! so that an order of events is forced rather than hoped for.

use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rustix::net::sockopt;

use crate::stand_in::{error, message, parameter, row, unix_ms};

/// Longer than anything that a test waits for may take on a busy machine.
const PATIENCE: Duration = Duration::from_secs(20);
/// Between two looks at whether a connection that rests is to be ended.
const LOOK: Duration = Duration::from_millis(5);

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Ends the connection by a reset, without an orderly end before.
fn reset(socket: TcpStream) -> io::Result<()> {
    sockopt::set_socket_linger(&socket, Some(Duration::ZERO))?;
    drop(socket);
    Ok(())
}

/// The orderly end, at once: a socket that is only dropped stays open for as long as a program that another thread starts
/// just then still holds this one's descriptors.
fn end(socket: &TcpStream) {
    // It fails where the other side has ended it already.
    let _ = socket.shutdown(Shutdown::Write);
}

struct Behaviour {
    greets: bool,
    primary: bool,
    /// Its position, where that stands still.
    stands_at_ms: Option<u128>,
    /// Connections that have said their startup message and were not greeted; that are being greeted; that rest.
    kept_waiting: usize,
    greeting: usize,
    resting: usize,
}

struct Shared {
    behaviour: Mutex<Behaviour>,
    changed: Condvar,
}

/// A host that answers probes by itself, and statements as it is told.
pub struct ScriptedEndpoint {
    pub at: SocketAddr,
    shared: Arc<Shared>,
    arrivals: Receiver<ReceivedStatement>,
}

/// A statement that has come in whole, on a connection on which nothing else happens until it is dealt with.
pub struct ReceivedStatement {
    pub text: String,
    pub came: Instant,
    socket: TcpStream,
    shared: Arc<Shared>,
    to: Sender<ReceivedStatement>,
}

impl ScriptedEndpoint {
    pub fn start(primary: bool) -> io::Result<ScriptedEndpoint> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let behaviour =
            Behaviour { greets: true, primary, stands_at_ms: None, kept_waiting: 0, greeting: 0, resting: 0 };
        let shared = Arc::new(Shared { behaviour: Mutex::new(behaviour), changed: Condvar::new() });
        let (to, arrivals) = channel();
        let kept = Arc::clone(&shared);
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (shared, to) = (Arc::clone(&kept), to.clone());
                // A connection that breaks is the router's affair.
                thread::spawn(move || greet(socket, shared, to));
            }
        });
        Ok(ScriptedEndpoint { at, shared, arrivals })
    }

    /// Greets who dials, from now on, and those who wait for it.
    pub fn resume_greeting(&self) {
        lock(&self.shared.behaviour).greets = true;
        self.shared.changed.notify_all();
    }

    /// Greets nobody from now on, and ends all connections but those on which a statement is out, so that whatever comes
    /// next has to dial.
    pub fn hold_greeting_and_close_idle(&self) {
        lock(&self.shared.behaviour).greets = false;
        self.until("what rests ends", |behaviour| behaviour.resting == 0);
    }

    pub fn freeze_position(&self) {
        lock(&self.shared.behaviour).stands_at_ms = Some(unix_ms());
    }

    /// Waits until so many connections want to be greeted.
    pub fn wait_for_connections(&self, connections: usize) {
        self.until("it is dialled", |behaviour| behaviour.kept_waiting >= connections);
    }

    /// Waits until nobody who dialled is left without a greeting, and each greeting is written.
    pub fn wait_until_greeted(&self) {
        self.until("all are greeted", |behaviour| behaviour.kept_waiting == 0 && behaviour.greeting == 0);
    }

    fn until(&self, what: &str, holds: impl Fn(&Behaviour) -> bool) {
        let started = Instant::now();
        while !holds(&lock(&self.shared.behaviour)) {
            assert!(started.elapsed() < PATIENCE, "not within {PATIENCE:?}: {what}");
            thread::sleep(LOOK);
        }
    }

    /// The next statement.
    pub fn next(&self) -> ReceivedStatement {
        self.arrivals.recv_timeout(PATIENCE).expect("a statement comes")
    }

    /// The next statement, if one comes within that time.
    pub fn next_within(&self, within: Duration) -> Option<ReceivedStatement> {
        self.arrivals.recv_timeout(within).ok()
    }
}

fn ready(behaviour: &Behaviour) -> Vec<u8> {
    let mut out = parameter("recovery", if behaviour.primary { "off" } else { "on" });
    out.extend(parameter("lsn_ms", &position(behaviour).to_string()));
    out.extend(message(b'Z', b"I"));
    out
}

fn position(behaviour: &Behaviour) -> u128 {
    behaviour.stands_at_ms.unwrap_or_else(unix_ms)
}

fn greet(mut socket: TcpStream, shared: Arc<Shared>, to: Sender<ReceivedStatement>) -> io::Result<()> {
    socket.set_nodelay(true)?;
    let mut length = [0; 4];
    socket.read_exact(&mut length)?;
    let mut startup = vec![0; (u32::from_be_bytes(length) as usize).saturating_sub(4).min(10_000)];
    socket.read_exact(&mut startup)?;
    let mut behaviour = lock(&shared.behaviour);
    behaviour.kept_waiting += 1;
    while !behaviour.greets {
        behaviour = shared.changed.wait(behaviour).unwrap_or_else(PoisonError::into_inner);
    }
    behaviour.kept_waiting -= 1;
    behaviour.greeting += 1;
    let mut out = message(b'R', &[0; 4]);
    out.extend(ready(&behaviour));
    drop(behaviour);
    // Where nobody reads it any more, the next reading tells.
    let _ = socket.write_all(&out);
    lock(&shared.behaviour).greeting -= 1;
    serve(socket, shared, to)
}

/// Reads on a connection until a statement has come, which takes the connection with it. Probes are answered on the way.
fn serve(mut socket: TcpStream, shared: Arc<Shared>, to: Sender<ReceivedStatement>) -> io::Result<()> {
    lock(&shared.behaviour).resting += 1;
    let came = loop {
        match read_message(&mut socket, &shared) {
            Ok((b'Q', body)) => {
                let text = String::from_utf8_lossy(&body).trim_end_matches('\0').to_string();
                if text != "SHOW health" {
                    break Some(text);
                }
                let mut out = {
                    let behaviour = lock(&shared.behaviour);
                    let (at, x1) = (position(&behaviour), u8::from(behaviour.primary));
                    row(
                        format!("x0={}.{:03},x1={x1},utilization=0.1", at / 1000, at % 1000).as_bytes(),
                        "SHOW",
                    )
                };
                out.extend(ready(&lock(&shared.behaviour)));
                // Where nobody reads it any more, the next reading tells.
                let _ = socket.write_all(&out);
            }
            _ => break None,
        }
    };
    match came {
        // A test that is over hears no more.
        Some(text) => {
            let shared = Arc::clone(&shared);
            let _ = to.clone().send(ReceivedStatement { text, came: Instant::now(), socket, shared, to });
        }
        None => end(&socket),
    }
    lock(&shared.behaviour).resting -= 1;
    Ok(())
}

/// A message, or an error once the connection is to be ended.
fn read_message(socket: &mut TcpStream, shared: &Shared) -> io::Result<(u8, Vec<u8>)> {
    socket.set_read_timeout(Some(LOOK))?;
    let mut tag = [0; 1];
    loop {
        match socket.read(&mut tag) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(_) => break,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                if !lock(&shared.behaviour).greets {
                    return Err(ErrorKind::ConnectionAborted.into());
                }
            }
            Err(e) => return Err(e),
        }
    }
    socket.set_read_timeout(None)?;
    let mut length = [0; 4];
    socket.read_exact(&mut length)?;
    let mut body = vec![0; (u32::from_be_bytes(length) as usize).saturating_sub(4).min(1 << 20)];
    socket.read_exact(&mut body)?;
    Ok((tag[0], body))
}

impl ReceivedStatement {
    fn go_on(mut self, mut out: Vec<u8>) {
        out.extend(ready(&lock(&self.shared.behaviour)));
        // Where nobody reads it any more, the next reading tells.
        let _ = self.socket.write_all(&out);
        let ReceivedStatement { socket, shared, to, .. } = self;
        thread::spawn(move || serve(socket, shared, to));
    }

    pub fn answer(self, value: &str) {
        let tag = if self.text.starts_with("SELECT") { "SELECT 1" } else { "INSERT 0 1" };
        self.go_on(row(value.as_bytes(), tag));
    }

    pub fn fail(self, code: &str) {
        self.go_on(error(code, "as it was told"));
    }

    /// The same, and the connection ends with it.
    pub fn fail_and_close(mut self, code: &str) {
        let mut out = error(code, "as it was told");
        out.extend(ready(&lock(&self.shared.behaviour)));
        let _ = self.socket.write_all(&out);
        end(&self.socket);
    }

    /// So much of an answer, and then a reset.
    pub fn answer_partly_and_reset(mut self, value: &str, bytes: usize) {
        let whole = row(value.as_bytes(), "SELECT 1");
        let _ = self.socket.write_all(&whole[..bytes.min(whole.len())]);
        let _ = reset(self.socket);
    }
}

/// A discovery of which each call is answered by hand.
pub struct ScriptedDiscovery {
    pub at: SocketAddr,
    calls: Receiver<DiscoveryCall>,
}

pub struct DiscoveryCall {
    pub path: String,
    pub came: Instant,
    socket: TcpStream,
    to: Sender<DiscoveryCall>,
}

impl ScriptedDiscovery {
    pub fn start() -> io::Result<ScriptedDiscovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let (to, calls) = channel();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let to = to.clone();
                thread::spawn(move || hear(socket, to));
            }
        });
        Ok(ScriptedDiscovery { at, calls })
    }

    pub fn next(&self) -> DiscoveryCall {
        self.calls.recv_timeout(PATIENCE).expect("a call comes")
    }

    pub fn next_within(&self, within: Duration) -> Option<DiscoveryCall> {
        self.calls.recv_timeout(within).ok()
    }
}

/// Waits for one request, which takes the connection with it.
fn hear(socket: TcpStream, to: Sender<DiscoveryCall>) -> io::Result<()> {
    let mut lines = BufReader::new(&socket).lines();
    let Some(path) = lines.next().transpose()? else { return Ok(()) };
    while lines.next().transpose()?.is_some_and(|header| !header.is_empty()) {}
    drop(lines);
    let _ = to.send(DiscoveryCall { path, came: Instant::now(), socket, to: to.clone() });
    Ok(())
}

impl DiscoveryCall {
    pub fn say(&mut self, bytes: &str) {
        // Where the router has given the call up, that is what the test is about.
        let _ = self.socket.write_all(bytes.as_bytes());
    }

    pub fn answer(mut self, list: &str) {
        self.say(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()));
        let DiscoveryCall { socket, to, .. } = self;
        thread::spawn(move || hear(socket, to));
    }

    pub fn reset(self) {
        let _ = reset(self.socket);
    }

    /// The orderly end.
    pub fn end(self) {
        end(&self.socket);
    }
}

/// Discovery's list, each host by its name, its address and its health.
pub fn endpoint_list(seq: u64, hosts: &[(&str, SocketAddr, &str)]) -> String {
    let entry = |(name, at, health): &(&str, SocketAddr, &str)| {
        format!(
            "{{\"host\":\"{name}\",\"dial\":\"{at}\",\"site\":\"here\",\"class\":\"toy\",\"block\":1,\
             \"health\":\"{health}\",\"share\":1.0,\"born_ms\":0}}"
        )
    };
    let hosts: Vec<String> = hosts.iter().map(entry).collect();
    format!("{{\"seq\":{seq},\"whole\":true,\"hosts\":[{}]}}", hosts.join(","))
}
