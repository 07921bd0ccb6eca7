//! A client of the protocol page, with one request at a time on its connection.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::pg;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new id for each request.
pub fn new_id() -> String {
    format!("{:016x}", 0x5eed_0000_0000_0000_u64 + NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

#[derive(Debug, PartialEq)]
pub enum Answer {
    Row(Vec<u8>),
    /// An error's code, and its field D.
    Error(String, Option<u64>),
    /// The connection ended without a whole answer.
    Ended,
    /// Nothing came in time.
    Nothing,
}

pub struct Client {
    stream: TcpStream,
}

impl Client {
    /// Connects, and waits for the end of the startup.
    pub fn connect(to: SocketAddr) -> io::Result<Client> {
        let mut client = Client::connect_later(to)?;
        client.stream.write_all(&startup())?;
        client.stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        while pg::read_message(&mut client.stream)?.0 != b'Z' {}
        Ok(client)
    }

    /// Connects without a startup message; `ask_first` sends it along with the first query.
    pub fn connect_later(to: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(3))?;
        stream.set_nodelay(true)?;
        Ok(Client { stream })
    }

    /// Sends the startup message and directly behind it the first query, and waits for the answer to that.
    pub fn ask_first(&mut self, text: &str, wait: Duration) -> Answer {
        let query = pg::message(b'Q', &[text.as_bytes(), b"\0"].concat());
        if self.stream.write_all(&[startup(), query].concat()).is_err() {
            return Answer::Ended;
        }
        self.answer(Instant::now() + wait, 1)
    }

    /// Sends a query and waits for its answer until `wait` is over.
    pub fn ask(&mut self, text: &str, wait: Duration) -> Answer {
        let until = Instant::now() + wait;
        let body = [text.as_bytes(), b"\0"].concat();
        if self.stream.write_all(&pg::message(b'Q', &body)).is_err() {
            return Answer::Ended;
        }
        self.answer(until, 0)
    }

    /// Reads the answer, behind so many other messages ReadyForQuery.
    fn answer(&mut self, until: Instant, mut skipped: u32) -> Answer {
        let mut answer = Answer::Ended;
        let mut is_complete = false;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Answer::Nothing;
            }
            let _ = self.stream.set_read_timeout(Some(left));
            match pg::read_message(&mut self.stream) {
                Ok((b'D', body)) => answer = Answer::Row(body[6..].to_vec()),
                Ok((b'C', _)) | Ok((b'I', _)) => is_complete = true,
                Ok((b'E', body)) => {
                    let fields: Vec<&[u8]> = body.split(|byte| *byte == 0).collect();
                    let field = |kind| fields.iter().find(|field| field.first() == Some(&kind)).map(|f| String::from_utf8_lossy(&f[1..]).into_owned());
                    answer = Answer::Error(field(b'C').unwrap_or_default(), field(b'D').and_then(|d| d.parse().ok()));
                    is_complete = true;
                }
                Ok((b'Z', _)) if skipped > 0 => skipped -= 1,
                Ok((b'Z', _)) => return if is_complete { answer } else { Answer::Ended },
                Ok(_) => {}
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => return Answer::Nothing,
                Err(_) => return if matches!(answer, Answer::Error(..)) { answer } else { Answer::Ended },
            }
        }
    }
}

pub fn startup() -> Vec<u8> {
    let parameters = b"user\0backend\0database\0store\0\0";
    let mut startup = Vec::new();
    startup.extend((8 + parameters.len() as u32).to_be_bytes());
    startup.extend((3_u32 << 16).to_be_bytes());
    startup.extend(parameters);
    startup
}

pub fn get(id: &str, key: &str, class: &str, deadline_ms: u64, block: u64) -> String {
    format!("SELECT content FROM kv WHERE name = '{key}' /* id={id},c={class},d={deadline_ms},cluster={block} */")
}

pub fn put(id: &str, key: &str, class: &str, deadline_ms: u64, block: u64) -> String {
    format!(
        "INSERT INTO kv (name, content) VALUES ('{key}', '\\x00') RETURNING content /* id={id},c={class},d={deadline_ms},cluster={block} */"
    )
}
