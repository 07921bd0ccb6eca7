//! One router of the simulation, with the mapping between names on the wire and indices of routing.
//!
//! Routing identifies endpoints, groups, requests, workloads and tenants by small indices. [`Instance`] converts the names
//! in events to indices and passes the events to its [`Router`]. The module `transport` converts the router's decisions
//! back to actions of the wire.

mod endpoints;
mod requests;
mod transport;

use std::collections::HashMap;

use ottersill_config::deployment::DeploymentNames;
use ottersill_routing::Router;
use ottersill_routing::interface::{AttemptOutcome, AttemptResult, LoadReport, Request, Role};

use crate::error::EventError;
use crate::wire::RequestId;
use crate::wire::event::{
    Create, Demand, Entry, HealthResult, Pressure, Progress, ProgressRole, Resolved, Tenant,
};
use crate::wire::reply::Reply;
use endpoints::EndpointTable;
use requests::RequestTable;
use transport::ReplyTransport;

/// Which endpoints a list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only endpoints whose entries changed.
    Changes,
    /// All endpoints. One that is absent has been removed.
    Full,
}

/// One router and its names. Actions are written to the reply that is passed to each call.
pub struct Instance {
    router: Router,
    names: Names,
}

/// The mappings between names on the wire and indices of routing.
struct Names {
    deployment: DeploymentNames,
    endpoints: EndpointTable,
    groups: GroupTable,
    requests: RequestTable,
}

/// The index of each group by its number. Indices are assigned in the order in which groups first appear.
#[derive(Default)]
struct GroupTable(HashMap<u64, usize>);

impl GroupTable {
    fn index(&mut self, number: u64) -> usize {
        let next = self.0.len();
        *self.0.entry(number).or_insert(next)
    }
}

impl Instance {
    /// Starts a router. Here and below, `now` is the clock time of the batch in seconds.
    ///
    /// # Errors
    ///
    /// Returns [`EventError::Settings`] if the settings are rejected.
    pub fn start(now: f64, create: &Create, reply: &mut Reply) -> Result<Instance, EventError> {
        let settings = &create.boot_info;
        let config = settings.routing_config(create.nonce64)?;
        let mut names = Names {
            deployment: settings.names(),
            endpoints: EndpointTable::default(),
            groups: GroupTable::default(),
            requests: RequestTable::default(),
        };
        let router = Router::start(now, config, &mut ReplyTransport { names: &mut names, reply });
        Ok(Instance { router, names })
    }

    /// Handles an endpoint list from discovery.
    ///
    /// # Errors
    ///
    /// Returns [`EventError::UnknownState`] if an entry has a state that the wire does not define.
    pub fn list_changed(
        &mut self,
        now: f64,
        scope: ListScope,
        entries: &[Entry],
        reply: &mut Reply,
    ) -> Result<(), EventError> {
        let Names { deployment, endpoints, groups, .. } = &mut self.names;
        let known_before = endpoints.len();
        let mut changes = Vec::with_capacity(entries.len());
        for entry in entries {
            let group = |number| groups.index(number);
            changes.push(endpoints.update(entry, &deployment.sites, group)?);
        }
        if scope == ListScope::Full {
            let absent = endpoints.absent_from(&changes, known_before);
            changes.extend(absent);
        }
        self.router.on_endpoint_list(now, &changes, &mut ReplyTransport { names: &mut self.names, reply });
        Ok(())
    }

    /// Handles a failed call to discovery, or the loss of the subscription to its list.
    pub fn list_failed(&mut self) {
        self.router.on_endpoint_list_failed();
    }

    /// Handles a client's request.
    ///
    /// # Errors
    ///
    /// Returns [`EventError::UnknownWorkload`] or [`EventError::UnknownTenant`] if the settings don't have the request's
    /// workload or tenant.
    pub fn request(&mut self, now: f64, demand: &Demand<'_>, reply: &mut Reply) -> Result<(), EventError> {
        let names = &mut self.names;
        let workload = position(&names.deployment.workloads, &demand.priority)
            .ok_or_else(|| EventError::UnknownWorkload(demand.priority.to_string()))?;
        let tenant = match &demand.owner {
            Some(Tenant::Name(name)) => {
                let tenant = position(&names.deployment.tenants, name);
                Some(tenant.ok_or_else(|| EventError::UnknownTenant(name.to_string()))?)
            }
            Some(Tenant::Nobody(_)) | None => None,
        };
        let routing_request = Request {
            workload,
            group: names.groups.index(demand.partition_no),
            tenant,
            session: demand.key,
            time_left: demand.budget_ms / 1000.0,
            seconds_since_write: (demand.token_ms > 0.0).then_some(demand.token_ms / 1000.0),
            is_flagged_retry: demand.resent,
            may_write: false,
            work: None,
        };
        let index = names.requests.insert(demand.tid);
        self.router.on_request(now, index, routing_request, &mut ReplyTransport { names, reply });
        Ok(())
    }

    /// Handles the end of an attempt. An attempt of an unknown request is ignored: it ended before this instance started.
    ///
    /// # Errors
    ///
    /// Returns [`EventError::UnknownOutcome`] or [`EventError::UnknownEndpoint`] if the event names one.
    pub fn attempt_ended(
        &mut self,
        now: f64,
        resolved: &Resolved<'_>,
        reply: &mut Reply,
    ) -> Result<(), EventError> {
        let names = &mut self.names;
        let outcome = outcome(&resolved.result)?;
        let endpoint = names.endpoint(&resolved.host)?;
        let Some(request) = names.requests.index_of(resolved.tid) else {
            return Ok(());
        };
        names.requests.attempt_ended(request, resolved.done_flag);
        let result = AttemptResult {
            request,
            endpoint,
            outcome,
            elapsed: resolved.cost_time_ms / 1000.0,
            has_final_answer: resolved.done_flag,
            observed: names.report_of_answer(resolved.progress),
            report: resolved.pressure.as_ref().map(|pressure| names.load_report(pressure)),
        };
        self.router.on_attempt_result(now, &result, &mut ReplyTransport { names, reply });
        self.names.requests.release_if_finished(request);
        Ok(())
    }

    /// Handles the end of a health check.
    ///
    /// # Errors
    ///
    /// Returns [`EventError::UnknownOutcome`] or [`EventError::UnknownEndpoint`] if the event names one.
    pub fn health_check_ended(
        &mut self,
        now: f64,
        result: &HealthResult<'_>,
        reply: &mut Reply,
    ) -> Result<(), EventError> {
        let names = &mut self.names;
        let endpoint = names.endpoint(&result.host)?;
        let report =
            result.pressure.as_ref().map_or(LoadReport::default(), |pressure| names.load_report(pressure));
        let outcome = outcome(&result.result)?;
        self.router.on_health_check(now, endpoint, outcome, report, &mut ReplyTransport { names, reply });
        Ok(())
    }

    /// Handles the expiry of the router's timer.
    pub fn timer_expired(&mut self, now: f64, reply: &mut Reply) {
        self.router.on_tick(now, &mut ReplyTransport { names: &mut self.names, reply });
    }

    /// Handles the disconnection of a client. Its request may already have been answered.
    pub fn client_gone(&mut self, request: RequestId) {
        let requests = &mut self.names.requests;
        let Some(index) = requests.index_of(request) else { return };
        let was_open = requests.finish(index);
        if was_open {
            self.router.on_client_gone(index);
        }
        requests.release_if_finished(index);
    }
}

/// Converts milliseconds, the unit of the wire, to seconds, the unit of routing. Exact up to 2^53 ms.
#[expect(clippy::cast_precision_loss, reason = "positions in milliseconds are far below 2^53")]
fn seconds(milliseconds: u64) -> f64 {
    milliseconds as f64 / 1000.0
}

impl Names {
    fn endpoint(&self, name: &str) -> Result<usize, EventError> {
        self.endpoints.index_of(name).ok_or_else(|| EventError::UnknownEndpoint(name.to_string()))
    }

    /// Returns what an answer reports about its endpoint.
    fn report_of_answer(&self, progress: Progress) -> LoadReport {
        let role = progress.role().map(|role| match role {
            ProgressRole::Primary => Role::Primary,
            ProgressRole::Replica => Role::Replica,
        });
        let position = progress.position_ms();
        LoadReport {
            role,
            lsn: position.map(|ms| self.deployment.lsn_epoch_seconds + seconds(ms)),
            utilization: None,
        }
    }

    fn load_report(&self, pressure: &Pressure) -> LoadReport {
        LoadReport {
            role: pressure.x1.map(|x1| if x1 > 0.5 { Role::Primary } else { Role::Replica }),
            lsn: pressure.x0.map(|x0| self.deployment.lsn_epoch_seconds + x0),
            utilization: pressure.utilization,
        }
    }
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

/// Returns the outcome of an attempt or of a health check by its name on the wire.
fn outcome(result: &str) -> Result<AttemptOutcome, EventError> {
    Ok(match result {
        "ok" => AttemptOutcome::Completed,
        "error" => AttemptOutcome::Error,
        "full" => AttemptOutcome::Refused,
        "timeout" => AttemptOutcome::TimedOut,
        "connect_failed" => AttemptOutcome::ConnectFailed,
        "reset" => AttemptOutcome::Reset,
        "cancelled" => AttemptOutcome::Cancelled,
        "moot" => AttemptOutcome::NeverSent,
        "miss" => AttemptOutcome::WrongEndpoint,
        unknown => return Err(EventError::UnknownOutcome(unknown.to_string())),
    })
}
