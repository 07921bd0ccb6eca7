//! The subset of HTTP/1.1 that the discovery client needs: GET requests, and responses with any framing.

use std::fmt;
use std::str;

use bytes::{Buf, Bytes, BytesMut};

/// Maximum length of a response. A list names a few hundred endpoints at a few hundred bytes each.
pub const MAX_RESPONSE_BYTES: usize = 4 << 20;
const MAX_HEADERS: usize = 64;
/// Length of the CRLF after the data of each chunk.
const CHUNK_END_BYTES: usize = 2;

/// Why input cannot be parsed as a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// The head is not HTTP/1.x, has too many headers, or is too long.
    Head,
    /// The value of a header is not UTF-8.
    HeaderText,
    /// `Content-Length` is not a number.
    ContentLength,
    /// `Content-Length` exceeds [`MAX_RESPONSE_BYTES`].
    TooLong,
    /// A chunk does not begin with its size.
    ChunkSize,
    /// A chunk exceeds [`MAX_RESPONSE_BYTES`].
    ChunkTooLong,
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            HttpError::Head => "invalid HTTP response head",
            HttpError::HeaderText => "a header value is not UTF-8",
            HttpError::ContentLength => "Content-Length is not a number",
            HttpError::TooLong => "Content-Length exceeds the maximum response length",
            HttpError::ChunkSize => "invalid chunk size",
            HttpError::ChunkTooLong => "a chunk exceeds the maximum response length",
        })
    }
}

impl std::error::Error for HttpError {}

/// Formats a GET request.
pub fn get(path: &str, host: &str) -> Bytes {
    Bytes::from(format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n"))
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body, without its framing.
    pub body: Bytes,
    /// Whether the server closes the connection after this response.
    pub closes_connection: bool,
}

/// How the length of a body is determined.
#[derive(Clone, Copy)]
enum BodyLength {
    Known(usize),
    Chunked,
    UntilClose,
}

/// The parsed head of a response.
struct Head {
    /// Length of the head itself, in bytes.
    length: usize,
    status: u16,
    body: BodyLength,
    closes_connection: bool,
}

/// Removes the next response from `inbox` once it is complete; `ended` states whether no more input will arrive.
///
/// # Errors
/// If the input is not a valid response; the connection must then be closed.
pub fn response(inbox: &mut BytesMut, ended: bool) -> Result<Option<Response>, HttpError> {
    let Some(head) = parse_head(inbox)? else { return Ok(None) };
    let (start, status, closes_connection) = (head.length, head.status, head.closes_connection);
    match head.body {
        BodyLength::Known(length) if length > MAX_RESPONSE_BYTES => Err(HttpError::TooLong),
        BodyLength::Known(length) if inbox.len() >= start + length => {
            let body = inbox.split_to(start + length).freeze().slice(start..);
            Ok(Some(Response { status, body, closes_connection }))
        }
        BodyLength::Chunked => {
            let Some((body, used)) = join_chunks(&inbox[start..])? else { return Ok(None) };
            inbox.advance(start + used);
            Ok(Some(Response { status, body, closes_connection }))
        }
        BodyLength::UntilClose if ended => {
            let body = inbox.split().freeze().slice(start..);
            Ok(Some(Response { status, body, closes_connection: true }))
        }
        BodyLength::Known(_) | BodyLength::UntilClose => Ok(None),
    }
}

fn parse_head(bytes: &[u8]) -> Result<Option<Head>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_RESPONSE_BYTES => return Ok(None),
        _ => return Err(HttpError::Head),
    };
    let status = parsed.code.unwrap_or_default();
    let mut head = Head { length, status, body: BodyLength::UntilClose, closes_connection: false };
    for header in parsed.headers.iter() {
        let value = str::from_utf8(header.value).map_err(|_| HttpError::HeaderText)?.trim();
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            head.body = BodyLength::Chunked;
        } else if header.name.eq_ignore_ascii_case("content-length") {
            // `Transfer-Encoding: chunked` overrides `Content-Length` (RFC 9112).
            if !matches!(head.body, BodyLength::Chunked) {
                head.body = BodyLength::Known(value.parse().map_err(|_| HttpError::ContentLength)?);
            }
        } else if header.name.eq_ignore_ascii_case("connection") {
            head.closes_connection = value.eq_ignore_ascii_case("close");
        }
    }
    Ok(Some(head))
}

/// Joins the chunks of a body. Returns the body and the length of the chunks with their framing, or none until the last chunk
/// has arrived.
fn join_chunks(bytes: &[u8]) -> Result<Option<(Bytes, usize)>, HttpError> {
    let (mut body, mut position) = (BytesMut::new(), 0);
    loop {
        let (size_line_length, length) = match httparse::parse_chunk_size(&bytes[position..]) {
            Ok(httparse::Status::Complete(parsed)) => parsed,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(HttpError::ChunkSize),
        };
        let length = usize::try_from(length).map_err(|_| HttpError::ChunkTooLong)?;
        if length > MAX_RESPONSE_BYTES {
            return Err(HttpError::ChunkTooLong);
        }
        let (start, end) = (position + size_line_length, position + size_line_length + length);
        if bytes.len() < end + CHUNK_END_BYTES {
            return Ok(None);
        }
        body.extend_from_slice(&bytes[start..end]);
        position = end + CHUNK_END_BYTES;
        if length == 0 {
            return Ok(Some((body.freeze(), position)));
        }
    }
}
