//! Serves one connection to the discovery service of the stand-in store: long polling over HTTP/1.1.

use std::io::{self, BufRead, BufReader, Lines, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use crate::clock::unix_seconds;

use super::answer_delay::AnswerDelay;
use super::shared_state::SharedState;
use super::state::State;

/// Longest wait of a call for a newer list, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// A call's request.
struct ListRequest {
    /// Version of the list that the caller has; the answer waits for a newer one.
    since: Option<u64>,
    /// Longest wait for a newer list.
    max_wait: Duration,
}

/// Answers calls until either side closes the connection.
pub(super) fn serve(store: &SharedState, client: TcpStream, proxied: &[SocketAddr]) -> io::Result<()> {
    let mut writer = client.try_clone()?;
    let mut lines = BufReader::new(client).lines();
    while let Some(request) = read_request(&mut lines)? {
        store.lock().discovery_calls.push(unix_seconds());
        let Some(list) = wait_for_list(store, &request, proxied) else {
            return wait_for_close(&mut lines);
        };
        let closes = store.lock().discovery_closes;
        writer.write_all(response(&list, closes).as_bytes())?;
        if closes {
            return writer.shutdown(Shutdown::Both);
        }
    }
    Ok(())
}

fn read_request(lines: &mut Lines<BufReader<TcpStream>>) -> io::Result<Option<ListRequest>> {
    let Some(request) = lines.next().transpose()? else { return Ok(None) };
    while lines.next().transpose()?.is_some_and(|header| !header.is_empty()) {}
    let wait_ms = query_number(&request, "timeout_ms=").unwrap_or(0).min(MAX_WAIT_MS);
    let since = query_number(&request, "since=");
    Ok(Some(ListRequest { since, max_wait: Duration::from_millis(wait_ms) }))
}

/// Returns the number that follows `name` in the request line.
fn query_number(request: &str, name: &str) -> Option<u64> {
    let start = request.find(name)? + name.len();
    let digits: String = request[start..].chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Returns when the caller has closed its connection.
fn wait_for_close(lines: &mut Lines<BufReader<TcpStream>>) -> io::Result<()> {
    while lines.next().transpose()?.is_some() {}
    Ok(())
}

/// Returns the list when a newer one exists or the wait has timed out, and not before discovery answers calls. Returns none if
/// the call is never answered.
fn wait_for_list(store: &SharedState, request: &ListRequest, proxied: &[SocketAddr]) -> Option<String> {
    let must_wait = |state: &mut State| {
        state.discovery_is_silent || request.since.is_some_and(|since| state.version <= since)
    };
    let mut state = store
        .list_changed()
        .wait_timeout_while(store.lock(), request.max_wait, must_wait)
        .map_or_else(|poisoned| poisoned.into_inner().0, |waited| waited.0);
    while state.discovery_is_silent {
        if state.discovery_forgets_calls {
            return None;
        }
        state = store.list_changed().wait(state).unwrap_or_else(PoisonError::into_inner);
    }
    match state.answer_delay.clone() {
        AnswerDelay::OneAtATime(delay) => {
            drop(state);
            let turn = store.discovery_turns().take();
            let list = make_list(store, request, proxied);
            thread::sleep(delay);
            drop(turn);
            Some(list)
        }
        AnswerDelay::Parallel(range) => {
            let delay = state.draw_delay(&range);
            drop(state);
            let list = make_list(store, request, proxied);
            thread::sleep(delay);
            Some(list)
        }
    }
}

fn make_list(store: &SharedState, request: &ListRequest, proxied: &[SocketAddr]) -> String {
    let mut state = store.lock();
    let list = state.endpoint_list(request.since, proxied);
    state.list_bytes_sent += list.len() as u64;
    list
}

fn response(list: &str, closes: bool) -> String {
    let close = if closes { "\r\nConnection: close" } else { "" };
    let length = list.len();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}{close}\r\n\r\n{list}"
    )
}
