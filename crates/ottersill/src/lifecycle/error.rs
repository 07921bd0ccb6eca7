//! Errors that end a router.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

use crate::fleet_link::error::FleetLinkError;
use crate::lifecycle::config::ConfigError;

/// An error with which a router fails to start or stops running. Its text is a single line for the operator.
#[derive(Debug, Error)]
pub enum RunError {
    /// The configuration is rejected.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The link to the fleet can't be set up.
    #[error(transparent)]
    Fleet(FleetLinkError),
    /// The event loop failed.
    #[error("event loop: {0}")]
    EventLoop(#[source] calloop::Error),
    /// The signal handlers can't be installed.
    #[error("signals: {0}")]
    Signals(#[source] calloop::Error),
    /// The address for clients can't be bound.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
}
