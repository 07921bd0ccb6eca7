//! Errors of the cluster harness, other than the faults that it injects.

use std::io;
use std::path::PathBuf;

/// Reason why a cluster cannot be set up or cannot continue.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// The stand-in store or its discovery could not listen.
    #[error("the stand-in store cannot listen: {0}")]
    Store(#[source] io::Error),
    /// A proxy could not listen.
    #[error("a proxy cannot listen: {0}")]
    Proxy(#[source] io::Error),
    /// A file of the cluster could not be read or written.
    #[error("{path}: {source}", path = path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A router could not be started.
    #[error("{program}: {source}", program = program.display())]
    Start {
        /// The router executable.
        program: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A line of an audit file could not be parsed.
    #[error("{path}: {reason}", path = path.display())]
    AuditFile {
        /// Path of the file.
        path: PathBuf,
        /// Parse error and the text of the line.
        reason: String,
    },
}

impl ClusterError {
    /// Returns a closure for `map_err` on the result of reading or writing a file.
    pub(crate) fn file(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> ClusterError {
        let path = path.into();
        |source| ClusterError::File { path, source }
    }
}
