//! The router's configuration: the JSON file that the environment variable `NODE_CONFIG` names.

use std::env::VarError;
use std::io;
use std::net::SocketAddr;

use ottersill_config::deployment::{DeploymentSettings, SettingsError};
use ottersill_routing::discovery_watch::MIN_OPEN_CALLS;
use serde::{Deserialize, Deserializer};
use thiserror::Error;

use crate::client::connection_limits::ConnectionLimits;
use crate::discovery::endpoint_list::EndpointList;

/// The environment variable that holds the path of the configuration file.
const PATH_VARIABLE: &str = "NODE_CONFIG";

/// Descriptors that the router needs besides its connections: three standard streams, four of the event loop, the listener, one
/// for accepting, and the least number of calls to discovery. Further calls share the descriptors of the connections.
const OWN_DESCRIPTORS: usize = 9 + MIN_OPEN_CALLS;
/// Descriptors for clients beyond the connection limit, which receive a rejection and are disconnected.
const REJECTION_DESCRIPTORS: usize = 8;
/// Minimum number of connections with which a router can serve: one to a client and one to an endpoint.
const MIN_CONNECTIONS: usize = 2;
/// Upper bound of the memory for statement fingerprints, in bytes: about eight thousand statements.
const MAX_FINGERPRINT_BYTES: usize = 4 << 20;

/// The configuration of a router.
#[derive(Deserialize)]
pub struct Config {
    /// The router's name, which stays the same across restarts.
    pub name: String,
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of the router's random choices, which differs at each start.
    #[serde(deserialize_with = "hexadecimal")]
    pub seed: u64,
    /// Resource limits of the process.
    pub limits: Limits,
    /// The endpoint list that this router last had. It may be out of date.
    #[serde(default)]
    pub known: Option<EndpointList>,
    /// The settings of the deployment.
    pub settings: DeploymentSettings,
}

/// Resource limits of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Limits {
    /// Memory limit in MiB. A process that exceeds it is killed.
    pub memory_mb: usize,
    /// Maximum number of open file descriptors.
    pub sockets: usize,
}

/// An error of the configuration. Its text is a single line for the operator.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment variable is not set, or is not valid Unicode.
    #[error("{PATH_VARIABLE}: {0}")]
    NoPath(#[source] VarError),
    /// The configuration file can't be read.
    #[error("{PATH_VARIABLE}: {path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The I/O error.
        source: io::Error,
    },
    /// The file is not valid JSON, or a field is missing or invalid.
    #[error("{PATH_VARIABLE}: {path}: {source}")]
    Malformed {
        /// The path of the file.
        path: String,
        /// The field and the reason.
        source: ParseError,
    },
    /// A resource limit is too low for a router.
    #[error("{PATH_VARIABLE}: limits.{0}")]
    Limits(#[from] LimitsError),
    /// The deployment's settings are invalid.
    #[error("{PATH_VARIABLE}: settings.{0}")]
    Settings(#[from] SettingsError),
}

/// An error of parsing a configuration: the path of the field, followed by the reason with line and column.
#[derive(Debug, Error)]
#[error("{field}: {source}")]
pub struct ParseError {
    /// The path of the field, for instance `settings.rules.cold_from`.
    pub field: String,
    /// The reason, with line and column.
    pub source: serde_json::Error,
}

/// An error of [`Limits`] that are too low.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LimitsError {
    /// Too few file descriptors.
    #[error("sockets: expected {least} at least, found {found}")]
    Sockets {
        /// The minimum that a router needs.
        least: usize,
        /// The configured number.
        found: usize,
    },
}

impl Config {
    /// Reads the configuration file that the environment variable names.
    ///
    /// # Errors
    ///
    /// [`ConfigError::NoPath`], [`ConfigError::Unreadable`] or [`ConfigError::Malformed`].
    pub fn load() -> Result<Config, ConfigError> {
        let path = std::env::var(PATH_VARIABLE).map_err(ConfigError::NoPath)?;
        match std::fs::read(&path) {
            Err(source) => Err(ConfigError::Unreadable { path, source }),
            Ok(json) => Config::parse(&json).map_err(|source| ConfigError::Malformed { path, source }),
        }
    }

    /// Parses a configuration.
    ///
    /// # Errors
    ///
    /// [`ParseError`] for the first field that is missing or invalid.
    pub fn parse(json: &[u8]) -> Result<Config, ParseError> {
        let mut json = serde_json::Deserializer::from_slice(json);
        serde_path_to_error::deserialize(&mut json).map_err(|error| {
            let field = error.path().to_string();
            ParseError { field, source: error.into_inner() }
        })
    }

    /// The fields in which `other` differs and that can't be changed by a reload.
    pub fn restart_required(&self, other: &Config) -> Vec<&'static str> {
        let fields = [
            ("name", self.name != other.name),
            ("listen", self.listen != other.listen),
            ("limits", self.limits != other.limits),
            ("settings", self.settings != other.settings),
        ];
        fields.into_iter().filter(|(_, differs)| *differs).map(|(field, _)| field).collect()
    }
}

impl Limits {
    /// Divides descriptors and memory among clients, endpoints and statements.
    ///
    /// Each client may have one attempt in flight, so clients get at most half of the connections, and endpoints the remainder.
    /// According to the operators' service page, clients keep connections open on a third of the descriptors for requests, so
    /// there must still be room for more once a quarter is in use. A quarter of the memory is for statements; answers on both
    /// sides and the program itself get the rest.
    ///
    /// # Errors
    ///
    /// [`LimitsError::Sockets`] if there are too few descriptors to serve a client.
    pub fn connection_limits(&self) -> Result<ConnectionLimits, LimitsError> {
        let reserved = OWN_DESCRIPTORS + REJECTION_DESCRIPTORS;
        let connections = self.sockets.saturating_sub(reserved);
        if connections < MIN_CONNECTIONS {
            return Err(LimitsError::Sockets { least: reserved + MIN_CONNECTIONS, found: self.sockets });
        }
        let memory_bytes = self.memory_mb << 20;
        Ok(ConnectionLimits {
            total: connections,
            clients: connections / 2,
            established_clients: self.sockets / 4,
            rejected_clients: REJECTION_DESCRIPTORS,
            statement_bytes: memory_bytes / 4,
            fingerprint_bytes: (memory_bytes / 64).min(MAX_FINGERPRINT_BYTES),
        })
    }
}

/// Deserializes a string of hexadecimal digits.
fn hexadecimal<'de, D: Deserializer<'de>>(json: D) -> Result<u64, D::Error> {
    let text = String::deserialize(json)?;
    u64::from_str_radix(&text, 16)
        .map_err(|_| serde::de::Error::custom(format!("expected a hexadecimal number, found {text:?}")))
}
