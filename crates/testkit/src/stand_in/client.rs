//! A client: one session with a router, a message at a time.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};

use super::pg_messages::{LENGTH_BYTES, length_field, message, read_message};

/// The startup message, without its length: version 3.0, then user and database.
const STARTUP: &[u8] = b"\0\x03\0\0user\0backend\0database\0store\0\0";
/// Where the value begins in the body of a DataRow of one column.
const VALUE_OFFSET: usize = 6;

/// One session with a router.
pub struct Client {
    /// The connection; tests write to it what the methods would not.
    pub socket: TcpStream,
}

impl Client {
    /// Connects and sends the startup message; the greeting is left to be read.
    pub fn connect(router: SocketAddr) -> io::Result<Client> {
        let mut socket = TcpStream::connect(router)?;
        socket.set_nodelay(true)?;
        socket.write_all(&length_field(LENGTH_BYTES + STARTUP.len()))?;
        socket.write_all(STARTUP)?;
        Ok(Client { socket })
    }

    /// Sends a query.
    pub fn send(&mut self, query: &str) -> io::Result<()> {
        self.socket.write_all(&message(b'Q', format!("{query}\0").as_bytes()))
    }

    /// The next message: its tag and its body.
    pub fn hear(&mut self) -> io::Result<(u8, Vec<u8>)> {
        read_message(&mut self.socket, usize::MAX)
    }

    /// All messages up to ReadyForQuery, in words: a row's value, an error's code, a completion.
    pub fn answer(&mut self) -> io::Result<String> {
        let mut words = Vec::new();
        loop {
            let (tag, body) = self.hear()?;
            match tag {
                b'Z' => return Ok(words.join(" ")),
                b'D' => words.push(format!("row:{}", text_of(&body[VALUE_OFFSET..]))),
                b'C' => words.push(text_of(&body)),
                b'I' => words.push("empty".to_string()),
                b'E' => words.extend(error_fields(&body, b"CD")),
                _ => {}
            }
        }
    }

    /// The row or error code that comes next, past the greeting, whether the session goes on after it or not; else why
    /// nothing could be read.
    pub fn last_words(&mut self) -> String {
        loop {
            match self.hear() {
                Ok((b'D', body)) => return format!("row:{}", String::from_utf8_lossy(&body[VALUE_OFFSET..])),
                Ok((b'E', body)) => return error_fields(&body, b"C").concat(),
                Ok(_) => {}
                Err(error) => return error.to_string(),
            }
        }
    }

    /// Sends a query and returns its answer, in words.
    pub fn ask(&mut self, query: &str) -> io::Result<String> {
        self.send(query)?;
        self.answer()
    }
}

fn text_of(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).trim_end_matches('\0').to_string()
}

/// The fields of an ErrorResponse whose kind is one of `kinds`, each with its kind in front.
fn error_fields(body: &[u8], kinds: &[u8]) -> Vec<String> {
    let fields = body.split(|byte| *byte == 0);
    fields.filter(|field| field.first().is_some_and(|kind| kinds.contains(kind))).map(text_of).collect()
}
