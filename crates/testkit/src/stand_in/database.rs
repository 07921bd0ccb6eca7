//! One connection to an endpoint of the stand-in store.

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
use super::state::is_statement;

/// What an endpoint that [`Behaviour::Babbles`] sends.
const NO_MESSAGE: &[u8] = b"?what is this\0";

/// What becomes of the connection after a message.
enum Reply {
    /// The bytes are written and the connection goes on.
    Send(Vec<u8>),
    /// The bytes are written and the connection is closed.
    SendAndClose(Vec<u8>),
    /// Nothing is written.
    Nothing,
    /// Nothing is written and the connection is closed.
    Close,
}

/// Serves a connection until either side closes it.
pub(super) fn serve(store: &SharedState, endpoint: usize, mut client: TcpStream) -> io::Result<()> {
    store.lock().connections_accepted += 1;
    client.set_nodelay(true)?;
    read_startup(&mut client)?;
    if store.lock().endpoints[endpoint].behaviour == Behaviour::Mute {
        return wait_for_close(&mut client);
    }
    let mut greeting = authentication_ok();
    greeting.extend(ready(store, endpoint));
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

/// Returns once the client closes the connection or sends more.
fn wait_for_close(client: &mut TcpStream) -> io::Result<()> {
    client.read_exact(&mut [0; 4])
}

fn ready(store: &SharedState, endpoint: usize) -> Vec<u8> {
    let state = store.lock();
    let endpoint = &state.endpoints[endpoint];
    ready_for_query(endpoint.is_primary, endpoint.position_ms())
}

/// Answers a query as the endpoint behaves at the time it is received.
fn reply(store: &SharedState, endpoint: usize, text: &str) -> Reply {
    let behaviour = store.lock().endpoints[endpoint].behaviour;
    if !is_statement(text) {
        let answer = execute(store, endpoint, text);
        return send(behaviour, finish(store, endpoint, answer));
    }
    store.lock().endpoints[endpoint].received.push(text.to_string());
    spend_time(store, endpoint, text);
    let answer = match behaviour {
        Behaviour::Silent => return Reply::Nothing,
        Behaviour::Resets => return Reply::Close,
        Behaviour::Babbles => NO_MESSAGE.to_vec(),
        Behaviour::Full => error_response("53300", "too much to do"),
        Behaviour::Faulty => error_response("XX000", "something broke"),
        Behaviour::Spoils => corrupt_column_length(execute(store, endpoint, text)),
        _ => execute(store, endpoint, text),
    };
    let mut answer = finish(store, endpoint, answer);
    if behaviour == Behaviour::Echoes {
        answer.extend(answer.clone());
    }
    send(behaviour, answer)
}

fn execute(store: &SharedState, endpoint: usize, text: &str) -> Vec<u8> {
    store.lock().execute(endpoint, text)
}

/// The answer with what ends it.
fn finish(store: &SharedState, endpoint: usize, mut answer: Vec<u8>) -> Vec<u8> {
    answer.extend(ready(store, endpoint));
    answer
}

fn send(behaviour: Behaviour, answer: Vec<u8>) -> Reply {
    if behaviour == Behaviour::Closes { Reply::SendAndClose(answer) } else { Reply::Send(answer) }
}

/// Takes the time that a statement takes, and records that it ran.
fn spend_time(store: &SharedState, endpoint: usize, text: &str) {
    let began = unix_seconds();
    let duration = {
        let mut state = store.lock();
        state.endpoints[endpoint].begin_execution();
        state.statement_duration
    };
    thread::sleep(duration);
    store.lock().endpoints[endpoint].end_execution(text, began);
}
