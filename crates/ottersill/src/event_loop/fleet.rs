//! What the event loop has the fleet link and the control listener do.

use std::net::SocketAddr;

use ottersill_config::fleet::BudgetKind;
use ottersill_routing::facade::RoutingEvent;
use slog::info;

use crate::control::fleet_report::FleetReport;
use crate::control::server::ControlServer;
use crate::event_loop::EventLoop;
use crate::fleet_link::FleetLink;
use crate::fleet_link::demand::{AttemptQuota, FleetDemand};
use crate::fleet_link::error::FleetLinkError;
use crate::reactor::Context;

impl EventLoop {
    /// Joins the fleet, and answers operators about it where its configuration says so.
    ///
    /// # Errors
    /// If the address for operators can't be had.
    pub fn join_fleet(&mut self, link: FleetLink) -> Result<(), FleetLinkError> {
        let control_address = link.control_address();
        let link = self.fleet_link.insert(link);
        if let Some(address) = control_address {
            open_control(&mut self.control, address, &mut self.context)?;
        }
        link.start(&self.endpoints, &mut self.context);
        Ok(())
    }

    /// Has the control listener do something.
    pub(super) fn with_control(&mut self, step: impl FnOnce(&mut ControlServer, &FleetReport, &mut Context)) {
        let report = FleetReport {
            now: self.context.clock.read(),
            link: self.fleet_link.as_ref(),
            endpoints: &self.endpoints,
        };
        step(&mut self.control, &report, &mut self.context);
    }

    /// The socket for datagrams became ready.
    pub(super) fn on_fleet_ready(&mut self) {
        if let Some(link) = &mut self.fleet_link {
            link.on_ready(&self.endpoints, &mut self.context);
        }
        self.update_fleet_quota();
    }

    /// The fleet has something to do.
    pub(super) fn on_fleet_timer(&mut self) {
        if let Some(link) = &mut self.fleet_link {
            link.on_timer(&self.endpoints, &mut self.context);
        }
    }

    /// Sends what is to be sent to the other members.
    pub(super) fn flush_fleet(&mut self) {
        if let Some(link) = &mut self.fleet_link {
            link.flush(&self.endpoints, &mut self.context);
        }
    }

    /// Gives back all quota, and says so to the others.
    pub fn leave_fleet(&mut self) {
        if let Some(link) = &mut self.fleet_link {
            link.leave(&self.endpoints, &mut self.context);
        }
    }

    /// Reads the fleet's file again.
    pub fn reload_fleet(&mut self) {
        if let Some(link) = &mut self.fleet_link {
            link.reload(&self.endpoints, &mut self.context);
        }
    }

    /// Tells the routing module what this router may spend now, and the fleet what waits for more.
    pub(super) fn update_fleet_quota(&mut self) {
        let Some(link) = &mut self.fleet_link else { return };
        let demand = FleetDemand {
            endpoints: &self.endpoints,
            routing: &self.facade,
            requests_in_flight: self.requests.count(),
        };
        let quota = link.update_quota(&demand, &mut self.context);
        self.facade.report(self.context.now(), RoutingEvent::Quota(quota));
    }

    /// Whether the fleet's budgets let an attempt go out to that endpoint now, and counts it if they do.
    pub(super) fn acquire_attempt_quota(&mut self, request_id: usize, endpoint: usize) -> bool {
        let Some(link) = &mut self.fleet_link else { return true };
        let attempt = AttemptQuota {
            endpoint: &self.endpoints[endpoint].name,
            is_retry: self.requests.get(request_id).is_some_and(|request| request.may_have_run),
            is_warming: self.facade.is_warming(self.context.now(), endpoint),
        };
        link.acquire_attempt(self.context.clock.read(), attempt)
    }

    /// Whether the fleet's budget for that lets one more be begun now, and counts it if it does.
    pub(super) fn acquire_quota(&mut self, of: BudgetKind) -> bool {
        let Some(link) = &mut self.fleet_link else { return true };
        link.acquire(self.context.clock.read(), of, "")
    }

    /// An attempt that was counted is over; `proved` if it is known to run no more.
    pub(super) fn release_attempt_quota(&mut self, endpoint: usize, proved: bool) {
        if let Some(link) = &mut self.fleet_link {
            let name = &self.endpoints[endpoint].name;
            link.release_attempt(self.context.clock.read(), name, proved);
        }
    }
}

/// Answers operators at that address from now on.
fn open_control(
    control: &mut ControlServer,
    address: SocketAddr,
    context: &mut Context,
) -> Result<(), FleetLinkError> {
    let opened = control.open(address, context);
    opened.map_err(|source| FleetLinkError::ControlListener { address, source })?;
    info!(context.log, "control listener open"; "control" => %address);
    Ok(())
}
