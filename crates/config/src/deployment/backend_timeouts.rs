//! Times of connections to endpoints.

use super::{DeploymentSettings, SettingsError, seconds};

/// The grace of a draining endpoint where the settings name none, in milliseconds.
const DEFAULT_DRAIN_GRACE_MS: f64 = 250.0;

/// Times of connections to endpoints, in seconds. Needed only where the router works over sockets.
#[derive(Clone, Copy, Debug)]
pub struct BackendTimeouts {
    /// A connection that is not established by then counts as failed.
    pub connect: f64,
    /// An endpoint closes a connection that has been idle for this long.
    pub idle: f64,
    /// How long after a drain became known an endpoint may still be sent new requests.
    pub drain_grace: f64,
}

impl DeploymentSettings {
    /// The times of connections to endpoints.
    ///
    /// # Errors
    ///
    /// [`SettingsError::MissingField`] if the settings have no `connect_timeout_ms` or `keepalive_ms`.
    pub fn backend_timeouts(&self) -> Result<BackendTimeouts, SettingsError> {
        let limits = &self.policy_limits;
        Ok(BackendTimeouts {
            connect: required_limit_seconds("connect_timeout_ms", limits.connect_timeout_ms)?,
            idle: required_limit_seconds("keepalive_ms", limits.keepalive_ms)?,
            drain_grace: seconds(self.rules.drain_grace_ms.unwrap_or(DEFAULT_DRAIN_GRACE_MS)),
        })
    }
}

/// A time of `policy_limits` that is optional in the schema, in seconds.
fn required_limit_seconds(field: &'static str, milliseconds: Option<f64>) -> Result<f64, SettingsError> {
    let missing = SettingsError::MissingField { section: "policy_limits", field };
    milliseconds.map(seconds).ok_or(missing)
}
