//! The other members of the fleet: datagrams out and in, and log lines about them. `ottersill-fleet` decides.

use std::io::ErrorKind;

use ottersill_fleet::datagram::MAX_DATAGRAM_BYTES;
use ottersill_fleet::node::{Event, FleetNode};
use slog::{info, warn};
use socket2::SockAddr;

use crate::event_loop::EventLoop;
use crate::fleet_link::error::FleetLinkError;
use crate::fleet_link::link::{FleetLink, MembershipState};
use crate::protocol::socket;
use crate::reactor::Source;

/// Datagrams read in one iteration, so that a flood of them holds up no statement.
const MAX_DATAGRAMS_PER_WAKE: usize = 64;
/// Between two tries to have the member's address; seconds.
const BIND_RETRY_DELAY: f64 = 0.5;

impl EventLoop {
    /// Joins the fleet if the address is free.
    fn join_fleet(&mut self) {
        let Some(link) = &mut self.fleet_link else { return };
        let listen = link.file.listen;
        let opened = socket::bind_datagram(listen).and_then(|socket| self.register(socket, Source::Fleet));
        let Some(link) = &mut self.fleet_link else { return };
        match opened {
            Ok((socket, token)) => {
                link.join(self.clock.now(), socket, token);
                info!(self.log, "joined the fleet"; "listen" => %listen);
            }
            Err(fault) => {
                if matches!(link.state, MembershipState::AddressTaken { retry_at } if retry_at == 0.0) {
                    warn!(self.log, "no part of the fleet's budgets: its address can't be had"; "listen" => %listen,
                        "fault" => %fault);
                }
                link.state = MembershipState::AddressTaken { retry_at: self.clock.now() + BIND_RETRY_DELAY };
            }
        }
    }

    /// The socket for datagrams became ready.
    pub fn on_fleet_ready(&mut self) {
        let mut space = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..MAX_DATAGRAMS_PER_WAKE {
            let Some(FleetLink { state: MembershipState::Joined { fleet, socket, .. }, .. }) =
                &mut self.fleet_link
            else {
                return;
            };
            match socket::receive_datagram(socket, &mut space) {
                // Each by the clock as it is when it is read: what is granted counts from then.
                Ok(Some(length)) => fleet.handle_datagram(self.clock.read(), &space[..length]),
                Ok(None) => return self.flush_fleet(),
                // An earlier datagram found nobody, or no way; the next may be in order.
                Err(e) if is_of_one_datagram(e.kind()) => {}
                Err(e) => {
                    warn!(self.log, "fleet datagrams"; "fault" => %e);
                    if let Some(link) = &mut self.fleet_link {
                        link.read_again_later();
                    }
                    return self.flush_fleet();
                }
            }
        }
        self.flush_fleet();
        self.wake(Source::Fleet);
    }

    /// The fleet has something to do, or its address is tried again.
    pub fn on_fleet_timer(&mut self) {
        let now = self.clock.read();
        match self.fleet_link.as_mut().map(|link| &mut link.state) {
            Some(MembershipState::AddressTaken { retry_at }) if now >= *retry_at => self.join_fleet(),
            Some(MembershipState::Joined { fleet, .. }) => fleet.tick(now),
            _ => {}
        }
        if self.fleet_link.as_mut().is_some_and(FleetLink::take_read_again) {
            self.wake(Source::Fleet);
        }
        self.flush_fleet();
    }

    /// Sends what is to be sent, says what changed, and sets the timer anew.
    pub fn flush_fleet(&mut self) {
        let now = self.clock.read();
        let Some(link) = &mut self.fleet_link else { return };
        let (datagrams, events) =
            link.fleet().map_or_else(Default::default, |fleet| (fleet.take_datagrams(), fleet.take_events()));
        for event in &events {
            link.record(now, event);
        }
        for datagram in datagrams {
            let at = link.address(&datagram.to).or(datagram.advertised_address);
            if let (Some(at), MembershipState::Joined { socket, .. }) = (at, &link.state) {
                // One that is lost is asked for again.
                let _ = socket.send_to(&datagram.bytes, &SockAddr::from(at));
            }
        }
        link.reset_timer(&mut self.timers);
        for event in events {
            self.log_fleet_event(event);
        }
    }

    fn log_fleet_event(&self, event: Event) {
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

    /// The name of a budget, or its identifier where the file names none.
    pub fn budget_name(&self, id: u64) -> String {
        let budget = self.fleet_link.as_ref().and_then(|link| link.file.fleet.budget(id));
        budget.map_or_else(|| format!("{id:x}"), |budget| budget.name.clone())
    }

    /// The endpoint that a label stands for, as far as it is known here.
    pub fn subject_name(&self, label: u64) -> String {
        if label == 0 {
            return String::new();
        }
        let host = self.endpoints.by_label(label);
        host.map_or_else(|| format!("{label:x}"), |host| host.name.clone())
    }

    /// Gives back all quota, and says so to the others.
    pub fn leave_fleet(&mut self) {
        let now = self.clock.read();
        if let Some(fleet) = self.fleet_link.as_mut().and_then(FleetLink::fleet) {
            FleetNode::leave(fleet, now);
        }
        self.flush_fleet();
    }

    /// Reads the fleet's file again.
    pub fn reload_fleet(&mut self) {
        let now = self.clock.read();
        let Some(link) = &mut self.fleet_link else { return };
        match link.reload(now) {
            Ok(changed) => info!(self.log, "the fleet's file read again"; "changed" => changed.join(", ")),
            Err(fault) => {
                self.counters.reloads_failed += 1;
                warn!(self.log, "the fleet's file not taken, all goes on as it was"; "fault" => %fault);
            }
        }
        self.flush_fleet();
    }
}

/// Whether a failed read of a datagram tells about that one alone, or one sent before, so that the next can be read at once.
fn is_of_one_datagram(kind: ErrorKind) -> bool {
    use ErrorKind::{ConnectionRefused, HostUnreachable, Interrupted, NetworkUnreachable};
    matches!(kind, ConnectionRefused | HostUnreachable | Interrupted | NetworkUnreachable)
}

/// Joins the fleet, and answers operators about it.
///
/// # Errors
/// If the address for operators can't be had.
pub fn begin(event_loop: &mut EventLoop, link: FleetLink) -> Result<(), FleetLinkError> {
    event_loop.fleet_link = Some(link);
    event_loop.open_control()?;
    event_loop.join_fleet();
    event_loop.flush_fleet();
    Ok(())
}
