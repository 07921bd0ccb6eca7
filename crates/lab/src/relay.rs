//! Datagrams from one process to another, with what can happen to them on the way.

use std::collections::BinaryHeap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
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
        socket.set_read_timeout(Some(Duration::from_millis(3)))?;
        let (weather, over) = (Arc::new(Mutex::new(Weather::default())), Arc::new(AtomicBool::new(false)));
        let relay =
            Relay { at: socket.local_addr()?, weather: Arc::clone(&weather), over: Arc::clone(&over) };
        thread::spawn(move || {
            let mut rng = SmallRng::seed_from_u64(seed);
            // What is under way; each leaves at its time.
            let mut held = BinaryHeap::<Parcel>::new();
            let mut space = [0; 65_536];
            while !over.load(Ordering::Relaxed) {
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

impl Drop for Relay {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

fn lock(weather: &Mutex<Weather>) -> MutexGuard<'_, Weather> {
    weather.lock().unwrap_or_else(PoisonError::into_inner)
}
