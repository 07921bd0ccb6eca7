//! SIGHUP: the configuration is read again, and discovery is asked where it names it now.

use slog::{info, warn};

use crate::event_loop::EventLoop;
use crate::lifecycle::config::Config;

/// What the new discovery says counts as heard this long after SIGHUP (the service page), in seconds. Until then a
/// configuration that can't be read is tried again, as it may be half written.
const RELOAD_DEADLINE: f64 = 4.0;
/// Between two such tries, in seconds.
const RETRY_INTERVAL: f64 = 0.25;

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Nobody has asked for a reload.
    Idle,
    /// A reload is due. Both times are Unix seconds.
    Requested { at: f64, next_try_at: f64 },
}

/// Reads the configuration again when asked to.
pub struct Reload {
    /// The configuration that the router goes by.
    config: Config,
    state: State,
}

impl Reload {
    /// `config` is what the router was started with.
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

    /// Asks for a reload at `now`, in Unix seconds. Another request while one is due asks for the same.
    pub fn request(&mut self, now: f64) {
        self.state = State::Requested { at: now, next_try_at: now };
    }

    /// Tries to reload if that is due.
    pub fn poll_once(&mut self, event_loop: &mut EventLoop) {
        let now = event_loop.context().now();
        let State::Requested { at, next_try_at } = self.state else { return };
        if now < next_try_at {
            return;
        }
        self.state = match Config::load() {
            Ok(config) => {
                self.apply(&config, event_loop);
                State::Idle
            }
            Err(fault) => {
                let is_first_try = next_try_at == at;
                if is_first_try {
                    warn!(event_loop.context().log, "configuration not reloaded, the old one stays in force"; "error" => %fault);
                }
                event_loop.context().counters.reloads_failed += 1;
                let next_try_at = now + RETRY_INTERVAL;
                if next_try_at < at + RELOAD_DEADLINE {
                    State::Requested { at, next_try_at }
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
        // What needs a restart is told of each time, so only what was taken over is kept.
        self.config.discovery = config.discovery;
        event_loop.move_discovery(config.discovery);
    }
}
