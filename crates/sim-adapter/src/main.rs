//! Hosts any number of routers on the bench's wire: a batch a line on standard input, a reply a line on
//! standard output. Ends with status 1 and one line on standard error at the first line that is no batch.

mod desk;
mod wire;

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run(&mut io::stdin().lock(), &mut BufWriter::with_capacity(1 << 16, io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("ottersill-sim-adapter: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn run(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), String> {
    let mut drill = wire::Drill::default();
    let mut line = Vec::new();
    for number in 1.. {
        line.clear();
        let read = input.read_until(b'\n', &mut line).map_err(|e| format!("standard input: {e}"))?;
        if read == 0 {
            break;
        }
        let text = std::str::from_utf8(&line).map_err(|e| format!("line {number}: expected UTF-8: {e}"))?;
        let reply = drill.play(text).map_err(|fault| format!("line {number}: {fault}"))?;
        output.write_all(reply).and_then(|()| output.flush()).map_err(|e| format!("standard output: {e}"))?;
    }
    Ok(())
}
