//! An endpoint that answers health checks and empty queries by itself and statements under the control of the test.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::clock::unix_ms;
use crate::stand_in::pg_messages::{
    HEALTH_QUERY, MAX_BODY_BYTES, authentication_ok, empty_query_response, error_response, health_report,
    parameter_status, query_text, read_body, read_startup, ready_for_query, single_row,
};
use crate::sync::lock;

use super::WAIT_TIMEOUT;
use super::connection::{close, reset};

/// Interval between two checks of whether an idle connection is to be ended, and of a condition that the test waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Message text of each error that a test requests.
const ERROR_TEXT: &str = "as it was told";

/// A fault injected into the connections that are idle at the time of the request.
#[derive(Clone, Copy)]
enum IdleFault {
    /// The connections are reset.
    Reset,
    /// The connections stay open but nothing received on them is answered, as if the network had dropped them silently.
    Blackhole,
}

/// The state that the test has requested, and the number of connections in each phase.
struct State {
    /// Whether new connections receive the greeting, which completes their startup. While they do not, idle connections are
    /// closed.
    greets: bool,
    /// All faults requested so far, oldest first. Each applies to the connections that were idle at its request.
    idle_faults: Vec<IdleFault>,
    is_primary: bool,
    /// Replication position in Unix milliseconds, if the test has frozen it.
    frozen_position_ms: Option<u128>,
    /// Number of connections whose startup message was read and to which the greeting is not yet being written.
    awaiting_greeting: usize,
    /// Number of connections to which the greeting is being written.
    being_greeted: usize,
    /// Number of connections without a statement in flight.
    idle: usize,
}

impl State {
    /// Returns the replication position in Unix milliseconds.
    fn position_ms(&self) -> u128 {
        self.frozen_position_ms.unwrap_or_else(unix_ms)
    }

    fn ready_messages(&self) -> Vec<u8> {
        ready_for_query(self.is_primary, self.position_ms())
    }

    fn greeting(&self) -> Vec<u8> {
        let mut greeting = authentication_ok();
        greeting.extend(self.ready_messages());
        greeting
    }

    fn empty_query_answer(&self) -> Vec<u8> {
        let mut answer = empty_query_response();
        answer.extend(self.ready_messages());
        answer
    }

    fn health_report(&self) -> Vec<u8> {
        let mut report = health_report(self.is_primary, self.position_ms());
        report.extend(self.ready_messages());
        report
    }
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// An answer that an endpoint sends although no query asks for it.
#[derive(Clone, Copy, Debug)]
pub enum ExtraAnswer {
    /// One row with this value.
    Row(&'static str),
    /// An error with this SQLSTATE.
    Error(&'static str),
    /// The answer to a health check.
    HealthReport,
    /// The answer to an empty query.
    EmptyQuery,
}

/// An endpoint that answers health checks and empty queries by itself and statements under the control of the test.
pub struct ScriptedEndpoint {
    /// The address at which the endpoint listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    statements: Receiver<ReceivedStatement>,
}

/// A completely received statement with its connection, on which nothing else happens until the test handles the statement.
pub struct ReceivedStatement {
    /// The statement's text, including its comment.
    pub text: String,
    /// Time at which the statement was received.
    pub received_at: Instant,
    socket: TcpStream,
    shared: Arc<Shared>,
    statements: Sender<ReceivedStatement>,
}

impl ScriptedEndpoint {
    /// Starts an endpoint on an unused port. Fails if no port can be bound.
    pub fn start(is_primary: bool) -> io::Result<ScriptedEndpoint> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = State {
            greets: true,
            idle_faults: Vec::new(),
            is_primary,
            frozen_position_ms: None,
            awaiting_greeting: 0,
            being_greeted: 0,
            idle: 0,
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() });
        let (sender, statements) = channel();
        let listener_shared = Arc::clone(&shared);
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (connection_shared, sender) = (Arc::clone(&listener_shared), sender.clone());
                // An error on a connection affects the router only.
                thread::spawn(move || serve_new(socket, &connection_shared, &sender));
            }
        });
        Ok(ScriptedEndpoint { address, shared, statements })
    }

    /// Resumes sending the greeting, also to the connections that wait for it.
    pub fn resume_greeting(&self) {
        lock(&self.shared.state).greets = true;
        self.shared.changed.notify_all();
    }

    /// Stops sending the greeting and closes all connections without a statement in flight, so that the router needs a new
    /// connection for whatever it sends next. Returns when the connections are closed.
    pub fn pause_greeting_and_close_idle(&self) {
        lock(&self.shared.state).greets = false;
        self.wait_until("idle connections are closed", |state| state.idle == 0);
    }

    /// Closes all connections without a statement in flight and resumes sending the greeting, so that the router has to
    /// reconnect for whatever it sends next.
    pub fn close_idle_connections(&self) {
        self.pause_greeting_and_close_idle();
        self.resume_greeting();
    }

    /// Resets the idle connections. Returns when they are reset.
    pub fn reset_idle(&self) {
        self.inject_idle_fault(IdleFault::Reset);
    }

    /// Stops answering on the idle connections, which stay open.
    pub fn blackhole_idle(&self) {
        self.inject_idle_fault(IdleFault::Blackhole);
    }

    fn inject_idle_fault(&self, fault: IdleFault) {
        lock(&self.shared.state).idle_faults.push(fault);
        self.wait_until("no connection is idle", |state| state.idle == 0);
    }

    /// Freezes the reported replication position at its present value.
    pub fn freeze_position(&self) {
        lock(&self.shared.state).frozen_position_ms = Some(unix_ms());
    }

    /// Waits until at least the given number of connections wait for the greeting.
    ///
    /// # Panics
    ///
    /// Panics if this takes longer than `WAIT_TIMEOUT`.
    pub fn wait_for_connections(&self, connections: usize) {
        self.wait_until("connections wait for the greeting", |state| state.awaiting_greeting >= connections);
    }

    /// Waits until the greeting has been written to all connections.
    ///
    /// # Panics
    ///
    /// Panics if this takes longer than `WAIT_TIMEOUT`.
    pub fn wait_until_greeted(&self) {
        self.wait_until("all are greeted", |state| state.awaiting_greeting == 0 && state.being_greeted == 0);
    }

    fn wait_until(&self, description: &str, condition: impl Fn(&State) -> bool) {
        let started = Instant::now();
        while !condition(&lock(&self.shared.state)) {
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "timed out after {WAIT_TIMEOUT:?} waiting until {description}"
            );
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits for the next statement.
    ///
    /// # Panics
    ///
    /// Panics if no statement is received within `WAIT_TIMEOUT`.
    pub fn next_statement(&self) -> ReceivedStatement {
        self.statements.recv_timeout(WAIT_TIMEOUT).expect("no statement received in time")
    }

    /// Waits for the next statement for at most the given time; `None` if there is none.
    pub fn next_within(&self, timeout: Duration) -> Option<ReceivedStatement> {
        self.statements.recv_timeout(timeout).ok()
    }
}

/// Sends the greeting on a new connection and serves the connection up to its first statement.
fn serve_new(
    mut socket: TcpStream,
    shared: &Arc<Shared>,
    statements: &Sender<ReceivedStatement>,
) -> io::Result<()> {
    socket.set_nodelay(true)?;
    read_startup(&mut socket)?;
    let greeting = wait_for_greeting(shared);
    // If the router has closed the connection, the next read fails.
    let _ = socket.write_all(&greeting);
    lock(&shared.state).being_greeted -= 1;
    serve_idle(socket, shared, statements);
    Ok(())
}

/// Waits until the endpoint sends greetings and returns the greeting. From then on the connection counts as being greeted.
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

/// Reads from an idle connection until a statement is received, which is passed on together with the connection, or until the
/// connection is to be ended.
fn serve_idle(mut socket: TcpStream, shared: &Arc<Shared>, statements: &Sender<ReceivedStatement>) {
    let fault_index = {
        let mut state = lock(&shared.state);
        state.idle += 1;
        state.idle_faults.len()
    };
    match next_statement(&mut socket, shared, fault_index) {
        Some(text) => {
            let statement = ReceivedStatement {
                text,
                received_at: Instant::now(),
                socket,
                shared: Arc::clone(shared),
                statements: statements.clone(),
            };
            // Fails if the test has ended.
            let _ = statements.send(statement);
        }
        None => {
            let fault = lock(&shared.state).idle_faults.get(fault_index).copied();
            match fault {
                None => close(&socket),
                Some(IdleFault::Reset) => {
                    let _ = reset(socket);
                }
                Some(IdleFault::Blackhole) => {
                    thread::spawn(move || io::copy(&mut socket, &mut io::sink()));
                }
            }
        }
    }
    lock(&shared.state).idle -= 1;
}

/// Answers health checks and empty queries until a statement is received, and returns the statement. Returns `None` if the connection has ended,
/// or is to be ended because connections are not greeted or the fault with the index `fault_index` has been requested.
fn next_statement(socket: &mut TcpStream, shared: &Shared, fault_index: usize) -> Option<String> {
    loop {
        let (tag, body) = read_while_idle(socket, shared, fault_index).ok()?;
        if tag != b'Q' {
            return None;
        }
        let text = query_text(&body);
        let answer = match text.as_str() {
            "" => lock(&shared.state).empty_query_answer(),
            HEALTH_QUERY => lock(&shared.state).health_report(),
            _ => return Some(text),
        };
        // If the router has closed the connection, the next read fails.
        let _ = socket.write_all(&answer);
    }
}

/// Reads a message. Fails if the connection is to be ended before a message has begun.
fn read_while_idle(socket: &mut TcpStream, shared: &Shared, fault_index: usize) -> io::Result<(u8, Vec<u8>)> {
    socket.set_read_timeout(Some(POLL_INTERVAL))?;
    let mut tag = [0; 1];
    loop {
        match socket.read(&mut tag) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(_) => break,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                let state = lock(&shared.state);
                if !state.greets || state.idle_faults.len() > fault_index {
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
    /// Answers with one row and continues to serve the connection.
    pub fn answer(self, value: &str) {
        let answer = self.row(value);
        self.send_answer(answer);
    }

    /// Answers with an error with the given SQLSTATE and continues to serve the connection.
    pub fn fail(self, code: &str) {
        self.send_answer(error_response(code, ERROR_TEXT));
    }

    /// Answers with one row, and sends a further answer that belongs to no query. The further answer crosses the router's next
    /// query: it is written once the first bytes of that query have arrived, but before any of them is read.
    pub fn answer_and_send_extra(self, value: &str, extra: ExtraAnswer) {
        let mut extra_answer = match extra {
            ExtraAnswer::Row(extra_value) => self.row(extra_value),
            ExtraAnswer::Error(code) => error_response(code, ERROR_TEXT),
            ExtraAnswer::HealthReport => lock(&self.shared.state).health_report(),
            ExtraAnswer::EmptyQuery => empty_query_response(),
        };
        extra_answer.extend(lock(&self.shared.state).ready_messages());
        let answer = self.row(value);
        self.send_answer_then(answer, move |socket| {
            // The connection may end instead.
            let _ = socket.peek(&mut [0; 1]);
            let _ = socket.write_all(&extra_answer);
        });
    }

    fn row(&self, value: &str) -> Vec<u8> {
        let tag = if self.text.starts_with("SELECT") { "SELECT 1" } else { "INSERT 0 1" };
        single_row(value.as_bytes(), tag)
    }

    /// Sends that many ParameterStatus messages, which an endpoint may send at any time, and leaves the statement unanswered.
    pub fn send_parameters(&mut self, count: usize) {
        // If the router has closed the connection, the test fails elsewhere.
        let _ = self.socket.write_all(&parameter_status("a", "b").repeat(count));
    }

    /// Answers with an error with the given SQLSTATE and closes the connection.
    pub fn fail_and_close(mut self, code: &str) {
        let mut answer = error_response(code, ERROR_TEXT);
        answer.extend(lock(&self.shared.state).ready_messages());
        let _ = self.socket.write_all(&answer);
        close(&self.socket);
    }

    /// Sends the first `bytes` bytes of an answer with one row and resets the connection.
    pub fn answer_partly_and_reset(mut self, value: &str, bytes: usize) {
        let answer = single_row(value.as_bytes(), "SELECT 1");
        let _ = self.socket.write_all(&answer[..bytes.min(answer.len())]);
        let _ = reset(self.socket);
    }

    fn send_answer(self, answer: Vec<u8>) {
        self.send_answer_then(answer, |_| {});
    }

    /// Sends an answer, and continues to serve the connection after `before_next_query`.
    fn send_answer_then(
        mut self,
        mut answer: Vec<u8>,
        before_next_query: impl FnOnce(&mut TcpStream) + Send + 'static,
    ) {
        answer.extend(lock(&self.shared.state).ready_messages());
        // If the router has closed the connection, the next read fails.
        let _ = self.socket.write_all(&answer);
        let ReceivedStatement { mut socket, shared, statements, .. } = self;
        thread::spawn(move || {
            before_next_query(&mut socket);
            serve_idle(socket, &shared, &statements);
        });
    }
}
