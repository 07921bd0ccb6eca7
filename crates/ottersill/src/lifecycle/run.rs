//! The main loop: waits for events, has them handled, and carries out what the phases of the router's life ask for.

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

/// The loop waits no longer than this, in seconds.
const MAX_WAIT: f64 = 1.0;

/// Where clients are listened for.
pub struct ListenAddress {
    /// As configured; port 0 has the system choose one.
    pub address: SocketAddr,
    /// The length of the accept backlog. A full one drops the first packet of a connection, which is then sent again
    /// after a second.
    pub backlog: usize,
}

/// A router that was built and runs.
pub struct Program {
    events: Reactor,
    event_loop: EventLoop,
    reload: Reload,
    log: Log,
    listen: ListenAddress,
    /// Of all workloads, in seconds.
    longest_statement_timeout: f64,
    phase: Phase,
}

impl Program {
    /// In the phase [`Phase::Starting`]. `longest_statement_timeout` is in seconds.
    pub fn new(
        events: Reactor,
        event_loop: EventLoop,
        reload: Reload,
        log: Log,
        listen: ListenAddress,
        longest_statement_timeout: f64,
    ) -> Program {
        Program { events, event_loop, reload, log, listen, longest_statement_timeout, phase: Phase::Starting }
    }

    /// Runs until the router has shut down.
    ///
    /// # Errors
    /// If the event loop fails, or the address for clients can't be had.
    pub fn run(mut self) -> Result<(), RunError> {
        while self.phase != Phase::Stopped {
            self.advance_phase()?;
            self.wait_for_events()?;
            self.event_loop.poll_once();
            self.reload_if_asked();
            self.event_loop.counters.log_lines_dropped = self.log.dropped();
            if mem::take(&mut self.event_loop.readiness.signals.print_counters) {
                log_counters(&self.event_loop);
            }
            self.log.flush();
        }
        log_counters(&self.event_loop);
        self.log.flush();
        self.keep_signals_blocked();
        Ok(())
    }

    /// Dropping the signal source would unblock its signals, and another SIGTERM would then end the process by its default
    /// action, as if the shutdown had failed. The source belongs to the reactor, which is therefore left to the system.
    fn keep_signals_blocked(self) {
        mem::forget(self.events);
    }

    fn wait_for_events(&mut self) -> Result<(), RunError> {
        let next_at = self.event_loop.next_at().min(self.phase.ends_at()).min(self.reload.next_at());
        let wait = (next_at - self.event_loop.clock.read()).clamp(0.0, MAX_WAIT);
        let wait = Some(Duration::from_secs_f64(wait));
        self.events.dispatch(wait, &mut self.event_loop.readiness).map_err(RunError::EventLoop)
    }

    fn reload_if_asked(&mut self) {
        if mem::take(&mut self.event_loop.readiness.signals.reload) {
            self.reload.request(self.event_loop.clock.now());
            self.event_loop.reload_fleet();
        }
        self.reload.poll_once(&mut self.event_loop);
    }

    /// Goes over to the next phase if it is time, and does what that asks for.
    fn advance_phase(&mut self) -> Result<(), RunError> {
        let event_loop = &mut self.event_loop;
        let observed = Observation {
            now: event_loop.clock.now(),
            started_at: event_loop.clock.started_at(),
            shutdown_requested: event_loop.readiness.signals.shutdown,
            knows_endpoints: !event_loop.endpoints.is_empty(),
            has_no_clients: event_loop.is_empty(),
            longest_statement_timeout: self.longest_statement_timeout,
        };
        let next = self.phase.next(&observed);
        let previous = mem::replace(&mut self.phase, next);
        if next == previous {
            return Ok(());
        }
        match next {
            Phase::Serving => open_listener(event_loop, &self.listen)?,
            Phase::LameDuck { answers_by, .. } => {
                info!(event_loop.log, "shutdown requested"; "statements_in_flight" => event_loop.requests.count());
                event_loop.answers_by = answers_by;
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
    info!(event_loop.log, "ready"; "listen" => %bound_to, "endpoints" => event_loop.endpoints.len());
    Ok(())
}

/// Writes all counters to the log.
fn log_counters(event_loop: &EventLoop) {
    let (book, found) = (&event_loop.fingerprints, event_loop.fingerprints.counts);
    info!(event_loop.log, "fingerprint cache"; "hits" => found.known, "parsed" => found.parsed,
        "prescanned" => found.prescanned, "replica_refusals" => found.denied, "pages" => book.entries(), "bytes" => book.bytes());
    info!(event_loop.log, "counters: {}", event_loop.counters; "invariant_violations_total" => event_loop.invariant_violations(),
        "client_connections_open" => event_loop.clients.len(), "backend_connections_open" => event_loop.backends.len(),
        "statements_in_flight" => event_loop.requests.count());
}
