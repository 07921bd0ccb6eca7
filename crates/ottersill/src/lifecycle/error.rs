//! Why a router ends with an error.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

use crate::fleet_link::error::FleetLinkError;
use crate::lifecycle::config::ConfigError;

/// Why a router does not start, or does not go on. Its text is one line for the operator.
#[derive(Debug, Error)]
pub enum RunError {
    /// The configuration is not taken.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The link to the fleet can't be set up.
    #[error(transparent)]
    Fleet(FleetLinkError),
    /// The event loop failed.
    #[error("event loop: {0}")]
    EventLoop(#[source] calloop::Error),
    /// The signals can't be had.
    #[error("signals: {0}")]
    Signals(#[source] calloop::Error),
    /// The address for clients can't be had.
    #[error("listen on {address}: {source}")]
    Listen {
        /// As configured.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
}
