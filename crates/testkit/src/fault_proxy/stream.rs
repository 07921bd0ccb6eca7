//! Forwards connections.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::sync::lock;

/// Bytes that are forwarded at once, and where they trickle.
const CHUNK_BYTES: usize = 16_384;
const TRICKLE_BYTES: usize = 7;
/// Least delay of each chunk where bytes trickle.
const TRICKLE_DELAY_SECONDS: f64 = 0.002;
/// Between two looks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(15);
/// Longest wait for the target to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for bytes before it is checked whether the proxy goes on.
const READ_TIMEOUT: Duration = Duration::from_millis(200);
/// Between two checks of whether a cut has ended.
const CUT_INTERVAL: Duration = Duration::from_millis(5);

/// What happens to connections on their way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StreamFaults {
    /// What clients send is held back; connections stay open.
    pub cut_requests: bool,
    /// What the target sends is held back; connections stay open.
    pub cut_responses: bool,
    /// Each chunk waits for so many seconds.
    pub delay: f64,
    /// A few bytes are forwarded at a time.
    pub trickle: bool,
    /// All connections are closed, and new ones as they come.
    pub closed: bool,
}

/// Forwards connections to one address until it is dropped.
pub struct StreamProxy {
    address: SocketAddr,
    control: Control,
}

/// What the threads of a proxy share.
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

    fn is_over(&self) -> bool {
        self.is_stopped() || self.faults().closed
    }
}

impl StreamProxy {
    /// Forwards what connects to the proxy's own address, of IP address `ip`, to `target`. Fails if no port can be bound.
    pub fn start(target: SocketAddr, ip: IpAddr) -> io::Result<StreamProxy> {
        let listener = TcpListener::bind((ip, 0))?;
        listener.set_nonblocking(true)?;
        let proxy = StreamProxy { address: listener.local_addr()?, control: Control::default() };
        let control = proxy.control.clone();
        thread::spawn(move || accept(&listener, target, &control));
        Ok(proxy)
    }

    /// Where clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes some of the faults.
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
        // An error on a connection concerns its two ends only.
        thread::spawn(move || connect(client, target, &control));
    }
}

/// Forwards one connection, both ways.
fn connect(client: TcpStream, target: SocketAddr, control: &Control) -> io::Result<()> {
    client.set_nonblocking(false)?;
    let server = TcpStream::connect_timeout(&target, CONNECT_TIMEOUT)?;
    let (from_client, to_server) = (client.try_clone()?, server.try_clone()?);
    let of_requests = control.clone();
    thread::spawn(move || forward(from_client, to_server, &of_requests, |faults| faults.cut_requests));
    forward(server, client, control, |faults| faults.cut_responses)
}

/// Forwards bytes one way until either end closes, then closes both.
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
    while !control.is_over() {
        let most = if control.faults().trickle { TRICKLE_BYTES } else { CHUNK_BYTES };
        match from.read(&mut buffer[..most]) {
            Ok(0) => return Ok(()),
            Ok(length) => {
                delay(&control.faults());
                // What came while the way was cut is held back, and goes on once it is mended.
                while is_cut(&control.faults()) && !control.is_over() {
                    thread::sleep(CUT_INTERVAL);
                }
                to.write_all(&buffer[..length])?;
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

fn delay(faults: &StreamFaults) {
    let seconds = if faults.trickle { faults.delay.max(TRICKLE_DELAY_SECONDS) } else { faults.delay };
    thread::sleep(Duration::from_secs_f64(seconds));
}
