//! Why a router ends with an error.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use crate::fleet_link::error::FleetLinkError;
use crate::lifecycle::config::ConfigError;

/// Why a router does not start, or does not go on. Its text is one line for the operator.
#[derive(Debug)]
pub enum RunError {
    /// The configuration is not taken.
    Config(ConfigError),
    /// The link to the fleet can't be set up.
    Fleet(FleetLinkError),
    /// The event loop failed.
    EventLoop(calloop::Error),
    /// The signals can't be had.
    Signals(calloop::Error),
    /// The address for clients can't be had.
    Listen {
        /// As configured.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RunError::Config(error) => error.fmt(f),
            RunError::Fleet(error) => error.fmt(f),
            RunError::EventLoop(error) => write!(f, "event loop: {error}"),
            RunError::Signals(error) => write!(f, "signals: {error}"),
            RunError::Listen { address, source } => write!(f, "listen on {address}: {source}"),
        }
    }
}

impl std::error::Error for RunError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            RunError::Config(error) => Some(error),
            RunError::Fleet(error) => Some(error),
            RunError::EventLoop(error) | RunError::Signals(error) => Some(error),
            RunError::Listen { source, .. } => Some(source),
        }
    }
}

impl From<ConfigError> for RunError {
    fn from(error: ConfigError) -> RunError {
        RunError::Config(error)
    }
}
