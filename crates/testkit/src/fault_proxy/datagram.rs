//! A proxy that forwards datagrams in one direction.

use std::cmp::Ordering as CmpOrdering;
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

/// Longest datagram that is forwarded, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Longest wait for a datagram while none is in flight. It is long because hundreds of proxies that wake up often would take
/// CPU time from the processes that they connect.
const IDLE_WAIT: Duration = Duration::from_millis(100);
/// Longest wait for a datagram while some are in flight.
const BUSY_WAIT: Duration = Duration::from_millis(2);

/// Faults of a link in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Datagrams that arrive at the proxy are lost.
    pub cut: bool,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Probability that a datagram is duplicated.
    pub duplication: f64,
    /// Longest delay of a datagram in seconds; delays are random, so that datagrams are reordered.
    pub max_delay_seconds: f64,
    /// Datagrams are held back, and those that are due are sent all at once when this ends.
    pub held: bool,
}

/// Forwards datagrams in one direction to one address, until it is dropped.
pub struct DatagramProxy {
    address: SocketAddr,
    faults: Arc<Mutex<LinkFaults>>,
    stopped: Arc<AtomicBool>,
}

impl DatagramProxy {
    /// Starts a proxy that forwards the datagrams received at its own address to `target`. Random faults are derived from
    /// `seed`. Fails if no port can be bound.
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

    /// Returns the address at which the proxy receives datagrams.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: LinkFaults) {
        *lock(&self.faults) = faults;
    }

    /// Modifies the current faults.
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
    /// Datagrams to be sent; the one that is due first is on top.
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
                self.enqueue(&buffer[..length], &faults, now);
            }
            if !faults.held {
                self.send_due(now);
            }
        }
    }

    /// Enqueues a datagram, with random loss, duplication and delay.
    fn enqueue(&mut self, datagram: &[u8], faults: &LinkFaults, now: Instant) {
        let copies = 1 + usize::from(self.random.random_bool(faults.duplication));
        for _ in 0..copies {
            if !faults.cut && !self.random.random_bool(faults.loss) {
                let delay = faults.max_delay_seconds * self.random.random_range(0.0..1.0);
                let due = now + Duration::from_secs_f64(delay);
                self.in_flight.push(DelayedDatagram { due, bytes: datagram.to_vec() });
            }
        }
    }

    /// Sends the datagrams that are due.
    fn send_due(&mut self, now: Instant) {
        while self.in_flight.peek().is_some_and(|datagram| datagram.due <= now) {
            if let Some(datagram) = self.in_flight.pop() {
                // Sending may fail if no process listens at the target; the datagram is lost then.
                let _ = self.socket.send_to(&datagram.bytes, self.target);
            }
        }
    }
}

/// A datagram in flight. Ordered by descending due time, so that the one due first is the maximum of a heap.
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
    fn partial_cmp(&self, other: &DelayedDatagram) -> Option<CmpOrdering> {
        Some(self.cmp(other))
    }
}

impl Ord for DelayedDatagram {
    fn cmp(&self, other: &DelayedDatagram) -> CmpOrdering {
        other.due.cmp(&self.due)
    }
}
