//! `ottersill fleet`: queries members and budgets of the fleet at the control address of a running router.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use clap::{Args, ValueEnum};
use serde_json::Value;
use thiserror::Error;

/// Timeout for connecting and for each read. A router answers within two seconds or not at all.
const TIMEOUT: Duration = Duration::from_secs(3);

/// The questions. Their names are the values on the command line, and are sent to the router in lower case.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Question {
    /// The members, and since when each is present or absent.
    Members,
    /// The router's quota of each budget, and when it expires.
    Budgets,
    /// The holders of each budget and their quota. Only the leader can answer this.
    #[value(alias = "books")]
    Ledger,
    /// Counts of datagrams, elections and refused acquisitions.
    #[value(alias = "counts")]
    Counters,
}

/// The arguments of `ottersill fleet`.
#[derive(Args)]
pub struct Arguments {
    /// The `control` address in the router's fleet file.
    #[arg(long, value_name = "ADDRESS")]
    at: SocketAddr,
    /// Print one JSON object per line.
    #[arg(long)]
    json: bool,
    #[arg(value_enum, default_value = "members")]
    question: Question,
}

/// An error of `ottersill fleet`. Its text is a single line for the user of the command.
#[derive(Debug, Error)]
pub enum FleetCommandError {
    /// The router can't be reached, or did not answer in time.
    #[error("{at}: {source}")]
    Unreachable {
        /// The router's control address.
        at: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// A line of the answer is not valid JSON.
    #[error("{at}: {source}")]
    Malformed {
        /// The router's control address.
        at: SocketAddr,
        /// The reason, with line and column.
        source: serde_json::Error,
    },
    /// The answer can't be printed.
    #[error("standard output: {0}")]
    Output(#[source] io::Error),
    /// The router replied that it can't answer the question.
    #[error("the router has no answer to that")]
    Refused,
}

/// Sends the question to the router, and prints the answer.
///
/// # Errors
/// If the router can't be reached, has no answer or sends a malformed one, or if the answer can't be printed.
pub fn run(arguments: &Arguments) -> Result<(), FleetCommandError> {
    let at = arguments.at;
    let lines =
        query(at, arguments.question).map_err(|source| FleetCommandError::Unreachable { at, source })?;
    let mut has_fault = false;
    let mut out = std::io::stdout().lock();
    for line in &lines {
        let object: Value =
            serde_json::from_str(line).map_err(|source| FleetCommandError::Malformed { at, source })?;
        has_fault |= object.get("fault").is_some();
        let text = if arguments.json { line.clone() } else { to_text(&object) };
        writeln!(out, "{text}").map_err(FleetCommandError::Output)?;
    }
    if has_fault { Err(FleetCommandError::Refused) } else { Ok(()) }
}

/// Sends the question to the router at that address, and returns the lines of its answer.
fn query(at: SocketAddr, question: Question) -> io::Result<Vec<String>> {
    let mut router = TcpStream::connect_timeout(&at, TIMEOUT)?;
    router.set_read_timeout(Some(TIMEOUT))?;
    let question = format!("{question:?}").to_lowercase();
    router.write_all(format!("{question}\n").as_bytes())?;
    BufReader::new(router).lines().collect()
}

/// Formats an object as `name=value` pairs, sorted by name.
fn to_text(object: &Value) -> String {
    let pairs = object.as_object().into_iter().flatten().map(|(name, value)| match value {
        Value::String(text) => format!("{name}={text:?}"),
        Value::Number(number) if number.is_f64() => format!("{name}={:.2}", number.as_f64().unwrap_or(0.0)),
        value => format!("{name}={value}"),
    });
    pairs.collect::<Vec<_>>().join(" ")
}
