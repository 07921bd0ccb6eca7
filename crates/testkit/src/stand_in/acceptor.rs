//! Accepts connections at any number of listeners in one thread, so that a store of thousands of endpoints needs a
//! descriptor for each, and no thread.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::{Arc, Mutex};
use std::thread;

use rustix::buffer::spare_capacity;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::io::Errno;

use crate::sync::lock;

/// Listeners that are looked at after one wait.
const EVENTS_PER_WAIT: usize = 64;

/// Serves one connection to its end, in a thread of its own. An error concerns that connection only.
pub(super) type Serve = Arc<dyn Fn(TcpStream) -> io::Result<()> + Send + Sync>;

/// A listener, with what serves its connections.
struct Service {
    listener: TcpListener,
    serve: Serve,
}

/// The thread that accepts, as those who add listeners hold it. It lives as long as the process.
pub(super) struct Acceptor {
    epoll: Arc<OwnedFd>,
    /// By the number that `epoll` knows the listener by.
    services: Arc<Mutex<Vec<Service>>>,
}

impl Acceptor {
    /// Starts the thread.
    pub(super) fn start() -> io::Result<Acceptor> {
        let epoll = Arc::new(epoll::create(CreateFlags::CLOEXEC)?);
        let services = Arc::default();
        let acceptor = Acceptor { epoll: Arc::clone(&epoll), services: Arc::clone(&services) };
        thread::Builder::new().spawn(move || accept_all(&epoll, &services))?;
        Ok(acceptor)
    }

    /// Accepts at that listener from now on.
    pub(super) fn add(&self, listener: TcpListener, serve: Serve) -> io::Result<()> {
        // A connection may be gone again by the time it is accepted.
        listener.set_nonblocking(true)?;
        let mut services = lock(&self.services);
        let number = EventData::new_u64(services.len() as u64);
        epoll::add(&self.epoll, &listener, number, EventFlags::IN)?;
        services.push(Service { listener, serve });
        Ok(())
    }

    /// Closes all listeners; connections go on.
    pub(super) fn close_all(&self) {
        lock(&self.services).clear();
    }
}

fn accept_all(epoll: &OwnedFd, services: &Mutex<Vec<Service>>) {
    let mut events = Vec::with_capacity(EVENTS_PER_WAIT);
    loop {
        match epoll::wait(epoll, spare_capacity(&mut events), None) {
            Ok(_) | Err(Errno::INTR) => {}
            Err(_) => return,
        }
        for event in events.drain(..) {
            accept_one(services, service_index(event.data.u64()));
        }
    }
}

/// Accepts one connection; where more wait, the listener stays ready.
fn accept_one(services: &Mutex<Vec<Service>>, number: usize) {
    let services = lock(services);
    let Some(Service { listener, serve }) = services.get(number) else { return };
    let Ok((connection, _)) = listener.accept() else { return };
    let serve = Arc::clone(serve);
    // Without a thread for it the connection is closed.
    let _ = thread::Builder::new().spawn(move || serve(connection));
}

/// The index that a listener was registered under.
fn service_index(key: u64) -> usize {
    usize::try_from(key).expect("each key was an index")
}
