//! One router. What it is told stands in the file that `NODE_CONFIG` names.

use std::process::ExitCode;

fn main() -> ExitCode {
    match ottersill::lifecycle::serve::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("ottersill: {fault}");
            ExitCode::FAILURE
        }
    }
}
