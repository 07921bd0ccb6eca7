//! The read buffer of a connection. It knows how much memory it keeps in use.
//!
//! Messages are slices of the buffer that they were read into, so the memory of a buffer is free again only once the last of them
//! is dropped. A buffer therefore never grows in place: a larger one replaces it, whose size the caller limits, and the old one
//! counts as in use until the caller has dropped its messages.

use std::io::{self, ErrorKind, Read};
use std::ops::Deref;

use bytes::{Buf, BytesMut};
use socket2::Socket;

/// Bytes per read, one page: a statement and its answer are shorter.
const READ_CHUNK_BYTES: usize = 4096;
/// Reads of one connection in a row, limited so that a busy connection does not delay the others.
const MAX_READS_PER_WAKE: usize = 16;

/// The result of reading a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// All available bytes were read.
    Drained,
    /// More bytes may be available: the buffer is full, or the limit of reads in a row is reached.
    MoreToRead,
    /// The peer has closed its side of the connection.
    Ended,
}

/// Bytes that were read from a connection and not yet taken out as complete messages.
#[derive(Debug, Default)]
pub struct ReadBuffer {
    /// The unread rest of the current allocation, and the room behind it.
    bytes: BytesMut,
    /// Size of the current allocation, in bytes.
    allocated: usize,
    /// Whether messages were taken from the current allocation that may still be in use.
    has_messages: bool,
    /// Total size of earlier allocations from which messages were taken that may still be in use, in bytes.
    retained: usize,
}

impl Deref for ReadBuffer {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl ReadBuffer {
    /// Returns the memory that the buffer and the messages taken from it keep in use, in bytes.
    pub fn allocated_bytes(&self) -> usize {
        self.allocated + self.retained
    }

    /// Returns how many bytes the buffer can hold without a larger allocation.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Reads until `max_bytes` bytes are in the buffer or no more are available. The buffer grows to `max_bytes` at most.
    /// Continues after a short read: if the peer has closed the connection along with the data, no further readiness event
    /// announces that.
    ///
    /// # Errors
    /// If the connection has failed.
    pub fn read(&mut self, mut socket: &Socket, max_bytes: usize) -> io::Result<ReadOutcome> {
        self.read_by(max_bytes, |buffer| socket.read(buffer))
    }

    /// Like [`read`](Self::read), from a source that `receive` reads: it returns how many bytes it has written to its buffer.
    ///
    /// # Errors
    /// The errors of `receive`, except that nothing is available or that it was interrupted.
    pub fn read_by(
        &mut self,
        max_bytes: usize,
        mut receive: impl FnMut(&mut [u8]) -> io::Result<usize>,
    ) -> io::Result<ReadOutcome> {
        for _ in 0..MAX_READS_PER_WAKE {
            let from = self.bytes.len();
            if from >= max_bytes {
                return Ok(ReadOutcome::MoreToRead);
            }
            let room = self.make_room(max_bytes);
            self.bytes.resize(from + room.min(READ_CHUNK_BYTES), 0);
            let read = receive(&mut self.bytes[from..]);
            self.bytes.truncate(from + *read.as_ref().unwrap_or(&0));
            match read {
                Ok(0) => return Ok(ReadOutcome::Ended),
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.release_if_empty();
                    return Ok(ReadOutcome::Drained);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(ReadOutcome::MoreToRead)
    }

    /// Returns the number of bytes that fit behind those in the buffer, up to `max_bytes` in total. Replaces a full buffer by one
    /// of twice the length.
    fn make_room(&mut self, max_bytes: usize) -> usize {
        let length = self.bytes.len();
        if self.bytes.capacity() == length {
            let capacity = (2 * length).max(READ_CHUNK_BYTES).min(max_bytes);
            let mut larger = BytesMut::with_capacity(capacity);
            larger.extend_from_slice(&self.bytes);
            self.replace(larger, capacity);
        }
        self.bytes.capacity().min(max_bytes) - length
    }

    fn replace(&mut self, bytes: BytesMut, allocated: usize) {
        if self.has_messages {
            self.retained += self.allocated;
        }
        self.bytes = bytes;
        self.allocated = allocated;
        self.has_messages = false;
    }

    fn release_if_empty(&mut self) {
        if self.bytes.is_empty() {
            self.replace(BytesMut::new(), 0);
        }
    }

    /// Takes out the next message by `take`, which removes it from the front of the bytes and returns `None` if it is not
    /// complete yet.
    ///
    /// # Errors
    /// The error of `take`.
    pub fn take<T, E>(
        &mut self,
        take: impl FnOnce(&mut BytesMut) -> Result<Option<T>, E>,
    ) -> Result<Option<T>, E> {
        let message = take(&mut self.bytes)?;
        self.has_messages |= message.is_some();
        self.release_if_empty();
        Ok(message)
    }

    /// Discards that many bytes from the front of the buffer.
    pub fn discard(&mut self, bytes: usize) {
        self.bytes.advance(bytes);
        self.release_if_empty();
    }

    /// Records that all messages taken so far are dropped.
    pub fn release_messages(&mut self) {
        self.has_messages = false;
        self.retained = 0;
    }

    /// Discards the bytes in the buffer.
    pub fn clear(&mut self) {
        self.replace(BytesMut::new(), 0);
    }
}
