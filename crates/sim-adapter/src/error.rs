//! The errors of events, batches and streams.

use std::io;
use std::str::Utf8Error;

use ottersill_config::deployment::SettingsError;
use thiserror::Error;

/// The reason why the adapter exits with an error.
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
        /// The line, counted from 1.
        number: usize,
        /// The position of the first invalid byte.
        source: Utf8Error,
    },
    /// A line is not a valid batch.
    #[error("line {number}: {source}")]
    Batch {
        /// The line, counted from 1.
        number: usize,
        /// The position of the error and the reason.
        source: Box<BatchError>,
    },
}

/// The reason why a line is not a valid batch.
#[derive(Debug, Error)]
pub enum BatchError {
    /// The line is not JSON of the form that the wire requires.
    #[error("field {field}: {source}")]
    Malformed {
        /// The path of the field, for instance `parts[0].in[2].demand`.
        field: String,
        /// The reason, with the column.
        source: serde_json::Error,
    },
    /// An event is well-formed, but can't be processed.
    #[error("field {field}: {source} at line {line} column {column}")]
    Rejected {
        /// The path of the event.
        field: String,
        /// The line within the batch, counted from 1.
        line: usize,
        /// The column within that line, counted from 1.
        column: usize,
        /// The reason.
        source: EventError,
    },
    /// The line was rejected, but accepted when it was read again to locate the error. This is a bug in the adapter.
    #[error("the line was rejected, but accepted when it was read again: this is a bug in the adapter")]
    Inconsistent,
}

/// The reason why a well-formed event can't be processed.
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
    /// The endpoint has not been in any endpoint list.
    #[error("host: no endpoint list has contained {0:?}")]
    UnknownEndpoint(String),
    /// The outcome of an attempt or of a health check is not one that the wire defines.
    #[error("result: expected an outcome, found {0:?}")]
    UnknownOutcome(String),
    /// The state of a list entry is not one that the wire defines.
    #[error("state: expected 0, 2 or 3, found {0}")]
    UnknownState(u8),
    /// The kind of a list change is not one that the wire defines.
    #[error("expected a kind of 0 to 3")]
    UnknownChangeKind,
    /// A list change refers to no list.
    #[error("missing field `list`")]
    NoList,
    /// A list change refers to a list that was not declared.
    #[error("expected the number of a declared list")]
    UndeclaredList,
}
