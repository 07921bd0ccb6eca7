//! What can go wrong with a cluster, beside the faults that it brings about.

use std::io;
use std::path::PathBuf;

/// Why a cluster can't be set up, or can't go on.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// The stand-in store or its discovery could not listen.
    #[error("the stand-in store can't listen: {0}")]
    Store(#[source] io::Error),
    /// A proxy could not listen.
    #[error("a proxy can't listen: {0}")]
    Proxy(#[source] io::Error),
    /// A file of the cluster could not be read or written.
    #[error("{path}: {source}", path = path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A router could not be started.
    #[error("{program}: {source}", program = program.display())]
    Start {
        /// The built router.
        program: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A line of an audit file could not be read.
    #[error("{path}: {reason}", path = path.display())]
    AuditFile {
        /// The file.
        path: PathBuf,
        /// What is wrong, with the line.
        reason: String,
    },
}

impl ClusterError {
    /// For `map_err` on what a file is read or written with.
    pub(crate) fn file(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> ClusterError {
        let path = path.into();
        |source| ClusterError::File { path, source }
    }
}
