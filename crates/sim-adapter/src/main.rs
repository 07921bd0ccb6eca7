//! The adapter for the operators' simulator: a batch of events a line on standard input, a reply a line on standard
//! output. Ends with status 1 and one line on standard error at the first line that is not a valid batch.

use std::io::{self, BufWriter};
use std::process::ExitCode;

use ottersill_sim_adapter::{session::PROGRAM, stdio};

const OUTPUT_BUFFER_BYTES: usize = 1 << 16;

fn main() -> ExitCode {
    let mut output = BufWriter::with_capacity(OUTPUT_BUFFER_BYTES, io::stdout().lock());
    match stdio::run(&mut io::stdin().lock(), &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{PROGRAM}: {error}");
            ExitCode::FAILURE
        }
    }
}
