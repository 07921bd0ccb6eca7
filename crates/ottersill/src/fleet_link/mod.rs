//! The link to the other routers of the fleet: membership, datagrams, quota leases, the audit file. `ottersill-fleet`
//! decides.

mod audit;
pub mod audit_file;
mod datagrams;
pub mod demand;
pub mod error;
mod files;
pub mod names;
mod quota;

use std::net::SocketAddr;
use std::rc::Rc;

use calloop::RegistrationToken;
use ottersill_config::fleet::FleetFile;
use ottersill_fleet::node::FleetNode;
use ottersill_routing::interface::FleetQuota;
use socket2::Socket;

use crate::discovery::registry::EndpointRegistry;
use crate::fleet_link::audit::Audit;
use crate::fleet_link::error::FleetLinkError;
use crate::fleet_link::names::BudgetNames;
use crate::reactor::Context;
use crate::timers::{Timer, TimerHandle};

/// Where the link stands.
pub enum MembershipState {
    /// Another process holds the member's address: whoever has it is the member. Tried again at `retry_at`; until then
    /// this router has no part of any budget.
    AddressTaken {
        /// When binding it is tried again, in Unix seconds.
        retry_at: f64,
    },
    /// This process is the member.
    Joined {
        /// Its part in the protocol of the fleet.
        fleet: Box<FleetNode>,
        /// For datagrams.
        socket: Rc<Socket>,
        /// Of its registration at the event loop.
        token: RegistrationToken,
    },
    /// Everything was given back.
    Left,
}

/// The link to the other routers. Times are Unix seconds.
pub struct FleetLink {
    path: String,
    name: String,
    longest_statement_timeout: f64,
    /// The configuration in force.
    file: FleetFile,
    secret: Vec<u8>,
    seed: u64,
    /// Whether this process is the member.
    state: MembershipState,
    audit: Audit,
    timer: Option<TimerHandle>,
    /// Reading datagrams failed for want of memory: read again with the next tick, as no readiness tells of those that have
    /// come already.
    read_again: bool,
    /// What the routing module was last told.
    quota: FleetQuota,
    /// Acquisitions that were refused.
    refused: u64,
}

impl FleetLink {
    /// Reads the file at `path`; the fleet is joined by [`start`](Self::start).
    ///
    /// # Errors
    /// If the file, its key file or its audit file can't be used.
    pub fn open(
        path: &str,
        name: &str,
        longest_statement_timeout: f64,
        seed: u64,
    ) -> Result<FleetLink, FleetLinkError> {
        let file = files::read(path, name, longest_statement_timeout)?;
        let secret = files::secret(&file.key_file)?;
        let audit = Audit::open(path, file.audit_file.as_deref())?;
        Ok(FleetLink {
            path: path.to_string(),
            name: name.to_string(),
            longest_statement_timeout,
            file,
            secret,
            seed,
            state: MembershipState::AddressTaken { retry_at: 0.0 },
            audit,
            timer: None,
            read_again: false,
            quota: FleetQuota::default(),
            refused: 0,
        })
    }

    /// Whether this process is the member.
    pub fn state(&self) -> &MembershipState {
        &self.state
    }

    /// Where operators are answered, if the configuration says so.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.file.control
    }

    /// Acquisitions that were refused.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Lines of the audit file that could not be written.
    pub fn unwritten(&self) -> u64 {
        self.audit.unwritten()
    }

    /// The names of the budgets in the configuration in force.
    pub fn names<'a>(&'a self, endpoints: &'a EndpointRegistry) -> BudgetNames<'a> {
        BudgetNames::new(&self.file.fleet, endpoints)
    }

    /// The member, once it has joined.
    fn fleet(&mut self) -> Option<&mut FleetNode> {
        match &mut self.state {
            MembershipState::Joined { fleet, .. } => Some(fleet),
            MembershipState::AddressTaken { .. } | MembershipState::Left => None,
        }
    }

    /// Sets the timer for what the fleet has to do next.
    fn reset_timer(&mut self, context: &mut Context) {
        context.timers.clear(self.timer.take());
        let next = self.next_at();
        if next.is_finite() {
            self.timer = Some(context.timers.set(next, Timer::Fleet));
        }
    }

    /// When the fleet has something to do; infinite if never.
    fn next_at(&self) -> f64 {
        match &self.state {
            MembershipState::AddressTaken { retry_at } => *retry_at,
            MembershipState::Joined { fleet, .. } => fleet.next_timeout(),
            MembershipState::Left => f64::INFINITY,
        }
    }
}
