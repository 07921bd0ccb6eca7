//! Clients that send requests and check their answers: one for each request, in time.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use ottersill_testkit::stand_in::{Client, StandInStore};

use super::machine::time_without_stalls_since;

/// The deadline of each request, and what the protocol page adds to it.
const DEADLINE_MS: u64 = 1500;
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// Starts a stand-in store with three endpoints and its discovery service.
pub fn start_store() -> std::io::Result<(StandInStore, SocketAddr)> {
    let store = StandInStore::default();
    for _ in 0..3 {
        store.add_endpoint("127.0.0.1:0")?;
    }
    let discovery = store.add_discovery("127.0.0.1:0")?;
    Ok((store, discovery))
}

/// The outcomes of requests.
#[derive(Debug, Default)]
pub struct Tally {
    /// Number of answers by kind: "row", or the first characters of another answer.
    pub answers: BTreeMap<String, usize>,
    /// Number of connections that ended before an answer.
    pub connections_ended: usize,
    /// The ids of the requests without an answer, and how the wait for it ended.
    pub unanswered: Vec<(String, ErrorKind)>,
    pub violations: Vec<String>,
}

/// Sends requests on one connection until a point in time; returns an error if the connection ends before an answer.
pub fn send_requests(router: SocketAddr, until: Instant, tally: &Mutex<Tally>) -> std::io::Result<()> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let mut client = Client::connect(router)?;
    client.socket.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS) + 4 * ANSWER_SLACK))?;
    client.read_answer()?;
    while Instant::now() < until {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let comment = format!("/* id=e{number:x},c=CLASS,d={DEADLINE_MS},cluster=1 */");
        let text = if number % 4 == 0 {
            let comment = comment.replace("CLASS", "put");
            format!(
                "INSERT INTO kv (name, content) VALUES ('k{number}', '\\x{number:08x}') RETURNING content {comment}"
            )
        } else {
            format!("SELECT content FROM kv WHERE name = 'k' {}", comment.replace("CLASS", "get"))
        };
        let sent = Instant::now();
        let answer = match client.query(&text) {
            Ok(answer) => answer,
            Err(error) => {
                let unanswered = (format!("e{number:x}"), error.kind());
                tally.lock().expect("tally lock is poisoned").unanswered.push(unanswered);
                return Err(error);
            }
        };
        let bound = Duration::from_millis(DEADLINE_MS) + ANSWER_SLACK;
        let mut took = sent.elapsed();
        if took > bound {
            took = time_without_stalls_since(sent);
        }
        let mut tally = tally.lock().expect("tally lock is poisoned");
        if took > bound {
            tally.violations.push(format!("{took:?}: {text}"));
        }
        let outcome = if answer.starts_with("row:") { "row" } else { &answer[..answer.len().min(6)] };
        *tally.answers.entry(outcome.to_string()).or_default() += 1;
        drop(tally);
        thread::sleep(Duration::from_millis(5));
    }
    // A surplus answer would be read in place of this one.
    let last = client.query("")?;
    if last != "empty" {
        tally.lock().expect("tally lock is poisoned").violations.push(format!("got a second answer: {last}"));
    }
    Ok(())
}

/// Returns the number of answers that had a row.
pub fn row_count(tally: &Mutex<Tally>) -> Option<usize> {
    tally.lock().expect("tally lock is poisoned").answers.get("row").copied()
}
