//! Errors of the commands.

use std::io;
use std::path::PathBuf;

use crate::cluster::ClusterError;
use crate::cluster::fault_schedule::ScriptError;
use crate::flood::FloodError;
use crate::scale::ScaleError;

/// Reason why a command fails.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A file named on the command line could not be read.
    #[error("{path}: {source}", path = path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The fault script could not be parsed.
    #[error("{path}: {source}", path = path.display())]
    Script {
        /// Path of the script.
        path: PathBuf,
        /// Parse error with the number of the line.
        source: ScriptError,
    },
    /// Input, output or a connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A cluster could not be set up or could not continue.
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    /// Routers did not answer clients in time.
    #[error("not all routers answered clients within the timeout")]
    NotReady,
    /// A thread that ran schedules panicked.
    #[error("a schedule's thread panicked")]
    Panicked,
    /// No schedule was run: each was skipped because routers did not answer clients in time.
    #[error("no schedule was run")]
    NoScheduleRun,
    /// The audit found invariant violations.
    #[error("{0} invariant violations")]
    InvariantViolations(usize),
    /// A measurement of a deployment failed.
    #[error(transparent)]
    Scale(#[from] ScaleError),
    /// A measurement of a flood failed.
    #[error(transparent)]
    Flood(#[from] FloodError),
    /// The measurements of the large deployment exceed their bounds.
    #[error("{0} rows are not within their bounds")]
    BoundsExceeded(usize),
}
