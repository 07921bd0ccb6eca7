//! The other members of the fleet: datagrams out and in, and what the module hears of the budgets. What may be spent is
//! said by `ottersill-fleet`; nothing here decides.

use std::io::ErrorKind;

use ottersill_config::fleet::BudgetKind;
use ottersill_fleet::datagram::MAX_DATAGRAM_BYTES;
use ottersill_fleet::membership::Presence;
use ottersill_fleet::node::{Event, FleetNode};
use ottersill_routing::facade::RoutingEvent;
use ottersill_routing::interface::EndpointQuota;
use slog::{info, warn};
use socket2::SockAddr;

use crate::event_loop::{Exchange, Party};
use crate::fleet_link::link::{Course, Link};
use crate::protocol::socket;
use crate::timers::Timer as Alarm;

/// Datagrams read in one turn, so that a flood of them holds up no statement.
const DATAGRAMS: usize = 64;
/// Between two tries to have the member's address; seconds.
const AGAIN: f64 = 0.5;

impl Exchange {
    /// Joins the fleet if the address is free.
    fn fleet_join(&mut self) {
        let Some(link) = &mut self.link else { return };
        let listen = link.file.listen;
        let opened = socket::datagrams(listen).and_then(|socket| self.attend(socket, Party::Fleet));
        let Some(link) = &mut self.link else { return };
        match opened {
            Ok((socket, token)) => {
                link.join(self.now, socket, token);
                info!(self.log, "joined the fleet"; "listen" => %listen);
            }
            Err(fault) => {
                if matches!(link.course, Course::Barred { again_at } if again_at == 0.0) {
                    warn!(self.log, "no part of the fleet's budgets: its address can't be had"; "listen" => %listen,
                        "fault" => %fault);
                }
                link.course = Course::Barred { again_at: self.now + AGAIN };
            }
        }
    }

    pub fn fleet_is_ready(&mut self) {
        let mut space = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..DATAGRAMS {
            let Some(Link { course: Course::Joined { fleet, socket, .. }, .. }) = &mut self.link else {
                return;
            };
            match socket::datagram(socket, &mut space) {
                // Each by the clock as it is when it is read: what is granted counts from then.
                Ok(Some(length)) => fleet.handle_datagram(self.clock.now(), &space[..length]),
                Ok(None) => return self.fleet_after(),
                // An earlier datagram found nobody, or no way; the next may be in order.
                Err(e) if is_of_one_datagram(e.kind()) => {}
                Err(e) => {
                    warn!(self.log, "fleet datagrams"; "fault" => %e);
                    if let Some(link) = &mut self.link {
                        link.read_again = true;
                    }
                    return self.fleet_after();
                }
            }
        }
        self.fleet_after();
        self.again(Party::Fleet);
    }

    pub fn fleet_is_due(&mut self) {
        let now = self.clock.now();
        match self.link.as_mut().map(|link| &mut link.course) {
            Some(Course::Barred { again_at }) if now >= *again_at => self.fleet_join(),
            Some(Course::Joined { fleet, .. }) => fleet.tick(now),
            _ => {}
        }
        if self.link.as_mut().is_some_and(|link| std::mem::take(&mut link.read_again)) {
            self.again(Party::Fleet);
        }
        self.fleet_after();
    }

    /// Sends what is to be sent, says what changed, and sets the alarm anew.
    pub fn fleet_after(&mut self) {
        let now = self.clock.now();
        let Some(link) = &mut self.link else { return };
        let (datagrams, events) =
            link.fleet().map_or_else(Default::default, |fleet| (fleet.take_datagrams(), fleet.take_events()));
        for event in &events {
            link.note(now, event);
        }
        for datagram in datagrams {
            let at = link.address(&datagram.to).or(datagram.advertised_address);
            if let (Some(at), Course::Joined { socket, .. }) = (at, &link.course) {
                // One that is lost is asked for again.
                let _ = socket.send_to(&datagram.bytes, &SockAddr::from(at));
            }
        }
        self.alarms.clear(link.alarm.take());
        let next = link.next_at();
        if next.is_finite() {
            link.alarm = Some(self.alarms.set(next, Alarm::Fleet));
        }
        for event in events {
            self.fleet_logs(event);
        }
    }

    fn fleet_logs(&self, event: Event) {
        match event {
            Event::MembershipChanged(change) => {
                info!(self.log, "member"; "member" => change.process.name.as_str(),
                    "incarnation" => change.process.incarnation, "presence" => format!("{:?}", change.presence));
            }
            Event::LeadershipChanged(true) => info!(self.log, "keeps the books of the fleet"),
            Event::LeadershipChanged(false) => info!(self.log, "no longer keeps the books of the fleet"),
            Event::LeaderFound(name) => info!(self.log, "asks for its parts"; "keeper" => name),
            Event::QuotaStateChanged { key, state } => {
                info!(self.log, "part of a budget"; "budget" => self.budget_name(key.budget),
                    "subject" => self.subject_name(key.subject), "standing" => format!("{state:?}"));
            }
            Event::IncompatibleMember(process) => {
                warn!(self.log, "a member whose file differs in what has to be alike"; "member" => process.name);
            }
            Event::SmallerTotal { key, own, used } => {
                warn!(self.log, "another member's file has a smaller whole, which is gone by";
                    "budget" => self.budget_name(key.budget), "own" => own, "used" => used);
            }
            Event::IncarnationRaised { from, to } => {
                info!(self.log, "a larger incarnation of this name was known, taken a larger one still"; "from" => from, "to" => to);
            }
            Event::Superseded { by } => {
                warn!(self.log, "no part of the fleet's budgets: a later process of this name is known"; "incarnation" => by);
            }
            // Each is in the audit; in the log they would bury all else.
            Event::QuotaGranted { .. } => {}
        }
    }

    pub fn budget_name(&self, id: u64) -> String {
        let budget = self.link.as_ref().and_then(|link| link.file.fleet.budget(id));
        budget.map_or_else(|| format!("{id:x}"), |budget| budget.name.clone())
    }

    /// The host that a label stands for, as far as it is known here.
    pub fn subject_name(&self, label: u64) -> String {
        if label == 0 {
            return String::new();
        }
        let host = self.hosts.all.iter().find(|host| host.label == label);
        host.map_or_else(|| format!("{label:x}"), |host| host.name.clone())
    }

    /// Tells the module what its parts are now, and the fleet what waits for more.
    pub fn fleet_parts(&mut self) {
        let Some(mut link) = self.link.take() else { return };
        let now = self.clock.now();
        link.parts.hosts.clear();
        let in_hand = self.statements.in_hand();
        for (index, host) in self.hosts.all.iter().enumerate() {
            let waiting = self.facade.waiting(host.listed.group) as u64;
            let units = link.key(BudgetKind::AttemptsPerEndpoint, &host.name).map(|key| {
                link.fleet().map_or(0, |fleet| {
                    fleet.track(now, key);
                    if waiting > 0 && !fleet.is_available(now, key) {
                        fleet.note_waiting(now, key, waiting);
                    }
                    fleet.spendable(now, key).saturating_sub(fleet.lingering(key))
                })
            });
            // One budget a host that is cold; what a warm one had of it is given back when nobody asks for it.
            let cold = self.facade.is_cold(self.now, index);
            let key = link.key(BudgetKind::AttemptsPerWarmingEndpoint, &host.name).filter(|_| cold);
            let tokens = key.map(|key| {
                link.fleet().map_or(0.0, |fleet| {
                    let tokens = fleet.tokens(now, key);
                    // Nothing waits for a cold host as long as a warm one has room: who has traffic wants a part.
                    if in_hand > 0 && tokens < 1.0 {
                        fleet.note_waiting(now, key, 1);
                    }
                    tokens
                })
            });
            let units = units.map(|units| units as f64);
            if units.is_some() || tokens.is_some() {
                link.parts.hosts.push(EndpointQuota { host: index, units, tokens });
            }
        }
        let here = |fleet: &mut FleetNode| fleet.members().filter(|m| m.presence == Presence::Here).count();
        link.parts.routers = link.fleet().map(here);
        link.parts.second_tries = link
            .key(BudgetKind::Retries, "")
            .map(|key| link.fleet().map_or(0.0, |fleet| fleet.tokens(now, key)));
        self.facade.report(self.now, RoutingEvent::Quota(&link.parts));
        let next = link.next_at();
        self.alarms.clear(link.alarm.take());
        if next.is_finite() {
            link.alarm = Some(self.alarms.set(next, Alarm::Fleet));
        }
        self.link = Some(link);
    }

    /// Whether the fleet's budgets let an execution go out to that host now, and counts it if they do.
    pub fn fleet_lets(&mut self, stmt: usize, host: usize) -> bool {
        let now = self.clock.now();
        let again = self.statements.get(stmt).is_some_and(|held| held.ran);
        let Some(link) = &mut self.link else { return true };
        let name = &self.hosts.all[host].name;
        if again && !link.take(now, BudgetKind::Retries, "") {
            return false;
        }
        // What is taken for one budget and not had of the next is lost to this router for a while, and to nobody else.
        let cold = self.facade.is_cold(self.now, host);
        (!cold || link.take(now, BudgetKind::AttemptsPerWarmingEndpoint, name))
            && link.take(now, BudgetKind::AttemptsPerEndpoint, name)
    }

    pub fn fleet_has(&mut self, of: BudgetKind) -> bool {
        let now = self.clock.now();
        self.link.as_mut().is_none_or(|link| link.take(now, of, ""))
    }

    /// An execution that was counted is over; `proved` if it is known to run no more.
    pub fn fleet_ends(&mut self, host: usize, proved: bool) {
        let now = self.clock.now();
        if let Some(link) = &mut self.link {
            link.put(now, BudgetKind::AttemptsPerEndpoint, &self.hosts.all[host].name, proved);
        }
    }

    pub fn fleet_leaves(&mut self) {
        let now = self.clock.now();
        if let Some(fleet) = self.link.as_mut().and_then(Link::fleet) {
            FleetNode::leave(fleet, now);
        }
        self.fleet_after();
    }

    pub fn fleet_reloads(&mut self) {
        let now = self.clock.now();
        let Some(link) = &mut self.link else { return };
        match link.reload(now) {
            Ok(changed) => info!(self.log, "the fleet's file read again"; "changed" => changed.join(", ")),
            Err(fault) => {
                self.counters.reloads_failed += 1;
                warn!(self.log, "the fleet's file not taken, all goes on as it was"; "fault" => fault);
            }
        }
        self.fleet_after();
    }
}

/// Whether a failed read of a datagram tells about that one alone, or one sent before, so that the next can be read at once.
fn is_of_one_datagram(kind: ErrorKind) -> bool {
    use ErrorKind::{ConnectionRefused, HostUnreachable, Interrupted, NetworkUnreachable};
    matches!(kind, ConnectionRefused | HostUnreachable | Interrupted | NetworkUnreachable)
}

/// Joins the fleet, and answers operators about it; the error is one line for the operator.
pub fn begin(exchange: &mut Exchange, link: Link) -> Result<(), String> {
    exchange.link = Some(link);
    exchange.open_control()?;
    exchange.fleet_join();
    exchange.fleet_after();
    Ok(())
}
