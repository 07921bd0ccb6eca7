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
pub struct Weather {
    pub cut: bool,
    /// Parts of all.
    pub lost: f64,
    pub twice: f64,
    /// Each is held for up to this long, so that some overtake others; seconds.
    pub delay: f64,
    /// Nothing passes; it comes all at once when this ends.
    pub held: bool,
}

/// Passes on datagrams to one address, one way.
pub struct Relay {
    at: SocketAddr,
    weather: Arc<Mutex<Weather>>,
    over: Arc<AtomicBool>,
}

struct Parcel(Instant, Vec<u8>);

impl PartialEq for Parcel {
    fn eq(&self, other: &Parcel) -> bool {
        self.0 == other.0
    }
}

impl Eq for Parcel {}

impl PartialOrd for Parcel {
    fn partial_cmp(&self, other: &Parcel) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Parcel {
    fn cmp(&self, other: &Parcel) -> std::cmp::Ordering {
        other.0.cmp(&self.0)
    }
}

impl Relay {
    /// What comes at the relay's own address goes to `to`. Ends with the value.
    pub fn start(to: SocketAddr, seed: u64) -> io::Result<Relay> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let (weather, over) = (Arc::new(Mutex::new(Weather::default())), Arc::new(AtomicBool::new(false)));
        let relay =
            Relay { at: socket.local_addr()?, weather: Arc::clone(&weather), over: Arc::clone(&over) };
        thread::spawn(move || {
            let mut rng = SmallRng::seed_from_u64(seed);
            // What is under way; each leaves at its time.
            let mut held = BinaryHeap::<Parcel>::new();
            let mut space = [0; 65_536];
            while !over.load(Ordering::Relaxed) {
                // Hundreds of relays that woke all the time would take the cores from what they are between.
                let wait = if held.is_empty() { 100 } else { 2 };
                let _ = socket.set_read_timeout(Some(Duration::from_millis(wait)));
                let got = socket.recv(&mut space);
                let weather = *lock(&weather);
                let now = Instant::now();
                if let Ok(length) = got {
                    let copies = 1 + usize::from(rng.random_bool(weather.twice));
                    for _ in 0..copies {
                        if !weather.cut && !rng.random_bool(weather.lost) {
                            let delay = weather.delay * rng.random_range(0.0..1.0);
                            held.push(Parcel(now + Duration::from_secs_f64(delay), space[..length].to_vec()));
                        }
                    }
                }
                while !weather.held && held.peek().is_some_and(|parcel| parcel.0 <= now) {
                    if let Some(parcel) = held.pop() {
                        // Who is not there does not get it.
                        let _ = socket.send_to(&parcel.1, to);
                    }
                }
            }
        });
        Ok(relay)
    }

    pub fn at(&self) -> SocketAddr {
        self.at
    }

    pub fn set(&self, weather: Weather) {
        *lock(&self.weather) = weather;
    }

    pub fn change(&self, change: impl FnOnce(&mut Weather)) {
        change(&mut lock(&self.weather));
    }
}

/// What happens to connections on their way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Flow {
    /// Bytes of whoever connects, and those that come back, go nowhere; the connections stand.
    pub cut_to: bool,
    pub cut_back: bool,
    /// Each piece waits for so long; seconds.
    pub delay: f64,
    /// A few bytes at a time.
    pub trickle: bool,
    /// Nobody is connected any more, and who tries is refused an answer.
    pub closed: bool,
}

/// Passes on connections to one address.
pub struct Wire {
    at: SocketAddr,
    flow: Arc<Mutex<Flow>>,
    over: Arc<AtomicBool>,
}

/// Pieces that are passed on at once where they trickle, and else; bytes.
const TRICKLE: usize = 7;
const PIECE: usize = 16_384;

impl Wire {
    /// Who connects to the wire's own address, of that IP, is connected to `to`. Ends with the value.
    pub fn start(to: SocketAddr, own: std::net::IpAddr) -> io::Result<Wire> {
        let listener = TcpListener::bind((own, 0))?;
        listener.set_nonblocking(true)?;
        let (flow, over) = (Arc::new(Mutex::new(Flow::default())), Arc::new(AtomicBool::new(false)));
        let wire = Wire { at: listener.local_addr()?, flow: Arc::clone(&flow), over: Arc::clone(&over) };
        thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                let Ok((client, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(15));
                    continue;
                };
                if lock(&flow).closed {
                    continue;
                }
                let (flow, over) = (Arc::clone(&flow), Arc::clone(&over));
                // A connection that breaks is the affair of its two ends.
                thread::spawn(move || connect(client, to, &flow, &over));
            }
        });
        Ok(wire)
    }

    pub fn at(&self) -> SocketAddr {
        self.at
    }

    pub fn change(&self, change: impl FnOnce(&mut Flow)) {
        change(&mut lock(&self.flow));
    }
}

impl Drop for Wire {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

fn connect(
    client: TcpStream,
    to: SocketAddr,
    flow: &Arc<Mutex<Flow>>,
    over: &Arc<AtomicBool>,
) -> io::Result<()> {
    client.set_nonblocking(false)?;
    let server = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    let (from, into) = (client.try_clone()?, server.try_clone()?);
    let (there, over_there) = (Arc::clone(flow), Arc::clone(over));
    thread::spawn(move || pump(from, into, &there, &over_there, |flow| flow.cut_to));
    pump(server, client, flow, over, |flow| flow.cut_back)
}

/// Passes bytes on one way until either end is over.
fn pump(
    mut from: TcpStream,
    mut into: TcpStream,
    flow: &Mutex<Flow>,
    over: &AtomicBool,
    cut: impl Fn(&Flow) -> bool,
) -> io::Result<()> {
    from.set_read_timeout(Some(Duration::from_millis(200)))?;
    let mut space = vec![0; PIECE];
    let done = loop {
        if over.load(Ordering::Relaxed) || lock(flow).closed {
            break Ok(());
        }
        let most = if lock(flow).trickle { TRICKLE } else { PIECE };
        match from.read(&mut space[..most]) {
            Ok(0) => break Ok(()),
            Ok(length) => {
                let now = *lock(flow);
                thread::sleep(Duration::from_secs_f64(if now.trickle {
                    now.delay.max(0.002)
                } else {
                    now.delay
                }));
                // What came while the way was cut is held back, and goes on once it is mended.
                while cut(&lock(flow)) && !lock(flow).closed && !over.load(Ordering::Relaxed) {
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

impl Drop for Relay {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
