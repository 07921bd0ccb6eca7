//! The command line. Without a command the router runs.

mod error;
pub mod explain;
pub mod fleet;

use clap::{Parser, Subcommand};

pub use error::CommandError;

use crate::lifecycle::{log, start};

/// Routes reads and writes in a replicated store. Without a command: runs the router as the file tells that NODE_CONFIG names.
#[derive(Parser)]
#[command(version, about)]
pub struct Arguments {
    /// The fleet's file, in protobuf text format: budgets divided among routers that talk. Without it there is no talk.
    #[arg(long, value_name = "FILE")]
    fleet: Option<String>,
    /// How the log is written.
    #[arg(long, value_enum, default_value_t)]
    log: log::Form,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Says of each statement what it is, where it may go, and why.
    Explain(explain::Arguments),
    /// Asks a running router about its fleet.
    Fleet(fleet::Arguments),
}

/// Does what the command line asks for.
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
