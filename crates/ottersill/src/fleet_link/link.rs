//! What ties this router to the others of its fleet, where there is talk: the member, its socket, what it writes down.

use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use calloop::RegistrationToken;
use ottersill_config::fleet::{BudgetKind, FleetFile};
use ottersill_fleet::node::{Event, FleetNode, MemberIdentity};
use ottersill_fleet::quota_ledger::BudgetKey;
use ottersill_fleet::settings::{Budget, BudgetTotal, incarnation, label};
use ottersill_routing::interface::FleetQuota;
use serde::Serialize;
use socket2::Socket;

use crate::fleet_link::audit_file::AuditFile;
use crate::fleet_link::error::{FleetLinkError, MIN_KEY_BYTES};
use crate::timers::{Timer, TimerHandle, Timers};

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

/// The link to the other routers.
pub struct FleetLink {
    path: String,
    name: String,
    longest_statement_timeout: f64,
    /// The configuration in force.
    pub file: FleetFile,
    secret: Vec<u8>,
    seed: u64,
    /// Whether this process is the member.
    pub state: MembershipState,
    /// What is written for whoever adds up; each line is written before what it tells of is done.
    audit: Option<AuditFile>,
    /// Lines of it that could not be written.
    pub unwritten: u64,
    timer: Option<TimerHandle>,
    /// Reading datagrams failed for want of memory: read again with the next tick, as no readiness tells of those that have
    /// come already.
    read_again: bool,
    /// What the routing module was last told.
    pub quota: FleetQuota,
    /// Acquisitions that were refused.
    pub refused: u64,
}

/// A line of the audit. Times are Unix seconds of the machine's clock.
#[derive(Serialize)]
struct AuditEntry<'a> {
    at: f64,
    process: &'a str,
    incarnation: u64,
    what: &'a str,
    budget: &'a str,
    subject: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    grant: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    units: Option<u64>,
    /// Until when each part of the right lasts: units and time.
    #[serde(skip_serializing_if = "Option::is_none")]
    until: Option<[(u64, f64); 2]>,
}

impl FleetLink {
    /// Reads the file at `path`.
    ///
    /// # Errors
    /// If the file, its key file or its audit file can't be used.
    pub fn open(
        path: &str,
        name: &str,
        longest_statement_timeout: f64,
        seed: u64,
    ) -> Result<FleetLink, FleetLinkError> {
        let file = read(path, name, longest_statement_timeout)?;
        let secret = secret(&file.key_file)?;
        let audit = match &file.audit_file {
            None => None,
            Some(audit_file) => Some(AuditFile::open(audit_file).map_err(|source| {
                FleetLinkError::AuditFile { path: path.to_string(), audit_file: audit_file.clone(), source }
            })?),
        };
        Ok(FleetLink {
            path: path.to_string(),
            name: name.to_string(),
            longest_statement_timeout,
            file,
            secret,
            seed,
            state: MembershipState::AddressTaken { retry_at: 0.0 },
            audit,
            unwritten: 0,
            timer: None,
            read_again: false,
            quota: FleetQuota::default(),
            refused: 0,
        })
    }

    /// The address is ours from here on: who has it is the member of that name.
    pub fn join(&mut self, now: f64, socket: Rc<Socket>, token: RegistrationToken) {
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
        let fleet = Box::new(FleetNode::start(now, self.file.fleet.clone(), identity));
        self.state = MembershipState::Joined { fleet, socket, token };
    }

    /// The member, once it has joined.
    pub fn fleet(&mut self) -> Option<&mut FleetNode> {
        match &mut self.state {
            MembershipState::Joined { fleet, .. } => Some(fleet),
            _ => None,
        }
    }

    /// The budget for that, if there is one, and its subject: an endpoint's name, or nothing.
    pub fn budget_key(&self, of: BudgetKind, subject: &str) -> Option<BudgetKey> {
        let index = self.file.budget_kinds.iter().position(|kind| *kind == of)?;
        let subject = if of.is_per_endpoint() { label(subject) } else { 0 };
        Some(BudgetKey { budget: self.file.fleet.budgets[index].id, subject })
    }

    /// Whether a unit was there at this instant, and is spent. `now` is read from the clock for this. Without a budget for
    /// that everything may be done.
    pub fn acquire(&mut self, now: f64, of: BudgetKind, subject: &str) -> bool {
        let Some(key) = self.budget_key(of, subject) else { return true };
        let Some(fleet) = self.fleet() else {
            self.refused += 1;
            return false;
        };
        let taken = fleet.acquire(now, key);
        self.refused += u64::from(!taken);
        if taken {
            self.write("take", now, key, None, None, None);
        }
        taken
    }

    /// A thing in hand is over.
    pub fn release(&mut self, now: f64, of: BudgetKind, subject: &str, proved: bool) {
        let Some(key) = self.budget_key(of, subject) else { return };
        if let Some(fleet) = self.fleet() {
            fleet.release(now, key, proved);
            self.write(if proved { "put" } else { "put unproved" }, now, key, None, None, None);
        }
    }

    /// Writes down a right, before anything is spent of it.
    pub fn record(&mut self, now: f64, event: &Event) {
        if let Event::QuotaGranted { key, term, serial, units, expires_at } = event {
            let grant = format!("{}.{}.{}/{serial}", term.round, term.voter_index, term.incarnation);
            let rights = [(units.demand, expires_at.demand), (units.floor, expires_at.floor)];
            self.write("right", now, *key, Some(grant), Some(units.sum()), Some(rights));
        }
    }

    fn write(
        &mut self,
        what: &str,
        now: f64,
        key: BudgetKey,
        grant: Option<String>,
        units: Option<u64>,
        until: Option<[(u64, f64); 2]>,
    ) {
        if self.audit.is_none() {
            return;
        }
        let MembershipState::Joined { fleet, .. } = &self.state else { return };
        let config = fleet.config();
        let budget = config.budget(key.budget).map_or("", |budget| budget.name.as_str());
        let (process, incarnation) = (fleet.process().name.as_str(), fleet.process().incarnation);
        let entry = AuditEntry {
            at: now,
            process,
            incarnation,
            what,
            budget,
            subject: key.subject,
            grant,
            units,
            until,
        };
        let line = serde_json::to_string(&entry);
        let file = self.audit.as_mut();
        let wrote = file.zip(line.ok()).is_some_and(|(file, line)| file.write_line(&line).is_ok());
        self.unwritten += u64::from(!wrote);
    }

    /// Reads the file again, and takes over the totals of budgets; gives which have changed.
    ///
    /// # Errors
    /// If the file is wrong, or something has changed in it that needs a restart; nothing is taken over then.
    pub fn reload(&mut self, now: f64) -> Result<Vec<String>, FleetLinkError> {
        let new = read(&self.path, &self.name, self.longest_statement_timeout)?;
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

    /// Where the member of that name is reached.
    pub fn address(&self, to: &str) -> Option<SocketAddr> {
        self.file.peers.iter().find(|peer| peer.name == to).map(|peer| peer.address)
    }

    /// Sets the timer for what the fleet has to do next.
    pub fn reset_timer(&mut self, timers: &mut Timers) {
        timers.clear(self.timer.take());
        let next = self.next_at();
        if next.is_finite() {
            self.timer = Some(timers.set(next, Timer::Fleet));
        }
    }

    /// Has the socket read again with the next timer.
    pub fn read_again_later(&mut self) {
        self.read_again = true;
    }

    /// Whether the socket is to be read again; asked once.
    pub fn take_read_again(&mut self) -> bool {
        std::mem::take(&mut self.read_again)
    }

    /// When the fleet has something to do, in Unix seconds; infinite if never.
    pub fn next_at(&self) -> f64 {
        match &self.state {
            MembershipState::AddressTaken { retry_at } => *retry_at,
            MembershipState::Joined { fleet, .. } => fleet.next_timeout(),
            MembershipState::Left => f64::INFINITY,
        }
    }
}

fn read(path: &str, name: &str, longest_statement_timeout: f64) -> Result<FleetFile, FleetLinkError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| FleetLinkError::Unreadable { path: path.to_string(), source })?;
    FleetFile::from_textproto(&text, name, longest_statement_timeout)
        .map_err(|source| FleetLinkError::Invalid { path: path.to_string(), source })
}

/// Who has read the key is a member, so a file that others may read is refused.
fn secret(path: &str) -> Result<Vec<u8>, FleetLinkError> {
    let unreadable = |source| FleetLinkError::KeyFile { path: path.to_string(), source };
    let mode = std::fs::metadata(path).map_err(unreadable)?.permissions().mode() & 0o777;
    if mode & 0o077 != 0 {
        return Err(FleetLinkError::KeyFileNotPrivate { path: path.to_string(), mode });
    }
    let secret = std::fs::read(path).map_err(unreadable)?;
    if secret.len() < MIN_KEY_BYTES {
        return Err(FleetLinkError::KeyTooShort { path: path.to_string(), found: secret.len() });
    }
    Ok(secret)
}
