//! The main loop: waits for events, has them handled, and carries out what the phases of the router's life ask for.

#![warn(missing_docs)]

use std::io;
use std::mem;
use std::net::SocketAddr;
use std::time::Duration;

use calloop::EventLoop;
use slog::info;

use crate::event_loop::{Exchange, Party};
use crate::lifecycle::error::RunError;
use crate::lifecycle::log::Log;
use crate::lifecycle::reload::Reload;
use crate::lifecycle::shutdown::{Observation, Phase};
use crate::protocol::socket;
use crate::reactor::Readiness;

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
    events: EventLoop<'static, Readiness>,
    exchange: Exchange,
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
        events: EventLoop<'static, Readiness>,
        exchange: Exchange,
        reload: Reload,
        log: Log,
        listen: ListenAddress,
        longest_statement_timeout: f64,
    ) -> Program {
        Program { events, exchange, reload, log, listen, longest_statement_timeout, phase: Phase::Starting }
    }

    /// Runs until the router has shut down.
    ///
    /// # Errors
    /// If the event loop fails, or the address for clients can't be had.
    pub fn run(mut self) -> Result<(), RunError> {
        while self.phase != Phase::Stopped {
            self.advance_phase()?;
            self.wait_for_events()?;
            self.exchange.turn();
            self.reload_if_asked();
            self.exchange.counters.log_dropped = self.log.dropped();
            if mem::take(&mut self.exchange.readiness.signals.print_counters) {
                log_counters(&self.exchange);
            }
            self.log.flush();
        }
        log_counters(&self.exchange);
        self.log.flush();
        Ok(())
    }

    fn wait_for_events(&mut self) -> Result<(), RunError> {
        let next_at = self.exchange.next_at().min(self.phase.ends_at()).min(self.reload.next_at());
        let wait = (next_at - self.exchange.clock.now()).clamp(0.0, MAX_WAIT);
        let wait = Some(Duration::from_secs_f64(wait));
        self.events.dispatch(wait, &mut self.exchange.readiness).map_err(RunError::EventLoop)
    }

    fn reload_if_asked(&mut self) {
        if mem::take(&mut self.exchange.readiness.signals.reload) {
            self.reload.request(self.exchange.now);
            self.exchange.fleet_reloads();
        }
        self.reload.poll_once(&mut self.exchange);
    }

    /// Goes over to the next phase if it is time, and does what that asks for.
    fn advance_phase(&mut self) -> Result<(), RunError> {
        let exchange = &mut self.exchange;
        let observed = Observation {
            now: exchange.now,
            started_at: exchange.started_at,
            shutdown_requested: exchange.readiness.signals.shutdown,
            knows_endpoints: !exchange.hosts.all.is_empty(),
            has_no_clients: exchange.is_empty(),
            longest_statement_timeout: self.longest_statement_timeout,
        };
        let next = self.phase.next(&observed);
        let previous = mem::replace(&mut self.phase, next);
        if next == previous {
            return Ok(());
        }
        match next {
            Phase::Serving => open_listener(exchange, &self.listen)?,
            Phase::LameDuck { answers_by, .. } => {
                info!(exchange.log, "shutdown requested"; "statements_in_flight" => exchange.statements.in_hand());
                exchange.stops_at = answers_by;
            }
            Phase::Draining { .. } => exchange.retire(),
            Phase::Stopped if matches!(previous, Phase::Draining { .. }) => exchange.fleet_leaves(),
            Phase::Starting | Phase::Stopped => {}
        }
        Ok(())
    }
}

fn open_listener(exchange: &mut Exchange, listen: &ListenAddress) -> Result<(), RunError> {
    let ListenAddress { address, backlog } = *listen;
    let failed = |source: io::Error| RunError::Listen { address, source };
    let listener = socket::listen(address, backlog).map_err(failed)?;
    let bound_to = listener.local_addr().map_err(failed)?.as_socket().unwrap_or(address);
    exchange.listener = Some(exchange.attend(listener, Party::Listener).map_err(failed)?);
    exchange.again(Party::Listener);
    info!(exchange.log, "ready"; "listen" => %bound_to, "endpoints" => exchange.hosts.all.len());
    Ok(())
}

/// Writes all counters to the log.
fn log_counters(exchange: &Exchange) {
    let (book, found) = (&exchange.book, exchange.book.counts);
    info!(exchange.log, "fingerprint cache"; "hits" => found.known, "parsed" => found.parsed,
        "prescanned" => found.prescanned, "replica_refusals" => found.denied, "pages" => book.entries(), "bytes" => book.bytes());
    info!(exchange.log, "counters: {}", exchange.counters; "invariant_violations_total" => exchange.breaches(),
        "client_connections_open" => exchange.clients.len(), "backend_connections_open" => exchange.lines.len(),
        "statements_in_flight" => exchange.statements.in_hand());
}
