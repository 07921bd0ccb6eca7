//! Messages of PostgreSQL's protocol, version 3: what a server writes, and how either side reads one.

use std::io::{self, Read};

/// Length of the tag and the length field that begin a message.
const HEADER_BYTES: usize = 5;
/// Length of the length field, which counts itself.
pub(crate) const LENGTH_BYTES: usize = 4;
/// Longest startup message that is read.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Longest body of a message that an endpoint reads.
pub(crate) const MAX_BODY_BYTES: usize = 1 << 20;
/// The statement by which a router asks an endpoint for its health report.
pub(crate) const HEALTH_QUERY: &str = "SHOW health";

/// A message: its tag, its length and its body.
pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![tag];
    out.extend(length_field(LENGTH_BYTES + body.len()));
    out.extend(body);
    out
}

/// A length as messages have it.
///
/// # Panics
///
/// If it has more than four bytes.
pub(crate) fn length_field(length: usize) -> [u8; LENGTH_BYTES] {
    u32::try_from(length).expect("no message is so long").to_be_bytes()
}

/// AuthenticationOk.
pub(crate) fn authentication_ok() -> Vec<u8> {
    message(b'R', &[0; 4])
}

/// What ends each answer: the role and the replay position as ParameterStatus, then ReadyForQuery.
pub(crate) fn ready_for_query(is_primary: bool, position_ms: u128) -> Vec<u8> {
    let recovery = if is_primary { "off" } else { "on" };
    let mut out = parameter_status("recovery", recovery);
    out.extend(parameter_status("lsn_ms", &position_ms.to_string()));
    out.extend(message(b'Z', b"I"));
    out
}

fn parameter_status(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

/// EmptyQueryResponse.
pub(crate) fn empty_query_response() -> Vec<u8> {
    message(b'I', b"")
}

/// ErrorResponse with that SQLSTATE.
pub(crate) fn error_response(code: &str, text: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0M{text}\0\0").as_bytes())
}

/// The result of a statement: one row of one binary column, and the command's tag.
pub(crate) fn single_row(value: &[u8], command_tag: &str) -> Vec<u8> {
    let mut description = vec![0, 1];
    description.extend(b"content\0");
    description.extend([0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1]);
    let mut data = vec![0, 1];
    data.extend(length_field(value.len()));
    data.extend(value);
    let mut out = message(b'T', &description);
    out.extend(message(b'D', &data));
    out.extend(message(b'C', format!("{command_tag}\0").as_bytes()));
    out
}

/// The answer to [`HEALTH_QUERY`].
pub(crate) fn health_report(is_primary: bool, position_ms: u128) -> Vec<u8> {
    let (seconds, millis) = (position_ms / 1000, position_ms % 1000);
    let report = format!("x0={seconds}.{millis:03},x1={},utilization=0.1", u8::from(is_primary));
    single_row(report.as_bytes(), "SHOW")
}

/// Makes the length of the only column of a [`single_row`] one longer than the column is.
pub(crate) fn corrupt_column_length(mut answer: Vec<u8>) -> Vec<u8> {
    let row_description_end = 1 + declared_length(&answer[1..HEADER_BYTES]);
    if answer[0] == b'T' {
        answer[row_description_end + 10] += 1;
    }
    answer
}

/// The value of a length field, which counts itself.
fn declared_length(field: &[u8]) -> usize {
    field.iter().fold(0, |value, byte| value << 8 | usize::from(*byte))
}

/// Reads and drops the startup message.
pub(crate) fn read_startup(source: &mut impl Read) -> io::Result<()> {
    read_body(source, MAX_STARTUP_BYTES).map(drop)
}

/// Reads one message: its tag and its body.
pub(crate) fn read_message(source: &mut impl Read, max_body_bytes: usize) -> io::Result<(u8, Vec<u8>)> {
    let mut header = [0; HEADER_BYTES];
    source.read_exact(&mut header)?;
    Ok((header[0], read_declared(source, &header[1..], max_body_bytes)?))
}

/// Reads the length field and the body that follow a tag.
pub(crate) fn read_body(source: &mut impl Read, max_body_bytes: usize) -> io::Result<Vec<u8>> {
    let mut length = [0; LENGTH_BYTES];
    source.read_exact(&mut length)?;
    read_declared(source, &length, max_body_bytes)
}

/// Reads as many bytes as that length field says.
fn read_declared(source: &mut impl Read, length: &[u8], max_body_bytes: usize) -> io::Result<Vec<u8>> {
    let body_bytes = declared_length(length).saturating_sub(LENGTH_BYTES);
    let mut body = vec![0; body_bytes.min(max_body_bytes)];
    source.read_exact(&mut body)?;
    Ok(body)
}

/// The text of a Query message's body.
pub(crate) fn query_text(body: &[u8]) -> String {
    String::from_utf8_lossy(body.strip_suffix(b"\0").unwrap_or(body)).into_owned()
}
