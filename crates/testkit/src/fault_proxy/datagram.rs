//! Forwards datagrams one way.

use std::cmp::Ordering as Order;
use std::collections::BinaryHeap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::sync::lock;

/// Longest datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// How long a proxy waits for a datagram while it holds none; hundreds of proxies that woke all the time would take the
/// processor from the processes between which they are.
const IDLE_WAIT: Duration = Duration::from_millis(100);
/// How long it waits while it holds some.
const BUSY_WAIT: Duration = Duration::from_millis(2);

/// What happens to datagrams on one way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Nothing passes, and what comes is lost.
    pub cut: bool,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Probability that a datagram is sent twice.
    pub duplication: f64,
    /// Each datagram is delayed by up to so many seconds, so that some overtake others.
    pub max_delay: f64,
    /// Nothing passes; it comes all at once when this ends.
    pub held: bool,
}

/// Forwards datagrams to one address, one way, until it is dropped.
pub struct DatagramProxy {
    address: SocketAddr,
    faults: Arc<Mutex<LinkFaults>>,
    stopped: Arc<AtomicBool>,
}

impl DatagramProxy {
    /// Forwards what comes at the proxy's own address to `target`, with faults drawn from `seed`. Fails if no port can be
    /// bound.
    pub fn start(target: SocketAddr, seed: u64) -> io::Result<DatagramProxy> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let proxy =
            DatagramProxy { address: socket.local_addr()?, faults: Arc::default(), stopped: Arc::default() };
        let forwarder = Forwarder {
            socket,
            target,
            faults: Arc::clone(&proxy.faults),
            stopped: Arc::clone(&proxy.stopped),
            random: SmallRng::seed_from_u64(seed),
            in_flight: BinaryHeap::new(),
        };
        thread::spawn(move || forwarder.run());
        Ok(proxy)
    }

    /// Where datagrams are to be sent.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: LinkFaults) {
        *lock(&self.faults) = faults;
    }

    /// Changes some of the faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut LinkFaults)) {
        change(&mut lock(&self.faults));
    }
}

impl Drop for DatagramProxy {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// The thread behind a proxy.
struct Forwarder {
    socket: UdpSocket,
    target: SocketAddr,
    faults: Arc<Mutex<LinkFaults>>,
    stopped: Arc<AtomicBool>,
    random: SmallRng,
    /// The earliest due is on top.
    in_flight: BinaryHeap<DelayedDatagram>,
}

impl Forwarder {
    fn run(mut self) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        while !self.stopped.load(Ordering::Relaxed) {
            let wait = if self.in_flight.is_empty() { IDLE_WAIT } else { BUSY_WAIT };
            let _ = self.socket.set_read_timeout(Some(wait));
            let received = self.socket.recv(&mut buffer);
            let faults = *lock(&self.faults);
            let now = Instant::now();
            if let Ok(length) = received {
                self.take_in(&buffer[..length], &faults, now);
            }
            if !faults.held {
                self.send_due(now);
            }
        }
    }

    /// Draws what becomes of a datagram.
    fn take_in(&mut self, datagram: &[u8], faults: &LinkFaults, now: Instant) {
        let copies = 1 + usize::from(self.random.random_bool(faults.duplication));
        for _ in 0..copies {
            if !faults.cut && !self.random.random_bool(faults.loss) {
                let delay = faults.max_delay * self.random.random_range(0.0..1.0);
                let due = now + Duration::from_secs_f64(delay);
                self.in_flight.push(DelayedDatagram { due, bytes: datagram.to_vec() });
            }
        }
    }

    fn send_due(&mut self, now: Instant) {
        while self.in_flight.peek().is_some_and(|datagram| datagram.due <= now) {
            if let Some(datagram) = self.in_flight.pop() {
                // A process that is not there does not receive it.
                let _ = self.socket.send_to(&datagram.bytes, self.target);
            }
        }
    }
}

/// A datagram under way; of two, the one that is due earlier is the greater.
struct DelayedDatagram {
    due: Instant,
    bytes: Vec<u8>,
}

impl PartialEq for DelayedDatagram {
    fn eq(&self, other: &DelayedDatagram) -> bool {
        self.due == other.due
    }
}

impl Eq for DelayedDatagram {}

impl PartialOrd for DelayedDatagram {
    fn partial_cmp(&self, other: &DelayedDatagram) -> Option<Order> {
        Some(self.cmp(other))
    }
}

impl Ord for DelayedDatagram {
    fn cmp(&self, other: &DelayedDatagram) -> Order {
        other.due.cmp(&self.due)
    }
}
