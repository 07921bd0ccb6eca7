//! A database host of the protocol page: one statement at a time on a connection, any number of connections.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::pg;
use crate::record::{Record, unix_ms};

/// What a host does with a statement. The default serves it.
pub trait Serve: Send + Sync {
    /// Called when the statement's last byte has arrived, before it is served.
    fn arrived(&self, _host: &Host, _statement: &Statement) {}
    /// Returns the answer up to its CommandComplete.
    fn answer(&self, host: &Host, statement: &Statement) -> Vec<u8> {
        thread::sleep(host.work);
        served(statement)
    }
    /// Called after the whole answer was written.
    fn answered(&self, _host: &Host, _statement: &Statement, _answer: &[u8], _to: &mut TcpStream) -> io::Result<()> {
        Ok(())
    }
}

pub struct Statement {
    pub text: String,
    pub id: String,
    pub class: String,
    pub key: String,
    pub is_write: bool,
}

impl Statement {
    fn parse(text: String) -> Option<Statement> {
        let (id, class) = (pg::field(&text, "id")?.to_string(), pg::field(&text, "c")?.to_string());
        let (key, is_write) = (pg::key(&text).to_string(), text.starts_with("INSERT"));
        Some(Statement { id, class, key, is_write, text })
    }
}

/// The value that a statement is served with: it depends on its key alone.
pub fn value_of(key: &str) -> Vec<u8> {
    format!("value of {key}").into_bytes()
}

pub fn served(statement: &Statement) -> Vec<u8> {
    pg::row(&value_of(&statement.key), if statement.is_write { "INSERT 0 1" } else { "SELECT 1" })
}

pub struct Host {
    pub name: String,
    pub address: SocketAddr,
    pub work: Duration,
    pub is_primary: AtomicBool,
    pub record: Arc<Record>,
}

impl Host {
    pub fn start(name: &str, work: Duration, is_primary: bool, serve: Arc<dyn Serve>, record: &Arc<Record>) -> Arc<Host> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        let host = Arc::new(Host {
            name: name.to_string(),
            address: listener.local_addr().unwrap(),
            work,
            is_primary: AtomicBool::new(is_primary),
            record: Arc::clone(record),
        });
        let accepting = Arc::clone(&host);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (host, serve) = (Arc::clone(&accepting), Arc::clone(&serve));
                thread::spawn(move || drop(host.converse(stream, serve.as_ref())));
            }
        });
        host
    }

    pub fn is_primary(&self) -> bool {
        self.is_primary.load(Ordering::SeqCst)
    }

    /// Its position. A replica here is always 5 ms behind.
    fn position_ms(&self) -> u64 {
        if self.is_primary() { unix_ms() } else { unix_ms() - 5 }
    }

    fn ready(&self) -> Vec<u8> {
        pg::ready(self.is_primary(), Some(self.position_ms()))
    }

    fn converse(&self, mut stream: TcpStream, serve: &dyn Serve) -> io::Result<()> {
        stream.set_nodelay(true)?;
        pg::read_startup(&mut stream)?;
        let mut greeting = pg::message(b'R', &[0; 4]);
        greeting.extend(self.ready());
        stream.write_all(&greeting)?;
        loop {
            let (tag, body) = pg::read_message(&mut stream)?;
            if tag != b'Q' {
                return Ok(());
            }
            let text = String::from_utf8_lossy(body.strip_suffix(b"\0").unwrap_or(&body)).into_owned();
            if text.trim().is_empty() {
                let mut answer = pg::message(b'I', b"");
                answer.extend(self.ready());
                stream.write_all(&answer)?;
                continue;
            }
            if text == "SHOW health" {
                let position = self.position_ms() as f64 / 1000.0;
                let report = format!("x0={position:.3},x1={},utilization=0.3", u8::from(self.is_primary()));
                let mut answer = pg::row(report.as_bytes(), "SHOW");
                answer.extend(self.ready());
                stream.write_all(&answer)?;
                continue;
            }
            let Some(statement) = Statement::parse(text) else {
                let mut answer = pg::error("08P01", "no statement of a client");
                answer.extend(self.ready());
                stream.write_all(&answer)?;
                continue;
            };
            serve.arrived(self, &statement);
            let mut answer = if statement.is_write && !self.is_primary() {
                pg::error("25006", "not the primary")
            } else {
                self.record.line(&format!("run      host={} id={} key={}", self.name, statement.id, statement.key));
                serve.answer(self, &statement)
            };
            answer.extend(self.ready());
            stream.write_all(&answer)?;
            serve.answered(self, &statement, &answer, &mut stream)?;
        }
    }
}
