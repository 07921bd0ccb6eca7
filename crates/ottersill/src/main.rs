//! Runs a router, or the command that the command line names. `NODE_CONFIG` names the file with the configuration.

use std::process::ExitCode;

use clap::Parser;
use ottersill::command;

fn main() -> ExitCode {
    match command::run(command::Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("ottersill: {fault}");
            ExitCode::FAILURE
        }
    }
}
