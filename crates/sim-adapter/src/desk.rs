//! One instance: its router, and the desk that keeps names and writes what the router asks for.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::Write;
use std::mem;

use ottersill_config::deployment::Catalog;
use ottersill_core::Router;
use ottersill_core::interface::{Ending, Front, Listed, Outcome, Report, Role, Standing, Statement};

use crate::wire::{Create, Demand, Entry, HealthResult, Pressure, Resolved, Tenant};

pub struct Instance {
    router: Router,
    pub desk: Desk,
}

/// Names on one side, small indices on the other.
pub struct Desk {
    names: Catalog,
    hosts: Vec<Host>,
    host_index: HashMap<String, usize>,
    groups: HashMap<u64, usize>,
    /// Emptied of a statement by [`Desk::settle`], once it has its answer and nothing of it is out.
    stmt_index: HashMap<u64, usize>,
    stmts: Vec<Held>,
    free: Vec<usize>,
    reply: Vec<u8>,
}

struct Host {
    name: String,
    /// The last entry seen, less its standing; a complete list without the host makes it gone.
    listed: Listed,
}

#[derive(Clone, Copy, Default)]
struct Held {
    tid: u64,
    /// Executions sent, and those without an outcome yet.
    sent: u32,
    out: u32,
    over: bool,
}

impl Instance {
    pub fn start(create: Create, now: f64, reply: &mut Vec<u8>) -> Result<Instance, String> {
        let terms = create.boot_info.terms(create.nonce64).map_err(|error| error.to_string())?;
        let names = create.boot_info.catalog();
        let mut desk = Desk {
            names,
            hosts: Vec::new(),
            host_index: HashMap::new(),
            groups: HashMap::new(),
            stmt_index: HashMap::new(),
            stmts: Vec::new(),
            free: Vec::new(),
            reply: Vec::new(),
        };
        desk.lend(reply);
        let router = Router::start(now, terms, &mut desk);
        desk.give_back(reply);
        Ok(Instance { router, desk })
    }

    pub fn changed(&mut self, now: f64, kind: u8, entries: &[Entry]) -> Result<(), String> {
        if kind == 3 {
            self.router.list_failed();
            return Ok(());
        }
        let complete = kind != 0;
        let mut changes = Vec::with_capacity(entries.len());
        let mut named = vec![false; self.desk.hosts.len()];
        for entry in entries {
            let listed = self.desk.listed(entry)?;
            if let Some(seen) = named.get_mut(listed.host) {
                *seen = true;
            }
            changes.push(listed);
        }
        if complete {
            let missing = named.iter().zip(&self.desk.hosts).filter(|(named, _)| !**named);
            changes.extend(missing.map(|(_, host)| Listed { standing: Standing::Gone, ..host.listed }));
        }
        self.router.hosts(now, &changes, &mut self.desk);
        Ok(())
    }

    pub fn demand(&mut self, now: f64, demand: Demand) -> Result<(), String> {
        let desk = &mut self.desk;
        let workload = desk.names.workloads.iter().position(|name| *name == demand.priority);
        let workload = workload.ok_or_else(|| format!("priority: no workload {:?}", demand.priority))?;
        let tenant = match demand.owner {
            Some(Tenant::Name(name)) => {
                let tenant = desk.names.tenants.iter().position(|known| *known == name);
                Some(tenant.ok_or_else(|| format!("owner: no tenant {name:?}"))?)
            }
            Some(Tenant::Nobody(_)) | None => None,
        };
        let group = desk.group(demand.partition_no);
        let index = desk.open(demand.tid);
        let stmt = Statement {
            workload,
            group,
            tenant,
            session: demand.key,
            time_left: demand.budget_ms / 1000.0,
            since_write: (demand.token_ms > 0.0).then_some(demand.token_ms / 1000.0),
            repeat: demand.resent,
            writes: false,
            work: None,
        };
        self.router.statement(now, index, stmt, desk);
        Ok(())
    }

    pub fn resolved(&mut self, now: f64, resolved: Resolved) -> Result<(), String> {
        let desk = &mut self.desk;
        let ending = ending(&resolved.result)?;
        let host = desk.host(&resolved.host)?;
        // What ended before this instance started is not its own.
        let Some(&stmt) = desk.stmt_index.get(&resolved.tid) else {
            return Ok(());
        };
        let held = &mut desk.stmts[stmt];
        held.out = held.out.saturating_sub(1);
        held.over |= resolved.done_flag;
        let position = resolved.progress / 4;
        let note = Report {
            role: match resolved.progress % 4 {
                1 => Some(Role::Primary),
                2 => Some(Role::Replica),
                _ => None,
            },
            lsn: (position > 0).then(|| desk.names.zero + position as f64 / 1000.0),
            busy: None,
        };
        let report = resolved.pressure.map(|p| desk.report(&p));
        let took = resolved.cost_time_ms / 1000.0;
        let outcome = Outcome { stmt, host, ending, took, closed: resolved.done_flag, note, report };
        self.router.outcome(now, &outcome, desk);
        desk.settle(stmt);
        Ok(())
    }

    pub fn probed(&mut self, now: f64, result: HealthResult) -> Result<(), String> {
        let host = self.desk.host(&result.host)?;
        let report = result.pressure.map_or(Report::default(), |p| self.desk.report(&p));
        self.router.probed(now, host, ending(&result.result)?, report, &mut self.desk);
        Ok(())
    }

    pub fn reminder(&mut self, now: f64) -> Result<(), String> {
        self.router.timer(now, &mut self.desk);
        Ok(())
    }

    pub fn hangup(&mut self, tid: u64) -> Result<(), String> {
        if let Some(&stmt) = self.desk.stmt_index.get(&tid) {
            if !mem::replace(&mut self.desk.stmts[stmt].over, true) {
                self.router.hangup(stmt);
            }
            self.desk.settle(stmt);
        }
        Ok(())
    }
}

impl Desk {
    /// Writes go behind what the batch's reply holds so far, until [`Desk::give_back`].
    pub fn lend(&mut self, reply: &mut Vec<u8>) {
        mem::swap(&mut self.reply, reply);
    }

    pub fn give_back(&mut self, reply: &mut Vec<u8>) {
        mem::swap(&mut self.reply, reply);
    }

    fn listed(&mut self, entry: &Entry) -> Result<Listed, String> {
        let standing = match entry.state {
            0 => Standing::Ready,
            2 => Standing::Gone,
            3 => Standing::Draining,
            said => return Err(format!("state: expected 0, 2 or 3, found {said}")),
        };
        let host = self.host_index.get(&entry.host).copied().unwrap_or(self.hosts.len());
        let mut order = DefaultHasher::new();
        entry.host.hash(&mut order);
        let listed = Listed {
            host,
            order: order.finish(),
            group: self.group(entry.set),
            site: self.names.sites.iter().position(|site| *site == entry.site),
            size: entry.power_hint,
            standing,
            started_at: (entry.started_at_ms > 0.0).then_some(entry.started_at_ms / 1000.0),
        };
        if host == self.hosts.len() {
            self.host_index.insert(entry.host.clone(), host);
            self.hosts.push(Host { name: entry.host.clone(), listed });
        }
        self.hosts[host].listed = listed;
        Ok(listed)
    }

    fn group(&mut self, number: u64) -> usize {
        let next = self.groups.len();
        *self.groups.entry(number).or_insert(next)
    }

    fn host(&self, name: &str) -> Result<usize, String> {
        self.host_index.get(name).copied().ok_or_else(|| format!("host: no list has named {name:?}"))
    }

    fn report(&self, pressure: &Pressure) -> Report {
        Report {
            role: pressure.x1.map(|x1| if x1 > 0.5 { Role::Primary } else { Role::Replica }),
            lsn: pressure.x0.map(|x0| self.names.zero + x0),
            busy: pressure.utilization,
        }
    }

    fn open(&mut self, tid: u64) -> usize {
        let held = Held { tid, ..Held::default() };
        let index = match self.free.pop() {
            Some(index) => {
                self.stmts[index] = held;
                index
            }
            None => {
                self.stmts.push(held);
                self.stmts.len() - 1
            }
        };
        self.stmt_index.insert(tid, index);
        index
    }

    fn settle(&mut self, stmt: usize) {
        let held = self.stmts[stmt];
        if held.over && held.out == 0 && self.stmt_index.remove(&held.tid).is_some() {
            self.free.push(stmt);
        }
    }

    fn finish(&mut self, stmt: usize) {
        self.stmts[stmt].over = true;
        self.settle(stmt);
    }
}

fn ending(result: &str) -> Result<Ending, String> {
    Ok(match result {
        "ok" => Ending::Completed,
        "error" => Ending::Error,
        "full" => Ending::Full,
        "timeout" => Ending::TimedOut,
        "connect_failed" => Ending::ConnectFailed,
        "reset" => Ending::Reset,
        "cancelled" => Ending::Cancelled,
        "moot" => Ending::NeverSent,
        "miss" => Ending::Miss,
        said => return Err(format!("result: expected an outcome, found {said:?}")),
    })
}

/// Milliseconds, to the wire's resolution.
fn ms(seconds: f64) -> f64 {
    (seconds * 1e6).round() / 1e3
}

macro_rules! write_step {
    ($desk:expr, $($text:tt)*) => {
        write!($desk.reply, $($text)*).expect("writing to memory does not fail")
    };
}

impl Front for Desk {
    fn execute(&mut self, stmt: usize, host: usize, time_out: f64) {
        let held = &mut self.stmts[stmt];
        held.sent += 1;
        held.out += 1;
        write_step!(
            self,
            "{{\"forward\":{{\"tid\":{},\"give_up_after_ms\":{},\"host\":",
            held.tid,
            ms(time_out)
        );
        let name = &self.hosts[host].name;
        serde_json::to_writer(&mut self.reply, name).expect("writing to memory does not fail");
        self.reply.extend_from_slice(b"}},");
    }

    fn reject(&mut self, stmt: usize, retry_after: f64) {
        let tid = self.stmts[stmt].tid;
        write_step!(self, "{{\"say_no\":{{\"tid\":{tid},\"retry_in_ms\":{}}}}},", ms(retry_after));
        self.finish(stmt);
    }

    fn abort(&mut self, stmt: usize) {
        let tid = self.stmts[stmt].tid;
        write_step!(self, "{{\"finish_error\":{{\"tid\":{tid}}}}},");
        self.finish(stmt);
    }

    fn cancel(&mut self, stmt: usize, execution: u32) {
        let tid = self.stmts[stmt].tid;
        write_step!(self, "{{\"call_off\":{{\"tid\":{tid},\"trial\":{execution}}}}},");
    }

    fn probe(&mut self, host: usize) {
        self.reply.extend_from_slice(b"{\"sound_out\":{\"host\":");
        let name = &self.hosts[host].name;
        serde_json::to_writer(&mut self.reply, name).expect("writing to memory does not fail");
        self.reply.extend_from_slice(b"}},");
    }

    fn wake(&mut self, after: f64) {
        write_step!(self, "{{\"notify_me\":{{\"sleep_for_ms\":{},\"name\":\"beat\"}}}},", ms(after));
    }

    fn follow(&mut self) {
        self.reply.extend_from_slice(b"{\"follow\":{\"want\":true}},");
    }

    fn log(&mut self, text: &str) {
        self.reply.extend_from_slice(b"{\"record\":{\"what\":");
        serde_json::to_writer(&mut self.reply, text).expect("writing to memory does not fail");
        self.reply.extend_from_slice(b"}},");
    }
}
