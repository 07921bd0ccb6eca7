//! Communication with the other members of the fleet: binding the member's address, sending and receiving datagrams, and
//! logging membership and quota events.

use std::hash::{BuildHasher, Hasher, RandomState};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use ottersill_fleet::datagram::MAX_DATAGRAM_BYTES;
use ottersill_fleet::node::{Event, FleetNode, MemberIdentity};
use ottersill_fleet::settings::{Budget, BudgetTotal, incarnation};
use slog::{info, warn};
use socket2::{SockAddr, Socket};

use crate::discovery::registry::EndpointRegistry;
use crate::fleet_link::audit::Grant;
use crate::fleet_link::error::FleetLinkError;
use crate::fleet_link::{FleetLink, MembershipState, files};
use crate::protocol::socket;
use crate::reactor::{Context, Source};

/// Datagrams read in one iteration of the event loop, so that a flood of them does not delay statements.
const MAX_DATAGRAMS_PER_ITERATION: usize = 64;
/// Delay before binding the member's address is tried again.
const BIND_RETRY_DELAY_SECONDS: f64 = 0.5;

impl FleetLink {
    /// Joins the fleet if the member's address can be bound; otherwise binding it is tried again later.
    pub fn start(&mut self, endpoints: &EndpointRegistry, context: &mut Context) {
        self.join(context);
        self.flush(endpoints, context);
    }

    fn join(&mut self, context: &mut Context) {
        let listen = self.file.listen_address;
        let opened = socket::bind_datagram(listen).and_then(|socket| context.register(socket, Source::Fleet));
        match opened {
            Ok((socket, token)) => {
                let fleet = Box::new(self.new_member(context.now()));
                self.state = MembershipState::Joined { fleet, socket, token };
                info!(context.log, "joined the fleet"; "listen" => %listen);
            }
            Err(fault) => self.on_bind_failed(&fault, context),
        }
    }

    /// Starts the member's side of the fleet protocol. To be called once the address is bound: the process that has bound the
    /// address of a name is the member of that name.
    fn new_member(&self, now: f64) -> FleetNode {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).ok();
        // Randomness of the system, as the wall clock may give the same time at two starts.
        let random = RandomState::new().build_hasher().finish();
        let voters = &self.file.fleet.voters;
        let identity = MemberIdentity {
            incarnation: incarnation(unix, random),
            address: self.file.advertised_address,
            seeds: self.file.peers.iter().filter(|peer| voters.contains(&peer.name)).cloned().collect(),
            secret: &self.secret,
            seed: self.seed ^ random,
        };
        FleetNode::start(now, self.file.fleet.clone(), identity)
    }

    fn on_bind_failed(&mut self, fault: &io::Error, context: &Context) {
        if matches!(self.state, MembershipState::AddressTaken { retry_at } if retry_at == 0.0) {
            warn!(context.log, "fleet not joined: the member's address is not available";
                "listen" => %self.file.listen_address, "fault" => %fault);
        }
        self.state = MembershipState::AddressTaken { retry_at: context.now() + BIND_RETRY_DELAY_SECONDS };
    }

    /// Handles readiness of the datagram socket: reads datagrams, and sends the replies.
    pub fn on_ready(&mut self, endpoints: &EndpointRegistry, context: &mut Context) {
        let MembershipState::Joined { fleet, socket, .. } = &mut self.state else { return };
        let outcome = read_datagrams(fleet, socket, context);
        if let Err(fault) = &outcome {
            warn!(context.log, "fleet datagrams failed"; "error" => %fault);
            self.retry_read = true;
        }
        self.flush(endpoints, context);
        if matches!(outcome, Ok(UnreadDatagrams::Maybe)) {
            context.wake(Source::Fleet);
        }
    }

    /// Runs the fleet protocol's timers, or tries again to bind the member's address.
    pub fn on_timer(&mut self, endpoints: &EndpointRegistry, context: &mut Context) {
        let now = context.clock.read();
        match &mut self.state {
            MembershipState::AddressTaken { retry_at } if now >= *retry_at => self.join(context),
            MembershipState::Joined { fleet, .. } => fleet.tick(now),
            MembershipState::AddressTaken { .. } | MembershipState::Left => {}
        }
        if std::mem::take(&mut self.retry_read) {
            context.wake(Source::Fleet);
        }
        self.flush(endpoints, context);
    }

    /// Sends the queued datagrams, resets the timer and logs the events.
    pub fn flush(&mut self, endpoints: &EndpointRegistry, context: &mut Context) {
        let now = context.clock.read();
        let events = self.send_datagrams(now);
        self.reset_timer(context);
        for event in events {
            self.log_event(event, endpoints, context);
        }
    }

    /// Sends the queued datagrams and returns the pending events. Grants among these are recorded in the audit file first.
    fn send_datagrams(&mut self, now: f64) -> Vec<Event> {
        let Some(fleet) = self.fleet() else { return Vec::new() };
        let (datagrams, events) = (fleet.take_datagrams(), fleet.take_events());
        let MembershipState::Joined { fleet, socket, .. } = &self.state else { return events };
        for event in &events {
            if let Event::QuotaGranted { key, term, serial, units, expires_at } = event {
                let grant = Grant {
                    id: format!("{}.{}.{}/{serial}", term.round, term.voter_index, term.incarnation),
                    units: units.sum(),
                    until: [(units.demand, expires_at.demand), (units.floor, expires_at.floor)],
                };
                self.audit.record_grant(fleet, now, *key, grant);
            }
        }
        for datagram in datagrams {
            if let Some(at) = self.address(&datagram.to).or(datagram.advertised_address) {
                // A failed send is treated like a lost datagram, which the protocol recovers from.
                let _ = socket.send_to(&datagram.bytes, &SockAddr::from(at));
            }
        }
        events
    }

    /// The address that the fleet file gives for the member of that name.
    fn address(&self, name: &str) -> Option<SocketAddr> {
        self.file.peers.iter().find(|peer| peer.name == name).map(|peer| peer.address)
    }

    fn log_event(&self, event: Event, endpoints: &EndpointRegistry, context: &Context) {
        let (log, names) = (&context.log, self.names(endpoints));
        match event {
            Event::MembershipChanged(change) => {
                info!(log, "member changed"; "member" => change.process.name.as_str(),
                    "incarnation" => change.process.incarnation, "presence" => format!("{:?}", change.presence));
            }
            Event::LeadershipChanged(true) => info!(log, "leadership acquired"),
            Event::LeadershipChanged(false) => info!(log, "leadership lost"),
            Event::LeaderFound(name) => info!(log, "leader found"; "leader" => name),
            Event::QuotaStateChanged { key, state } => {
                info!(log, "quota changed"; "budget" => names.budget(key.budget),
                    "subject" => names.subject(key.subject), "state" => format!("{state:?}"));
            }
            Event::IncompatibleMember(process) => {
                warn!(log, "member rejected, its fleet file differs"; "member" => process.name);
            }
            Event::SmallerTotal { key, own, used } => {
                warn!(log, "budget total reduced to the smaller one in another member's fleet file";
                    "budget" => names.budget(key.budget), "own" => own, "used" => used);
            }
            Event::IncarnationRaised { from, to } => {
                info!(log, "incarnation raised: another member knew a larger one for this name"; "from" => from, "to" => to);
            }
            Event::Superseded { by } => {
                warn!(log, "superseded in the fleet by a later process of the same name"; "incarnation" => by);
            }
            // Grants are recorded in the audit file. They are too frequent for the log.
            Event::QuotaGranted { .. } => {}
        }
    }

    /// Releases all quota and notifies the other members.
    pub fn leave(&mut self, endpoints: &EndpointRegistry, context: &mut Context) {
        let now = context.clock.read();
        if let Some(fleet) = self.fleet() {
            fleet.leave(now);
        }
        self.flush(endpoints, context);
    }

    /// Reads the fleet file again. If it is invalid, an error is logged and the previous file stays in force.
    pub fn reload(&mut self, endpoints: &EndpointRegistry, context: &mut Context) {
        match self.apply_totals(context.clock.read()) {
            Ok(changed) => {
                info!(context.log, "fleet file reloaded"; "changed" => changed.join(", "));
            }
            Err(fault) => {
                context.counters.reloads_failed += 1;
                warn!(context.log, "fleet file not reloaded, the old one stays in force"; "error" => %fault);
            }
        }
        self.flush(endpoints, context);
    }

    /// Applies the budget totals of the fleet file, and returns a description of each that has changed.
    ///
    /// # Errors
    /// If the file is invalid, or has a change that needs a restart. Nothing is applied then.
    fn apply_totals(&mut self, now: f64) -> Result<Vec<String>, FleetLinkError> {
        let new = files::read(&self.path, &self.name, self.longest_statement_timeout)?;
        if let Some(field) = self.file.restart_required(&new) {
            return Err(FleetLinkError::RestartRequired {
                path: self.path.clone(),
                field: field.to_string(),
            });
        }
        let (old, new) = (&self.file.fleet.budgets, new.fleet.budgets);
        let changed = old.iter().zip(&new).filter(|(old, new)| old.total != new.total);
        let changes =
            changed.map(|(old, new)| format!("{}: {} to {}", old.name, old.total, new.total)).collect();
        let total = |budget: &Budget| BudgetTotal { id: budget.id, total: budget.total };
        let totals: Vec<BudgetTotal> = new.iter().map(total).collect();
        self.file.fleet.budgets = new;
        if let Some(fleet) = self.fleet() {
            fleet.set_totals(now, &totals);
        }
        Ok(changes)
    }
}

/// Whether unread datagrams may be left, for which the edge-triggered socket reports no further readiness.
enum UnreadDatagrams {
    None,
    Maybe,
}

/// Reads datagrams and passes them to the member, [`MAX_DATAGRAMS_PER_ITERATION`] at most.
fn read_datagrams(
    fleet: &mut FleetNode,
    socket: &Rc<Socket>,
    context: &mut Context,
) -> io::Result<UnreadDatagrams> {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    for _ in 0..MAX_DATAGRAMS_PER_ITERATION {
        match socket::receive_datagram(socket, &mut buffer) {
            // The clock is read for each datagram, as the time of a grant counts from when its datagram is read.
            Ok(Some(length)) => {
                context.work.count_message(length);
                fleet.handle_datagram(context.clock.read(), &buffer[..length]);
            }
            Ok(None) => return Ok(UnreadDatagrams::None),
            // The error is about a single datagram, such as one sent earlier that was not delivered.
            Err(error) if concerns_one_datagram(error.kind()) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(UnreadDatagrams::Maybe)
}

/// Whether a failed read concerns that datagram alone, or one sent earlier, so that the next can be read at once.
fn concerns_one_datagram(kind: ErrorKind) -> bool {
    use ErrorKind::{ConnectionRefused, HostUnreachable, Interrupted, NetworkUnreachable};
    matches!(kind, ConnectionRefused | HostUnreachable | Interrupted | NetworkUnreachable)
}
