//! The audit log of the fleet's budgets: one line per grant, acquired unit and released unit. Each line is written before the
//! action that it records is carried out, so that an auditor can check that the members together stay within a budget.

use ottersill_fleet::node::FleetNode;
use ottersill_fleet::quota_ledger::BudgetKey;
use serde::Serialize;

use crate::fleet_link::audit_file::AuditFile;
use crate::fleet_link::error::FleetLinkError;

/// One line of the audit file. Times are Unix seconds of the machine's clock. The field names are those of the file.
#[derive(Serialize)]
struct AuditEntry<'a> {
    at: f64,
    process: &'a str,
    incarnation: u64,
    /// `right` (a grant), `take` (a unit acquired), `put` (a unit released) or `put unproved` (a unit released while the work that
    /// held it may still run).
    what: &'a str,
    budget: &'a str,
    subject: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    grant: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    units: Option<u64>,
    /// The pools of a grant (demand, then floor): units, and the time at which they expire.
    #[serde(skip_serializing_if = "Option::is_none")]
    until: Option<[(u64, f64); 2]>,
}

/// A grant of quota by the leader.
pub struct Grant {
    /// Identifies the grant in the audit files of all members.
    pub id: String,
    /// The units of both pools together.
    pub units: u64,
    /// The pools (demand, then floor): units, and the time in Unix seconds at which they expire.
    pub until: [(u64, f64); 2],
}

/// Writes the audit file if the fleet file names one, and does nothing otherwise.
pub struct Audit {
    file: Option<AuditFile>,
    unwritten_lines: u64,
}

impl Audit {
    /// Opens `audit_file`, if the fleet file at `path` names one.
    ///
    /// # Errors
    /// If the file can't be opened.
    pub fn open(path: &str, audit_file: Option<&str>) -> Result<Audit, FleetLinkError> {
        let failed = |audit_file: &str, source| FleetLinkError::AuditFile {
            path: path.to_string(),
            audit_file: audit_file.to_string(),
            source,
        };
        let open = |name| AuditFile::open(name).map_err(|source| failed(name, source));
        let file = audit_file.map(open).transpose()?;
        Ok(Audit { file, unwritten_lines: 0 })
    }

    /// The number of lines that could not be written.
    pub fn unwritten_lines(&self) -> u64 {
        self.unwritten_lines
    }

    /// Records that one unit of a budget was acquired.
    pub fn record_acquisition(&mut self, fleet: &FleetNode, now: f64, key: BudgetKey) {
        self.write("take", fleet, now, key, None);
    }

    /// Records that one unit in use was released; `proved` if the work that held it is known to have ended.
    pub fn record_release(&mut self, fleet: &FleetNode, now: f64, key: BudgetKey, proved: bool) {
        self.write(if proved { "put" } else { "put unproved" }, fleet, now, key, None);
    }

    /// Records a grant. To be called before any unit of it is acquired.
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
        self.unwritten_lines += u64::from(!was_written);
    }
}
