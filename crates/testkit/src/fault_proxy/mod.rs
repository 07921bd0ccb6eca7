//! What passes from one process to another, datagrams and connections, with what can happen to it on the way.

use std::collections::BinaryHeap;
use std::io;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// What happens on one way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    pub cut: bool,
    /// Parts of all.
    pub loss: f64,
    pub duplication: f64,
    /// Each is held for up to this long, so that some overtake others; seconds.
    pub delay: f64,
    /// Nothing passes; it comes all at once when this ends.
    pub held: bool,
}

/// Passes on datagrams to one address, one way.
pub struct DatagramProxy {
    at: SocketAddr,
    faults: Arc<Mutex<LinkFaults>>,
    over: Arc<AtomicBool>,
}

struct DelayedDatagram(Instant, Vec<u8>);

impl PartialEq for DelayedDatagram {
    fn eq(&self, other: &DelayedDatagram) -> bool {
        self.0 == other.0
    }
}

impl Eq for DelayedDatagram {}

impl PartialOrd for DelayedDatagram {
    fn partial_cmp(&self, other: &DelayedDatagram) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for DelayedDatagram {
    fn cmp(&self, other: &DelayedDatagram) -> std::cmp::Ordering {
        other.0.cmp(&self.0)
    }
}

impl DatagramProxy {
    /// What comes at the proxy's own address goes to `to`. Ends with the value.
    pub fn start(to: SocketAddr, seed: u64) -> io::Result<DatagramProxy> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let (faults, over) = (Arc::new(Mutex::new(LinkFaults::default())), Arc::new(AtomicBool::new(false)));
        let proxy =
            DatagramProxy { at: socket.local_addr()?, faults: Arc::clone(&faults), over: Arc::clone(&over) };
        thread::spawn(move || {
            let mut rng = SmallRng::seed_from_u64(seed);
            // What is under way; each leaves at its time.
            let mut held = BinaryHeap::<DelayedDatagram>::new();
            let mut space = [0; 65_536];
            while !over.load(Ordering::Relaxed) {
                // Hundreds of relays that woke all the time would take the cores from what they are between.
                let wait = if held.is_empty() { 100 } else { 2 };
                let _ = socket.set_read_timeout(Some(Duration::from_millis(wait)));
                let got = socket.recv(&mut space);
                let faults = *lock(&faults);
                let now = Instant::now();
                if let Ok(length) = got {
                    let copies = 1 + usize::from(rng.random_bool(faults.duplication));
                    for _ in 0..copies {
                        if !faults.cut && !rng.random_bool(faults.loss) {
                            let delay = faults.delay * rng.random_range(0.0..1.0);
                            held.push(DelayedDatagram(
                                now + Duration::from_secs_f64(delay),
                                space[..length].to_vec(),
                            ));
                        }
                    }
                }
                while !faults.held && held.peek().is_some_and(|datagram| datagram.0 <= now) {
                    if let Some(datagram) = held.pop() {
                        // Who is not there does not get it.
                        let _ = socket.send_to(&datagram.1, to);
                    }
                }
            }
        });
        Ok(proxy)
    }

    pub fn address(&self) -> SocketAddr {
        self.at
    }

    pub fn set_faults(&self, faults: LinkFaults) {
        *lock(&self.faults) = faults;
    }

    pub fn change_faults(&self, change: impl FnOnce(&mut LinkFaults)) {
        change(&mut lock(&self.faults));
    }
}

/// What happens to connections on their way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StreamFaults {
    /// Bytes of whoever connects, and those that come back, go nowhere; the connections stand.
    pub cut_requests: bool,
    pub cut_responses: bool,
    /// Each piece waits for so long; seconds.
    pub delay: f64,
    /// A few bytes at a time.
    pub trickle: bool,
    /// Nobody is connected any more, and who tries is refused an answer.
    pub closed: bool,
}

/// Passes on connections to one address.
pub struct StreamProxy {
    at: SocketAddr,
    faults: Arc<Mutex<StreamFaults>>,
    over: Arc<AtomicBool>,
}

/// Pieces that are passed on at once where they trickle, and else; bytes.
const TRICKLE: usize = 7;
const PIECE: usize = 16_384;

impl StreamProxy {
    /// Who connects to the proxy's own address, of that IP, is connected to `to`. Ends with the value.
    pub fn start(to: SocketAddr, own: std::net::IpAddr) -> io::Result<StreamProxy> {
        let listener = TcpListener::bind((own, 0))?;
        listener.set_nonblocking(true)?;
        let (faults, over) =
            (Arc::new(Mutex::new(StreamFaults::default())), Arc::new(AtomicBool::new(false)));
        let proxy =
            StreamProxy { at: listener.local_addr()?, faults: Arc::clone(&faults), over: Arc::clone(&over) };
        thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                let Ok((client, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(15));
                    continue;
                };
                if lock(&faults).closed {
                    continue;
                }
                let (faults, over) = (Arc::clone(&faults), Arc::clone(&over));
                // A connection that breaks is the affair of its two ends.
                thread::spawn(move || connect(client, to, &faults, &over));
            }
        });
        Ok(proxy)
    }

    pub fn address(&self) -> SocketAddr {
        self.at
    }

    pub fn change_faults(&self, change: impl FnOnce(&mut StreamFaults)) {
        change(&mut lock(&self.faults));
    }
}

impl Drop for StreamProxy {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

fn connect(
    client: TcpStream,
    to: SocketAddr,
    faults: &Arc<Mutex<StreamFaults>>,
    over: &Arc<AtomicBool>,
) -> io::Result<()> {
    client.set_nonblocking(false)?;
    let server = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    let (from, into) = (client.try_clone()?, server.try_clone()?);
    let (there, over_there) = (Arc::clone(faults), Arc::clone(over));
    thread::spawn(move || pump(from, into, &there, &over_there, |faults| faults.cut_requests));
    pump(server, client, faults, over, |faults| faults.cut_responses)
}

/// Passes bytes on one way until either end is over.
fn pump(
    mut from: TcpStream,
    mut into: TcpStream,
    faults: &Mutex<StreamFaults>,
    over: &AtomicBool,
    cut: impl Fn(&StreamFaults) -> bool,
) -> io::Result<()> {
    from.set_read_timeout(Some(Duration::from_millis(200)))?;
    let mut space = vec![0; PIECE];
    let done = loop {
        if over.load(Ordering::Relaxed) || lock(faults).closed {
            break Ok(());
        }
        let most = if lock(faults).trickle { TRICKLE } else { PIECE };
        match from.read(&mut space[..most]) {
            Ok(0) => break Ok(()),
            Ok(length) => {
                let now = *lock(faults);
                thread::sleep(Duration::from_secs_f64(if now.trickle {
                    now.delay.max(0.002)
                } else {
                    now.delay
                }));
                // What came while the way was cut is held back, and goes on once it is mended.
                while cut(&lock(faults)) && !lock(faults).closed && !over.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(5));
                }
                if let Err(fault) = into.write_all(&space[..length]) {
                    break Err(fault);
                }
            }
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(fault) => break Err(fault),
        }
    };
    let _ = from.shutdown(Shutdown::Both);
    let _ = into.shutdown(Shutdown::Both);
    done
}

impl Drop for DatagramProxy {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
