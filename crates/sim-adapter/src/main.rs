//! The adapter for the operators' simulator. It reads one batch of events per line from standard input and writes one
//! reply per line to standard output. At the first line that is not a valid batch, it writes one line to standard error
//! and exits with status 1.

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
