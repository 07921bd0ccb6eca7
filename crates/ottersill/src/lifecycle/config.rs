//! The router's configuration: the JSON file that the environment variable `NODE_CONFIG` names.

use std::env::VarError;
use std::io;
use std::net::SocketAddr;

use ottersill_config::deployment::{DeploymentSettings, SettingsError};
use serde::{Deserialize, Deserializer};
use thiserror::Error;

use crate::client::connection_limits::ConnectionLimits;
use crate::discovery::endpoint_list::EndpointList;

/// The environment variable with the path of the file.
const PATH_VARIABLE: &str = "NODE_CONFIG";

/// Descriptors that are not connections: three standard streams, four of the event loop, the listener, two of discovery
/// (one of which may be unresponsive) and one to accept with.
const OWN_DESCRIPTORS: usize = 11;
/// Descriptors for clients that are only told that there is no room; each leaves with that answer.
const SPARE_DESCRIPTORS: usize = 8;
/// The fewest connections with which a router can serve: one client and one endpoint.
const MIN_CONNECTIONS: usize = 2;
/// Bytes for statement fingerprints where memory is plentiful: some eight thousand statements.
const MAX_FINGERPRINT_BYTES: usize = 4 << 20;

/// The configuration of one router, as parsed.
#[derive(Deserialize)]
pub struct Config {
    /// The router's name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// The seed of the router's random choices; new with each start.
    #[serde(deserialize_with = "hexadecimal")]
    pub seed: u64,
    /// Resource limits of the process.
    pub limits: Limits,
    /// The endpoints as this router last had them; may be old.
    #[serde(default)]
    pub known: Option<EndpointList>,
    /// The settings of the deployment.
    pub settings: DeploymentSettings,
}

/// Resource limits of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Limits {
    /// Memory in MiB, above which the process is killed.
    pub memory_mb: usize,
    /// File descriptors that it may hold.
    pub sockets: usize,
}

/// Why a configuration is not taken. The text is one line for the operator.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment names no file.
    #[error("{PATH_VARIABLE}: {0}")]
    NoPath(#[source] VarError),
    /// The file can't be read.
    #[error("{PATH_VARIABLE}: {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// The file is not JSON of the expected form.
    #[error("{PATH_VARIABLE}: {path}: {source}")]
    Malformed {
        /// The file.
        path: String,
        /// The field and the reason.
        source: ParseError,
    },
    /// A limit is too low for a router.
    #[error("{PATH_VARIABLE}: limits.{0}")]
    Limits(#[from] LimitsError),
    /// The settings are rejected.
    #[error("{PATH_VARIABLE}: settings.{0}")]
    Settings(#[from] SettingsError),
}

/// Why a text is not a configuration: the path of the field, then the reason with line and column.
#[derive(Debug, Error)]
#[error("{field}: {source}")]
pub struct ParseError {
    /// The path of the field, for instance `settings.rules.cold_from`.
    pub field: String,
    /// The reason, with line and column.
    pub source: serde_json::Error,
}

/// Why [`Limits`] are too low.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LimitsError {
    /// Too few file descriptors.
    #[error("sockets: expected {least} at least, found {found}")]
    Sockets {
        /// The fewest that a router needs.
        least: usize,
        /// Those that there are.
        found: usize,
    },
}

impl Config {
    /// Reads the file that the environment names.
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
    /// [`ParseError`] for the first field that is missing or wrong.
    pub fn parse(json: &[u8]) -> Result<Config, ParseError> {
        let mut json = serde_json::Deserializer::from_slice(json);
        serde_path_to_error::deserialize(&mut json).map_err(|error| {
            let field = error.path().to_string();
            ParseError { field, source: error.into_inner() }
        })
    }

    /// The fields in which `other` differs that a reload can't take over.
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
    /// How descriptors and memory are divided.
    ///
    /// Every client may have one attempt in flight, so clients get half of the connections at most, and connections to
    /// endpoints what clients leave. Clients keep a third of the descriptors open for requests, as the operators' service
    /// page has it, so from a quarter on there must be room for more. A quarter of the memory is for statements; answers
    /// on both sides and the program itself get the rest.
    ///
    /// # Errors
    ///
    /// [`LimitsError::Sockets`] if there are too few descriptors to serve a client.
    pub fn connection_limits(&self) -> Result<ConnectionLimits, LimitsError> {
        let reserved = OWN_DESCRIPTORS + SPARE_DESCRIPTORS;
        let connections = self.sockets.saturating_sub(reserved);
        if connections < MIN_CONNECTIONS {
            return Err(LimitsError::Sockets { least: reserved + MIN_CONNECTIONS, found: self.sockets });
        }
        let memory_bytes = self.memory_mb << 20;
        Ok(ConnectionLimits {
            total: connections,
            clients: connections / 2,
            established_clients: self.sockets / 4,
            rejected_clients: SPARE_DESCRIPTORS,
            statement_bytes: memory_bytes / 4,
            fingerprint_bytes: (memory_bytes / 64).min(MAX_FINGERPRINT_BYTES),
        })
    }
}

fn hexadecimal<'de, D: Deserializer<'de>>(json: D) -> Result<u64, D::Error> {
    let text = String::deserialize(json)?;
    u64::from_str_radix(&text, 16)
        .map_err(|_| serde::de::Error::custom(format!("expected a hexadecimal number, found {text:?}")))
}
