//! Runs a router, or the command given on the command line. `NODE_CONFIG` is the path of the configuration file.

use std::process::ExitCode;

use clap::Parser;
use ottersill::command;

fn main() -> ExitCode {
    match command::run(command::Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ottersill: {error}");
            ExitCode::FAILURE
        }
    }
}
