//! What can be wrong with an event, a batch or the streams.

use std::io;
use std::str::Utf8Error;

use ottersill_config::deployment::SettingsError;
use thiserror::Error;

/// Why the adapter ends.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Standard input can't be read.
    #[error("standard input: {0}")]
    Input(#[source] io::Error),
    /// Standard output can't be written.
    #[error("standard output: {0}")]
    Output(#[source] io::Error),
    /// A line is not UTF-8.
    #[error("line {number}: expected UTF-8: {source}")]
    NotUtf8 {
        /// The line, from 1.
        number: usize,
        /// Where the line stops being UTF-8.
        source: Utf8Error,
    },
    /// A line is not a valid batch.
    #[error("line {number}: {source}")]
    Batch {
        /// The line, from 1.
        number: usize,
        /// Where the line is wrong, and why.
        source: Box<BatchError>,
    },
}

/// Why a line is not a valid batch.
#[derive(Debug, Error)]
pub enum BatchError {
    /// The line is not JSON of the form that the wire defines.
    #[error("field {field}: {source}")]
    Malformed {
        /// The path of the field, for instance `parts[0].in[2].demand`.
        field: String,
        /// What is wrong, with its column.
        source: serde_json::Error,
    },
    /// An event is well-formed and can't be carried out.
    #[error("field {field}: {source} at line {line} column {column}")]
    Rejected {
        /// The path of the event.
        field: String,
        /// The line within the batch, from 1.
        line: usize,
        /// The column within that line, from 1.
        column: usize,
        /// Why.
        source: EventError,
    },
    /// The line was rejected once and accepted when it was read again, which is a fault of the adapter.
    #[error("not a batch")]
    Inconsistent,
}

/// Why a well-formed event can't be carried out.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EventError {
    /// The settings of a new instance are rejected.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The settings have no such workload.
    #[error("priority: no workload {0:?}")]
    UnknownWorkload(String),
    /// The settings have no such tenant.
    #[error("owner: no tenant {0:?}")]
    UnknownTenant(String),
    /// No list has named the endpoint.
    #[error("host: no list has named {0:?}")]
    UnknownEndpoint(String),
    /// The outcome of an attempt or of a health check is none that the wire defines.
    #[error("result: expected an outcome, found {0:?}")]
    UnknownOutcome(String),
    /// The state of a list entry is none that the wire defines.
    #[error("state: expected 0, 2 or 3, found {0}")]
    UnknownState(u8),
    /// The kind of a list change is none that the wire defines.
    #[error("expected a kind of 0 to 3")]
    UnknownChangeKind,
    /// A list change names no list.
    #[error("missing field `list`")]
    NoList,
    /// A list change names a list that was not declared.
    #[error("expected the number of a list that was declared")]
    UndeclaredList,
}
