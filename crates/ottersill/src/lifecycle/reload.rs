//! Reloads the configuration on SIGHUP, and switches to the discovery address that it gives.

use slog::{info, warn};

use crate::event_loop::EventLoop;
use crate::lifecycle::config::Config;

/// The operators' service page assumes that the router knows the new discovery's endpoints this long after SIGHUP. Until
/// then, loading a configuration that can't be loaded is retried, as its file may be only partly written.
const RELOAD_DEADLINE_SECONDS: f64 = 4.0;
/// Interval between two attempts to load a configuration.
const RETRY_INTERVAL_SECONDS: f64 = 0.25;

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// No reload is requested.
    Idle,
    /// A reload is requested and not done yet. Both times are Unix seconds.
    Requested { requested_at: f64, next_try_at: f64 },
}

/// Reloads the configuration on request.
pub struct Reload {
    /// The configuration in force.
    config: Config,
    state: State,
}

impl Reload {
    /// `config` is the configuration with which the router was started.
    pub fn new(config: Config) -> Reload {
        Reload { config, state: State::Idle }
    }

    /// When the next try is due, in Unix seconds; infinite if none is.
    pub fn next_at(&self) -> f64 {
        match self.state {
            State::Idle => f64::INFINITY,
            State::Requested { next_try_at, .. } => next_try_at,
        }
    }

    /// Requests a reload at `now`, in Unix seconds. It replaces a request that is not done yet.
    pub fn request(&mut self, now: f64) {
        self.state = State::Requested { requested_at: now, next_try_at: now };
    }

    /// Tries to reload the configuration if that is due.
    pub fn poll_once(&mut self, event_loop: &mut EventLoop) {
        let now = event_loop.context().now();
        let State::Requested { requested_at, next_try_at } = self.state else { return };
        if now < next_try_at {
            return;
        }
        self.state = match Config::load() {
            Ok(config) => {
                self.apply(&config, event_loop);
                State::Idle
            }
            Err(fault) => {
                let is_first_try = next_try_at == requested_at;
                if is_first_try {
                    warn!(event_loop.context().log, "configuration not reloaded, the old one stays in force"; "error" => %fault);
                }
                event_loop.context().counters.reloads_failed += 1;
                let next_try_at = now + RETRY_INTERVAL_SECONDS;
                if next_try_at < requested_at + RELOAD_DEADLINE_SECONDS {
                    State::Requested { requested_at, next_try_at }
                } else {
                    State::Idle
                }
            }
        };
    }

    fn apply(&mut self, config: &Config, event_loop: &mut EventLoop) {
        event_loop.context().counters.reloads += 1;
        let needs_restart = self.config.restart_required(config).join(",");
        info!(event_loop.context().log, "configuration reloaded"; "discovery" => %config.discovery,
            "needs_restart" => needs_restart);
        // Only the applied field is stored, so that changes that need a restart are logged again at each reload.
        self.config.discovery = config.discovery;
        event_loop.move_discovery(config.discovery);
    }
}
