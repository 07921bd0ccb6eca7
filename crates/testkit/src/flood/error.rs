//! Errors of a flood measurement.

use std::io;

use crate::cluster::ClusterError;

/// Reason why a measurement fails.
#[derive(Debug, thiserror::Error)]
pub enum FloodError {
    /// The stand-in store or its discovery could not listen.
    #[error("the stand-in store cannot listen: {0}")]
    Store(#[source] io::Error),
    /// The router's files could not be written, or it could not be started.
    #[error(transparent)]
    Router(#[from] ClusterError),
    /// The processor of a thread could not be set, as when the machine has too few cores.
    #[error("cannot place threads on cores: {0}")]
    Affinity(#[source] io::Error),
    /// The resource usage of a router's process could not be read, as it has exited.
    #[error("cannot read the resource usage of a router's process: {0}")]
    Process(#[source] io::Error),
    /// The router did not answer clients in time.
    #[error("a router did not answer clients within the timeout")]
    NotReady,
}
