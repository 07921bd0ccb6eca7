//! One router, or what its command line asks for. What a router is told stands in the file that `NODE_CONFIG` names.

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
