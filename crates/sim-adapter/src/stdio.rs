//! The loop that reads batches and writes replies.

use std::io::{BufRead, Write};

use crate::error::AdapterError;
use crate::session::Session;

/// Answers each line of `input` with one line on `output` until the input ends. Each reply is flushed.
///
/// # Errors
///
/// Returns [`AdapterError`] for the first line that is not a valid batch, or if a stream fails.
pub fn run(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut session = Session::default();
    let mut line = Vec::new();
    for number in 1.. {
        line.clear();
        let length = input.read_until(b'\n', &mut line).map_err(AdapterError::Input)?;
        if length == 0 {
            break;
        }
        let text = std::str::from_utf8(&line).map_err(|source| AdapterError::NotUtf8 { number, source })?;
        let reply = session
            .handle_batch(text)
            .map_err(|error| AdapterError::Batch { number, source: Box::new(error) })?;
        output.write_all(reply).and_then(|()| output.flush()).map_err(AdapterError::Output)?;
    }
    Ok(())
}
