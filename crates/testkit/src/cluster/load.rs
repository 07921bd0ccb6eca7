//! Clients that send one statement after the other.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::clock::unix_ms;
use crate::stand_in::{Client, DEFAULT_GROUP};
use crate::sync::lock;

/// How long a client rests before it connects again.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(50);
/// How long a client rests after its statement was rejected.
const REJECTED_INTERVAL: Duration = Duration::from_millis(10);
/// Longest that a client waits for an answer; beyond its statements' own time.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// The bits of the time that go into a statement's id.
const ID_TIME_MASK: u128 = 0xff_ffff;

/// What clients were answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answers {
    /// Statements that were answered with a row.
    pub completed: u64,
    /// Statements that were rejected: nothing ran.
    pub rejected: u64,
    /// Statements that were answered with another error.
    pub aborted: u64,
    /// Connections that ended, or went silent, before an answer.
    pub broken: u64,
    /// Answers that are none.
    pub wrong: u64,
}

impl Answers {
    /// Counts an answer, in [`Client::answer`]'s words; none if the connection broke or went silent.
    pub(crate) fn count(&mut self, answer: Option<&str>) {
        let counter = match answer {
            Some(words) if words.starts_with("row:") => &mut self.completed,
            Some(words) if words.starts_with("C53300") => &mut self.rejected,
            Some(words) if words.starts_with('C') => &mut self.aborted,
            Some(_) => &mut self.wrong,
            None => &mut self.broken,
        };
        *counter += 1;
    }

    /// Adds what other clients were answered.
    pub fn add(&mut self, other: &Answers) {
        self.completed += other.completed;
        self.rejected += other.rejected;
        self.aborted += other.aborted;
        self.broken += other.broken;
        self.wrong += other.wrong;
    }
}

/// Clients that run until they are stopped.
pub(super) struct LoadGenerator {
    stopped: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    /// By router.
    answers: Arc<Mutex<Vec<Answers>>>,
}

impl LoadGenerator {
    /// Starts `clients[i]` clients of the router at `routers[i]`; one statement in `write_every` is a write, none if that
    /// is zero.
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

    /// What clients of each router were answered until now.
    pub(super) fn answers(&self) -> Vec<Answers> {
        lock(&self.answers).clone()
    }

    /// Stops the clients and returns what those of each router were answered.
    pub(super) fn stop(self) -> Vec<Answers> {
        self.stopped.store(true, Ordering::Relaxed);
        for client in self.clients {
            let _ = client.join();
        }
        Arc::try_unwrap(self.answers)
            .map_or(Vec::new(), |answers| answers.into_inner().unwrap_or_else(PoisonError::into_inner))
    }
}

/// One client: one connection after the other.
struct LoadClient {
    router: SocketAddr,
    /// The router's place in `answers`.
    index: usize,
    write_every: u64,
    stopped: Arc<AtomicBool>,
    answers: Arc<Mutex<Vec<Answers>>>,
}

impl LoadClient {
    fn run(&self) {
        while !self.is_stopped() {
            if self.run_session().is_err() {
                thread::sleep(RECONNECT_INTERVAL);
            }
        }
    }

    /// One connection's statements, until it breaks.
    fn run_session(&self) -> io::Result<()> {
        let mut client = Client::connect(self.router)?;
        client.socket.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        client.answer()?;
        while !self.is_stopped() {
            let answer = client.ask(&next_statement(self.write_every));
            // A paused router goes silent.
            lock(&self.answers)[self.index].count(answer.as_deref().ok());
            if answer?.starts_with("C53300") {
                thread::sleep(REJECTED_INTERVAL);
            }
        }
        Ok(())
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }
}

/// A statement of the default replica set that no other client of this process sends.
fn next_statement(write_every: u64) -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    statement_text(number, write_every > 0 && number % write_every == 0, DEFAULT_GROUP)
}

/// A statement to that replica set; its id is made of the time and its number.
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
