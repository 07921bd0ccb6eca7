//! The link to the other routers of the fleet: membership, datagrams, quota leases and the audit file. It does the input and
//! output; the decisions are made in the crate `ottersill-fleet`.

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

/// Whether this process is a member of the fleet.
pub enum MembershipState {
    /// The member's address is not bound, as another process has bound it: that process is the member then.
    /// Binding is tried again at `retry_at`; until it succeeds, this router has no quota of any budget.
    AddressTaken {
        /// When binding is tried again, in Unix seconds; 0 before the first try.
        retry_at: f64,
    },
    /// This process is the member.
    Joined {
        /// This member's side of the fleet protocol.
        fleet: Box<FleetNode>,
        /// The datagram socket.
        socket: Rc<Socket>,
        /// The registration of the socket at the event loop.
        token: RegistrationToken,
    },
    /// This process has left the fleet and released all quota.
    Left,
}

/// The link to the other routers of the fleet. Points in time are Unix seconds.
pub struct FleetLink {
    /// The path of the fleet file.
    path: String,
    /// This router's name.
    name: String,
    /// The longest statement timeout of all workloads, in seconds.
    longest_statement_timeout: f64,
    /// The fleet file in force.
    file: FleetFile,
    secret: Vec<u8>,
    seed: u64,
    state: MembershipState,
    audit: Audit,
    timer: Option<TimerHandle>,
    /// Reading datagrams failed, for instance for lack of memory. They are read again at the next timer, as the edge-triggered
    /// socket reports no readiness for datagrams that have already arrived.
    retry_read: bool,
    /// The quota last reported to the routing module.
    quota: FleetQuota,
    /// The number of acquisitions that were refused.
    refused: u64,
}

impl FleetLink {
    /// Reads the fleet file at `path` without joining the fleet, which [`start`](Self::start) does.
    ///
    /// # Errors
    /// If the fleet file, its key file or its audit file can't be opened, or one of the first two is invalid.
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
            retry_read: false,
            quota: FleetQuota::default(),
            refused: 0,
        })
    }

    /// Whether this process is a member of the fleet.
    pub fn state(&self) -> &MembershipState {
        &self.state
    }

    /// The address of the control listener, if the fleet file gives one.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.file.control_address
    }

    /// The number of acquisitions that were refused.
    pub fn refused_acquisitions(&self) -> u64 {
        self.refused
    }

    /// The number of audit lines that could not be written.
    pub fn unwritten_audit_lines(&self) -> u64 {
        self.audit.unwritten_lines()
    }

    /// The names of the budgets in the fleet file in force, and of endpoints.
    pub fn names<'a>(&'a self, endpoints: &'a EndpointRegistry) -> BudgetNames<'a> {
        BudgetNames::new(&self.file.fleet, endpoints)
    }

    /// This member's side of the fleet protocol, if this process has joined the fleet.
    fn fleet(&mut self) -> Option<&mut FleetNode> {
        match &mut self.state {
            MembershipState::Joined { fleet, .. } => Some(fleet),
            MembershipState::AddressTaken { .. } | MembershipState::Left => None,
        }
    }

    /// Sets the timer to [`next_at`](Self::next_at), or clears it if there is nothing to do.
    fn reset_timer(&mut self, context: &mut Context) {
        context.timers.clear(self.timer.take());
        let next = self.next_at();
        if next.is_finite() {
            self.timer = Some(context.timers.set(next, Timer::Fleet));
        }
    }

    /// When the fleet protocol, or binding the address, is due next; infinite if never.
    fn next_at(&self) -> f64 {
        match &self.state {
            MembershipState::AddressTaken { retry_at } => *retry_at,
            MembershipState::Joined { fleet, .. } => fleet.next_timeout(),
            MembershipState::Left => f64::INFINITY,
        }
    }
}
