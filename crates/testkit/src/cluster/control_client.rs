//! Queries a router at its control address, as `ottersill fleet` does.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

/// Timeout for the connection, and for each line of the answer.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the answer of a router at its control address, with a JSON object for each line; empty if it does not answer.
pub fn query(control: SocketAddr, question: &str) -> Vec<Value> {
    let lines = read_answer(control, question).unwrap_or_default();
    lines.iter().filter_map(|line| serde_json::from_str(line).ok()).collect()
}

fn read_answer(control: SocketAddr, question: &str) -> io::Result<Vec<String>> {
    let mut stream = TcpStream::connect_timeout(&control, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.write_all(format!("{question}\n").as_bytes())?;
    BufReader::new(stream).lines().collect()
}

/// Returns the units that a router holds in its budgets with that name, according to its answer to `budgets`.
pub(super) fn held_units(budgets: &[Value], budget: &str) -> u64 {
    let units = |line: &Value, field: &str| line[field].as_u64().unwrap_or(0);
    let named = budgets.iter().filter(|line| line["budget"] == budget);
    named.map(|line| units(line, "leased") + units(line, "floor")).sum()
}

/// Returns whether the answer to `ledger` is from a leader; other members answer with a fault that names the leader.
pub(super) fn is_leader(ledger: &[Value]) -> bool {
    !ledger.is_empty() && ledger.iter().all(|line| line.get("fault").is_none())
}
