//! An endpoint that answers health checks by itself, and statements as the test says.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::clock::unix_ms;
use crate::stand_in::pg_messages::{
    HEALTH_QUERY, MAX_BODY_BYTES, authentication_ok, error_response, health_report, query_text, read_body,
    read_startup, ready_for_query, single_row,
};
use crate::sync::lock;

use super::PATIENCE;
use super::connection::{close, reset};

/// Between two checks of whether an idle connection is to be closed.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// The text of each error that a test orders.
const ERROR_TEXT: &str = "as it was told";

/// What becomes of connections that are idle when a test orders it.
#[derive(Clone, Copy)]
enum IdleEnd {
    /// They are reset.
    Reset,
    /// They stay open, and nothing that comes on them is answered, as where the network has lost them without a sign.
    Forgotten,
}

/// What the test has ordered, and how many connections are in which phase.
struct State {
    /// Whether connections are greeted; while not, idle ones are closed.
    greets: bool,
    /// Orders that concern the connections that were idle then, the oldest first.
    idle_ends: Vec<IdleEnd>,
    is_primary: bool,
    /// The replay position, where the test has frozen it.
    frozen_position_ms: Option<u128>,
    /// Connections whose startup message was read and that were not greeted.
    awaiting_greeting: usize,
    /// Connections to which the greeting is being written.
    being_greeted: usize,
    /// Connections without a statement in hand.
    idle: usize,
}

impl State {
    fn position_ms(&self) -> u128 {
        self.frozen_position_ms.unwrap_or_else(unix_ms)
    }

    fn ready(&self) -> Vec<u8> {
        ready_for_query(self.is_primary, self.position_ms())
    }

    fn greeting(&self) -> Vec<u8> {
        let mut greeting = authentication_ok();
        greeting.extend(self.ready());
        greeting
    }

    fn health_report(&self) -> Vec<u8> {
        let mut report = health_report(self.is_primary, self.position_ms());
        report.extend(self.ready());
        report
    }
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// An endpoint that answers health checks by itself, and statements as the test says.
pub struct ScriptedEndpoint {
    /// Where it listens.
    pub at: SocketAddr,
    shared: Arc<Shared>,
    statements: Receiver<ReceivedStatement>,
}

/// A statement that was received whole, with its connection, on which nothing else happens until it is dealt with.
pub struct ReceivedStatement {
    /// The statement, with its comment.
    pub text: String,
    /// When it was received.
    pub came: Instant,
    socket: TcpStream,
    shared: Arc<Shared>,
    statements: Sender<ReceivedStatement>,
}

impl ScriptedEndpoint {
    /// Starts one on a port of its own. Fails if none can be bound.
    pub fn start(is_primary: bool) -> io::Result<ScriptedEndpoint> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let state = State {
            greets: true,
            idle_ends: Vec::new(),
            is_primary,
            frozen_position_ms: None,
            awaiting_greeting: 0,
            being_greeted: 0,
            idle: 0,
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() });
        let (sender, statements) = channel();
        let of_listener = Arc::clone(&shared);
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (of_connection, received) = (Arc::clone(&of_listener), sender.clone());
                // An error on a connection concerns the router only.
                thread::spawn(move || greet(socket, &of_connection, &received));
            }
        });
        Ok(ScriptedEndpoint { at, shared, statements })
    }

    /// Greets connections from now on, and those that wait for it.
    pub fn resume_greeting(&self) {
        lock(&self.shared.state).greets = true;
        self.shared.changed.notify_all();
    }

    /// Greets no connection from now on, and closes all but those with a statement in hand, so that whatever comes next
    /// needs a new connection. Returns once they are closed.
    pub fn hold_greeting_and_close_idle(&self) {
        lock(&self.shared.state).greets = false;
        self.wait_until("idle connections are closed", |state| state.idle == 0);
    }

    /// Closes all connections but those with a statement in hand, and greets the next ones: whatever comes next has to
    /// connect anew.
    pub fn close_idle_connections(&self) {
        self.hold_greeting_and_close_idle();
        self.resume_greeting();
    }

    /// Resets the connections that are idle. Returns once that is done.
    pub fn reset_idle(&self) {
        self.end_idle(IdleEnd::Reset);
    }

    /// Leaves the connections that are idle open, and answers nothing on them from now on.
    pub fn forget_idle(&self) {
        self.end_idle(IdleEnd::Forgotten);
    }

    fn end_idle(&self, end: IdleEnd) {
        lock(&self.shared.state).idle_ends.push(end);
        self.wait_until("idle connections are ended", |state| state.idle == 0);
    }

    /// Reports the same replay position from now on.
    pub fn freeze_position(&self) {
        lock(&self.shared.state).frozen_position_ms = Some(unix_ms());
    }

    /// Waits until so many connections are waiting for the greeting.
    ///
    /// # Panics
    ///
    /// If that takes longer than anything in a test may.
    pub fn wait_for_connections(&self, connections: usize) {
        self.wait_until("it is connected to", |state| state.awaiting_greeting >= connections);
    }

    /// Waits until no connection is left without a greeting, and each greeting is written.
    ///
    /// # Panics
    ///
    /// If that takes longer than anything in a test may.
    pub fn wait_until_greeted(&self) {
        self.wait_until("all are greeted", |state| state.awaiting_greeting == 0 && state.being_greeted == 0);
    }

    fn wait_until(&self, what: &str, holds: impl Fn(&State) -> bool) {
        let started = Instant::now();
        while !holds(&lock(&self.shared.state)) {
            assert!(started.elapsed() < PATIENCE, "not within {PATIENCE:?}: {what}");
            thread::sleep(CHECK_INTERVAL);
        }
    }

    /// The next statement.
    ///
    /// # Panics
    ///
    /// If none comes for longer than anything in a test may take.
    pub fn next(&self) -> ReceivedStatement {
        self.statements.recv_timeout(PATIENCE).expect("a statement comes")
    }

    /// The next statement, if one comes within that time.
    pub fn next_within(&self, within: Duration) -> Option<ReceivedStatement> {
        self.statements.recv_timeout(within).ok()
    }
}

/// Takes a new connection up to its first statement.
fn greet(
    mut socket: TcpStream,
    shared: &Arc<Shared>,
    statements: &Sender<ReceivedStatement>,
) -> io::Result<()> {
    socket.set_nodelay(true)?;
    read_startup(&mut socket)?;
    let greeting = wait_for_greeting(shared);
    // Where nobody reads it any more, the next read tells.
    let _ = socket.write_all(&greeting);
    lock(&shared.state).being_greeted -= 1;
    serve(socket, shared, statements);
    Ok(())
}

/// Waits until the endpoint greets; the connection counts as being greeted from then on.
fn wait_for_greeting(shared: &Shared) -> Vec<u8> {
    let mut state = lock(&shared.state);
    state.awaiting_greeting += 1;
    while !state.greets {
        state = shared.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
    }
    state.awaiting_greeting -= 1;
    state.being_greeted += 1;
    state.greeting()
}

/// Reads from an idle connection until a statement comes, which takes the connection with it, or until it is to be closed.
fn serve(mut socket: TcpStream, shared: &Arc<Shared>, statements: &Sender<ReceivedStatement>) {
    let orders = {
        let mut state = lock(&shared.state);
        state.idle += 1;
        state.idle_ends.len()
    };
    match next_statement(&mut socket, shared, orders) {
        Some(text) => {
            let statement = ReceivedStatement {
                text,
                came: Instant::now(),
                socket,
                shared: Arc::clone(shared),
                statements: statements.clone(),
            };
            // A test that is over receives no more.
            let _ = statements.send(statement);
        }
        None => {
            let ordered = lock(&shared.state).idle_ends.get(orders).copied();
            match ordered {
                None => close(&socket),
                Some(IdleEnd::Reset) => {
                    let _ = reset(socket);
                }
                Some(IdleEnd::Forgotten) => {
                    thread::spawn(move || io::copy(&mut socket, &mut io::sink()));
                }
            }
        }
    }
    lock(&shared.state).idle -= 1;
}

/// The next statement, once the health checks before it are answered; none if the connection is over, or a test has ordered its
/// end after the first so many orders.
fn next_statement(socket: &mut TcpStream, shared: &Shared, orders: usize) -> Option<String> {
    loop {
        let (tag, body) = read_while_idle(socket, shared, orders).ok()?;
        if tag != b'Q' {
            return None;
        }
        let text = query_text(&body);
        if text != HEALTH_QUERY {
            return Some(text);
        }
        let report = lock(&shared.state).health_report();
        // Where nobody reads it any more, the next read tells.
        let _ = socket.write_all(&report);
    }
}

/// Reads a message; an error once the connection is to be ended and no message has begun.
fn read_while_idle(socket: &mut TcpStream, shared: &Shared, orders: usize) -> io::Result<(u8, Vec<u8>)> {
    socket.set_read_timeout(Some(CHECK_INTERVAL))?;
    let mut tag = [0; 1];
    loop {
        match socket.read(&mut tag) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(_) => break,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                let state = lock(&shared.state);
                if !state.greets || state.idle_ends.len() > orders {
                    return Err(ErrorKind::ConnectionAborted.into());
                }
            }
            Err(error) => return Err(error),
        }
    }
    socket.set_read_timeout(None)?;
    Ok((tag[0], read_body(socket, MAX_BODY_BYTES)?))
}

impl ReceivedStatement {
    /// Answers with one row, and serves the connection on.
    pub fn answer(self, value: &str) {
        let tag = if self.text.starts_with("SELECT") { "SELECT 1" } else { "INSERT 0 1" };
        self.finish(single_row(value.as_bytes(), tag));
    }

    /// Answers with an error of that SQLSTATE, and serves the connection on.
    pub fn fail(self, code: &str) {
        self.finish(error_response(code, ERROR_TEXT));
    }

    /// Answers with an error of that SQLSTATE, and closes the connection.
    pub fn fail_and_close(mut self, code: &str) {
        let mut answer = error_response(code, ERROR_TEXT);
        answer.extend(lock(&self.shared.state).ready());
        let _ = self.socket.write_all(&answer);
        close(&self.socket);
    }

    /// Sends the first `bytes` of an answer, and then a reset.
    pub fn answer_partly_and_reset(mut self, value: &str, bytes: usize) {
        let whole = single_row(value.as_bytes(), "SELECT 1");
        let _ = self.socket.write_all(&whole[..bytes.min(whole.len())]);
        let _ = reset(self.socket);
    }

    fn finish(mut self, mut answer: Vec<u8>) {
        answer.extend(lock(&self.shared.state).ready());
        // Where nobody reads it any more, the next read tells.
        let _ = self.socket.write_all(&answer);
        let ReceivedStatement { socket, shared, statements, .. } = self;
        thread::spawn(move || serve(socket, &shared, &statements));
    }
}
