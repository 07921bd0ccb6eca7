//! The main loop: waits for events, dispatches them, and carries out the actions of each lifecycle phase.

use std::io;
use std::mem;
use std::net::SocketAddr;
use std::time::Duration;

use slog::info;

use crate::event_loop::EventLoop;
use crate::lifecycle::error::RunError;
use crate::lifecycle::log::Log;
use crate::lifecycle::reload::Reload;
use crate::lifecycle::shutdown::{Observation, Phase};
use crate::reactor::Reactor;

/// Maximum time for which the loop waits for events.
const MAX_WAIT_SECONDS: f64 = 1.0;

/// The address at which the router listens for clients.
pub struct ListenAddress {
    /// The configured address. With port 0, the system chooses a port.
    pub address: SocketAddr,
    /// The length of the listen backlog. While it is full, the system drops the first packet of new connections, which clients
    /// retransmit only after a second.
    pub backlog: usize,
}

/// A router with its main loop.
pub struct Program {
    reactor: Reactor,
    event_loop: EventLoop,
    reload: Reload,
    log: Log,
    listen: ListenAddress,
    /// The longest statement timeout of all workloads, in seconds.
    longest_statement_timeout: f64,
    phase: Phase,
}

impl Program {
    /// A router in the phase [`Phase::Starting`]. `longest_statement_timeout` is in seconds.
    pub fn new(
        reactor: Reactor,
        event_loop: EventLoop,
        reload: Reload,
        log: Log,
        listen: ListenAddress,
        longest_statement_timeout: f64,
    ) -> Program {
        Program {
            reactor,
            event_loop,
            reload,
            log,
            listen,
            longest_statement_timeout,
            phase: Phase::Starting,
        }
    }

    /// Runs until the router has shut down.
    ///
    /// # Errors
    /// If the event loop fails, or the address for clients can't be bound.
    pub fn run(mut self) -> Result<(), RunError> {
        while self.phase != Phase::Stopped {
            self.advance_phase()?;
            self.wait_for_events()?;
            self.event_loop.poll_once();
            self.reload_if_requested();
            self.event_loop.context().counters.log_lines_dropped = self.log.dropped();
            if mem::take(&mut self.event_loop.readiness().signals.print_counters) {
                self.event_loop.log_counters();
            }
            self.log.flush();
        }
        self.event_loop.log_counters();
        self.log.flush();
        self.keep_signals_blocked();
        Ok(())
    }

    /// Leaks the reactor, so that its signals stay blocked until the process exits. Dropping the reactor's signal source would
    /// unblock them, and another SIGTERM would then terminate the process by its default action, as if the shutdown had failed.
    fn keep_signals_blocked(self) {
        mem::forget(self.reactor);
    }

    /// Waits until a socket is ready, a signal arrives or a deadline is reached.
    fn wait_for_events(&mut self) -> Result<(), RunError> {
        let next_at =
            self.event_loop.next_iteration_at().min(self.phase.ends_at()).min(self.reload.next_at());
        let wait = (next_at - self.event_loop.context().clock.read()).clamp(0.0, MAX_WAIT_SECONDS);
        let wait = Some(Duration::from_secs_f64(wait));
        self.reactor.dispatch(wait, self.event_loop.readiness()).map_err(RunError::EventLoop)
    }

    fn reload_if_requested(&mut self) {
        if mem::take(&mut self.event_loop.readiness().signals.reload) {
            self.reload.request(self.event_loop.context().now());
            self.event_loop.reload_fleet();
        }
        self.reload.poll_once(&mut self.event_loop);
    }

    /// Enters the next phase if it is due, and carries out its actions.
    fn advance_phase(&mut self) -> Result<(), RunError> {
        let event_loop = &mut self.event_loop;
        let observed = Observation {
            now: event_loop.context().now(),
            started_at: event_loop.context().clock.started_at(),
            shutdown_requested: event_loop.readiness().signals.shutdown,
            knows_endpoints: event_loop.endpoint_count() > 0,
            has_no_clients: event_loop.has_no_clients(),
            longest_statement_timeout: self.longest_statement_timeout,
        };
        let next = self.phase.next(&observed);
        let previous = mem::replace(&mut self.phase, next);
        if next == previous {
            return Ok(());
        }
        match next {
            Phase::Serving => open_listener(event_loop, &self.listen)?,
            Phase::LameDuck { answer_deadline, .. } => {
                let in_flight = event_loop.requests_in_flight();
                info!(event_loop.context().log, "shutdown requested"; "statements_in_flight" => in_flight);
                event_loop.set_answer_deadline(answer_deadline);
            }
            Phase::Draining { .. } => event_loop.drain(),
            Phase::Stopped if matches!(previous, Phase::Draining { .. }) => event_loop.leave_fleet(),
            Phase::Starting | Phase::Stopped => {}
        }
        Ok(())
    }
}

fn open_listener(event_loop: &mut EventLoop, listen: &ListenAddress) -> Result<(), RunError> {
    let ListenAddress { address, backlog } = *listen;
    let failed = |source: io::Error| RunError::Listen { address, source };
    let bound_to = event_loop.listen(address, backlog).map_err(failed)?;
    let endpoints = event_loop.endpoint_count();
    info!(event_loop.context().log, "ready"; "listen" => %bound_to, "endpoints" => endpoints);
    Ok(())
}
