//! Why the link to the fleet can't be set up, or its file not be taken over.

use std::io;
use std::net::SocketAddr;

use ottersill_config::fleet::FleetConfigError;
use thiserror::Error;

/// The shortest secret that members prove themselves with, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// What is wrong, and where. Its text is one line for the operator.
#[derive(Debug, Error)]
pub enum FleetLinkError {
    /// The fleet's file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The fleet's file.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// A field of the fleet's file is wrong.
    #[error("{path}: {source}")]
    Invalid {
        /// The fleet's file.
        path: String,
        /// Which field, and what is wrong with it.
        source: FleetConfigError,
    },
    /// The audit file can't be opened.
    #[error("{path}: audit_file: {audit_file}: {source}")]
    AuditFile {
        /// The fleet's file.
        path: String,
        /// As named there.
        audit_file: String,
        /// What the system says.
        source: io::Error,
    },
    /// The file with the secret can't be read.
    #[error("key_file: {path}: {source}")]
    KeyFile {
        /// The file with the secret.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// Others than the owner may use the file with the secret: who has read it is a member.
    #[error("key_file: {path}: others than its owner may use it ({mode:o}); chmod 600")]
    KeyFileNotPrivate {
        /// The file with the secret.
        path: String,
        /// Its permissions.
        mode: u32,
    },
    /// The secret is too short.
    #[error("key_file: {path}: expected {MIN_KEY_BYTES} bytes at least, found {found}")]
    KeyTooShort {
        /// The file with the secret.
        path: String,
        /// Its length in bytes.
        found: usize,
    },
    /// A field differs that a reload can't take over.
    #[error("{path}: {field}: differs, and is alike at all members as long as any runs")]
    RestartRequired {
        /// The fleet's file.
        path: String,
        /// The first such field.
        field: String,
    },
    /// The address for operators can't be had.
    #[error("control: listen on {address}: {source}")]
    ControlListener {
        /// As configured.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
}
