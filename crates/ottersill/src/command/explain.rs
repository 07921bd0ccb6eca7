//! `ottersill explain`: what the router takes statements for, and where it may send them.

use std::fs::File;
use std::io::{self, BufWriter, ErrorKind, Read, Write};

use clap::Args;
use ottersill_routing::interface::{Consistency, Effect, RequestClass};
use ottersill_statement::classify::{self, Classification, StatementKind};
use ottersill_statement::fingerprint::{self, Fingerprint, Key};
use serde::Serialize;

use crate::lifecycle::config::{Config, ConfigError};

/// The name that stands for standard input.
const STDIN: &str = "-";

/// The arguments of `ottersill explain`.
#[derive(Args)]
pub struct Arguments {
    /// By the terms of this workload, in the file that NODE_CONFIG names; without such a file, or such a name, an
    /// unmarked read counts as idempotent.
    #[arg(long, value_name = "NAME")]
    workload: Option<String>,
    /// One object a line.
    #[arg(long)]
    json: bool,
    /// A NUL ends each statement, which may then hold line ends.
    #[arg(long)]
    nul: bool,
    /// One statement a line; - is standard input.
    #[arg(value_name = "FILE", default_value = STDIN)]
    file: String,
}

/// What is said of one statement. The names of the fields are those of the JSON output.
#[derive(Serialize)]
struct Explanation<'a> {
    nature: &'static str,
    /// A replica may take it.
    replica: bool,
    /// It may be sent again after it may have run.
    resend: bool,
    shape: String,
    tables: &'a [Box<str>],
    functions: &'a [Box<str>],
    /// Why it is not taken at all, where connections are shared.
    refused: Option<&'static str>,
    why: &'a str,
}

impl<'a> Explanation<'a> {
    fn new(
        reading: &'a Classification,
        fingerprint: Fingerprint,
        workload: Option<&RequestClass>,
    ) -> Explanation<'a> {
        let reads = reading.kind == StatementKind::Read;
        // As in the routing module: what the text says only makes the workload's terms stricter.
        let replica_suffices =
            workload.is_none_or(|w| !matches!(w.needs, Consistency::Primary | Consistency::Fresh));
        let may_write = workload.is_some_and(|w| w.needs == Consistency::Primary);
        let is_idempotent = workload.is_none_or(|w| w.effect != Effect::NonIdempotent);
        Explanation {
            nature: reading.kind.name(),
            replica: reads && replica_suffices,
            resend: (reads || may_write) && is_idempotent && reading.refusal().is_none(),
            shape: format!("{:032x}", fingerprint.0),
            tables: &reading.tables,
            functions: &reading.functions,
            refused: reading.refusal(),
            why: &reading.why,
        }
    }

    /// One line, and one more for tables, functions and a refusal each, where there are any.
    fn to_text(&self) -> String {
        let yes_or_no = |what: bool| if what { "yes" } else { "no" };
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
        if let Some(why) = self.refused {
            text.push_str(&format!("\n         refused: {why}"));
        }
        text
    }
}

/// The workload with that name in the configuration; none if no configuration is named.
fn find_workload(name: &str) -> Result<Option<RequestClass>, String> {
    if std::env::var_os("NODE_CONFIG").is_none() {
        return Ok(None);
    }
    let config = Config::load().map_err(|error| error.to_string())?;
    let routing_config =
        config.settings.routing_config(config.seed).map_err(|error| ConfigError::from(error).to_string())?;
    let names = config.settings.catalog();
    let index = names.workloads.iter().position(|known| known == name).ok_or_else(|| {
        format!("--workload: no workload {name:?}; there are {}", names.workloads.join(", "))
    })?;
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

/// Writes what each statement of the input is.
///
/// # Errors
/// If the input can't be read, the workload isn't known, or the output can't be written; the text is one line for
/// whoever typed the command.
pub fn run(arguments: &Arguments) -> Result<(), String> {
    let workload = arguments.workload.as_deref().map(find_workload).transpose()?.flatten();
    let text = read_input(&arguments.file).map_err(|fault| format!("{}: {fault}", arguments.file))?;
    let separator = if arguments.nul { 0 } else { b'\n' };
    // What follows the last separator is a statement only if it isn't empty.
    let statements = text.strip_suffix(&[separator]).unwrap_or(&text);
    if statements.is_empty() {
        return Ok(());
    }
    // Nothing secret: the same text has the same fingerprint each time.
    let key = Key::from_seed(0);
    let mut out = BufWriter::new(io::stdout().lock());
    for statement in statements.split(|byte| *byte == separator) {
        let statement = statement.strip_suffix(b"\r").unwrap_or(statement);
        let reading = classify::classify(statement);
        let fingerprint = fingerprint::fingerprint_of(key, statement);
        let explanation = Explanation::new(&reading, fingerprint, workload.as_ref());
        let line = if arguments.json {
            serde_json::to_string(&explanation).map_err(|fault| fault.to_string())?
        } else {
            explanation.to_text()
        };
        match writeln!(out, "{line}") {
            // Whoever reads the output has stopped reading, such as `head`.
            Err(fault) if fault.kind() == ErrorKind::BrokenPipe => return Ok(()),
            written => written.map_err(|fault| fault.to_string())?,
        }
    }
    out.flush().map_err(|fault| fault.to_string())
}
