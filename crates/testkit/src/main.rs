//! The program `ottersill-testkit`; its commands are in [`ottersill_testkit::command`].

use std::process::ExitCode;

use clap::Parser;
use ottersill_testkit::command::{self, Arguments};

fn main() -> ExitCode {
    match command::run(&Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ottersill-testkit: {error}");
            ExitCode::FAILURE
        }
    }
}
