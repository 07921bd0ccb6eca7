//! `ottersill explain`: how the router classifies statements, and where it may send them.

use std::fs::File;
use std::io::{self, BufWriter, ErrorKind, Read, Write};

use clap::Args;
use ottersill_routing::interface::{Consistency, Effect, WorkloadSettings};
use ottersill_statement::classify::{self, Classification, StatementKind};
use ottersill_statement::fingerprint::{self, Fingerprint, Key};
use serde::Serialize;
use thiserror::Error;

use crate::lifecycle::config::{Config, ConfigError};

/// The file name that denotes standard input.
const STDIN: &str = "-";

/// The arguments of `ottersill explain`.
#[derive(Args)]
pub struct Arguments {
    /// Apply the settings of this workload, from the configuration file that NODE_CONFIG names. Without this option, or if
    /// NODE_CONFIG is not set, a read that is not flagged counts as idempotent.
    #[arg(long, value_name = "NAME")]
    workload: Option<String>,
    /// Print one JSON object per line.
    #[arg(long)]
    json: bool,
    /// Statements end with a NUL instead of a line feed, so that they can contain line feeds.
    #[arg(long)]
    nul: bool,
    /// File with one statement per line; - is standard input.
    #[arg(value_name = "FILE", default_value = STDIN)]
    file: String,
}

/// The explanation of one statement. The field names are those of the JSON output.
#[derive(Serialize)]
struct Explanation<'a> {
    nature: &'static str,
    /// Whether it may be sent to a replica.
    replica: bool,
    /// Whether it may be sent again if an earlier attempt may have run.
    resend: bool,
    shape: String,
    tables: &'a [Box<str>],
    functions: &'a [Box<str>],
    /// Why the router refuses it, as connections are shared; none if it does not.
    refused: Option<&'static str>,
    why: &'a str,
}

impl<'a> Explanation<'a> {
    fn new(
        classification: &'a Classification,
        fingerprint: Fingerprint,
        workload: Option<&WorkloadSettings>,
    ) -> Explanation<'a> {
        let reads = classification.kind == StatementKind::Read;
        // As in the routing module, the classification of the text can only make the workload's settings stricter.
        let replica_suffices =
            workload.is_none_or(|w| !matches!(w.consistency, Consistency::Primary | Consistency::Fresh));
        let may_write = workload.is_some_and(|w| w.consistency == Consistency::Primary);
        let is_idempotent = workload.is_none_or(|w| w.effect != Effect::NonIdempotent);
        Explanation {
            nature: classification.kind.name(),
            replica: reads && replica_suffices,
            resend: (reads || may_write) && is_idempotent && classification.refusal().is_none(),
            shape: format!("{:032x}", fingerprint.0),
            tables: &classification.tables,
            functions: &classification.functions,
            refused: classification.refusal(),
            why: &classification.reason,
        }
    }

    /// Formats the explanation as one line, followed by one line each for tables, functions and the refusal, if any.
    fn to_text(&self) -> String {
        let yes_or_no = |flag: bool| if flag { "yes" } else { "no" };
        let mut text = format!(
            "{:7}  replica {:3}  resend {:3}  {}  {}",
            self.nature,
            yes_or_no(self.replica),
            yes_or_no(self.resend),
            self.shape,
            self.why
        );
        for (title, names) in [("tables", self.tables), ("functions", self.functions)] {
            if !names.is_empty() {
                text.push_str(&format!("\n         {title}: {}", names.join(", ")));
            }
        }
        if let Some(reason) = self.refused {
            text.push_str(&format!("\n         refused: {reason}"));
        }
        text
    }
}

/// An error of `ottersill explain`. Its text is a single line for the user of the command.
#[derive(Debug, Error)]
pub enum ExplainError {
    /// The configuration that should define the workload is rejected.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The configuration has no workload of that name.
    #[error("--workload: no workload {name:?}; there are {known}")]
    UnknownWorkload {
        /// The name given on the command line.
        name: String,
        /// The names of all workloads.
        known: String,
    },
    /// The input can't be read.
    #[error("{file}: {source}")]
    Input {
        /// The file given on the command line.
        file: String,
        /// The I/O error.
        source: io::Error,
    },
    /// An explanation can't be serialized as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The output can't be printed.
    #[error(transparent)]
    Output(#[from] io::Error),
}

/// Looks up a workload in the configuration; none if NODE_CONFIG is not set.
fn find_workload(name: &str) -> Result<Option<WorkloadSettings>, ExplainError> {
    if std::env::var_os("NODE_CONFIG").is_none() {
        return Ok(None);
    }
    let config = Config::load()?;
    let routing_config = config.settings.routing_config(config.seed).map_err(ConfigError::from)?;
    let names = config.settings.names();
    let unknown =
        || ExplainError::UnknownWorkload { name: name.to_string(), known: names.workloads.join(", ") };
    let index = names.workloads.iter().position(|known| known == name).ok_or_else(unknown)?;
    Ok(routing_config.workloads.get(index).cloned())
}

fn read_input(file: &str) -> io::Result<Vec<u8>> {
    let mut text = Vec::new();
    if file == STDIN {
        io::stdin().lock().read_to_end(&mut text)?;
    } else {
        File::open(file)?.read_to_end(&mut text)?;
    }
    Ok(text)
}

/// Prints an explanation of each statement of the input.
///
/// # Errors
/// If the input can't be read, the configuration is rejected, the workload is unknown, or the output can't be printed.
pub fn run(arguments: &Arguments) -> Result<(), ExplainError> {
    let workload = arguments.workload.as_deref().map(find_workload).transpose()?.flatten();
    let text = read_input(&arguments.file)
        .map_err(|source| ExplainError::Input { file: arguments.file.clone(), source })?;
    let separator = if arguments.nul { 0 } else { b'\n' };
    // The text after the last separator is a statement only if it is not empty.
    let statements = text.strip_suffix(&[separator]).unwrap_or(&text);
    if statements.is_empty() {
        return Ok(());
    }
    // A fixed key, which gives the same text the same fingerprint at each run. Fingerprints need no secret key here.
    let key = Key::from_seed(0);
    let mut out = BufWriter::new(io::stdout().lock());
    for statement in statements.split(|byte| *byte == separator) {
        let statement = statement.strip_suffix(b"\r").unwrap_or(statement);
        let classification = classify::classify(statement);
        let fingerprint = fingerprint::fingerprint_of(key, statement);
        let explanation = Explanation::new(&classification, fingerprint, workload.as_ref());
        let line = if arguments.json { serde_json::to_string(&explanation)? } else { explanation.to_text() };
        match writeln!(out, "{line}") {
            // The reader of the output, for instance `head`, has closed the pipe.
            Err(fault) if fault.kind() == ErrorKind::BrokenPipe => return Ok(()),
            written => written?,
        }
    }
    out.flush()?;
    Ok(())
}
