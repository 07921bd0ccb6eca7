//! Operations on non-blocking sockets.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::SocketAddr;

use bytes::{Buf, Bytes};
use rustix::io::Errno;
use socket2::{Domain, Protocol, Socket, Type};

use crate::protocol::socket_failure::ConnectFailure;

/// Slices per write.
const MAX_SLICES_PER_WRITE: usize = 16;

/// Returns whether the peer has closed the connection, even if bytes that it sent before are still unread. Reads nothing.
pub fn has_ended(socket: &Socket) -> bool {
    use rustix::event::{PollFd, PollFlags, Timespec, poll};
    let end_flags = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut fds = [PollFd::new(socket, PollFlags::RDHUP)];
    let now = Timespec { tv_sec: 0, tv_nsec: 0 };
    // An interruption by a signal does not indicate that the peer has closed the connection.
    let polled = rustix::io::retry_on_intr(|| poll(&mut fds, Some(&now)));
    polled.is_ok() && fds[0].revents().intersects(end_flags)
}

/// Returns whether closing the socket would reset the connection: bytes from the peer are unread, and the two sides have not
/// both closed and acknowledged each other's data. A reset discards data that the peer has not acknowledged yet. Reads
/// nothing.
pub fn close_would_reset(socket: &Socket) -> bool {
    // If the system call fails, there may be unread bytes.
    let unread = rustix::io::ioctl_fionread(socket).map_or(true, |bytes| bytes > 0);
    unread && !is_finished(socket)
}

/// Returns whether both sides have closed and all data is acknowledged: the system then no longer treats the socket as
/// connected.
fn is_finished(socket: &Socket) -> bool {
    matches!(socket.peer_addr(), Err(error) if error.kind() == ErrorKind::NotConnected)
}

/// Slices waiting to be written by [`flush`](Self::flush).
#[derive(Debug, Default)]
pub struct Outbox {
    slices: VecDeque<Bytes>,
}

impl Outbox {
    /// Adds a slice to be written after the others.
    pub fn push(&mut self, slice: Bytes) {
        if !slice.is_empty() {
            self.slices.push_back(slice);
        }
    }

    /// Returns whether nothing is left to write.
    pub fn is_empty(&self) -> bool {
        self.slices.is_empty()
    }

    /// Writes as much as the socket accepts. Returns true if nothing is left.
    pub fn flush(&mut self, mut socket: &Socket) -> io::Result<bool> {
        while !self.slices.is_empty() {
            let parts: Vec<IoSlice> =
                self.slices.iter().take(MAX_SLICES_PER_WRITE).map(|s| IoSlice::new(s)).collect();
            match socket.write_vectored(&parts) {
                Ok(written) => self.remove_written(written),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    }

    fn remove_written(&mut self, mut bytes: usize) {
        while let Some(front) = self.slices.front_mut() {
            if front.len() > bytes {
                front.advance(bytes);
                return;
            }
            bytes -= front.len();
            self.slices.pop_front();
        }
    }

    /// Replaces the slice that is `places` places before the last one by another of the same length. Returns false if that
    /// slice has another length, is partly written, or is fully written.
    pub fn replace_from_end(&mut self, places: usize, slice: &Bytes) -> bool {
        let at = self.slices.len().checked_sub(places + 1);
        match at.and_then(|at| self.slices.get_mut(at)) {
            Some(old) if old.len() == slice.len() => {
                *old = slice.clone();
                true
            }
            _ => false,
        }
    }

    /// Returns a copy of the bytes that are left to write.
    pub fn rest(&self) -> Vec<u8> {
        self.slices.iter().flat_map(|slice| slice.iter().copied()).collect()
    }
}

fn open(at: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Starts to connect. The socket becomes writable when the connection is established or has failed.
pub fn connect(to: SocketAddr) -> Result<Socket, ConnectFailure> {
    let socket = open(to).map_err(ConnectFailure::Local)?;
    // If this fails the connection still works, with small writes delayed at times.
    let _ = socket.set_tcp_nodelay(true);
    // The system continues an interrupted connect in the background.
    let in_progress = [Errno::INPROGRESS, Errno::INTR].map(|errno| Some(errno.raw_os_error()));
    match socket.connect(&to.into()) {
        Err(e) if !in_progress.contains(&e.raw_os_error()) => Err(ConnectFailure::of_connect(e)),
        _ => Ok(socket),
    }
}

/// Listens for connections.
pub fn listen(at: SocketAddr, backlog: usize) -> io::Result<Socket> {
    let socket = open(at)?;
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    socket.listen(i32::try_from(backlog).unwrap_or(i32::MAX))?;
    Ok(socket)
}

/// Binds a datagram socket to an address that no other socket has, or can have while this one is open.
pub fn bind_datagram(at: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(at), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    Ok(socket)
}

/// Receives the next datagram, if one is available, and returns its length. A datagram longer than the buffer is truncated.
pub fn receive_datagram(mut socket: &Socket, buffer: &mut [u8]) -> io::Result<Option<usize>> {
    match socket.read(buffer) {
        Ok(length) => Ok(Some(length)),
        Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(None),
        Err(e) => Err(e),
    }
}

/// Accepts the next connection, if one is waiting. The accepting call also makes it non-blocking, as a separate call for that
/// could fail.
pub fn accept(listener: &Socket) -> io::Result<Option<Socket>> {
    use rustix::net::{SocketFlags, accept_with};
    match accept_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC) {
        Ok(accepted) => {
            let socket = Socket::from(accepted);
            // If this fails the connection still works, with small writes delayed at times.
            let _ = socket.set_tcp_nodelay(true);
            Ok(Some(socket))
        }
        Err(Errno::WOULDBLOCK) => Ok(None),
        Err(e) => Err(e.into()),
    }
}

/// Returns whether a connection that was started is established by now.
///
/// If the system can't report this because it lacks memory, the connection is treated as established: the next write or the
/// time limit reveals a failure.
///
/// # Errors
/// If the connection could not be established.
pub fn is_connected(socket: &Socket) -> io::Result<bool> {
    if let Ok(Some(error)) = socket.take_error() {
        return Err(error);
    }
    let peer = socket.peer_addr();
    Ok(peer.map_or_else(|e| e.kind() != ErrorKind::NotConnected, |_| true))
}
