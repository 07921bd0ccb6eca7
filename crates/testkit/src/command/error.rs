//! Why a command ends with an error.

use std::io;
use std::path::PathBuf;

use crate::cluster::ClusterError;
use crate::cluster::fault_schedule::ScriptError;
use crate::scale::ScaleError;

/// Why a command ends with an error.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A file named on the command line could not be read.
    #[error("{path}: {source}", path = path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The script of faults could not be read.
    #[error("{path}: {source}", path = path.display())]
    Script {
        /// The script.
        path: PathBuf,
        /// What is wrong, with the line.
        source: ScriptError,
    },
    /// Input, output or a connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A cluster could not be set up, or could not go on.
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    /// Routers did not answer clients in time.
    #[error("not all routers came up")]
    NotReady,
    /// A thread that played schedules panicked.
    #[error("a schedule's thread panicked")]
    Panicked,
    /// In every schedule routers did not come up.
    #[error("no schedule was played")]
    NothingPlayed,
    /// The audit found rules broken.
    #[error("{0} faults")]
    RulesBroken(usize),
    /// A run of a deployment has no result.
    #[error(transparent)]
    Scale(#[from] ScaleError),
    /// The router needs more in the large deployment than it may.
    #[error("{0} rows are not within their bounds")]
    BoundsExceeded(usize),
}
