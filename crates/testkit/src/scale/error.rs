//! Errors of a measurement.

use std::io;

use crate::cluster::ClusterError;

/// Reason why a measurement fails.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// The stand-in store or its discovery could not listen.
    #[error("the stand-in store cannot listen: {0}")]
    Store(#[source] io::Error),
    /// The router's files could not be written, or it could not be started.
    #[error(transparent)]
    Router(#[from] ClusterError),
    /// The resource usage of the router's process could not be read from `/proc`.
    #[error("cannot read the resource usage of the router's process: {0}")]
    Process(#[source] io::Error),
    /// The example configuration lacks a setting that has to be replaced.
    #[error("the example configuration does not contain {0}")]
    MissingSetting(&'static str),
    /// The router did not answer clients in time.
    #[error("the router did not answer clients within the timeout")]
    NotReady,
    /// The router did not write its counters in time, or a counter is missing.
    #[error("the router's log does not contain {0:?}")]
    MissingCounter(&'static str),
}
