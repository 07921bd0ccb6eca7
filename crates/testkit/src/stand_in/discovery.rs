//! One connection to the discovery service of the stand-in store: long polls over HTTP/1.1.

use std::io::{self, BufRead, BufReader, Lines, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::PoisonError;
use std::time::Duration;

use super::shared_state::SharedState;
use super::state::State;

/// Longest that a call waits for a newer list.
const MAX_WAIT_MS: u64 = 60_000;

/// What a call asks for.
struct ListRequest {
    /// The version that the caller has; it waits for a newer one.
    since: Option<u64>,
    wait: Duration,
}

/// Answers calls until either side closes the connection.
pub(super) fn serve(store: &SharedState, client: TcpStream, proxied: &[SocketAddr]) -> io::Result<()> {
    let mut out = client.try_clone()?;
    let mut lines = BufReader::new(client).lines();
    while let Some(request) = read_request(&mut lines)? {
        let list = wait_for_list(store, &request, proxied);
        let closes = store.lock().discovery_closes;
        out.write_all(response(&list, closes).as_bytes())?;
        if closes {
            return out.shutdown(Shutdown::Both);
        }
    }
    Ok(())
}

fn read_request(lines: &mut Lines<BufReader<TcpStream>>) -> io::Result<Option<ListRequest>> {
    let Some(request) = lines.next().transpose()? else { return Ok(None) };
    while lines.next().transpose()?.is_some_and(|header| !header.is_empty()) {}
    let wait_ms = query_number(&request, "timeout_ms=").unwrap_or(0).min(MAX_WAIT_MS);
    let since = query_number(&request, "since=");
    Ok(Some(ListRequest { since, wait: Duration::from_millis(wait_ms) }))
}

/// The number behind a name in the request line's query.
fn query_number(request: &str, name: &str) -> Option<u64> {
    let from = request.find(name)? + name.len();
    let digits: String = request[from..].chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// The list, once there is a newer one or the wait is over.
fn wait_for_list(store: &SharedState, request: &ListRequest, proxied: &[SocketAddr]) -> String {
    let waits = |state: &mut State| {
        state.discovery_is_silent || request.since.is_some_and(|since| state.version <= since)
    };
    let mut state = store
        .list_changed()
        .wait_timeout_while(store.lock(), request.wait, waits)
        .map_or_else(|poisoned| poisoned.into_inner().0, |waited| waited.0);
    while state.discovery_is_silent {
        state = store.list_changed().wait(state).unwrap_or_else(PoisonError::into_inner);
    }
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
