//! Asks a router at its control address, as `ottersill fleet` does.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

/// Longest wait for a connection, and for each line.
const TIMEOUT: Duration = Duration::from_millis(500);

/// What a router answers at its control address, each line an object; nothing if it does not answer.
pub fn query(control: SocketAddr, question: &str) -> Vec<Value> {
    let lines = read_answer(control, question).unwrap_or_default();
    lines.iter().filter_map(|line| serde_json::from_str(line).ok()).collect()
}

fn read_answer(control: SocketAddr, question: &str) -> io::Result<Vec<String>> {
    let mut router = TcpStream::connect_timeout(&control, TIMEOUT)?;
    router.set_read_timeout(Some(TIMEOUT))?;
    router.write_all(format!("{question}\n").as_bytes())?;
    BufReader::new(router).lines().collect()
}

/// Units that a router holds of its budgets of that name, by its answer to `budgets`.
pub(super) fn held_units(budgets: &[Value], budget: &str) -> u64 {
    let units = |line: &Value, field: &str| line[field].as_u64().unwrap_or(0);
    let named = budgets.iter().filter(|line| line["budget"] == budget);
    named.map(|line| units(line, "leased") + units(line, "floor")).sum()
}

/// Whether the answer to `ledger` is a leader's: the others name the leader in a fault.
pub(super) fn is_leader(ledger: &[Value]) -> bool {
    !ledger.is_empty() && ledger.iter().all(|line| line.get("fault").is_none())
}
