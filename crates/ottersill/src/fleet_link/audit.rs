//! What is written for whoever adds up the fleet's budgets: each line before what it tells of is done.

use ottersill_fleet::node::FleetNode;
use ottersill_fleet::quota_ledger::BudgetKey;
use serde::Serialize;

use crate::fleet_link::audit_file::AuditFile;
use crate::fleet_link::error::FleetLinkError;

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

/// A right that the leader has granted.
pub struct Grant {
    /// Names the grant in all audit files.
    pub id: String,
    /// All its units.
    pub units: u64,
    /// Until when each part of it lasts: units and Unix seconds.
    pub until: [(u64, f64); 2],
}

/// The audit, if the configuration names a file for it.
pub struct Audit {
    file: Option<AuditFile>,
    unwritten: u64,
}

impl Audit {
    /// Opens the audit file that the fleet's file at `path` names, if it names one.
    ///
    /// # Errors
    /// If the system refuses.
    pub fn open(path: &str, audit_file: Option<&str>) -> Result<Audit, FleetLinkError> {
        let failed = |audit_file: &str, source| FleetLinkError::AuditFile {
            path: path.to_string(),
            audit_file: audit_file.to_string(),
            source,
        };
        let open = |name| AuditFile::open(name).map_err(|source| failed(name, source));
        let file = audit_file.map(open).transpose()?;
        Ok(Audit { file, unwritten: 0 })
    }

    /// Lines that could not be written.
    pub fn unwritten(&self) -> u64 {
        self.unwritten
    }

    /// Notes that a unit was spent.
    pub fn record_acquisition(&mut self, fleet: &FleetNode, now: f64, key: BudgetKey) {
        self.write("take", fleet, now, key, None);
    }

    /// Notes that a thing in hand is over; `proved` if it is known to run no more.
    pub fn record_release(&mut self, fleet: &FleetNode, now: f64, key: BudgetKey, proved: bool) {
        self.write(if proved { "put" } else { "put unproved" }, fleet, now, key, None);
    }

    /// Notes a right, before anything is spent of it.
    pub fn record_grant(&mut self, fleet: &FleetNode, now: f64, key: BudgetKey, grant: Grant) {
        self.write("right", fleet, now, key, Some(grant));
    }

    fn write(&mut self, what: &str, fleet: &FleetNode, now: f64, key: BudgetKey, grant: Option<Grant>) {
        let Some(file) = &mut self.file else { return };
        let (units, until) = grant.as_ref().map(|grant| (grant.units, grant.until)).unzip();
        let entry = AuditEntry {
            at: now,
            process: fleet.process().name.as_str(),
            incarnation: fleet.process().incarnation,
            what,
            budget: fleet.config().budget(key.budget).map_or("", |budget| budget.name.as_str()),
            subject: key.subject,
            grant: grant.map(|grant| grant.id),
            units,
            until,
        };
        let line = serde_json::to_string(&entry);
        let was_written = line.is_ok_and(|line| file.write_line(&line).is_ok());
        self.unwritten += u64::from(!was_written);
    }
}
