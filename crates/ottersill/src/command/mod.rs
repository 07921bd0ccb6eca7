//! The command line. Without a command, the router runs.

mod error;
pub mod explain;
pub mod fleet;

use clap::{Parser, Subcommand};

pub use error::CommandError;

use crate::lifecycle::{log, start};

/// Routes reads and writes in a replicated store. Without a command, runs the router with the configuration file that the
/// environment variable NODE_CONFIG names.
#[derive(Parser)]
#[command(version, about)]
pub struct Arguments {
    /// The fleet file, in protobuf text format: the members of a fleet and the budgets that they share. Without it, the router
    /// is not in a fleet.
    #[arg(long, value_name = "FILE")]
    fleet: Option<String>,
    /// The format of log lines.
    #[arg(long, value_enum, default_value_t)]
    log: log::LogFormat,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Classifies statements: what each is, where it may be sent, and why.
    Explain(explain::Arguments),
    /// Queries the state of the fleet at a running router.
    Fleet(fleet::Arguments),
}

/// Runs the command, or the router if there is none.
///
/// # Errors
/// If the router or the command fails.
pub fn run(arguments: Arguments) -> Result<(), CommandError> {
    match arguments.command {
        None => start::run(arguments.fleet.as_deref(), arguments.log)?,
        Some(Command::Explain(arguments)) => explain::run(&arguments)?,
        Some(Command::Fleet(arguments)) => fleet::run(&arguments)?,
    }
    Ok(())
}
