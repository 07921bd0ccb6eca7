//! `ottersill fleet`: who is a member, who holds what, asked of a running router.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use clap::{Args, ValueEnum};
use serde_json::Value;

/// Nobody who is asked needs longer than this; seconds.
const PATIENCE: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Question {
    /// Who is there, and since when.
    Members,
    /// What this router may spend, and until when.
    Budgets,
    /// Who holds what of each budget; the keeper knows.
    Books,
    /// Datagrams, elections, refusals.
    Counts,
}

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

pub fn run(arguments: &Arguments) -> Result<(), String> {
    let told = |e: std::io::Error| format!("{}: {e}", arguments.at);
    let mut router = TcpStream::connect_timeout(&arguments.at, PATIENCE).map_err(told)?;
    router.set_read_timeout(Some(PATIENCE)).map_err(told)?;
    let question = format!("{:?}", arguments.question).to_lowercase();
    router.write_all(format!("{question}\n").as_bytes()).map_err(told)?;
    let lines = BufReader::new(router).lines().collect::<Result<Vec<String>, _>>().map_err(told)?;
    let mut faults = false;
    let mut out = std::io::stdout().lock();
    for line in &lines {
        let object: Value = serde_json::from_str(line).map_err(|e| format!("{}: {e}", arguments.at))?;
        faults |= object.get("fault").is_some();
        let text = if arguments.json { line.clone() } else { plain(&object) };
        writeln!(out, "{text}").map_err(|e| format!("standard output: {e}"))?;
    }
    if faults { Err("the router has no answer to that".into()) } else { Ok(()) }
}

/// `name=value` pairs, by name.
fn plain(object: &Value) -> String {
    let pairs = object.as_object().into_iter().flatten().map(|(name, value)| match value {
        Value::String(text) => format!("{name}={text:?}"),
        Value::Number(number) if number.is_f64() => format!("{name}={:.2}", number.as_f64().unwrap_or(0.0)),
        value => format!("{name}={value}"),
    });
    pairs.collect::<Vec<_>>().join(" ")
}
