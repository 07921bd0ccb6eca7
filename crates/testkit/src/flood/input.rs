//! What flooding clients send.

use std::sync::atomic::{AtomicU64, Ordering};

use clap::ValueEnum;

use crate::stand_in::message;
use crate::stand_in::pg_messages::{LENGTH_BYTES, length_field};

/// Bytes per write of a client that sends a stream of messages.
const BATCH_BYTES: usize = 16 * 1024;
/// Length of a statement that is long but allowed.
const LONG_STATEMENT_BYTES: usize = 100_000;
/// Length of the statement of which half is sent.
const HALF_SENT_STATEMENT_BYTES: usize = 60_000;
/// Number of fields in a startup message of very many short fields; it fits into the limit on its length.
const SHORT_FIELDS: usize = 2_400;
/// Codes that public specifications of the protocol assign to requests in place of a startup message.
const SSL_REQUEST: u32 = (1234 << 16) | 5679;
const GSSENC_REQUEST: u32 = (1234 << 16) | 5680;
const CANCEL_REQUEST: u32 = (1234 << 16) | 5678;
const VERSION_3: u32 = 3 << 16;

/// One kind of input.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum FloodInput {
    /// Requests for TLS, in a stream.
    TlsRequests,
    /// Requests for GSSAPI encryption, in a stream.
    GssRequests,
    /// Empty queries.
    EmptyQueries,
    /// Queries that consist of a semicolon.
    SemicolonQueries,
    /// `DISCARD ALL`.
    DiscardAll,
    /// `SET` with ever new names.
    SetNames,
    /// Statements that do not parse, ever new.
    Unparsable,
    /// Statements without the comment that the service requires.
    WithoutComment,
    /// Long statements that do not parse, ever new.
    LongUnparsable,
    /// Reads that usual clients could send, pipelined.
    Reads,
    /// Reads that all have the same id, pipelined.
    ReusedIds,
    /// A single byte per write: empty queries that arrive in pieces.
    SingleBytes,
    /// One request for TLS on each connection.
    TlsConnections,
    /// One startup message on each connection, with an ever new user.
    NewUsers,
    /// One request to cancel on each connection.
    CancelConnections,
    /// One startup message of very many short fields on each connection.
    ShortFields,
    /// One message of invalid length on each connection.
    InvalidConnections,
    /// Connections that are closed at once.
    EmptyConnections,
    /// Connections with pipelined reads that are closed without waiting for answers.
    LeavingReaders,
    /// Connections that send half of a long statement and stay.
    HalfStatements,
}

impl FloodInput {
    /// Returns the inputs of a run in which none is named: all of them.
    pub fn all() -> &'static [FloodInput] {
        FloodInput::value_variants()
    }

    /// Returns the name on the command line.
    pub fn name(self) -> String {
        self.to_possible_value().map_or(String::new(), |value| value.get_name().to_string())
    }

    /// Whether a client sends a stream on one connection; otherwise it sends one batch on each of many connections in a row.
    pub(super) fn is_stream(self) -> bool {
        use FloodInput::{
            CancelConnections, EmptyConnections, HalfStatements, InvalidConnections, LeavingReaders,
            NewUsers, ShortFields, TlsConnections,
        };
        !matches!(
            self,
            TlsConnections
                | NewUsers
                | CancelConnections
                | ShortFields
                | InvalidConnections
                | EmptyConnections
                | LeavingReaders
                | HalfStatements
        )
    }

    /// Whether a client reads until the router closes the connection, before it opens the next.
    pub(super) fn awaits_close(self) -> bool {
        !matches!(
            self,
            FloodInput::EmptyConnections | FloodInput::LeavingReaders | FloodInput::TlsConnections
        )
    }

    /// Returns what is sent first on a connection, before the batches.
    pub fn preamble(self) -> Vec<u8> {
        use FloodInput::{
            CancelConnections, EmptyConnections, GssRequests, NewUsers, ShortFields, TlsConnections,
            TlsRequests,
        };
        match self {
            TlsRequests | GssRequests | TlsConnections | NewUsers | CancelConnections | ShortFields
            | EmptyConnections => Vec::new(),
            _ => startup(VERSION_3, b"user\0backend\0database\0store\0\0"),
        }
    }

    /// Returns the next batch to send.
    pub fn batch(self) -> Vec<u8> {
        match self {
            FloodInput::TlsRequests => startup(SSL_REQUEST, b"").repeat(BATCH_BYTES / 8),
            FloodInput::GssRequests => startup(GSSENC_REQUEST, b"").repeat(BATCH_BYTES / 8),
            FloodInput::EmptyQueries => query("").repeat(BATCH_BYTES / 6),
            FloodInput::SemicolonQueries => query(";").repeat(BATCH_BYTES / 7),
            FloodInput::SingleBytes => query(""),
            FloodInput::LongUnparsable => {
                query(&format!("FROM {} '{}'", number(), "x".repeat(LONG_STATEMENT_BYTES)))
            }
            FloodInput::TlsConnections => startup(SSL_REQUEST, b""),
            FloodInput::CancelConnections => startup(CANCEL_REQUEST, &[0; 8]),
            FloodInput::NewUsers => {
                let mut body = startup(VERSION_3, format!("user\0u{}\0\0", number()).as_bytes());
                body.extend(message(b'X', b""));
                body
            }
            FloodInput::ShortFields => {
                startup(VERSION_3, &[b"a\0b\0".repeat(SHORT_FIELDS / 2), b"\0".to_vec()].concat())
            }
            FloodInput::InvalidConnections => b"Q\xff\xff\xff\xff".to_vec(),
            FloodInput::EmptyConnections => Vec::new(),
            FloodInput::HalfStatements => half_statement(),
            _ => self.statements(),
        }
    }

    /// Returns a batch of different short statements.
    fn statements(self) -> Vec<u8> {
        let mut batch = Vec::new();
        while batch.len() < BATCH_BYTES {
            let number = number();
            batch.extend(query(&match self {
                FloodInput::DiscardAll => comment("DISCARD ALL", number),
                FloodInput::SetNames => comment(&format!("SET name{number} = 1"), number),
                FloodInput::Unparsable => comment(&format!("FROM {number} WHERE WHERE"), number),
                FloodInput::WithoutComment => format!("SELECT {number}"),
                FloodInput::ReusedIds => comment("SELECT content FROM kv WHERE name = 'k1'", 1),
                _ => comment("SELECT content FROM kv WHERE name = 'k1'", number),
            }));
        }
        batch
    }
}

/// Returns the first half of a long statement.
pub(super) fn half_statement() -> Vec<u8> {
    let mut statement = query(&"x".repeat(HALF_SENT_STATEMENT_BYTES));
    statement.truncate(HALF_SENT_STATEMENT_BYTES / 2);
    statement
}

/// Returns a number that no other call returns.
fn number() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

fn comment(statement: &str, id: u64) -> String {
    format!("{statement} /* id=f{id:x},c=get,d=500,cluster=1 */")
}

fn query(text: &str) -> Vec<u8> {
    message(b'Q', format!("{text}\0").as_bytes())
}

fn startup(code: u32, body: &[u8]) -> Vec<u8> {
    let mut out = length_field(2 * LENGTH_BYTES + body.len()).to_vec();
    out.extend(code.to_be_bytes());
    out.extend(body);
    out
}
