//! Errors of setting up the link to the fleet, and of reloading the fleet file.

use std::io;
use std::net::SocketAddr;

use ottersill_config::fleet::FleetConfigError;
use thiserror::Error;

/// Minimum length, in bytes, of the secret with which members authenticate.
pub const MIN_KEY_BYTES: usize = 16;

/// An error of the fleet link. Its text is a single line that names the file or setting.
#[derive(Debug, Error)]
pub enum FleetLinkError {
    /// The fleet file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The path of the fleet file.
        path: String,
        /// The I/O error.
        source: io::Error,
    },
    /// A field of the fleet file is invalid.
    #[error("{path}: {source}")]
    Invalid {
        /// The path of the fleet file.
        path: String,
        /// The field and the reason.
        source: FleetConfigError,
    },
    /// The audit file can't be opened.
    #[error("{path}: audit_file: {audit_file}: {source}")]
    AuditFile {
        /// The path of the fleet file.
        path: String,
        /// The audit file, as the fleet file names it.
        audit_file: String,
        /// The I/O error.
        source: io::Error,
    },
    /// The key file can't be read.
    #[error("key_file: {path}: {source}")]
    KeyFile {
        /// The path of the key file.
        path: String,
        /// The I/O error.
        source: io::Error,
    },
    /// The key file is accessible to users other than its owner, any of whom could then act as a member.
    #[error("key_file: {path}: others than its owner may use it ({mode:o}); chmod 600")]
    KeyFileNotPrivate {
        /// The path of the key file.
        path: String,
        /// The permission bits of the file.
        mode: u32,
    },
    /// The secret in the key file is too short.
    #[error("key_file: {path}: expected {MIN_KEY_BYTES} bytes at least, found {found}")]
    KeyTooShort {
        /// The path of the key file.
        path: String,
        /// The length of the secret in bytes.
        found: usize,
    },
    /// The fleet file has a change that can't be applied by a reload.
    #[error("{path}: {field}: has changed, but must stay the same at all members while any of them runs")]
    RestartRequired {
        /// The path of the fleet file.
        path: String,
        /// The first field that can't be changed by a reload.
        field: String,
    },
    /// The control listener can't be opened.
    #[error("control: listen on {address}: {source}")]
    ControlListener {
        /// The configured address.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
}
