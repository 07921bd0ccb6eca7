//! A proxy that forwards TCP connections.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::sync::lock;

/// Most bytes that are forwarded at a time.
const CHUNK_BYTES: usize = 16_384;
/// Most bytes that are forwarded at a time while bytes trickle.
const TRICKLE_BYTES: usize = 7;
/// Shortest delay of each chunk while bytes trickle.
const TRICKLE_DELAY_SECONDS: f64 = 0.002;
/// Interval between two checks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(15);
/// Longest wait for the target to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for data before checking whether the connection is to be closed.
const READ_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval between two checks of whether a cut has ended.
const CUT_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Faults of the connections through a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StreamFaults {
    /// Data from clients is held back; connections stay open.
    pub cut_requests: bool,
    /// Data from the target is held back; connections stay open.
    pub cut_responses: bool,
    /// Delay of each chunk in seconds.
    pub delay_seconds: f64,
    /// Only a few bytes are forwarded at a time.
    pub trickle: bool,
    /// All connections are closed, and new ones as soon as they are accepted.
    pub closed: bool,
}

/// Forwards connections to one address, until it is dropped.
pub struct StreamProxy {
    address: SocketAddr,
    control: Control,
}

/// State that the threads of a proxy share.
#[derive(Clone, Default)]
struct Control {
    faults: Arc<Mutex<StreamFaults>>,
    stopped: Arc<AtomicBool>,
}

impl Control {
    fn faults(&self) -> StreamFaults {
        *lock(&self.faults)
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Whether open connections are to be closed.
    fn must_close(&self) -> bool {
        self.is_stopped() || self.faults().closed
    }
}

impl StreamProxy {
    /// Starts a proxy that accepts connections on a port of the IP address `ip` and forwards them to `target`. Fails if no
    /// port can be bound.
    pub fn start(target: SocketAddr, ip: IpAddr) -> io::Result<StreamProxy> {
        let listener = TcpListener::bind((ip, 0))?;
        listener.set_nonblocking(true)?;
        let proxy = StreamProxy { address: listener.local_addr()?, control: Control::default() };
        let control = proxy.control.clone();
        thread::spawn(move || accept(&listener, target, &control));
        Ok(proxy)
    }

    /// Returns the address to which clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Modifies the current faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut StreamFaults)) {
        change(&mut lock(&self.control.faults));
    }
}

impl Drop for StreamProxy {
    fn drop(&mut self) {
        self.control.stopped.store(true, Ordering::Relaxed);
    }
}

/// Accepts connections until the proxy is dropped.
fn accept(listener: &TcpListener, target: SocketAddr, control: &Control) {
    while !control.is_stopped() {
        let Ok((client, _)) = listener.accept() else {
            thread::sleep(ACCEPT_INTERVAL);
            continue;
        };
        if control.faults().closed {
            continue;
        }
        let control = control.clone();
        // An error on a connection affects its two ends only.
        thread::spawn(move || forward_connection(client, target, &control));
    }
}

/// Forwards one connection in both directions.
fn forward_connection(client: TcpStream, target: SocketAddr, control: &Control) -> io::Result<()> {
    client.set_nonblocking(false)?;
    let server = TcpStream::connect_timeout(&target, CONNECT_TIMEOUT)?;
    // As the peers do: otherwise the system holds back a small write until the one before it is acknowledged.
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (from_client, to_server) = (client.try_clone()?, server.try_clone()?);
    let request_control = control.clone();
    thread::spawn(move || forward(from_client, to_server, &request_control, |faults| faults.cut_requests));
    forward(server, client, control, |faults| faults.cut_responses)
}

/// Forwards data in one direction until either end closes, then closes both.
fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    control: &Control,
    is_cut: impl Fn(&StreamFaults) -> bool,
) -> io::Result<()> {
    let result = forward_chunks(&mut from, &mut to, control, is_cut);
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
    result
}

fn forward_chunks(
    from: &mut TcpStream,
    to: &mut TcpStream,
    control: &Control,
    is_cut: impl Fn(&StreamFaults) -> bool,
) -> io::Result<()> {
    from.set_read_timeout(Some(READ_TIMEOUT))?;
    let mut buffer = vec![0; CHUNK_BYTES];
    while !control.must_close() {
        let max_bytes = if control.faults().trickle { TRICKLE_BYTES } else { CHUNK_BYTES };
        match from.read(&mut buffer[..max_bytes]) {
            Ok(0) => return Ok(()),
            Ok(length) => {
                delay(&control.faults());
                // Data received while this direction is cut is held back and forwarded when the cut ends.
                while is_cut(&control.faults()) && !control.must_close() {
                    thread::sleep(CUT_CHECK_INTERVAL);
                }
                to.write_all(&buffer[..length])?;
            }
            Err(error) if is_temporary(&error) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

fn delay(faults: &StreamFaults) {
    let seconds =
        if faults.trickle { faults.delay_seconds.max(TRICKLE_DELAY_SECONDS) } else { faults.delay_seconds };
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// Whether a read found nothing for now. A read with a timeout also ends when the process is resumed after a stop.
fn is_temporary(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}
