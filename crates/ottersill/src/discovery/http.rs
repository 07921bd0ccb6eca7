//! As much of HTTP/1.1 as a client of discovery needs: GET requests, and responses of any framing.

use std::fmt;
use std::str;

use bytes::{Buf, Bytes, BytesMut};

/// The longest response that is read, in bytes. A list names a few hundred endpoints at a few hundred bytes each.
pub const MAX_RESPONSE_BYTES: usize = 4 << 20;
const MAX_HEADERS: usize = 64;
/// The line end behind each chunk, in bytes.
const CHUNK_END: usize = 2;

/// Why bytes are not a response that can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// The head is not HTTP/1.x, has too many headers or is too long.
    Head,
    /// The value of a header is not UTF-8.
    HeaderText,
    /// `Content-Length` is no number.
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
            HttpError::Head => "no HTTP response",
            HttpError::HeaderText => "a header that is not UTF-8",
            HttpError::ContentLength => "a length that is no number",
            HttpError::TooLong => "a response that is too long",
            HttpError::ChunkSize => "no chunk size",
            HttpError::ChunkTooLong => "a chunk that is too long",
        })
    }
}

impl std::error::Error for HttpError {}

/// A GET request, as it is written to the socket.
pub fn get(path: &str, host: &str) -> Bytes {
    Bytes::from(format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n"))
}

/// A response that was read whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The body, without its framing.
    pub body: Bytes,
    /// The server closes the connection after it.
    pub closes: bool,
}

/// How the length of a body is told.
#[derive(Clone, Copy)]
enum BodyLength {
    Known(usize),
    Chunked,
    UntilClose,
}

/// What the head of a response says.
struct Head {
    /// How many bytes it takes.
    length: usize,
    status: u16,
    body: BodyLength,
    closes: bool,
}

/// Takes the next response out of `inbox` once it is there whole; `ended` says that nothing more will come.
///
/// # Errors
/// If the bytes are no response; the connection is of no further use then.
pub fn response(inbox: &mut BytesMut, ended: bool) -> Result<Option<Response>, HttpError> {
    let Some(head) = parse_head(inbox)? else { return Ok(None) };
    let (start, status, closes) = (head.length, head.status, head.closes);
    match head.body {
        BodyLength::Known(length) if length > MAX_RESPONSE_BYTES => Err(HttpError::TooLong),
        BodyLength::Known(length) if inbox.len() >= start + length => {
            let body = inbox.split_to(start + length).freeze().slice(start..);
            Ok(Some(Response { status, body, closes }))
        }
        BodyLength::Chunked => {
            let Some((body, used)) = join_chunks(&inbox[start..])? else { return Ok(None) };
            inbox.advance(start + used);
            Ok(Some(Response { status, body, closes }))
        }
        BodyLength::UntilClose if ended => {
            let body = inbox.split().freeze().slice(start..);
            Ok(Some(Response { status, body, closes: true }))
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
    let mut head = Head { length, status, body: BodyLength::UntilClose, closes: false };
    for header in parsed.headers.iter() {
        let value = str::from_utf8(header.value).map_err(|_| HttpError::HeaderText)?.trim();
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            head.body = BodyLength::Chunked;
        } else if header.name.eq_ignore_ascii_case("content-length") {
            // Chunks outrank a length, as RFC 9112 has it.
            if !matches!(head.body, BodyLength::Chunked) {
                head.body = BodyLength::Known(value.parse().map_err(|_| HttpError::ContentLength)?);
            }
        } else if header.name.eq_ignore_ascii_case("connection") {
            head.closes = value.eq_ignore_ascii_case("close");
        }
    }
    Ok(Some(head))
}

/// The chunks joined to one body, and how many bytes they take with their framing; none until the last one is there.
fn join_chunks(bytes: &[u8]) -> Result<Option<(Bytes, usize)>, HttpError> {
    let (mut body, mut position) = (BytesMut::new(), 0);
    loop {
        let (head, length) = match httparse::parse_chunk_size(&bytes[position..]) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(HttpError::ChunkSize),
        };
        let length = usize::try_from(length).map_err(|_| HttpError::ChunkTooLong)?;
        if length > MAX_RESPONSE_BYTES {
            return Err(HttpError::ChunkTooLong);
        }
        let (start, end) = (position + head, position + head + length);
        if bytes.len() < end + CHUNK_END {
            return Ok(None);
        }
        body.extend_from_slice(&bytes[start..end]);
        position = end + CHUNK_END;
        if length == 0 {
            return Ok(Some((body.freeze(), position)));
        }
    }
}
