//! The log lines about what an endpoint list has changed.

use ottersill_routing::interface::EndpointState;
use slog::{Logger, info};

use crate::discovery::registry::{EndpointRegistry, RegistryChange};

/// A list that changes more than this gets one log line with counts, a shorter one a line for each change.
pub const MAX_CHANGES_LOGGED: usize = 50;

/// Logs what an endpoint list has changed.
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
        let address = endpoint.dial.map(|address| address.to_string()).unwrap_or_default();
        info!(log, "endpoint readdressed"; "endpoint" => endpoint.name.as_str(), "address" => address);
    }
}
