//! Accepts connections on any number of listeners in a single thread, so that a store of thousands of endpoints needs one
//! descriptor per endpoint instead of one thread.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::{Arc, Mutex};
use std::thread;

use rustix::buffer::spare_capacity;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::io::Errno;

use crate::sync::lock;

/// Most listeners that are handled after one `epoll_wait`.
const EVENTS_PER_WAIT: usize = 64;

/// Serves one connection until it ends, in a thread of its own. An error affects this connection only.
pub(super) type ConnectionHandler = Arc<dyn Fn(TcpStream) -> io::Result<()> + Send + Sync>;

/// A listener with the handler of its connections.
struct ListenerEntry {
    listener: TcpListener,
    handler: ConnectionHandler,
}

/// Handle of the accepting thread, by which listeners are added. The thread runs until the process ends.
pub(super) struct Acceptor {
    epoll: Arc<OwnedFd>,
    /// Indexed by the event data under which the listener is registered with `epoll`.
    listeners: Arc<Mutex<Vec<ListenerEntry>>>,
}

impl Acceptor {
    /// Starts the accepting thread.
    pub(super) fn start() -> io::Result<Acceptor> {
        let epoll = Arc::new(epoll::create(CreateFlags::CLOEXEC)?);
        let listeners = Arc::default();
        let acceptor = Acceptor { epoll: Arc::clone(&epoll), listeners: Arc::clone(&listeners) };
        thread::Builder::new().spawn(move || accept_all(&epoll, &listeners))?;
        Ok(acceptor)
    }

    /// Starts accepting connections on `listener`.
    pub(super) fn add(&self, listener: TcpListener, handler: ConnectionHandler) -> io::Result<()> {
        // The client may have closed the connection by the time it is accepted; accepting must not block then.
        listener.set_nonblocking(true)?;
        let mut listeners = lock(&self.listeners);
        let key = EventData::new_u64(listeners.len() as u64);
        epoll::add(&self.epoll, &listener, key, EventFlags::IN)?;
        listeners.push(ListenerEntry { listener, handler });
        Ok(())
    }

    /// Closes all listeners; accepted connections stay open.
    pub(super) fn close_all(&self) {
        lock(&self.listeners).clear();
    }
}

/// Accepts connections on all listeners, until waiting for events fails.
fn accept_all(epoll: &OwnedFd, listeners: &Mutex<Vec<ListenerEntry>>) {
    let mut events = Vec::with_capacity(EVENTS_PER_WAIT);
    loop {
        match epoll::wait(epoll, spare_capacity(&mut events), None) {
            Ok(_) | Err(Errno::INTR) => {}
            Err(_) => return,
        }
        for event in events.drain(..) {
            accept_one(listeners, listener_index(event.data.u64()));
        }
    }
}

/// Accepts one connection. If more are pending, the listener stays ready.
fn accept_one(listeners: &Mutex<Vec<ListenerEntry>>, index: usize) {
    let listeners = lock(listeners);
    let Some(ListenerEntry { listener, handler }) = listeners.get(index) else { return };
    let Ok((connection, _)) = listener.accept() else { return };
    let handler = Arc::clone(handler);
    // If the thread cannot be started, the connection is closed.
    let _ = thread::Builder::new().spawn(move || handler(connection));
}

/// Returns the index under which a listener was registered.
fn listener_index(key: u64) -> usize {
    usize::try_from(key).expect("event data is not an index")
}
