//! Messages of PostgreSQL's protocol, version 3: encoding of those that a server writes, and reading on either side.

use std::io::{self, Read};

/// Length of the tag and the length field at the start of a message.
const HEADER_BYTES: usize = 5;
/// Length of the length field, which counts itself.
pub(crate) const LENGTH_BYTES: usize = 4;
/// Longest body of a startup message that is read.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Longest body of a message that an endpoint reads.
pub(crate) const MAX_BODY_BYTES: usize = 1 << 20;
/// The statement by which a router requests an endpoint's health report.
pub(crate) const HEALTH_QUERY: &str = "SHOW health";

/// Encodes a message: its tag, its length and its body.
pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![tag];
    out.extend(length_field(LENGTH_BYTES + body.len()));
    out.extend(body);
    out
}

/// Encodes a length field.
///
/// # Panics
///
/// Panics if the length does not fit into four bytes.
pub(crate) fn length_field(length: usize) -> [u8; LENGTH_BYTES] {
    u32::try_from(length).expect("length exceeds the length field").to_be_bytes()
}

/// Encodes AuthenticationOk.
pub(crate) fn authentication_ok() -> Vec<u8> {
    message(b'R', &[0; 4])
}

/// Encodes the messages that end each answer: the role and the replication position as ParameterStatus, then ReadyForQuery.
pub(crate) fn ready_for_query(is_primary: bool, position_ms: u128) -> Vec<u8> {
    let recovery = if is_primary { "off" } else { "on" };
    let mut out = parameter_status("recovery", recovery);
    out.extend(parameter_status("lsn_ms", &position_ms.to_string()));
    out.extend(message(b'Z', b"I"));
    out
}

/// Encodes a ParameterStatus.
pub(crate) fn parameter_status(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

/// Encodes EmptyQueryResponse.
pub(crate) fn empty_query_response() -> Vec<u8> {
    message(b'I', b"")
}

/// Encodes an ErrorResponse with the given SQLSTATE and message.
pub(crate) fn error_response(code: &str, text: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0M{text}\0\0").as_bytes())
}

/// Encodes the result of a statement: one row with one column in binary format, and the command tag.
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

/// Encodes the answer to [`HEALTH_QUERY`], without the messages that end it.
pub(crate) fn health_report(is_primary: bool, position_ms: u128) -> Vec<u8> {
    let (seconds, millis) = (position_ms / 1000, position_ms % 1000);
    let report = format!("x0={seconds}.{millis:03},x1={},utilization=0.1", u8::from(is_primary));
    single_row(report.as_bytes(), "SHOW")
}

/// Increments the length field of the column in the DataRow of a [`single_row`], so that it exceeds the column by one byte.
pub(crate) fn corrupt_column_length(mut answer: Vec<u8>) -> Vec<u8> {
    let row_description_end = 1 + declared_length(&answer[1..HEADER_BYTES]);
    if answer[0] == b'T' {
        answer[row_description_end + 10] += 1;
    }
    answer
}

/// Decodes a length field; the length includes the field itself.
fn declared_length(field: &[u8]) -> usize {
    field.iter().fold(0, |value, byte| value << 8 | usize::from(*byte))
}

/// Reads and discards the startup message.
pub(crate) fn read_startup(source: &mut impl Read) -> io::Result<()> {
    read_body(source, MAX_STARTUP_BYTES).map(drop)
}

/// Reads one message and returns its tag and its body.
pub(crate) fn read_message(source: &mut impl Read, max_body_bytes: usize) -> io::Result<(u8, Vec<u8>)> {
    let mut header = [0; HEADER_BYTES];
    source.read_exact(&mut header)?;
    Ok((header[0], read_body_of_length(source, &header[1..], max_body_bytes)?))
}

/// Reads a length field and the body that follows it.
pub(crate) fn read_body(source: &mut impl Read, max_body_bytes: usize) -> io::Result<Vec<u8>> {
    let mut length = [0; LENGTH_BYTES];
    source.read_exact(&mut length)?;
    read_body_of_length(source, &length, max_body_bytes)
}

/// Reads the body whose length is given by the length field, but no more than `max_body_bytes`.
fn read_body_of_length(source: &mut impl Read, length: &[u8], max_body_bytes: usize) -> io::Result<Vec<u8>> {
    let body_bytes = declared_length(length).saturating_sub(LENGTH_BYTES);
    let mut body = vec![0; body_bytes.min(max_body_bytes)];
    source.read_exact(&mut body)?;
    Ok(body)
}

/// Returns the text in the body of a Query message.
pub(crate) fn query_text(body: &[u8]) -> String {
    String::from_utf8_lossy(body.strip_suffix(b"\0").unwrap_or(body)).into_owned()
}
