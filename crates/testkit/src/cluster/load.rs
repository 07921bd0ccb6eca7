//! Closed-loop load: clients that each send one statement after the other.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::clock::unix_ms;
use crate::stand_in::{Client, DEFAULT_GROUP};
use crate::sync::lock;

/// Delay before a client reconnects.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Delay after a rejected statement.
const REJECTION_DELAY: Duration = Duration::from_millis(10);
/// Timeout of a client for an answer; longer than the statement timeout.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Selects the bits of the Unix time in milliseconds that become part of a statement's id.
const ID_TIME_MASK: u128 = 0xff_ffff;

/// Counts of the answers to clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answers {
    /// Statements answered with a row.
    pub completed: u64,
    /// Statements that were rejected; none of them was executed.
    pub rejected: u64,
    /// Statements answered with another error.
    pub aborted: u64,
    /// Connections that were closed or timed out before an answer.
    pub connections_broken: u64,
    /// Malformed answers: neither a row nor an error.
    pub malformed: u64,
}

impl Answers {
    /// Counts an answer, in the format of [`Client::read_answer`]; `None` if the connection was closed or timed out.
    pub(crate) fn count(&mut self, answer: Option<&str>) {
        let counter = match answer {
            Some(text) if text.starts_with("row:") => &mut self.completed,
            Some(text) if text.starts_with("C53300") => &mut self.rejected,
            Some(text) if text.starts_with('C') => &mut self.aborted,
            Some(_) => &mut self.malformed,
            None => &mut self.connections_broken,
        };
        *counter += 1;
    }

    /// Adds the counts of other clients.
    pub fn add(&mut self, other: &Answers) {
        self.completed += other.completed;
        self.rejected += other.rejected;
        self.aborted += other.aborted;
        self.connections_broken += other.connections_broken;
        self.malformed += other.malformed;
    }
}

/// Runs clients until it is stopped.
pub(super) struct LoadGenerator {
    stopped: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    /// Counts by router.
    answers: Arc<Mutex<Vec<Answers>>>,
}

impl LoadGenerator {
    /// Starts `clients[i]` clients of the router at `routers[i]`. One statement in `write_every` is a write; with zero, none
    /// is.
    pub(super) fn start(routers: &[SocketAddr], clients: &[usize], write_every: u64) -> LoadGenerator {
        let stopped = Arc::new(AtomicBool::new(false));
        let answers = Arc::new(Mutex::new(vec![Answers::default(); routers.len()]));
        let mut threads = Vec::new();
        for (index, (router, count)) in routers.iter().zip(clients).enumerate() {
            for _ in 0..*count {
                let client = LoadClient {
                    router: *router,
                    index,
                    write_every,
                    stopped: Arc::clone(&stopped),
                    answers: Arc::clone(&answers),
                };
                threads.push(thread::spawn(move || client.run()));
            }
        }
        LoadGenerator { stopped, clients: threads, answers }
    }

    /// Returns the counts of the answers so far, by router.
    pub(super) fn answers(&self) -> Vec<Answers> {
        lock(&self.answers).clone()
    }

    /// Stops the clients and returns the counts of their answers, by router.
    pub(super) fn stop(self) -> Vec<Answers> {
        self.stopped.store(true, Ordering::Relaxed);
        for client in self.clients {
            let _ = client.join();
        }
        Arc::try_unwrap(self.answers)
            .map_or(Vec::new(), |answers| answers.into_inner().unwrap_or_else(PoisonError::into_inner))
    }
}

/// One client, which uses one connection at a time.
struct LoadClient {
    router: SocketAddr,
    /// Index of the router in `answers`.
    index: usize,
    write_every: u64,
    stopped: Arc<AtomicBool>,
    answers: Arc<Mutex<Vec<Answers>>>,
}

impl LoadClient {
    fn run(&self) {
        while !self.is_stopped() {
            if self.run_session().is_err() {
                thread::sleep(RECONNECT_DELAY);
            }
        }
    }

    /// Sends statements on one connection until it fails or the load is stopped.
    fn run_session(&self) -> io::Result<()> {
        let mut client = Client::connect(self.router)?;
        client.socket.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        // The answer to the startup message.
        client.read_answer()?;
        while !self.is_stopped() {
            let answer = client.query(&next_statement(self.write_every));
            // A suspended router does not answer, which counts as a broken connection.
            lock(&self.answers)[self.index].count(answer.as_deref().ok());
            if answer?.starts_with("C53300") {
                thread::sleep(REJECTION_DELAY);
            }
        }
        Ok(())
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }
}

/// Returns a statement to the default replica set that no other client of this process sends.
fn next_statement(write_every: u64) -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    statement_text(number, write_every > 0 && number % write_every == 0, DEFAULT_GROUP)
}

/// Returns a statement to replica set `group`, whose id consists of the time and `number`.
pub(crate) fn statement_text(number: u64, is_write: bool, group: u64) -> String {
    let id = format!("{:x}{number:x}", unix_ms() & ID_TIME_MASK);
    if is_write {
        format!(
            "INSERT INTO kv (name, content) VALUES ('k{number}', '\\x76') RETURNING content \
             /* id={id},c=put,d=500,cluster={group} */"
        )
    } else {
        format!("SELECT content FROM kv WHERE name = 'k{number}' /* id={id},c=get,d=500,cluster={group} */")
    }
}
