//! From the start to the exit.

use std::net::SocketAddr;
use std::time::Duration;

use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use slog::info;

use crate::discovery::client::DiscoveryClient;
use crate::lifecycle::charter::{self, Charter};
use crate::lifecycle::log::{Form, Log};
use crate::lifecycle::reload::Reload;
use crate::memory::link::Link;
use crate::reactor::Readiness;
use crate::wire::client_side::CLOSING;
use crate::wire::exchange::{Exchange, LEEWAY, Party};
use crate::wire::{fleet_side, socket};

/// For this long after SIGTERM new clients still come: 0.4 s, as the protocol page has it, and what is on its way then.
const ARRIVALS: f64 = 0.5;
/// Ready by then without a list too: one that has none is told apart from one that does not start.
const BLIND: f64 = 5.0;
/// It may be killed this long after the longest statement timeout, which counts as so long at the most; seconds.
const KILL: f64 = 0.7;
const COUNTED: f64 = 3.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// No list has named a host yet.
    Starting,
    Serving,
    /// Asked to stop; clients still come, and go on on the connections they have, until then: turned away at once, they
    /// would find nobody where several routers restart.
    Arriving(f64),
    /// What was taken in is answered, what idles is closed; until then at the latest.
    Retiring(f64),
    Done,
}

/// `fleet` names the file of the fleet, where routers talk.
pub fn run(fleet: Option<&str>, form: Form) -> Result<(), String> {
    let log = Log::new(form);
    serve(charter::find()?, fleet, &log)
}

fn serve(charter: Charter, fleet: Option<&str>, log: &Log) -> Result<(), String> {
    let berths = charter.limits.berths().map_err(|e| format!("NODE_CONFIG: {e}"))?;
    let upkeep = charter.settings.upkeep().map_err(|e| format!("NODE_CONFIG: settings.{e}"))?;
    let (terms, names) =
        charter.settings.clone().terms(charter.seed).map_err(|e| format!("NODE_CONFIG: settings.{e}"))?;
    let longest = terms.workloads.iter().map(|w| w.statement_timeout).fold(0.0, f64::max);
    let link = fleet.map(|path| Link::open(path, &charter.name, longest, charter.seed)).transpose()?;
    let mut events = EventLoop::try_new().map_err(|e| format!("event loop: {e}"))?;
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGUSR1, Signal::SIGHUP]);
    let signals = signals.map_err(|e| format!("signals: {e}"))?;
    let handle = events.handle();
    let told = handle.insert_source(signals, |event, (), readiness: &mut Readiness| match event.signal() {
        Signal::SIGUSR1 => readiness.signals.print_counters = true,
        Signal::SIGHUP => readiness.signals.reload = true,
        _ => readiness.signals.shutdown = true,
    });
    told.map_err(|e| format!("signals: {e}"))?;
    let logger = log.logger(&charter.name);
    let discovery = charter.discovery;
    let mut exchange = Exchange::new(terms, names, upkeep, berths, discovery, logger, handle);
    if let Some(known) = &charter.known {
        exchange.apply_endpoint_list(known);
    }
    exchange.with_discovery(DiscoveryClient::start);
    if let Some(link) = link {
        fleet_side::begin(&mut exchange, link)?;
    }
    info!(exchange.log, "started"; "listen" => %charter.listen, "discovery" => %charter.discovery);
    // A full backlog drops the first packet of a connection, which is then sent again after a second.
    let door = Door { at: charter.listen, backlog: charter.limits.sockets };
    let mut reload = Reload::new(charter);
    let mut phase = Phase::Starting;
    while phase != Phase::Done {
        phase = advance(phase, &mut exchange, &door, longest)?;
        let next = exchange.next_at().min(phase.until()).min(reload.next_at());
        let wait = (next - exchange.clock.now()).clamp(0.0, 1.0);
        let wait = Duration::from_secs_f64(wait);
        events.dispatch(Some(wait), &mut exchange.readiness).map_err(|e| format!("event loop: {e}"))?;
        exchange.turn();
        if std::mem::take(&mut exchange.readiness.signals.reload) {
            reload.ask(exchange.now);
            exchange.fleet_reloads();
        }
        reload.turn(&mut exchange);
        exchange.counters.log_dropped = log.dropped();
        if std::mem::take(&mut exchange.readiness.signals.print_counters) {
            print(&exchange);
        }
        log.flush();
    }
    print(&exchange);
    log.flush();
    Ok(())
}

struct Door {
    at: SocketAddr,
    backlog: usize,
}

impl Phase {
    fn until(self) -> f64 {
        match self {
            Phase::Arriving(until) | Phase::Retiring(until) => until,
            _ => f64::INFINITY,
        }
    }
}

fn advance(phase: Phase, exchange: &mut Exchange, door: &Door, longest: f64) -> Result<Phase, String> {
    Ok(match phase {
        Phase::Starting if exchange.readiness.signals.shutdown => Phase::Done,
        // Ready only once something can be served: the front asks as soon as it gets through.
        Phase::Starting if !exchange.hosts.all.is_empty() || exchange.now >= exchange.started_at + BLIND => {
            let told = |e| format!("listen on {}: {e}", door.at);
            let listener = socket::listen(door.at, door.backlog).map_err(told)?;
            let at = listener.local_addr().map_err(told)?.as_socket();
            exchange.listener = Some(exchange.attend(listener, Party::Listener).map_err(told)?);
            exchange.again(Party::Listener);
            let at = at.map_or(door.at.to_string(), |at| at.to_string());
            info!(exchange.log, "ready"; "listen" => at, "hosts" => exchange.hosts.all.len());
            Phase::Serving
        }
        Phase::Serving if exchange.readiness.signals.shutdown => {
            info!(exchange.log, "stopping"; "in_hand" => exchange.statements.in_hand());
            exchange.stops_at = exchange.now + longest.min(COUNTED) + KILL - LEEWAY;
            // Half of it, as the last statements need their time too.
            Phase::Arriving((exchange.now + ARRIVALS).max((exchange.now + exchange.stops_at) / 2.0))
        }
        Phase::Arriving(until) if exchange.now >= until => {
            exchange.retire();
            Phase::Retiring(exchange.now + longest + CLOSING)
        }
        Phase::Retiring(until) if exchange.is_empty() || exchange.now >= until => {
            exchange.fleet_leaves();
            Phase::Done
        }
        phase => phase,
    })
}

fn print(exchange: &Exchange) {
    let (book, found) = (&exchange.book, exchange.book.found);
    info!(exchange.log, "shapes"; "known" => found.known, "parsed" => found.parsed, "glanced" => found.glanced,
        "denied" => found.denied, "pages" => book.pages(), "bytes" => book.bytes());
    info!(exchange.log, "counters: {}", exchange.counters; "breaches_in_all" => exchange.breaches(),
        "clients_now" => exchange.clients.len(), "lines_now" => exchange.lines.len(),
        "in_hand" => exchange.statements.in_hand());
}
