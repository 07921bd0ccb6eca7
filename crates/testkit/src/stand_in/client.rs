//! A blocking client that exchanges single messages with a router.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};

use super::pg_messages::{LENGTH_BYTES, length_field, message, read_message};

/// The startup message without its length field: version 3.0, then user and database.
const STARTUP: &[u8] = b"\0\x03\0\0user\0backend\0database\0store\0\0";
/// Offset of the value in the body of a DataRow message with one column.
const VALUE_OFFSET: usize = 6;

/// One session with a router.
pub struct Client {
    /// The connection, to which tests write bytes that the methods would not send.
    pub socket: TcpStream,
}

impl Client {
    /// Connects and sends the startup message, without reading the router's response to it.
    pub fn connect(router: SocketAddr) -> io::Result<Client> {
        let mut socket = TcpStream::connect(router)?;
        socket.set_nodelay(true)?;
        socket.write_all(&length_field(LENGTH_BYTES + STARTUP.len()))?;
        socket.write_all(STARTUP)?;
        Ok(Client { socket })
    }

    /// Sends a Query message.
    pub fn send(&mut self, query: &str) -> io::Result<()> {
        self.socket.write_all(&message(b'Q', format!("{query}\0").as_bytes()))
    }

    /// Reads the next message and returns its tag and its body.
    pub fn receive_message(&mut self) -> io::Result<(u8, Vec<u8>)> {
        read_message(&mut self.socket, usize::MAX)
    }

    /// Reads all messages up to ReadyForQuery and returns a text of their contents: the values of rows, the codes and
    /// details of errors, and command tags, separated by spaces.
    pub fn read_answer(&mut self) -> io::Result<String> {
        let mut parts = Vec::new();
        loop {
            let (tag, body) = self.receive_message()?;
            match tag {
                b'Z' => return Ok(parts.join(" ")),
                b'D' => parts.push(format!("row:{}", decode_text(&body[VALUE_OFFSET..]))),
                b'C' => parts.push(decode_text(&body)),
                b'I' => parts.push("empty".to_string()),
                b'E' => parts.extend(error_fields(&body, b"CD")),
                _ => {}
            }
        }
    }

    /// Reads up to the next row or error and returns the row's value or the error's code, whether or not the session
    /// continues after it. If reading fails, returns the text of the error.
    pub fn next_row_or_error(&mut self) -> String {
        loop {
            match self.receive_message() {
                Ok((b'D', body)) => return format!("row:{}", String::from_utf8_lossy(&body[VALUE_OFFSET..])),
                Ok((b'E', body)) => return error_fields(&body, b"C").concat(),
                Ok(_) => {}
                Err(error) => return error.to_string(),
            }
        }
    }

    /// Sends a query and returns its answer in the form of [`read_answer`](Self::read_answer).
    pub fn query(&mut self, query: &str) -> io::Result<String> {
        self.send(query)?;
        self.read_answer()
    }
}

/// Decodes text without the zero bytes that terminate it.
fn decode_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).trim_end_matches('\0').to_string()
}

/// Returns the fields of an ErrorResponse whose type is one of `kinds`, each preceded by its type.
fn error_fields(body: &[u8], kinds: &[u8]) -> Vec<String> {
    let fields = body.split(|byte| *byte == 0);
    fields.filter(|field| field.first().is_some_and(|kind| kinds.contains(kind))).map(decode_text).collect()
}
