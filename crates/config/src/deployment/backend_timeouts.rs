//! Timeouts of connections to endpoints.

use super::{DeploymentSettings, SettingsError, seconds};

/// Grace period of a draining endpoint in milliseconds, used if the settings have no `drain_grace_ms`.
const DEFAULT_DRAIN_GRACE_MS: f64 = 250.0;

/// Timeouts of connections to endpoints, in seconds. They are needed only if the router uses sockets.
#[derive(Clone, Copy, Debug)]
pub struct BackendTimeouts {
    /// A connection that is not established within this time is treated as failed.
    pub connect: f64,
    /// An endpoint closes a connection that has been idle for this long.
    pub idle: f64,
    /// After a drain becomes known, the endpoint may still be sent new requests for this long.
    pub drain_grace: f64,
}

impl DeploymentSettings {
    /// Returns the timeouts of connections to endpoints.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::MissingField`] if the settings have no `connect_timeout_ms` or `keepalive_ms`.
    pub fn backend_timeouts(&self) -> Result<BackendTimeouts, SettingsError> {
        let limits = &self.policy_limits;
        Ok(BackendTimeouts {
            connect: required_limit_seconds("connect_timeout_ms", limits.connect_timeout_ms)?,
            idle: required_limit_seconds("keepalive_ms", limits.keepalive_ms)?,
            drain_grace: seconds(self.rules.drain_grace_ms.unwrap_or(DEFAULT_DRAIN_GRACE_MS)),
        })
    }
}

/// Converts a time of `policy_limits` to seconds. The schema has it as optional, but it is required here.
fn required_limit_seconds(field: &'static str, milliseconds: Option<f64>) -> Result<f64, SettingsError> {
    let missing = SettingsError::MissingField { section: "policy_limits", field };
    milliseconds.map(seconds).ok_or(missing)
}
