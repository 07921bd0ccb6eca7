//! Messages of PostgreSQL's wire protocol, version 3: takes them from a read buffer as slices of it, and encodes them.

use bytes::{BufMut, Bytes, BytesMut};
use thiserror::Error;

/// Limit on the size of a value, set by the service's protocol.
const MAX_VALUE_BYTES: usize = 64 * 1024;
/// Limit on the size of a message: a value takes two digits per byte, and its statement the remaining 4096 bytes.
pub const MAX_MESSAGE_BYTES: usize = 2 * MAX_VALUE_BYTES + 4096;
/// Nearly every statement is shorter. Buffers of this size are cheap to keep.
pub const TYPICAL_MESSAGE_BYTES: usize = 4096;
/// Limit on the size of a startup message, which holds a few names.
pub const MAX_STARTUP_BYTES: usize = 10_000;

/// Length of a message's header: its tag and its length field.
const MESSAGE_HEADER_BYTES: usize = 5;

const PROTOCOL_3: u32 = 3 << 16;
const CANCEL_REQUEST: u32 = (1234 << 16) | 5678;
const SSL_REQUEST: u32 = (1234 << 16) | 5679;
const GSSENC_REQUEST: u32 = (1234 << 16) | 5680;

/// A message, including its header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message(pub Bytes);

impl Message {
    /// Returns the message type.
    pub fn tag(&self) -> u8 {
        self.0[0]
    }

    /// Returns the bytes after type and length.
    pub fn body(&self) -> &[u8] {
        &self.0[5..]
    }

    /// Returns the field of that type in an ErrorResponse.
    pub fn field(&self, kind: u8) -> Option<&[u8]> {
        self.body().split(|byte| *byte == 0).find(|field| field.first() == Some(&kind)).map(|f| &f[1..])
    }

    /// Returns the name and value of a ParameterStatus.
    pub fn parameter(&self) -> Option<(&[u8], &[u8])> {
        let mut parts = self.body().split(|byte| *byte == 0);
        let (name, value, rest) = (parts.next()?, parts.next()?, parts.next()?);
        (rest.is_empty() && parts.next().is_none()).then_some((name, value))
    }

    /// Returns the column of a DataRow with exactly one column.
    pub fn column(&self) -> Option<&[u8]> {
        let body = self.body();
        let length = u32::from_be_bytes(body.get(2..6)?.try_into().ok()?) as usize;
        (body[..2] == [0, 1] && body.len() == 6 + length).then(|| &body[6..])
    }

    /// Returns the text of a Query, without the zero byte that has to end the message.
    pub fn query(&self) -> Option<Bytes> {
        let end = self.body().iter().position(|byte| *byte == 0)?;
        (end + 1 == self.body().len()).then(|| self.0.slice(5..5 + end))
    }

    /// Returns whether this is a RowDescription of exactly one column.
    pub fn describes_one_column(&self) -> bool {
        let Some((count, column)) = self.body().split_at_checked(2) else { return false };
        let name = column.iter().position(|byte| *byte == 0);
        // 18 bytes after the name: table, column, type, type size, type modifier, format.
        count == [0, 1] && name.is_some_and(|end| column.len() == end + 1 + 18)
    }

    /// Returns the command tag of a CommandComplete.
    pub fn command_tag(&self) -> Option<&[u8]> {
        let (end, tag) = self.body().split_last()?;
        (*end == 0 && !tag.is_empty() && tag.iter().all(|b| b.is_ascii_graphic() || *b == b' '))
            .then_some(tag)
    }
}

/// Why bytes are not a message of this protocol, or not one that is allowed at this point. The text is sent to clients and
/// written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// The length field of a message is shorter than the header, or longer than the limit.
    #[error("message length out of bounds")]
    MessageLength,
    /// The length field of a startup message is shorter than the header, or longer than the limit.
    #[error("startup length out of bounds")]
    StartupLength,
    /// An ErrorResponse is not terminated, or has no code of five letters and digits.
    #[error("an error without its code")]
    ErrorWithoutCode,
    /// A ParameterStatus is not a pair of name and value.
    #[error("a parameter without its value")]
    ParameterWithoutValue,
    /// A message is not part of an answer to a simple query, or not at this point of it.
    #[error("a message that answers no simple query")]
    UnexpectedMessage,
    /// An answer arrived although no query was sent.
    #[error("an answer to nothing")]
    UnsolicitedAnswer,
}

fn read_u32(bytes: &[u8]) -> usize {
    u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize
}

/// Takes the next message from the read buffer; `None` if it is not complete yet.
pub fn take_message(inbox: &mut BytesMut) -> Result<Option<Message>, ProtocolError> {
    Ok(message_length(inbox)?.map(|length| Message(inbox.split_to(length).freeze())))
}

/// Returns the length of the next message, header included, without taking it; `None` if it is not complete yet.
pub fn message_length(inbox: &[u8]) -> Result<Option<usize>, ProtocolError> {
    if inbox.len() < 5 {
        return Ok(None);
    }
    match 1 + read_u32(&inbox[1..5]) {
        length @ 5..=MAX_MESSAGE_BYTES => Ok((inbox.len() >= length).then_some(length)),
        _ => Err(ProtocolError::MessageLength),
    }
}

/// Returns the text of a complete message that is a Query, without the zero byte that has to end it; `None` for any other
/// message.
pub fn query_text(message: &[u8]) -> Option<&[u8]> {
    match message.split_at_checked(MESSAGE_HEADER_BYTES)? {
        ([b'Q', ..], [text @ .., 0]) => Some(text),
        _ => None,
    }
}

/// Returns the length of the next message, header included, which may not be complete yet; `None` if its header is not complete,
/// or invalid.
pub fn declared_length(inbox: &[u8]) -> Option<usize> {
    let length = 1 + read_u32(inbox.get(1..5)?);
    (5..=MAX_MESSAGE_BYTES).contains(&length).then_some(length)
}

/// The kinds of encryption that a client can request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Encryption {
    /// TLS.
    Tls,
    /// Encryption by GSSAPI.
    Gssapi,
}

/// The kinds of messages with which a client starts a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Startup {
    /// Version 3 of the protocol.
    Version3,
    /// A request for encryption, which is not supported; another startup message follows.
    Encryption(Encryption),
    /// A request to cancel a query of another connection.
    Cancel,
    /// A protocol version that is not supported.
    OtherVersion,
}

/// Takes the next startup message from the read buffer; `None` if it is not complete yet.
pub fn take_startup(inbox: &mut BytesMut) -> Result<Option<Startup>, ProtocolError> {
    if inbox.len() < 4 {
        return Ok(None);
    }
    let length = read_u32(inbox);
    if !(8..=MAX_STARTUP_BYTES).contains(&length) {
        return Err(ProtocolError::StartupLength);
    }
    if inbox.len() < length {
        return Ok(None);
    }
    let code = read_u32(&inbox.split_to(length)[4..8]) as u32;
    Ok(Some(match code {
        CANCEL_REQUEST => Startup::Cancel,
        SSL_REQUEST => Startup::Encryption(Encryption::Tls),
        GSSENC_REQUEST => Startup::Encryption(Encryption::Gssapi),
        // Minor versions differ in nothing that simple queries need.
        code if code >> 16 == PROTOCOL_3 >> 16 => Startup::Version3,
        _ => Startup::OtherVersion,
    }))
}

fn encode_message(tag: u8, parts: &[&[u8]]) -> Bytes {
    let length: usize = 4 + parts.iter().map(|part| part.len()).sum::<usize>();
    let mut out = BytesMut::with_capacity(1 + length);
    out.put_u8(tag);
    out.put_u32(length as u32);
    parts.iter().for_each(|part| out.put_slice(part));
    out.freeze()
}

/// ReadyForQuery, outside of a transaction.
pub static READY_FOR_QUERY: Bytes = Bytes::from_static(b"Z\0\0\0\x05I");
/// EmptyQueryResponse.
pub static EMPTY_QUERY_RESPONSE: Bytes = Bytes::from_static(b"I\0\0\0\x04");
/// The answer that refuses a request for encryption.
pub static ENCRYPTION_REFUSED: Bytes = Bytes::from_static(b"N");
/// An empty query, which an endpoint answers at once and which has no effect.
pub static EMPTY_QUERY: Bytes = Bytes::from_static(b"Q\0\0\0\x05\0");
/// The query of a health check.
pub static SHOW_HEALTH: Bytes = Bytes::from_static(b"Q\0\0\0\x10SHOW health\0");
/// Terminate.
pub static TERMINATE: Bytes = Bytes::from_static(b"X\0\0\0\x04");
/// AuthenticationOk, two parameters that drivers require, ReadyForQuery.
pub static AUTHENTICATION_OK: Bytes = Bytes::from_static(
    b"R\0\0\0\x08\0\0\0\0S\0\0\0\x19client_encoding\0UTF8\0S\0\0\0\x18server_version\x0016.0\0Z\0\0\0\x05I",
);
/// The startup message that a router sends to an endpoint.
pub static STARTUP: Bytes = Bytes::from_static(b"\0\0\0\x25\0\x03\0\0user\0backend\0database\0store\0\0");

/// Returns the header of a Query message whose text has `text_bytes` bytes, including the zero byte at its end.
pub fn query_header(text_bytes: usize) -> [u8; 5] {
    let length = (4 + text_bytes as u32).to_be_bytes();
    [b'Q', length[0], length[1], length[2], length[3]]
}

/// The error codes that are sent to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorCode {
    /// A rejection: nothing ran, and a retry is safe. Used only for the routing module's rejections and for connections for
    /// which no descriptor is left.
    TooMany,
    /// An abort: it is unknown whether the statement ran.
    CompletionUnknown,
    /// The client violated the protocol.
    ProtocolViolation,
    /// A feature of the protocol or of SQL that is not supported.
    NotSupported,
    /// An unknown name.
    Unknown,
}

impl ErrorCode {
    fn sqlstate(self) -> &'static str {
        match self {
            ErrorCode::TooMany => "53300",
            ErrorCode::CompletionUnknown => "40003",
            ErrorCode::ProtocolViolation => "08P01",
            ErrorCode::NotSupported => "0A000",
            ErrorCode::Unknown => "42704",
        }
    }
}

/// Encodes an ErrorResponse. `retry_after_ms`, in milliseconds, is sent in the field D.
pub fn error(severity: &str, code: ErrorCode, text: &str, retry_after_ms: Option<u64>) -> Bytes {
    let detail = retry_after_ms.map_or(String::new(), |ms| format!("D{ms}\0"));
    let body = format!("S{severity}\0V{severity}\0C{}\0M{text}\0{detail}\0", code.sqlstate());
    encode_message(b'E', &[body.as_bytes()])
}
