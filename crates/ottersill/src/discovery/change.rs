//! Logging of the changes that an endpoint list makes.

use ottersill_routing::interface::EndpointState;
use slog::{Logger, info};

use crate::discovery::registry::{EndpointRegistry, RegistryChange};

/// Number of changes up to which each change gets its own log line; a list with more changes gets one line with counts.
pub const MAX_CHANGES_LOGGED: usize = 50;

/// Logs the changes that an endpoint list has made.
pub fn log_change(change: &RegistryChange, endpoints: &EndpointRegistry, log: &Logger) {
    let RegistryChange { updates, readdressed } = change;
    if updates.len() + readdressed.len() > MAX_CHANGES_LOGGED {
        let count = |state| updates.iter().filter(|update| update.state == state).count();
        info!(log, "endpoint updates"; "ready" => count(EndpointState::Ready),
                "draining" => count(EndpointState::Draining), "removed" => count(EndpointState::Removed),
                "readdressed" => readdressed.len());
        return;
    }
    for update in updates {
        let name = endpoints[update.endpoint].name.as_str();
        info!(log, "endpoint update"; "endpoint" => name, "state" => format!("{:?}", update.state),
                "started_at" => update.started_at.unwrap_or(0.0));
    }
    for endpoint in readdressed {
        let endpoint = &endpoints[*endpoint];
        let address = endpoint.address.map(|address| address.to_string()).unwrap_or_default();
        info!(log, "endpoint readdressed"; "endpoint" => endpoint.name.as_str(), "address" => address);
    }
}
