//! Clients that send reads and writes at a steady rate, each on a connection of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::client::{Answer, Client, get, new_id, put};
use crate::record::Record;

pub struct Load {
    pub rows: AtomicU64,
    pub errors: AtomicU64,
    /// The connection was ended without an answer: between requests a router may do so, and the client asks again.
    pub ended: AtomicU64,
    pub without_answer: AtomicU64,
    stop: AtomicBool,
}

/// One request of a client.
#[derive(Clone, Copy)]
pub struct Kind {
    pub class: &'static str,
    pub is_write: bool,
    pub deadline_ms: u64,
}

impl Load {
    /// Starts `clients` clients in a group. `kind` chooses the request from its number; between two requests a client
    /// rests for `rest`.
    pub fn start(
        to: SocketAddr,
        clients: u64,
        block: u64,
        rest: Duration,
        kind: impl Fn(u64) -> Kind + Send + Sync + 'static,
        record: &Arc<Record>,
    ) -> Arc<Load> {
        let load = Arc::new(Load {
            rows: AtomicU64::new(0),
            errors: AtomicU64::new(0),
            ended: AtomicU64::new(0),
            without_answer: AtomicU64::new(0),
            stop: AtomicBool::new(false),
        });
        let kind = Arc::new(kind);
        for client in 0..clients {
            let (load, kind, record) = (Arc::clone(&load), Arc::clone(&kind), Arc::clone(record));
            thread::spawn(move || {
                thread::sleep(rest * client as u32 / clients as u32);
                let mut connection = None;
                let mut number = client;
                while !load.stop.load(Ordering::SeqCst) {
                    number += clients;
                    let Ok(mut open) = connection.take().map_or_else(|| Client::connect(to), Ok) else {
                        thread::sleep(rest);
                        continue;
                    };
                    if load.ask(&mut open, kind(number), block, number, &record) {
                        connection = Some(open);
                    }
                    thread::sleep(rest);
                }
            });
        }
        load
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }

    /// Sends one request; returns whether the connection can be used again.
    fn ask(&self, connection: &mut Client, kind: Kind, block: u64, number: u64, record: &Record) -> bool {
        let Kind { class, is_write, deadline_ms } = kind;
        let (id, key) = (new_id(), format!("{number:016x}"));
        let text = if is_write { put(&id, &key, class, deadline_ms, block) } else { get(&id, &key, class, deadline_ms, block) };
        record.line(&format!("sent     id={id} key={key} c={class}"));
        let answer = connection.ask(&text, Duration::from_millis(deadline_ms + 500));
        let (counter, shown) = match &answer {
            Answer::Row(_) => (&self.rows, "row".to_string()),
            Answer::Error(code, _) => (&self.errors, format!("error {code}")),
            Answer::Ended => (&self.ended, "nothing: the connection ended".to_string()),
            Answer::Nothing => (&self.without_answer, "nothing in time".to_string()),
        };
        counter.fetch_add(1, Ordering::SeqCst);
        record.line(&format!("answered id={id} {shown}"));
        matches!(answer, Answer::Row(_) | Answer::Error(..))
    }
}
