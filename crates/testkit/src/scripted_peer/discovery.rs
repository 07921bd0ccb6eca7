//! A discovery service whose calls are answered by the test.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use crate::stand_in::endpoint_list::{ListedEndpoint, endpoint_list_json};

use super::WAIT_TIMEOUT;
use super::connection::{close, reset};

/// A discovery service whose calls are answered by the test.
pub struct ScriptedDiscovery {
    /// The address at which the service listens.
    pub address: SocketAddr,
    calls: Receiver<DiscoveryCall>,
}

/// A completely received call with its connection, on which nothing else happens until the test handles the call.
pub struct DiscoveryCall {
    /// The request line.
    pub request_line: String,
    /// Time at which the call was received.
    pub received_at: Instant,
    socket: TcpStream,
    calls: Sender<DiscoveryCall>,
}

impl ScriptedDiscovery {
    /// Starts a discovery service on an unused port. Fails if no port can be bound.
    pub fn start() -> io::Result<ScriptedDiscovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (sender, calls) = channel();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let sender = sender.clone();
                thread::spawn(move || receive(socket, &sender));
            }
        });
        Ok(ScriptedDiscovery { address, calls })
    }

    /// Waits for the next call.
    ///
    /// # Panics
    ///
    /// Panics if no call is received within `WAIT_TIMEOUT`.
    pub fn next_call(&self) -> DiscoveryCall {
        self.calls.recv_timeout(WAIT_TIMEOUT).expect("no discovery call received in time")
    }

    /// Answers calls with `list`, whose version is `version`, until the router requests a newer list. That call becomes the next
    /// one again. More than one answer can be needed, as on a busy machine the router may abandon a call before it is
    /// answered.
    ///
    /// # Panics
    ///
    /// Panics if no further call is received within `WAIT_TIMEOUT`.
    pub fn serve_list(&self, version: u64, list: &str) {
        let newer_than = format!("since={version}&");
        loop {
            let call = self.next_call();
            if call.request_line.contains(&newer_than) {
                let calls = call.calls.clone();
                // Cannot fail, as this service holds the receiver.
                let _ = calls.send(call);
                return;
            }
            call.answer(list);
        }
    }

    /// Waits for the next call for at most the given time; `None` if there is none.
    pub fn next_within(&self, timeout: Duration) -> Option<DiscoveryCall> {
        self.calls.recv_timeout(timeout).ok()
    }
}

/// Waits for one request and passes it on together with the connection.
fn receive(socket: TcpStream, calls: &Sender<DiscoveryCall>) -> io::Result<()> {
    let mut lines = BufReader::new(&socket).lines();
    let Some(request_line) = lines.next().transpose()? else { return Ok(()) };
    while lines.next().transpose()?.is_some_and(|header| !header.is_empty()) {}
    drop(lines);
    // Fails if the test has ended.
    let _ =
        calls.send(DiscoveryCall { request_line, received_at: Instant::now(), socket, calls: calls.clone() });
    Ok(())
}

impl DiscoveryCall {
    /// Writes `bytes` and leaves the call open.
    pub fn write(&mut self, bytes: &str) {
        // Writing may fail in tests in which the router abandons the call.
        let _ = self.socket.write_all(bytes.as_bytes());
    }

    /// Answers with `list` and continues to serve the connection.
    pub fn answer(mut self, list: &str) {
        self.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()));
        self.serve_next();
    }

    /// Continues to serve the connection, on which a complete answer has been written.
    pub fn serve_next(self) {
        let DiscoveryCall { socket, calls, .. } = self;
        thread::spawn(move || receive(socket, &calls));
    }

    /// Resets the connection.
    pub fn reset(self) {
        let _ = reset(self.socket);
    }

    /// Closes the connection without a reset.
    pub fn close(self) {
        close(&self.socket);
    }
}

/// Encodes a complete endpoint list with the given version; each endpoint is given by its name, address and health.
pub fn endpoint_list(version: u64, endpoints: &[(&str, SocketAddr, &str)]) -> String {
    let entries: Vec<_> = endpoints
        .iter()
        .map(|(name, address, health)| ListedEndpoint {
            name,
            address: *address,
            group: 1,
            health,
            started_ms: 0,
        })
        .collect();
    endpoint_list_json(version, true, &entries)
}
