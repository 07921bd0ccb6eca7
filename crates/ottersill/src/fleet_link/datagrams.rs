//! The other members of the fleet: joining them, datagrams out and in, and log lines about them.

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

/// Datagrams read in one iteration, so that a flood of them holds up no statement.
const MAX_DATAGRAMS_PER_WAKE: usize = 64;
/// Between two tries to have the member's address; seconds.
const BIND_RETRY_DELAY: f64 = 0.5;

impl FleetLink {
    /// Joins the fleet if the address is free; it is tried again if not.
    pub fn start(&mut self, endpoints: &EndpointRegistry, context: &mut Context) {
        self.join(context);
        self.flush(endpoints, context);
    }

    fn join(&mut self, context: &mut Context) {
        let listen = self.file.listen;
        let opened = socket::bind_datagram(listen).and_then(|socket| context.register(socket, Source::Fleet));
        match opened {
            Ok((socket, token)) => {
                let fleet = Box::new(self.new_member(context.now()));
                self.state = MembershipState::Joined { fleet, socket, token };
                info!(context.log, "joined the fleet"; "listen" => %listen);
            }
            Err(fault) => self.on_address_taken(&fault, context),
        }
    }

    /// The address is ours from here on: who has it is the member of that name.
    fn new_member(&self, now: f64) -> FleetNode {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).ok();
        // The system's randomness: the wall clock may say twice the same.
        let random = RandomState::new().build_hasher().finish();
        let voters = &self.file.fleet.voters;
        let identity = MemberIdentity {
            incarnation: incarnation(unix, random),
            address: self.file.at,
            seeds: self.file.peers.iter().filter(|peer| voters.contains(&peer.name)).cloned().collect(),
            secret: &self.secret,
            seed: self.seed ^ random,
        };
        FleetNode::start(now, self.file.fleet.clone(), identity)
    }

    fn on_address_taken(&mut self, fault: &io::Error, context: &Context) {
        if matches!(self.state, MembershipState::AddressTaken { retry_at } if retry_at == 0.0) {
            warn!(context.log, "not in the fleet: its address is not available"; "listen" => %self.file.listen,
                "fault" => %fault);
        }
        self.state = MembershipState::AddressTaken { retry_at: context.now() + BIND_RETRY_DELAY };
    }

    /// The socket for datagrams became ready.
    pub fn on_ready(&mut self, endpoints: &EndpointRegistry, context: &mut Context) {
        let MembershipState::Joined { fleet, socket, .. } = &mut self.state else { return };
        let outcome = read_datagrams(fleet, socket, context);
        if let Err(fault) = &outcome {
            warn!(context.log, "fleet datagrams failed"; "error" => %fault);
            self.read_again = true;
        }
        self.flush(endpoints, context);
        if matches!(outcome, Ok(DatagramsLeft::Maybe)) {
            context.wake(Source::Fleet);
        }
    }

    /// The fleet has something to do, or its address is tried again.
    pub fn on_timer(&mut self, endpoints: &EndpointRegistry, context: &mut Context) {
        let now = context.clock.read();
        match &mut self.state {
            MembershipState::AddressTaken { retry_at } if now >= *retry_at => self.join(context),
            MembershipState::Joined { fleet, .. } => fleet.tick(now),
            MembershipState::AddressTaken { .. } | MembershipState::Left => {}
        }
        if std::mem::take(&mut self.read_again) {
            context.wake(Source::Fleet);
        }
        self.flush(endpoints, context);
    }

    /// Sends what is to be sent, says what changed, and sets the timer anew.
    pub fn flush(&mut self, endpoints: &EndpointRegistry, context: &mut Context) {
        let now = context.clock.read();
        let events = self.send_datagrams(now);
        self.reset_timer(context);
        for event in events {
            self.log_event(event, endpoints, context);
        }
    }

    /// Sends the datagrams that wait; gives the events that came with them, their rights written down first.
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
                // One that is lost is asked for again.
                let _ = socket.send_to(&datagram.bytes, &SockAddr::from(at));
            }
        }
        events
    }

    /// Where the member of that name is reached.
    fn address(&self, to: &str) -> Option<SocketAddr> {
        self.file.peers.iter().find(|peer| peer.name == to).map(|peer| peer.address)
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
                warn!(log, "smaller total of another member's file in force";
                    "budget" => names.budget(key.budget), "own" => own, "used" => used);
            }
            Event::IncarnationRaised { from, to } => {
                info!(log, "incarnation raised, a larger one of this name was known"; "from" => from, "to" => to);
            }
            Event::Superseded { by } => {
                warn!(log, "not in the fleet: a later process of this name is known"; "incarnation" => by);
            }
            // Each is in the audit; in the log they would bury all else.
            Event::QuotaGranted { .. } => {}
        }
    }

    /// Gives back all quota, and says so to the others.
    pub fn leave(&mut self, endpoints: &EndpointRegistry, context: &mut Context) {
        let now = context.clock.read();
        if let Some(fleet) = self.fleet() {
            fleet.leave(now);
        }
        self.flush(endpoints, context);
    }

    /// Reads the fleet's file again; what is wrong with it is logged, and all goes on as it was then.
    pub fn reload(&mut self, endpoints: &EndpointRegistry, context: &mut Context) {
        match self.take_over_totals(context.clock.read()) {
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

    /// Takes over the totals of budgets from the fleet's file; gives which have changed.
    ///
    /// # Errors
    /// If the file is wrong, or something has changed in it that needs a restart; nothing is taken over then.
    fn take_over_totals(&mut self, now: f64) -> Result<Vec<String>, FleetLinkError> {
        let new = files::read(&self.path, &self.name, self.longest_statement_timeout)?;
        if let Some(field) = self.file.restart_required(&new) {
            return Err(FleetLinkError::RestartRequired {
                path: self.path.clone(),
                field: field.to_string(),
            });
        }
        let (old, new) = (&self.file.fleet.budgets, new.fleet.budgets);
        let changed = old.iter().zip(&new).filter(|(old, new)| old.total != new.total);
        let told =
            changed.map(|(old, new)| format!("{}: {} to {}", old.name, old.total, new.total)).collect();
        let total = |budget: &Budget| BudgetTotal { id: budget.id, total: budget.total };
        let totals: Vec<BudgetTotal> = new.iter().map(total).collect();
        self.file.fleet.budgets = new;
        if let Some(fleet) = self.fleet() {
            fleet.set_totals(now, &totals);
        }
        Ok(told)
    }
}

/// Whether datagrams may be left that nothing tells of again.
enum DatagramsLeft {
    None,
    Maybe,
}

/// Hands the member the datagrams that have come.
fn read_datagrams(
    fleet: &mut FleetNode,
    socket: &Rc<Socket>,
    context: &Context,
) -> io::Result<DatagramsLeft> {
    let mut space = [0; MAX_DATAGRAM_BYTES];
    for _ in 0..MAX_DATAGRAMS_PER_WAKE {
        match socket::receive_datagram(socket, &mut space) {
            // Each by the clock as it is when it is read: what is granted counts from then.
            Ok(Some(length)) => fleet.handle_datagram(context.clock.read(), &space[..length]),
            Ok(None) => return Ok(DatagramsLeft::None),
            // An earlier datagram found nobody, or no way; the next may be in order.
            Err(error) if is_of_one_datagram(error.kind()) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(DatagramsLeft::Maybe)
}

/// Whether a failed read of a datagram tells about that one alone, or one sent before, so that the next can be read at once.
fn is_of_one_datagram(kind: ErrorKind) -> bool {
    use ErrorKind::{ConnectionRefused, HostUnreachable, Interrupted, NetworkUnreachable};
    matches!(kind, ConnectionRefused | HostUnreachable | Interrupted | NetworkUnreachable)
}
