//! Usual clients: each sends statements at a fixed rate on one connection and measures the time to the answer.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::cluster::{Answers, statement_text};
use crate::convert::size_to_f64;
use crate::stand_in::{Client, DEFAULT_GROUP};

use super::FloodPlan;

/// Time limit that the statements name.
pub(super) const TIME_LIMIT: Duration = Duration::from_millis(500);
/// How long after its time limit an answer still counts as in time, as in the protocol.
const TOLERANCE: Duration = Duration::from_millis(50);
/// How long a client waits for an answer that is late.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Results of the usual clients.
#[derive(Clone, Debug, Default)]
pub(super) struct UsualResults {
    pub(super) answers: Answers,
    /// Answers after the time limit.
    pub(super) late: u64,
    /// Time to each answer, in seconds.
    pub(super) latencies: Vec<f64>,
}

impl UsualResults {
    fn add(&mut self, other: UsualResults) {
        self.answers.add(&other.answers);
        self.late += other.late;
        self.latencies.extend(other.latencies);
    }
}

/// Runs the usual clients of the plan to their end.
pub(super) fn run(plan: &FloodPlan, routers: &[SocketAddr]) -> UsualResults {
    let mut results = UsualResults::default();
    thread::scope(|scope| {
        let clients = (0..plan.usual).map(|index| {
            let router = routers[index % routers.len()];
            scope.spawn(move || UsualClient { plan, router, index, session: None }.run())
        });
        // All clients start before the first is waited for.
        let clients: Vec<_> = clients.collect();
        clients.into_iter().filter_map(|client| client.join().ok()).for_each(|result| results.add(result));
    });
    results
}

struct UsualClient<'a> {
    plan: &'a FloodPlan,
    router: SocketAddr,
    index: usize,
    session: Option<Client>,
}

impl UsualClient<'_> {
    fn run(mut self) -> UsualResults {
        let mut results = UsualResults::default();
        let interval = Duration::from_secs_f64(1.0 / self.plan.rate);
        // Spreads the clients over the interval.
        let phase = interval.mul_f64(size_to_f64(self.index) / size_to_f64(self.plan.usual));
        let started = Instant::now();
        let mut due = phase;
        while due < self.plan.duration {
            thread::sleep(due.saturating_sub(started.elapsed()));
            self.send(&mut results);
            due = (due + interval).max(started.elapsed());
        }
        results
    }

    /// Sends one statement, on a new connection if the one before failed, and counts its answer.
    fn send(&mut self, results: &mut UsualResults) {
        let sent = Instant::now();
        let number = next_number();
        let is_write = self.plan.write_every > 0 && number % self.plan.write_every == 0;
        let text = statement_text(number, is_write, DEFAULT_GROUP);
        let answer = self.connect().and_then(|mut client| {
            let answer = client.query(&text).ok()?;
            self.session = Some(client);
            Some(answer)
        });
        results.answers.count(answer.as_deref());
        if answer.is_some() {
            results.latencies.push(sent.elapsed().as_secs_f64());
            results.late += u64::from(sent.elapsed() > TIME_LIMIT + TOLERANCE);
        }
    }

    fn connect(&mut self) -> Option<Client> {
        if let Some(client) = self.session.take() {
            return Some(client);
        }
        let mut client = Client::connect(self.router).ok()?;
        client.socket.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
        client.read_answer().ok()?;
        Some(client)
    }
}

/// Returns a number that no other statement of this process has.
fn next_number() -> u64 {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}
