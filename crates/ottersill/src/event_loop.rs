//! Where the wire, the memory and the module meet: what became ready is read, told to the facade, and what the
//! facade says is carried out. Nothing here decides.

use std::io;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use calloop::RegistrationToken;
use ottersill_config::deployment::{BackendTimeouts, Catalog};
use ottersill_routing::Router;
use ottersill_routing::facade::{Decision, Facade, PickRequest, RoutingAction, RoutingEvent};
use ottersill_routing::interface::{Request, RoutingConfig};
use ottersill_statement::fingerprint::Key;
use ottersill_statement::fingerprint_cache::FingerprintCache;
use slab::Slab;
use slog::{Logger, info};
use socket2::Socket;

use crate::backend::connection::Line;
use crate::client::connection::{Client, UnwatchedClient};
use crate::control::fleet_report::FleetReport;
use crate::control::server::ControlServer;
use crate::counters::Counters;
use crate::discovery::client::{DiscoveryClient, DiscoveryEvent};
use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::registry::EndpointRegistry;
use crate::fleet_link::link::Link;
use crate::in_flight::Statements;
pub use crate::reactor::Source as Party;
use crate::reactor::{self, Context, ReactorHandle, Readiness};
use crate::timers::{Timer, TimerHandle, Timers};

/// How long before a time limit of a page something is done that has to be there by then; seconds. The time in which a
/// connection comes up is no measure for it: a customer's settings may give that any length.
pub const LEEWAY: f64 = 0.25;

/// Sockets that are found ready within so many seconds after a turn may have been ready during it.
const NO_WAIT: f64 = 0.001;

/// One time for everything: it never goes back, and was tied to Unix time once, since positions are Unix times.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix: f64,
}

impl Default for Clock {
    /// Both clocks are read as one: a process that was not on a core between the two readings would be off by that for
    /// good, and in what it tells others. Of some readings the one that took least counts.
    fn default() -> Clock {
        let read = || {
            let started = Instant::now();
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            (started.elapsed(), Clock { started, unix: unix.as_secs_f64() })
        };
        (0..4).map(|_| read()).fold(read(), |best, one| if one.0 < best.0 { one } else { best }).1
    }
}

impl Clock {
    pub fn now(&self) -> f64 {
        self.unix + self.started.elapsed().as_secs_f64()
    }
}

/// How many connections the limit on descriptors leaves, and how many bytes the limit on memory.
#[derive(Clone, Copy, Debug)]
pub struct Berths {
    /// For clients and lines together.
    pub all: usize,
    pub clients: usize,
    /// With more than this of those that have asked, the longest idle ones are closed as others come.
    pub easy: usize,
    /// Beside all these, for clients that are let in to be told that there is no room.
    pub spare: usize,
    /// For statements of clients, whole or not.
    pub bytes: usize,
    /// For what is known of the shapes of statements.
    pub book: usize,
}

pub struct Exchange {
    pub facade: Facade,
    pub statements: Statements,
    pub hosts: EndpointRegistry,
    pub clients: Slab<Client>,
    pub lines: Slab<Line>,
    discovery: DiscoveryClient,
    pub alarms: Timers,
    /// The tie to the other routers; none where there is no talk.
    pub link: Option<Link>,
    control: ControlServer,
    pub counters: Counters,
    /// What is known of the shapes of statements; keeps to its own budget of bytes.
    pub book: FingerprintCache,
    /// When a line last said why a statement was taken for one that may write.
    pub strict_logged_at: f64,
    pub names: Catalog,
    pub upkeep: BackendTimeouts,
    pub berths: Berths,
    pub log: Logger,
    pub handle: ReactorHandle,
    pub clock: Clock,
    /// When the sockets were last found ready.
    pub now: f64,
    /// What is read in this turn has come since then: the turn before, if sockets were found ready without waiting after it, as
    /// bytes then may have lain there while that turn was held up.
    pub arrivals_since: f64,
    turn_ended_at: f64,
    pub started_at: f64,
    /// When a client may come again that finds no list of hosts here; 0 where no time may be named.
    pub come_again: f64,
    /// Bytes of statements, whole or not; falls with each answer and each client that leaves.
    pub stored: usize,
    pub listener: Option<(Rc<Socket>, RegistrationToken)>,
    /// The accepted client that the loop could not be told to watch; nobody else is accepted before it.
    pub unwatched_client: Option<UnwatchedClient>,
    /// Set while clients wait at the door for one to leave.
    pub crowd: Option<TimerHandle>,
    /// After SIGTERM and the time in which clients still come: connections are closed once they idle.
    pub retiring: bool,
    /// What is taken in is answered by then; never, unless the router has been told to stop.
    pub stops_at: f64,
    /// What the event loop notes while it waits.
    pub readiness: Readiness,
}

impl Exchange {
    pub fn new(
        terms: RoutingConfig,
        names: Catalog,
        upkeep: BackendTimeouts,
        berths: Berths,
        discovery: std::net::SocketAddr,
        log: Logger,
        handle: ReactorHandle,
    ) -> Exchange {
        let clock = Clock::default();
        let now = clock.now();
        let come_again = terms.max_retry_after;
        let usual = terms.workloads.iter().map(Router::typical).collect();
        let book = FingerprintCache::new(now, Key::from_seed(terms.seed), berths.book, usual);
        Exchange {
            facade: Facade::start(now, terms),
            statements: Statements::default(),
            hosts: EndpointRegistry::new(names.sites.clone()),
            clients: Slab::new(),
            lines: Slab::new(),
            discovery: DiscoveryClient::new(discovery, upkeep.drain_grace),
            alarms: Timers::default(),
            link: None,
            control: ControlServer::default(),
            counters: Counters::default(),
            book,
            strict_logged_at: 0.0,
            names,
            upkeep,
            berths,
            log,
            handle,
            clock,
            now,
            arrivals_since: now,
            turn_ended_at: now,
            started_at: now,
            come_again,
            stored: 0,
            listener: None,
            unwatched_client: None,
            crowd: None,
            retiring: false,
            stops_at: f64::INFINITY,
            readiness: Readiness::default(),
        }
    }

    /// Has the loop tell when the socket becomes ready: once for each change, so that nothing needs to be asked
    /// for again; whoever leaves something unread says so by [`Exchange::again`].
    pub fn attend(&self, socket: Socket, party: Party) -> io::Result<(Rc<Socket>, RegistrationToken)> {
        reactor::register(&self.handle, socket, party)
    }

    /// The same for a socket that the caller keeps where that fails: `ENOMEM` and `ENOSPC` may pass.
    pub fn attend_shared(&self, socket: &Rc<Socket>, party: Party) -> io::Result<RegistrationToken> {
        reactor::register_shared(&self.handle, socket, party)
    }

    /// Sees to that party in the next turn.
    pub fn again(&mut self, party: Party) {
        self.readiness.wake(party);
    }

    /// When the next turn is due though no socket becomes ready.
    pub fn next_at(&self) -> f64 {
        let next = if self.readiness.is_empty() { f64::INFINITY } else { self.now };
        self.alarms.next_at().unwrap_or(f64::INFINITY).min(self.facade.wake_at()).min(next)
    }

    pub fn turn(&mut self) {
        self.begin_turn(self.clock.now());
        self.fleet_parts();
        for party in self.readiness.take() {
            match party {
                Party::Discovery => self.with_discovery(DiscoveryClient::on_ready),
                Party::Fleet => {
                    self.fleet_is_ready();
                    self.fleet_parts();
                }
                Party::Control => self.with_control(ControlServer::on_ready),
                Party::ControlClient(id) => {
                    self.with_control(|control, report, context| {
                        control.on_client_ready(id, report, context)
                    });
                }
                Party::Line(line) => self.line_is_ready(line),
                Party::Client(client) => self.client_is_ready(client),
                Party::Listener => self.listener_is_ready(),
            }
            self.carry_out();
        }
        while let Some(timer) = self.alarms.expired(self.now) {
            match timer {
                Timer::Discovery => self.with_discovery(DiscoveryClient::on_timer),
                Timer::Fleet => self.fleet_is_due(),
                Timer::ControlClient(id) => {
                    self.with_control(|control, _, context| control.close_client(id, context));
                }
                Timer::Control => self.again(Party::Control),
                Timer::Listener => {
                    self.crowd = None;
                    self.again(Party::Listener);
                }
                Timer::Line(line) => self.line_is_due(line),
                Timer::Client(client) => self.client_is_due(client),
            }
            self.carry_out();
        }
        self.carry_out();
        self.fleet_after();
        self.turn_ended_at = self.clock.now();
    }

    fn begin_turn(&mut self, time: f64) {
        let waited = time - self.turn_ended_at;
        self.arrivals_since = if waited < NO_WAIT { self.now } else { time };
        self.now = time;
    }

    /// Does what the facade names, until it names nothing more.
    pub fn carry_out(&mut self) {
        loop {
            let due = self.facade.tick(self.now);
            if due.is_empty() {
                return;
            }
            for due in due {
                match due {
                    RoutingAction::Pick(stmt) => {
                        let (stmt, choice) = self.facade.pick(self.now, PickRequest::Waiting(stmt));
                        self.act(stmt, choice);
                    }
                    RoutingAction::CancelAttempt(stmt) => self.recall(stmt),
                    RoutingAction::HealthCheck(host) => self.probe(host),
                }
            }
        }
    }

    /// Opens a statement at the facade; `held` is told the number that it got.
    pub fn open(&mut self, stmt: Request, held: impl FnOnce(&mut Exchange, usize)) {
        let (index, choice) = self.facade.pick(self.now, PickRequest::New(stmt));
        held(self, index);
        self.act(index, choice);
    }

    fn act(&mut self, stmt: usize, choice: Decision) {
        match choice {
            Decision::Wait => {}
            Decision::Dispatch { host, time_out } => self.execute(stmt, host, time_out),
            Decision::Reject { retry_after } => self.reject(stmt, retry_after),
            Decision::Abort => self.abort(stmt),
        }
    }

    pub fn tell(&mut self, news: RoutingEvent) {
        self.facade.report(self.now, news);
    }

    /// Has the discovery client do something, and carries out what it says.
    pub fn with_discovery(&mut self, step: impl FnOnce(&mut DiscoveryClient, &mut Context)) {
        let mut context = Context {
            now: self.now,
            handle: &self.handle,
            readiness: &mut self.readiness,
            timers: &mut self.alarms,
            counters: &mut self.counters,
            log: &self.log,
        };
        step(&mut self.discovery, &mut context);
        while let Some(event) = self.discovery.poll_event() {
            match event {
                DiscoveryEvent::List(list) => self.apply_endpoint_list(&list),
                DiscoveryEvent::CallFailed => self.tell(RoutingEvent::EndpointListFailed),
            }
        }
    }

    /// Takes over an endpoint list: tells the module what has changed, and takes back what may no longer go out.
    pub fn apply_endpoint_list(&mut self, list: &EndpointList) {
        self.counters.lists += 1;
        let change = self.hosts.apply(list);
        for endpoint in change.readdressed {
            self.close_idle_of(endpoint);
        }
        for listed in &change.updates {
            let name = self.hosts.all[listed.host].name.as_str();
            info!(self.log, "endpoint update"; "endpoint" => name, "state" => format!("{:?}", listed.standing),
                "started_at" => listed.started_at.unwrap_or(0.0));
        }
        self.tell(RoutingEvent::EndpointList(&change.updates));
        self.call_back();
    }

    /// Has the control listener do something.
    pub fn with_control(&mut self, step: impl FnOnce(&mut ControlServer, &FleetReport, &mut Context)) {
        let report = FleetReport { now: self.clock.now(), link: self.link.as_ref(), endpoints: &self.hosts };
        let mut context = Context {
            now: self.now,
            handle: &self.handle,
            readiness: &mut self.readiness,
            timers: &mut self.alarms,
            counters: &mut self.counters,
            log: &self.log,
        };
        step(&mut self.control, &report, &mut context);
    }

    /// Answers operators where the fleet's configuration says so; the error is one line for the operator.
    pub fn open_control(&mut self) -> Result<(), String> {
        let Some(address) = self.link.as_ref().and_then(|link| link.file.control) else { return Ok(()) };
        let mut opened = Ok(());
        self.with_control(|control, _, context| opened = control.open(address, context));
        opened.map_err(|e| format!("control: listen on {address}: {e}"))?;
        info!(self.log, "control listener open"; "control" => %address);
        Ok(())
    }

    /// Takes in who is at the door, closes it, and from now on ends client connections once they idle.
    pub fn retire(&mut self) {
        // Whom the machine has let in may have sent a statement, which then counts as taken.
        self.accept(usize::MAX);
        self.retiring = true;
        self.close_door();
        self.close_idle_clients();
        self.carry_out();
    }

    /// Nobody is in hand or at the door.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty() && self.listener.is_none()
    }

    /// Everything that must hold, wherever it is counted.
    pub fn breaches(&self) -> u64 {
        self.counters.breaches + self.facade.breaches()
    }
}
