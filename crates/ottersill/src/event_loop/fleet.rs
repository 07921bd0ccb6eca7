//! The event loop's handling of the fleet link and the control listener.

use std::net::SocketAddr;

use ottersill_config::fleet::BudgetKind;
use ottersill_routing::facade::RoutingEvent;
use slog::info;

use crate::control::fleet_report::FleetReport;
use crate::control::server::ControlServer;
use crate::event_loop::EventLoop;
use crate::fleet_link::FleetLink;
use crate::fleet_link::demand::{AttemptQuotaRequest, FleetDemand};
use crate::fleet_link::error::FleetLinkError;
use crate::reactor::Context;

impl EventLoop {
    /// Joins the fleet, and opens the control listener if the fleet's configuration has an address for it.
    ///
    /// # Errors
    /// If the control address can't be bound.
    pub fn join_fleet(&mut self, link: FleetLink) -> Result<(), FleetLinkError> {
        let control_address = link.control_address();
        let link = self.fleet_link.insert(link);
        if let Some(address) = control_address {
            open_control(&mut self.control, address, &mut self.context)?;
        }
        link.start(&self.endpoints, &mut self.context);
        Ok(())
    }

    /// Runs `step` on the control server, with a report of the fleet's current state.
    pub(super) fn with_control(&mut self, step: impl FnOnce(&mut ControlServer, &FleetReport, &mut Context)) {
        let report = FleetReport {
            now: self.context.clock.read(),
            link: self.fleet_link.as_ref(),
            endpoints: &self.endpoints,
        };
        step(&mut self.control, &report, &mut self.context);
    }

    /// Handles readiness of the socket for fleet datagrams.
    pub(super) fn on_fleet_ready(&mut self) {
        if let Some(link) = &mut self.fleet_link {
            link.on_ready(&self.endpoints, &mut self.context);
        }
        self.update_fleet_quota();
    }

    /// Handles the expired timer of the fleet link.
    pub(super) fn on_fleet_timer(&mut self) {
        if let Some(link) = &mut self.fleet_link {
            link.on_timer(&self.endpoints, &mut self.context);
        }
    }

    /// Sends the pending datagrams to the other members.
    pub(super) fn flush_fleet(&mut self) {
        if let Some(link) = &mut self.fleet_link {
            link.flush(&self.endpoints, &mut self.context);
        }
    }

    /// Releases all quota and notifies the other members.
    pub fn leave_fleet(&mut self) {
        if let Some(link) = &mut self.fleet_link {
            link.leave(&self.endpoints, &mut self.context);
        }
    }

    /// Reloads the fleet file.
    pub fn reload_fleet(&mut self) {
        if let Some(link) = &mut self.fleet_link {
            link.reload(&self.endpoints, &mut self.context);
        }
    }

    /// Reports this router's current quota to the routing module, and its demand for more to the fleet.
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

    /// Acquires quota for an attempt at that endpoint; false if the fleet's budgets have none left now.
    pub(super) fn acquire_attempt_quota(&mut self, request_id: usize, endpoint: usize) -> bool {
        let Some(link) = &mut self.fleet_link else { return true };
        let attempt = AttemptQuotaRequest {
            endpoint: &self.endpoints[endpoint].name,
            is_retry: self.requests.get(request_id).is_some_and(|request| request.may_have_run),
            is_warming: self.facade.is_warming(self.context.now(), endpoint),
        };
        link.acquire_attempt(self.context.clock.read(), attempt)
    }

    /// Acquires one unit of that budget; false if the fleet has none left now.
    pub(super) fn acquire_quota(&mut self, budget: BudgetKind) -> bool {
        let Some(link) = &mut self.fleet_link else { return true };
        link.acquire(self.context.clock.read(), budget, "")
    }

    /// Releases the quota of an attempt; `proved_over` says whether it is known to run no longer at the endpoint.
    pub(super) fn release_attempt_quota(&mut self, endpoint: usize, proved_over: bool) {
        if let Some(link) = &mut self.fleet_link {
            let name = &self.endpoints[endpoint].name;
            link.release_attempt(self.context.clock.read(), name, proved_over);
        }
    }
}

/// Opens the control listener at that address.
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
