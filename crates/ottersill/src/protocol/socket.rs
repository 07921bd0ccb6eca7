//! Reading and writing sockets that never block.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::SocketAddr;

use bytes::{Buf, Bytes, BytesMut};
use rustix::io::Errno;
use socket2::{Domain, Protocol, Socket, Type};

use crate::protocol::socket_failure::ConnectFailure;

/// Read at once, a page: a statement and its answer are shorter.
const READ_CHUNK_BYTES: usize = 4096;
/// Reads of one connection in a row, so that one that talks a lot holds up no other.
const MAX_READS_PER_WAKE: usize = 16;
/// Slices written at once.
const MAX_SLICES_PER_WRITE: usize = 16;

/// How reading has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// All that was there.
    Drained,
    /// There may be more: the buffer is full, or it is others' turn.
    MoreLeft,
    /// The other side has ended.
    Ended,
}

/// Reads until `most` bytes are in the buffer or the socket is dry. A short read does not prove that: an end that
/// came with the data raises no readiness of its own.
pub fn read(mut socket: &Socket, inbox: &mut BytesMut, most: usize) -> io::Result<ReadOutcome> {
    for _ in 0..MAX_READS_PER_WAKE {
        let from = inbox.len();
        if from >= most {
            return Ok(ReadOutcome::MoreLeft);
        }
        inbox.resize(from + READ_CHUNK_BYTES, 0);
        let read = socket.read(&mut inbox[from..]);
        inbox.truncate(from + *read.as_ref().unwrap_or(&0));
        match read {
            Ok(0) => return Ok(ReadOutcome::Ended),
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(ReadOutcome::Drained),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(ReadOutcome::MoreLeft)
}

/// Whether the peer has ended the connection, even if what it sent before is not read yet. Reads nothing.
pub fn has_ended(socket: &Socket) -> bool {
    use rustix::event::{PollFd, PollFlags, Timespec, poll};
    let ends = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut fds = [PollFd::new(socket, PollFlags::RDHUP)];
    let now = Timespec { tv_sec: 0, tv_nsec: 0 };
    // A signal that comes in between says nothing of the peer.
    let polled = rustix::io::retry_on_intr(|| poll(&mut fds, Some(&now)));
    polled.is_ok() && fds[0].revents().intersects(ends)
}

/// Whether closing the socket resets the connection: bytes of the peer are unread, and the two sides have not both ended and
/// acknowledged each other's data. A reset discards what the peer has not acknowledged yet. Reads nothing.
pub fn close_would_reset(socket: &Socket) -> bool {
    // Where the system doesn't tell, there may be some.
    let unread = rustix::io::ioctl_fionread(socket).map_or(true, |bytes| bytes > 0);
    unread && !is_finished(socket)
}

/// Whether both sides have ended and all data is acknowledged: the system then no longer counts the socket as connected.
fn is_finished(socket: &Socket) -> bool {
    matches!(socket.peer_addr(), Err(fault) if fault.kind() == ErrorKind::NotConnected)
}

/// Slices on their way out; emptied by `flush`.
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

    /// Nothing is left to write.
    pub fn is_empty(&self) -> bool {
        self.slices.is_empty()
    }

    /// Writes what the socket takes; true once nothing is left.
    pub fn flush(&mut self, mut socket: &Socket) -> io::Result<bool> {
        while !self.slices.is_empty() {
            let parts: Vec<IoSlice> =
                self.slices.iter().take(MAX_SLICES_PER_WRITE).map(|s| IoSlice::new(s)).collect();
            match socket.write_vectored(&parts) {
                Ok(written) => self.written(written),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    }

    fn written(&mut self, mut bytes: usize) {
        while let Some(front) = self.slices.front_mut() {
            if front.len() > bytes {
                front.advance(bytes);
                return;
            }
            bytes -= front.len();
            self.slices.pop_front();
        }
    }

    /// Replaces the slice that lies so many places before the last one by another of the same length; false if that slice is
    /// of another length, is partly written, or has left.
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

    /// What is left to write, in one piece.
    pub fn rest(&self) -> Vec<u8> {
        self.slices.iter().flat_map(|slice| slice.iter().copied()).collect()
    }
}

fn open(at: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Starts to connect; the socket becomes writable when that has ended, well or not.
pub fn connect(to: SocketAddr) -> Result<Socket, ConnectFailure> {
    let socket = open(to).map_err(ConnectFailure::Local)?;
    // Without it the connection serves as well, with small writes held back at times.
    let _ = socket.set_tcp_nodelay(true);
    // An interrupted one goes on by itself.
    let begun = [Errno::INPROGRESS, Errno::INTR].map(|errno| Some(errno.raw_os_error()));
    match socket.connect(&to.into()) {
        Err(e) if !begun.contains(&e.raw_os_error()) => Err(ConnectFailure::of_connect(e)),
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

/// A socket for datagrams at an address that nobody else has, nor can have while this one is open.
pub fn bind_datagram(at: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(at), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    Ok(socket)
}

/// The next datagram, if one is there; what is longer than the space is cut off.
pub fn receive_datagram(mut socket: &Socket, space: &mut [u8]) -> io::Result<Option<usize>> {
    match socket.read(space) {
        Ok(length) => Ok(Some(length)),
        Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(None),
        Err(e) => Err(e),
    }
}

/// The next client, if one is there. It is set not to block by the call that accepts it: a second call for that could fail.
pub fn accept(listener: &Socket) -> io::Result<Option<Socket>> {
    use rustix::net::{SocketFlags, accept_with};
    match accept_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC) {
        Ok(accepted) => {
            let socket = Socket::from(accepted);
            // Without it the client is served as well, with small writes held back at times.
            let _ = socket.set_tcp_nodelay(true);
            Ok(Some(socket))
        }
        Err(Errno::WOULDBLOCK) => Ok(None),
        Err(e) => Err(e.into()),
    }
}

/// Whether a dialled connection is up by now; an error says that it never will be. Where the system can't tell, as it lacks
/// the memory for that, the next write or the time limit does.
pub fn is_connected(socket: &Socket) -> io::Result<bool> {
    if let Ok(Some(fault)) = socket.take_error() {
        return Err(fault);
    }
    let peer = socket.peer_addr();
    Ok(peer.map_or_else(|e| e.kind() != ErrorKind::NotConnected, |_| true))
}
