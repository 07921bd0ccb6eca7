//! Serves one connection to an endpoint of the stand-in store.

use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;

use crate::clock::unix_seconds;

use super::behaviour::Behaviour;
use super::pg_messages::{
    MAX_BODY_BYTES, authentication_ok, corrupt_column_length, error_response, query_text, read_message,
    read_startup, ready_for_query,
};
use super::shared_state::SharedState;
use super::state::{is_empty_query, is_statement};

/// Answer of an endpoint with [`Behaviour::SendsInvalidMessage`].
const INVALID_MESSAGE: &[u8] = b"?what is this\0";

/// What is done on the connection after a Query message.
enum Reply {
    /// Writes the bytes and keeps the connection open.
    Send(Vec<u8>),
    /// Writes the bytes and closes the connection.
    SendAndClose(Vec<u8>),
    /// Writes nothing and keeps the connection open.
    Nothing,
    /// Closes the connection without writing.
    Close,
}

/// Serves a connection until either side closes it.
pub(super) fn serve(store: &SharedState, endpoint: usize, mut client: TcpStream) -> io::Result<()> {
    store.lock().connections_accepted += 1;
    client.set_nodelay(true)?;
    read_startup(&mut client)?;
    if store.lock().endpoints[endpoint].behaviour == Behaviour::NeverCompletesStartup {
        return wait_for_close(&mut client);
    }
    let mut greeting = authentication_ok();
    greeting.extend(ready_messages(store, endpoint));
    client.write_all(&greeting)?;
    loop {
        let (tag, body) = read_message(&mut client, MAX_BODY_BYTES)?;
        if tag != b'Q' {
            return Ok(());
        }
        match reply(store, endpoint, &query_text(&body)) {
            Reply::Send(bytes) => client.write_all(&bytes)?,
            Reply::SendAndClose(bytes) => {
                client.write_all(&bytes)?;
                return client.shutdown(Shutdown::Both);
            }
            Reply::Nothing => {}
            Reply::Close => return Ok(()),
        }
    }
}

/// Returns when the client closes the connection or sends more data.
fn wait_for_close(client: &mut TcpStream) -> io::Result<()> {
    client.read_exact(&mut [0; 4])
}

/// Returns the messages that end each answer.
fn ready_messages(store: &SharedState, endpoint: usize) -> Vec<u8> {
    let state = store.lock();
    let endpoint = &state.endpoints[endpoint];
    ready_for_query(endpoint.is_primary, endpoint.position_ms())
}

/// Executes a query according to the endpoint's behaviour at the time when the query is received.
fn reply(store: &SharedState, endpoint: usize, text: &str) -> Reply {
    let behaviour = store.lock().endpoints[endpoint].behaviour;
    if !is_statement(text) {
        if !is_empty_query(text) {
            let duration = store.lock().health_check_duration;
            thread::sleep(duration);
        }
        let answer = execute(store, endpoint, text);
        let answer = with_ready_messages(store, endpoint, answer);
        // By the operators' protocol page an endpoint may close a connection after anything but an empty query.
        return if is_empty_query(text) { Reply::Send(answer) } else { reply_with(behaviour, answer) };
    }
    store.lock().endpoints[endpoint].received.push(text.to_string());
    simulate_execution(store, endpoint, text);
    let answer = match behaviour {
        Behaviour::NeverAnswers => return Reply::Nothing,
        Behaviour::ResetsConnection => return Reply::Close,
        Behaviour::SendsInvalidMessage => INVALID_MESSAGE.to_vec(),
        Behaviour::Overloaded => error_response("53300", "too much to do"),
        Behaviour::FailsStatements => error_response("XX000", "something broke"),
        Behaviour::CorruptsRow => corrupt_column_length(execute(store, endpoint, text)),
        _ => execute(store, endpoint, text),
    };
    let mut answer = with_ready_messages(store, endpoint, answer);
    if behaviour == Behaviour::AnswersTwice {
        answer.extend(answer.clone());
    }
    reply_with(behaviour, answer)
}

fn execute(store: &SharedState, endpoint: usize, text: &str) -> Vec<u8> {
    store.lock().execute(endpoint, text)
}

/// Appends the messages that end an answer.
fn with_ready_messages(store: &SharedState, endpoint: usize, mut answer: Vec<u8>) -> Vec<u8> {
    answer.extend(ready_messages(store, endpoint));
    answer
}

fn reply_with(behaviour: Behaviour, answer: Vec<u8>) -> Reply {
    if behaviour == Behaviour::ClosesAfterAnswer { Reply::SendAndClose(answer) } else { Reply::Send(answer) }
}

/// Sleeps for the duration of a statement and records its execution.
fn simulate_execution(store: &SharedState, endpoint: usize, text: &str) {
    let started_at = unix_seconds();
    let duration = {
        let mut state = store.lock();
        state.endpoints[endpoint].begin_execution();
        state.statement_duration
    };
    thread::sleep(duration);
    store.lock().endpoints[endpoint].end_execution(text, started_at);
}
