//! A discovery service of which each call is answered by hand.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use crate::stand_in::endpoint_list::{ListedEndpoint, endpoint_list_json};

use super::PATIENCE;
use super::connection::{close, reset};

/// A discovery service of which each call is answered by hand.
pub struct ScriptedDiscovery {
    /// Where it listens.
    pub at: SocketAddr,
    calls: Receiver<DiscoveryCall>,
}

/// A call that was received whole, with its connection, on which nothing else happens until it is dealt with.
pub struct DiscoveryCall {
    /// The request line.
    pub path: String,
    /// When it was received.
    pub came: Instant,
    socket: TcpStream,
    calls: Sender<DiscoveryCall>,
}

impl ScriptedDiscovery {
    /// Starts one on a port of its own. Fails if none can be bound.
    pub fn start() -> io::Result<ScriptedDiscovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let (sender, calls) = channel();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let sender = sender.clone();
                thread::spawn(move || receive(socket, &sender));
            }
        });
        Ok(ScriptedDiscovery { at, calls })
    }

    /// The next call.
    ///
    /// # Panics
    ///
    /// If none comes for longer than anything in a test may take.
    pub fn next(&self) -> DiscoveryCall {
        self.calls.recv_timeout(PATIENCE).expect("a call comes")
    }

    /// Answers calls with that list until the router asks for what is newer, which is the next call then. On a busy machine a call may
    /// have been given up before it is answered; the one that follows it is answered too.
    ///
    /// # Panics
    ///
    /// If no further call comes for longer than anything in a test may take.
    pub fn tell(&self, version: u64, list: &str) {
        let newer = format!("since={version}&");
        loop {
            let call = self.next();
            if call.path.contains(&newer) {
                let calls = call.calls.clone();
                // Its receiver is this one.
                let _ = calls.send(call);
                return;
            }
            call.answer(list);
        }
    }

    /// The next call, if one comes within that time.
    pub fn next_within(&self, within: Duration) -> Option<DiscoveryCall> {
        self.calls.recv_timeout(within).ok()
    }
}

/// Waits for one request, which takes the connection with it.
fn receive(socket: TcpStream, calls: &Sender<DiscoveryCall>) -> io::Result<()> {
    let mut lines = BufReader::new(&socket).lines();
    let Some(path) = lines.next().transpose()? else { return Ok(()) };
    while lines.next().transpose()?.is_some_and(|header| !header.is_empty()) {}
    drop(lines);
    // A test that is over receives no more.
    let _ = calls.send(DiscoveryCall { path, came: Instant::now(), socket, calls: calls.clone() });
    Ok(())
}

impl DiscoveryCall {
    /// Writes these bytes and leaves the call open.
    pub fn say(&mut self, bytes: &str) {
        // Where the router has given the call up, that is what the test is about.
        let _ = self.socket.write_all(bytes.as_bytes());
    }

    /// Answers with that list, and serves the connection on.
    pub fn answer(mut self, list: &str) {
        self.say(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()));
        let DiscoveryCall { socket, calls, .. } = self;
        thread::spawn(move || receive(socket, &calls));
    }

    /// Resets the connection.
    pub fn reset(self) {
        let _ = reset(self.socket);
    }

    /// Closes the connection in order.
    pub fn end(self) {
        close(&self.socket);
    }
}

/// Discovery's list of that version, each endpoint by its name, its address and its health.
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
