//! Builds a router from its configuration and runs it.

use calloop::signals::{Signal, Signals};
use slog::info;

use crate::event_loop::EventLoop;
use crate::fleet_link::FleetLink;
use crate::lifecycle::config::{Config, ConfigError};
use crate::lifecycle::error::RunError;
use crate::lifecycle::log::{Log, LogFormat};
use crate::lifecycle::reload::Reload;
use crate::lifecycle::run::{ListenAddress, Program};
use crate::reactor::{Reactor, ReactorHandle, Readiness};

/// Runs a router until it is shut down. `fleet_file` is the path of the fleet file, if the router is a member of a fleet.
///
/// # Errors
/// If the configuration is invalid, a system resource that the router needs is not available, or the event loop fails.
pub fn run(fleet_file: Option<&str>, log_format: LogFormat) -> Result<(), RunError> {
    build(Config::load()?, fleet_file, Log::new(log_format))?.run()
}

fn build(config: Config, fleet_file: Option<&str>, log: Log) -> Result<Program, RunError> {
    let limits = config.limits.connection_limits().map_err(ConfigError::from)?;
    let timeouts = config.settings.backend_timeouts().map_err(ConfigError::from)?;
    let routing_config = config.settings.routing_config(config.seed).map_err(ConfigError::from)?;
    let names = config.settings.names();
    let longest_statement_timeout =
        routing_config.workloads.iter().map(|w| w.statement_timeout).fold(0.0, f64::max);
    let open_link = |path| FleetLink::open(path, &config.name, longest_statement_timeout, config.seed);
    let link = fleet_file.map(open_link).transpose().map_err(RunError::Fleet)?;
    let reactor = Reactor::try_new().map_err(RunError::EventLoop)?;
    handle_signals(&reactor.handle())?;
    let logger = log.logger(&config.name);
    let mut event_loop =
        EventLoop::new(routing_config, names, timeouts, limits, config.discovery, logger, reactor.handle());
    if let Some(known) = &config.known {
        event_loop.apply_endpoint_list(known);
    }
    event_loop.start_discovery();
    if let Some(link) = link {
        event_loop.join_fleet(link).map_err(RunError::Fleet)?;
    }
    info!(event_loop.context().log, "started"; "listen" => %config.listen, "discovery" => %config.discovery);
    let listen = ListenAddress { address: config.listen, backlog: config.limits.sockets };
    let reload = Reload::new(config);
    Ok(Program::new(reactor, event_loop, reload, log, listen, longest_statement_timeout))
}

fn handle_signals(handle: &ReactorHandle) -> Result<(), RunError> {
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGUSR1, Signal::SIGHUP]);
    let signals = signals.map_err(RunError::Signals)?;
    let inserted = handle.insert_source(signals, |event, (), readiness: &mut Readiness| {
        let requests = &mut readiness.signals;
        match event.signal() {
            Signal::SIGUSR1 => requests.print_counters = true,
            Signal::SIGHUP => requests.reload = true,
            _ => requests.shutdown = true,
        }
    });
    inserted.map(|_| ()).map_err(|e| RunError::Signals(e.error))
}
