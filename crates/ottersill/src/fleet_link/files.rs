//! Reads the fleet file and its key file.

use std::os::unix::fs::PermissionsExt;

use ottersill_config::fleet::FleetFile;

use crate::fleet_link::error::{FleetLinkError, MIN_KEY_BYTES};

/// Reads the fleet file at `path` for the member `name`. `longest_statement_timeout` is in seconds.
///
/// # Errors
/// If the file can't be read, or a field in it is invalid.
pub fn read(path: &str, name: &str, longest_statement_timeout: f64) -> Result<FleetFile, FleetLinkError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| FleetLinkError::Unreadable { path: path.to_string(), source })?;
    FleetFile::from_textproto(&text, name, longest_statement_timeout)
        .map_err(|source| FleetLinkError::Invalid { path: path.to_string(), source })
}

/// Reads the secret with which members authenticate. Anyone who knows the secret can act as a member, so a file that users
/// other than its owner may access is rejected.
///
/// # Errors
/// If the file can't be read, is accessible to users other than its owner, or holds too short a secret.
pub fn secret(path: &str) -> Result<Vec<u8>, FleetLinkError> {
    let unreadable = |source| FleetLinkError::KeyFile { path: path.to_string(), source };
    let mode = std::fs::metadata(path).map_err(unreadable)?.permissions().mode() & 0o777;
    if mode & 0o077 != 0 {
        return Err(FleetLinkError::KeyFileNotPrivate { path: path.to_string(), mode });
    }
    let secret = std::fs::read(path).map_err(unreadable)?;
    if secret.len() < MIN_KEY_BYTES {
        return Err(FleetLinkError::KeyTooShort { path: path.to_string(), found: secret.len() });
    }
    Ok(secret)
}
