//! The memory that a read buffer and the messages taken from it keep in use.

use std::io::Write;
use std::os::unix::net::UnixStream;

use ottersill::protocol::frame;
use ottersill::protocol::read_buffer::{ReadBuffer, ReadOutcome};
use ottersill_testkit::stand_in::message;
use rstest::rstest;
use socket2::Socket;

/// A connection into which a test writes, and the buffer into which its other side is read.
struct Connection {
    writer: UnixStream,
    reader: Socket,
    buffer: ReadBuffer,
}

impl Connection {
    fn open() -> Connection {
        let (writer, reader) = UnixStream::pair().expect("socket pair could not be opened");
        reader.set_nonblocking(true).expect("setting the socket to non-blocking failed");
        Connection { writer, reader: Socket::from(reader), buffer: ReadBuffer::default() }
    }

    fn send(&mut self, bytes: &[u8]) {
        self.writer.write_all(bytes).expect("bytes could not be written");
    }

    fn read(&mut self, max_bytes: usize) -> ReadOutcome {
        self.buffer.read(&self.reader, max_bytes).expect("read failed")
    }

    fn take_message(&mut self) -> Option<frame::Message> {
        self.buffer.take(frame::take_message).expect("message is rejected")
    }
}

/// Guards against a buffer that takes more memory than its connection may use: it grew by doubling, beyond the limit.
#[rstest]
#[case::below_one_read(1000)]
#[case::no_multiple_of_a_read(5000)]
#[case::several_reads(40_000)]
fn a_buffer_grows_to_the_limit_and_no_further(#[case] max_bytes: usize) {
    let mut connection = Connection::open();
    connection.send(&[b'x'; 60_000]);
    assert_eq!(connection.read(max_bytes), ReadOutcome::MoreToRead);
    assert_eq!(connection.buffer.len(), max_bytes);
    assert_eq!(connection.buffer.allocated_bytes(), max_bytes);
}

/// Guards against memory that is in use and not counted: a message is a slice of the whole allocation that it was read into.
#[test]
fn a_message_counts_with_the_allocation_that_it_was_read_into_until_it_is_released() {
    let (first, second) = (message(b'Q', &[b'1'; 100]), message(b'Q', &[b'2'; 20_000]));
    let mut connection = Connection::open();
    connection.send(&[first.clone(), second[..10_000].to_vec()].concat());
    assert_eq!(connection.read(frame::MAX_MESSAGE_BYTES), ReadOutcome::Drained);
    let shared = connection.buffer.allocated_bytes();
    assert_eq!(connection.take_message().expect("no message").0, first);
    assert_eq!(connection.buffer.allocated_bytes(), shared, "the message needs no memory of its own");
    connection.send(&second[10_000..]);
    assert_eq!(connection.read(second.len()), ReadOutcome::MoreToRead);
    assert_eq!(connection.buffer.allocated_bytes(), shared + second.len());
    assert_eq!(connection.take_message().expect("no message").0, second);
    assert_eq!(connection.buffer.allocated_bytes(), shared + second.len());
    connection.buffer.release_messages();
    assert_eq!(connection.buffer.allocated_bytes(), 0);
}

/// Guards against idle connections that keep the memory of what they have read.
#[test]
fn an_empty_buffer_uses_no_memory() {
    let mut connection = Connection::open();
    assert_eq!(connection.read(frame::MAX_MESSAGE_BYTES), ReadOutcome::Drained);
    assert_eq!(connection.buffer.allocated_bytes(), 0);
    connection.send(&message(b'Q', &[b'1'; 50_000]));
    assert_eq!(connection.read(frame::MAX_MESSAGE_BYTES), ReadOutcome::Drained);
    connection.buffer.clear();
    assert_eq!(connection.buffer.allocated_bytes(), 0);
}
