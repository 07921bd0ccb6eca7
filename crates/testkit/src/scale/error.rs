//! What can go wrong with a run.

use std::io;

use crate::cluster::ClusterError;

/// Why a run has no result.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// The stand-in store or its discovery could not listen.
    #[error("the stand-in store can't listen: {0}")]
    Store(#[source] io::Error),
    /// The router's files could not be written, or it could not be started.
    #[error(transparent)]
    Router(#[from] ClusterError),
    /// What the kernel tells of the router's process could not be read.
    #[error("the router's process: {0}")]
    Process(#[source] io::Error),
    /// The settings of the example lack one that is replaced.
    #[error("the example's settings have no {0}")]
    NoSetting(&'static str),
    /// The router did not answer clients in time.
    #[error("the router did not come up")]
    NotReady,
    /// The router did not write its counters in time, or not all of them.
    #[error("the router's log has no counter {0}")]
    NoCounter(&'static str),
}
