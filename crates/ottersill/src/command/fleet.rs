//! `ottersill fleet`: who is a member and who holds which budget, asked of a running router at its control address.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use clap::{Args, ValueEnum};
use serde_json::Value;
use thiserror::Error;

/// How long to wait for the connection and for each answer. A router answers within two seconds or not at all.
const TIMEOUT: Duration = Duration::from_secs(3);

/// What can be asked. The names are those of the command line, and go to the router in lower case.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Question {
    /// Who is there, and since when.
    Members,
    /// What this router may spend, and until when.
    Budgets,
    /// Who holds what of each budget; the leader knows.
    #[value(alias = "books")]
    Ledger,
    /// Datagrams, elections, refusals.
    #[value(alias = "counts")]
    Counters,
}

/// The arguments of `ottersill fleet`.
#[derive(Args)]
pub struct Arguments {
    /// The `control` address of the router's fleet file.
    #[arg(long, value_name = "ADDRESS")]
    at: SocketAddr,
    /// One object a line.
    #[arg(long)]
    json: bool,
    #[arg(value_enum, default_value = "members")]
    question: Question,
}

/// Why there is no answer to print. The text is one line for whoever typed the command.
#[derive(Debug, Error)]
pub enum FleetCommandError {
    /// The router can't be reached, or does not answer in time.
    #[error("{at}: {source}")]
    Unreachable {
        /// Its control address.
        at: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// A line of the answer is no JSON.
    #[error("{at}: {source}")]
    Malformed {
        /// The router's control address.
        at: SocketAddr,
        /// Where and why.
        source: serde_json::Error,
    },
    /// The answer can't be written.
    #[error("standard output: {0}")]
    Output(#[source] io::Error),
    /// The router says that it can't answer this.
    #[error("the router has no answer to that")]
    Refused,
}

/// Asks the router, and writes what it answers.
///
/// # Errors
/// If the router can't be reached or has no answer, or the answer can't be written.
pub fn run(arguments: &Arguments) -> Result<(), FleetCommandError> {
    let at = arguments.at;
    let lines =
        ask(at, arguments.question).map_err(|source| FleetCommandError::Unreachable { at, source })?;
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

/// The lines that the router at that address answers with.
fn ask(at: SocketAddr, question: Question) -> io::Result<Vec<String>> {
    let mut router = TcpStream::connect_timeout(&at, TIMEOUT)?;
    router.set_read_timeout(Some(TIMEOUT))?;
    let question = format!("{question:?}").to_lowercase();
    router.write_all(format!("{question}\n").as_bytes())?;
    BufReader::new(router).lines().collect()
}

/// An object as `name=value` pairs, sorted by name.
fn to_text(object: &Value) -> String {
    let pairs = object.as_object().into_iter().flatten().map(|(name, value)| match value {
        Value::String(text) => format!("{name}={text:?}"),
        Value::Number(number) if number.is_f64() => format!("{name}={:.2}", number.as_f64().unwrap_or(0.0)),
        value => format!("{name}={value}"),
    });
    pairs.collect::<Vec<_>>().join(" ")
}
