//! As much of HTTP/1.1 as a caller of discovery needs.

use bytes::{Buf, Bytes, BytesMut};

use crate::wire::frame::Nonsense;

/// A list names a few hundred hosts at a few hundred bytes each; beyond this it is nonsense.
pub const LONGEST: usize = 4 << 20;
const HEADERS: usize = 64;

pub fn get(path: &str, host: &str) -> Bytes {
    Bytes::from(format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n"))
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub body: Bytes,
    /// The other side ends the connection after it.
    pub last: bool,
}

enum Length {
    Of(usize),
    Chunked,
    ToTheEnd,
}

/// The next response, once it is there whole; `ended` says that nothing more comes.
pub fn response(inbox: &mut BytesMut, ended: bool) -> Result<Option<Response>, Nonsense> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let start = match head.parse(inbox) {
        Ok(httparse::Status::Complete(start)) => start,
        Ok(httparse::Status::Partial) if inbox.len() <= LONGEST => return Ok(None),
        _ => return Err("no HTTP response"),
    };
    let status = head.code.unwrap_or_default();
    let (mut length, mut last) = (Length::ToTheEnd, false);
    for header in head.headers.iter() {
        let value = std::str::from_utf8(header.value).map_err(|_| "a header that is not UTF-8")?.trim();
        if header.name.eq_ignore_ascii_case("content-length") && !matches!(length, Length::Chunked) {
            length = Length::Of(value.parse().map_err(|_| "a length that is no number")?);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            length = Length::Chunked;
        } else if header.name.eq_ignore_ascii_case("connection") {
            last = value.eq_ignore_ascii_case("close");
        }
    }
    match length {
        Length::Of(length) if length > LONGEST => Err("a response that is too long"),
        Length::Of(length) if inbox.len() >= start + length => {
            let body = inbox.split_to(start + length).freeze().slice(start..);
            Ok(Some(Response { status, body, last }))
        }
        Length::Chunked => {
            let found = unchunked(&inbox[start..])?;
            Ok(found.map(|(body, used)| {
                inbox.advance(start + used);
                Response { status, body, last }
            }))
        }
        Length::ToTheEnd if ended => {
            let body = inbox.split().freeze().slice(start..);
            Ok(Some(Response { status, body, last: true }))
        }
        _ => Ok(None),
    }
}

/// The chunks put together, which is why they are copied, and how many bytes they took.
fn unchunked(bytes: &[u8]) -> Result<Option<(Bytes, usize)>, Nonsense> {
    let (mut body, mut at) = (BytesMut::new(), 0);
    loop {
        let (head, length) = match httparse::parse_chunk_size(&bytes[at..]) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err("no chunk size"),
        };
        let length =
            usize::try_from(length).ok().filter(|l| *l <= LONGEST).ok_or("a chunk that is too long")?;
        let (from, to) = (at + head, at + head + length);
        if bytes.len() < to + 2 {
            return Ok(None);
        }
        body.extend_from_slice(&bytes[from..to]);
        at = to + 2;
        if length == 0 {
            return Ok(Some((body.freeze(), at)));
        }
    }
}
