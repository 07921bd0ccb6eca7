//! The command line of `ottersill-testkit`.

mod ask;
mod cost;
mod error;
mod fleet;
mod flood;
mod scale;
mod serve;

use std::io;
use std::path::{Path, PathBuf};

use clap::{Parser, Subcommand};

pub use error::CommandError;

/// Address at which the router of `example/router.json` listens.
const ROUTER: &str = "127.0.0.1:7400";
/// Address at which that router expects discovery.
const DISCOVERY: &str = "127.0.0.1:7500";
/// Addresses at which the endpoints of the command `serve` listen.
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
    /// Starts a stand-in store of three endpoints and its discovery, which lines on standard input change.
    Serve,
    /// Sends one statement to the router of example/router.json.
    #[command(subcommand)]
    Ask(ask::Statement),
    /// Runs fault schedules on routers that share budgets, and audits the routers.
    Fleet(fleet::FleetArguments),
    /// Measures statement latency and CPU time of routers with and without a fleet, in turn.
    Cost(cost::CostArguments),
    /// Measures what usual clients wait while other clients flood a router, and prints a table.
    Flood(flood::FloodArguments),
    /// Compares what a router needs in a small and in a large deployment, and fails if a bound is exceeded.
    Scale(scale::ScaleArguments),
}

/// Runs a command to completion.
pub fn run(arguments: &Arguments) -> Result<(), CommandError> {
    match &arguments.command {
        Command::Serve => serve::run(),
        Command::Ask(statement) => ask::run(statement),
        Command::Fleet(fleet) => fleet::run(fleet),
        Command::Cost(cost) => cost::run(cost),
        Command::Flood(flood) => flood::run(flood),
        Command::Scale(scale) => scale::run(scale),
    }
}

/// The router executable, and the text of the configuration from which the configuration of each router is derived.
struct RouterFiles {
    program: PathBuf,
    example: String,
}

impl RouterFiles {
    /// Uses the router next to this program if `program` is `None`.
    fn find(program: Option<&Path>, example: &Path) -> Result<RouterFiles, CommandError> {
        let next_to_this_program =
            || Ok::<_, io::Error>(std::env::current_exe()?.with_file_name("ottersill"));
        let program = program.map_or_else(next_to_this_program, |program| Ok(program.to_path_buf()))?;
        Ok(RouterFiles { program, example: read_file(example)? })
    }
}

fn read_file(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|source| CommandError::File { path: path.to_path_buf(), source })
}
