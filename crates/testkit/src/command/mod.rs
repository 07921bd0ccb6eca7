//! The command line of `ottersill-testkit`.

mod ask;
mod cost;
mod error;
mod fleet;
mod scale;
mod serve;

use std::io;
use std::path::{Path, PathBuf};

use clap::{Parser, Subcommand};

pub use error::CommandError;

/// Where the router of `example/router.json` listens.
const ROUTER: &str = "127.0.0.1:7400";
/// Where that router looks for discovery.
const DISCOVERY: &str = "127.0.0.1:7500";
/// Where the endpoints of the command `serve` listen.
const ENDPOINTS: [&str; 3] = ["127.0.0.1:7601", "127.0.0.1:7602", "127.0.0.1:7603"];

/// The testkit of ottersill, on loopback: a stand-in store, clusters of router processes under faults, and large deployments.
#[derive(Parser)]
#[command(version, about)]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Starts a stand-in store of three endpoints and its discovery; lines on standard input change them.
    Serve,
    /// Sends one statement to the router of the example.
    #[command(subcommand)]
    Ask(ask::Statement),
    /// Plays schedules of faults on routers that share budgets, and audits them.
    Fleet(fleet::FleetArguments),
    /// Times statements through a router that talks to others and through one that does not, in turn.
    Cost(cost::CostArguments),
    /// Compares what a router needs in a small and in a large deployment, and fails where it grows beyond its bounds.
    Scale(scale::ScaleArguments),
}

/// Runs a command to its end.
pub fn run(arguments: &Arguments) -> Result<(), CommandError> {
    match &arguments.command {
        Command::Serve => serve::run(),
        Command::Ask(statement) => ask::run(statement),
        Command::Fleet(fleet) => fleet::run(fleet),
        Command::Cost(cost) => cost::run(cost),
        Command::Scale(scale) => scale::run(scale),
    }
}

/// The built router and the text of the settings that each router's are made of.
struct RouterFiles {
    program: PathBuf,
    example: String,
}

impl RouterFiles {
    /// Without `program` the router beside this program is taken.
    fn find(program: Option<&Path>, example: &Path) -> Result<RouterFiles, CommandError> {
        let beside = || Ok::<_, io::Error>(std::env::current_exe()?.with_file_name("ottersill"));
        let program = program.map_or_else(beside, |program| Ok(program.to_path_buf()))?;
        Ok(RouterFiles { program, example: read_file(example)? })
    }
}

fn read_file(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|source| CommandError::File { path: path.to_path_buf(), source })
}
