//! PostgreSQL's messages, version 3: cut off the front of a read buffer as slices of it, and written.

use bytes::{BufMut, Bytes, BytesMut};
use thiserror::Error;

/// The protocol page's bound on values.
const MAX_VALUE_BYTES: usize = 64 * 1024;
/// A value is written with two digits a byte, beside its statement.
pub const MAX_MESSAGE_BYTES: usize = 2 * MAX_VALUE_BYTES + 4096;
/// Nearly every statement is shorter; buffers of that size are no burden.
pub const TYPICAL_MESSAGE_BYTES: usize = 4096;
/// Messages of a startup hold a few names.
const MAX_STARTUP_BYTES: usize = 10_000;

const PROTOCOL_3: u32 = 3 << 16;
const CANCEL: u32 = (1234 << 16) | 5678;
const SSL: u32 = (1234 << 16) | 5679;
const GSSENC: u32 = (1234 << 16) | 5680;

/// One message, header included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message(pub Bytes);

impl Message {
    /// Its type.
    pub fn tag(&self) -> u8 {
        self.0[0]
    }

    /// What follows type and length.
    pub fn body(&self) -> &[u8] {
        &self.0[5..]
    }

    /// The field of that type in an ErrorResponse.
    pub fn field(&self, kind: u8) -> Option<&[u8]> {
        self.body().split(|byte| *byte == 0).find(|field| field.first() == Some(&kind)).map(|f| &f[1..])
    }

    /// The name and value of a ParameterStatus.
    pub fn parameter(&self) -> Option<(&[u8], &[u8])> {
        let mut parts = self.body().split(|byte| *byte == 0);
        let (name, value, rest) = (parts.next()?, parts.next()?, parts.next()?);
        (rest.is_empty() && parts.next().is_none()).then_some((name, value))
    }

    /// The only column of a DataRow of one.
    pub fn column(&self) -> Option<&[u8]> {
        let body = self.body();
        let length = u32::from_be_bytes(body.get(2..6)?.try_into().ok()?) as usize;
        (body[..2] == [0, 1] && body.len() == 6 + length).then(|| &body[6..])
    }

    /// The text of a Query, without the zero at its end, behind which nothing comes.
    pub fn query(&self) -> Option<Bytes> {
        let end = self.body().iter().position(|byte| *byte == 0)?;
        (end + 1 == self.body().len()).then(|| self.0.slice(5..5 + end))
    }

    /// Whether this is a RowDescription of one column.
    pub fn describes_one(&self) -> bool {
        let Some((count, column)) = self.body().split_at_checked(2) else { return false };
        let name = column.iter().position(|byte| *byte == 0);
        // Table, column, type, its size and modifier, format.
        count == [0, 1] && name.is_some_and(|end| column.len() == end + 1 + 18)
    }

    /// The tag of a CommandComplete.
    pub fn command(&self) -> Option<&[u8]> {
        let (end, tag) = self.body().split_last()?;
        (*end == 0 && !tag.is_empty() && tag.iter().all(|b| b.is_ascii_graphic() || *b == b' '))
            .then_some(tag)
    }
}

/// Why bytes are no message of this protocol, or no message that may come here. The text is for clients and the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// A message says that it is shorter than its header, or longer than any that is taken.
    #[error("message length out of bounds")]
    MessageLength,
    /// The same of a startup message.
    #[error("startup length out of bounds")]
    StartupLength,
    /// An ErrorResponse that is not ended, or has no code of five letters and digits.
    #[error("an error without its code")]
    ErrorWithoutCode,
    /// A ParameterStatus that is no pair of name and value.
    #[error("a parameter without its value")]
    ParameterWithoutValue,
    /// A message that no answer to a simple query has, or not at this place.
    #[error("a message that answers no simple query")]
    UnexpectedMessage,
    /// An answer though nothing was asked.
    #[error("an answer to nothing")]
    UnsolicitedAnswer,
}

fn length(bytes: &[u8]) -> usize {
    u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize
}

/// The next message, once it is there whole.
pub fn take_message(inbox: &mut BytesMut) -> Result<Option<Message>, ProtocolError> {
    Ok(message_length(inbox)?.map(|length| Message(inbox.split_to(length).freeze())))
}

/// The length of the next message, once it is there whole; nothing is taken out.
pub fn message_length(inbox: &[u8]) -> Result<Option<usize>, ProtocolError> {
    if inbox.len() < 5 {
        return Ok(None);
    }
    match 1 + length(&inbox[1..5]) {
        whole @ 5..=MAX_MESSAGE_BYTES => Ok((inbox.len() >= whole).then_some(whole)),
        _ => Err(ProtocolError::MessageLength),
    }
}

/// What a client says first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Startup {
    /// Version 3 of the protocol.
    Version3,
    /// Asks for encryption, which is not spoken here; another startup follows.
    Encryption,
    /// Asks to cancel a query of another connection.
    Cancel,
    /// A version that is not spoken here.
    OtherVersion,
}

/// The next startup message, once it is there whole.
pub fn take_startup(inbox: &mut BytesMut) -> Result<Option<Startup>, ProtocolError> {
    if inbox.len() < 4 {
        return Ok(None);
    }
    let whole = length(inbox);
    if !(8..=MAX_STARTUP_BYTES).contains(&whole) {
        return Err(ProtocolError::StartupLength);
    }
    if inbox.len() < whole {
        return Ok(None);
    }
    let code = length(&inbox.split_to(whole)[4..8]) as u32;
    Ok(Some(match code {
        CANCEL => Startup::Cancel,
        SSL | GSSENC => Startup::Encryption,
        // Minor versions ask for nothing that simple queries need.
        code if code >> 16 == PROTOCOL_3 >> 16 => Startup::Version3,
        _ => Startup::OtherVersion,
    }))
}

fn framed(tag: u8, parts: &[&[u8]]) -> Bytes {
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
/// The answer to a request for encryption.
pub static ENCRYPTION_REFUSED: Bytes = Bytes::from_static(b"N");
/// The query of a health check.
pub static SHOW_HEALTH: Bytes = Bytes::from_static(b"Q\0\0\0\x10SHOW health\0");
/// Terminate.
pub static TERMINATE: Bytes = Bytes::from_static(b"X\0\0\0\x04");
/// AuthenticationOk, two parameters that drivers insist on, ReadyForQuery.
pub static AUTHENTICATION_OK: Bytes = Bytes::from_static(
    b"R\0\0\0\x08\0\0\0\0S\0\0\0\x19client_encoding\0UTF8\0S\0\0\0\x18server_version\x0016.0\0Z\0\0\0\x05I",
);
/// The startup message that a router sends to an endpoint.
pub static STARTUP: Bytes = Bytes::from_static(b"\0\0\0\x25\0\x03\0\0user\0backend\0database\0store\0\0");

/// The head of a Query whose text, with the zero at its end, has that length.
pub fn query_head(text: usize) -> [u8; 5] {
    let length = (4 + text as u32).to_be_bytes();
    [b'Q', length[0], length[1], length[2], length[3]]
}

/// The errors that clients are answered with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorCode {
    /// A rejection: nothing ran, trying again is harmless. Said only for the routing module's rejections and for
    /// connections that no descriptor is left for.
    TooMany,
    /// An abort: whether it ran is not known.
    CompletionUnknown,
    /// The client broke the protocol.
    ProtocolViolation,
    /// Of the protocol or of SQL, but not served here.
    NotSupported,
    /// A name that is not known here.
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

/// An ErrorResponse; `retry_after_ms` in milliseconds goes into the field D.
pub fn error(severity: &str, code: ErrorCode, text: &str, retry_after_ms: Option<u64>) -> Bytes {
    let detail = retry_after_ms.map_or(String::new(), |ms| format!("D{ms}\0"));
    let body = format!("S{severity}\0V{severity}\0C{}\0M{text}\0{detail}\0", code.sqlstate());
    framed(b'E', &[body.as_bytes()])
}
