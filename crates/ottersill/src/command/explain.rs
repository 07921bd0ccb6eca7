//! `ottersill explain`: what the router takes statements for.

use std::fs::File;
use std::io::{self, BufWriter, ErrorKind, Read, Write};

use clap::Args;
use ottersill_core::interface::{Effect, Needs, Workload};
use ottersill_statement::classify::{self, Classification, StatementKind};
use ottersill_statement::fingerprint::{self, Fingerprint, Key};
use serde::Serialize;

use crate::lifecycle::charter;

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
    #[arg(value_name = "FILE", default_value = "-")]
    file: String,
}

#[derive(Serialize)]
struct Explained<'a> {
    nature: &'static str,
    /// A replica may take it.
    replica: bool,
    /// It may go out again after it may have run.
    resend: bool,
    shape: String,
    tables: &'a [Box<str>],
    functions: &'a [Box<str>],
    /// Why it is not taken at all, where connections are shared.
    refused: Option<&'static str>,
    why: &'a str,
}

impl<'a> Explained<'a> {
    fn of(reading: &'a Classification, shape: Fingerprint, workload: Option<&Workload>) -> Explained<'a> {
        let reads = reading.kind == StatementKind::Read;
        // As in the module: a reading only makes the terms stricter.
        let replica = workload.is_none_or(|w| !matches!(w.needs, Needs::Primary | Needs::Fresh));
        let writing = workload.is_some_and(|w| w.needs == Needs::Primary);
        let resend = workload.is_none_or(|w| w.effect != Effect::NonIdempotent);
        Explained {
            nature: reading.kind.name(),
            replica: reads && replica,
            resend: (reads || writing) && resend && reading.refusal().is_none(),
            shape: format!("{:032x}", shape.0),
            tables: &reading.tables,
            functions: &reading.functions,
            refused: reading.refusal(),
            why: &reading.why,
        }
    }

    fn text(&self) -> String {
        let yes = |what: bool| if what { "yes" } else { "no" };
        let mut text = format!(
            "{:7}  replica {:3}  resend {:3}  {}  {}",
            self.nature,
            yes(self.replica),
            yes(self.resend),
            self.shape,
            self.why
        );
        let mut names = |what: &str, names: &[Box<str>]| {
            if !names.is_empty() {
                text.push_str(&format!("\n         {what}: {}", names.join(", ")));
            }
        };
        names("tables", self.tables);
        names("functions", self.functions);
        if let Some(why) = self.refused {
            text.push_str(&format!("\n         refused: {why}"));
        }
        text
    }
}

fn workload(name: &str) -> Result<Option<Workload>, String> {
    if std::env::var_os("NODE_CONFIG").is_none() {
        return Ok(None);
    }
    let charter = charter::find()?;
    let terms = charter.settings.terms(charter.seed).map_err(|e| format!("NODE_CONFIG: settings.{e}"))?;
    let names = charter.settings.catalog();
    let at = names.workloads.iter().position(|known| known == name);
    let at = at.ok_or_else(|| {
        format!("--workload: no workload {name:?}; there are {}", names.workloads.join(", "))
    })?;
    Ok(terms.workloads.get(at).cloned())
}

pub fn run(arguments: &Arguments) -> Result<(), String> {
    let workload = arguments.workload.as_deref().map(workload).transpose()?.flatten();
    let mut text = Vec::new();
    let read = match arguments.file.as_str() {
        "-" => io::stdin().lock().read_to_end(&mut text),
        path => File::open(path).and_then(|mut file| file.read_to_end(&mut text)),
    };
    read.map_err(|fault| format!("{}: {fault}", arguments.file))?;
    let end = if arguments.nul { 0 } else { b'\n' };
    // What is behind the last end is a statement only if there is something.
    let whole = text.strip_suffix(&[end]).unwrap_or(&text);
    if whole.is_empty() {
        return Ok(());
    }
    // Nothing secret: the same text has the same shape each time.
    let key = Key::from_seed(0);
    let mut out = BufWriter::new(io::stdout().lock());
    for statement in whole.split(|byte| *byte == end) {
        let statement = statement.strip_suffix(b"\r").unwrap_or(statement);
        let reading = classify::classify(statement);
        let explained =
            Explained::of(&reading, fingerprint::fingerprint_of(key, statement), workload.as_ref());
        let line = if arguments.json {
            serde_json::to_string(&explained).map_err(|fault| fault.to_string())?
        } else {
            explained.text()
        };
        match writeln!(out, "{line}") {
            // Whoever reads has seen enough.
            Err(fault) if fault.kind() == ErrorKind::BrokenPipe => return Ok(()),
            wrote => wrote.map_err(|fault| fault.to_string())?,
        }
    }
    out.flush().map_err(|fault| fault.to_string())
}
