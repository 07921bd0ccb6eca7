//! What ties this router to the others of its fleet, where there is talk: the member, its socket, what it writes down.

use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use calloop::RegistrationToken;
use ottersill_bylaws::fleet::{self as file, Bylaws, Of};
use ottersill_core::interface::Parts;
use ottersill_fleet::books::Key;
use ottersill_fleet::fleet::{Berth, Event, Fleet};
use ottersill_fleet::terms::label;
use serde::Serialize;
use socket2::Socket;

use crate::memory::alarms::Set;
use crate::memory::audit_file::AuditFile;

/// Where the link stands.
pub enum Course {
    /// Another process holds the member's address: whoever has it is the member. Tried again at `again_at`; until then
    /// this router has no part of any budget.
    Barred {
        again_at: f64,
    },
    Joined {
        fleet: Box<Fleet>,
        socket: Rc<Socket>,
        token: RegistrationToken,
    },
    /// Everything was given back.
    Left,
}

pub struct Link {
    path: String,
    name: String,
    longest: f64,
    pub bylaws: Bylaws,
    secret: Vec<u8>,
    seed: u64,
    pub course: Course,
    /// What is written for whoever adds up; each line is written before what it tells of is done.
    audit: Option<AuditFile>,
    /// Lines of it that could not be written.
    pub unwritten: u64,
    pub alarm: Option<Set>,
    /// Reading datagrams failed for want of memory: read again with the next tick, as no readiness tells of those that have
    /// come already.
    pub read_again: bool,
    pub parts: Parts,
    /// Spent and turned away, by what for.
    pub refused: u64,
}

/// A line of the audit. Times are Unix seconds of the machine's clock.
#[derive(Serialize)]
struct Entry<'a> {
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

impl Link {
    /// Reads the file at `path`; the error is one line for the operator.
    pub fn open(path: &str, name: &str, longest: f64, seed: u64) -> Result<Link, String> {
        let bylaws = read(path, name, longest)?;
        let secret = secret(&bylaws.key_file)?;
        let audit = match &bylaws.audit_file {
            None => None,
            Some(file) => {
                let opened = AuditFile::open(file);
                Some(opened.map_err(|e| format!("{path}: audit_file: {file}: {e}"))?)
            }
        };
        Ok(Link {
            path: path.to_string(),
            name: name.to_string(),
            longest,
            bylaws,
            secret,
            seed,
            course: Course::Barred { again_at: 0.0 },
            audit,
            unwritten: 0,
            alarm: None,
            read_again: false,
            parts: Parts::default(),
            refused: 0,
        })
    }

    /// The address is ours from here on: who has it is the member of that name.
    pub fn join(&mut self, now: f64, socket: Rc<Socket>, token: RegistrationToken) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let voters = &self.bylaws.charter.voters;
        let berth = Berth {
            incarnation: unix.as_micros() as u64,
            at: self.bylaws.at,
            seeds: self.bylaws.peers.iter().filter(|(name, _)| voters.contains(name)).cloned().collect(),
            secret: &self.secret,
            seed: self.seed ^ unix.as_nanos() as u64,
        };
        let fleet = Box::new(Fleet::start(now, self.bylaws.charter.clone(), berth));
        self.course = Course::Joined { fleet, socket, token };
    }

    pub fn fleet(&mut self) -> Option<&mut Fleet> {
        match &mut self.course {
            Course::Joined { fleet, .. } => Some(fleet),
            _ => None,
        }
    }

    /// The budget for that, if there is one, and its subject: a host's name, or nothing.
    pub fn key(&self, of: Of, subject: &str) -> Option<Key> {
        let index = self.bylaws.purposes.iter().position(|purpose| *purpose == of)?;
        let subject = if of.of_each_host() { label(subject) } else { 0 };
        Some((self.bylaws.charter.budgets[index].id, subject))
    }

    /// Whether a unit was there at this instant, and is spent. `now` is read from the clock for this. Without a budget for
    /// that everything may be done.
    pub fn take(&mut self, now: f64, of: Of, subject: &str) -> bool {
        let Some(key) = self.key(of, subject) else { return true };
        let Some(fleet) = self.fleet() else {
            self.refused += 1;
            return false;
        };
        let taken = fleet.take(now, key);
        self.refused += u64::from(!taken);
        if taken {
            self.write("take", now, key, None, None, None);
        }
        taken
    }

    /// A thing in hand is over.
    pub fn put(&mut self, now: f64, of: Of, subject: &str, proved: bool) {
        let Some(key) = self.key(of, subject) else { return };
        if let Some(fleet) = self.fleet() {
            fleet.put(now, key, proved);
            self.write(if proved { "put" } else { "put unproved" }, now, key, None, None, None);
        }
    }

    /// Writes down a right, before anything is spent of it.
    pub fn note(&mut self, now: f64, event: &Event) {
        if let Event::Right { key, epoch, serial, amounts, until } = event {
            let grant = format!("{}.{}.{}/{serial}", epoch.round, epoch.seat, epoch.incarnation);
            let rights = [(amounts[0], until[0]), (amounts[1], until[1])];
            self.write("right", now, *key, Some(grant), Some(amounts.iter().sum()), Some(rights));
        }
    }

    fn write(
        &mut self,
        what: &str,
        now: f64,
        key: Key,
        grant: Option<String>,
        units: Option<u64>,
        until: Option<[(u64, f64); 2]>,
    ) {
        if self.audit.is_none() {
            return;
        }
        let Course::Joined { fleet, .. } = &self.course else { return };
        let charter = fleet.charter();
        let budget = charter.budget(key.0).map_or("", |budget| budget.name.as_str());
        let (process, incarnation) = (fleet.me().name.as_str(), fleet.me().incarnation);
        let entry =
            Entry { at: now, process, incarnation, what, budget, subject: key.1, grant, units, until };
        let line = serde_json::to_string(&entry);
        let file = self.audit.as_mut();
        let wrote = file.zip(line.ok()).is_some_and(|(file, line)| file.write_line(&line).is_ok());
        self.unwritten += u64::from(!wrote);
    }

    /// Reads the file again. Wholes are taken over; the error says what is wrong with it, or needs a restart.
    pub fn reload(&mut self, now: f64) -> Result<Vec<String>, String> {
        let new = read(&self.path, &self.name, self.longest)?;
        if let Some(field) = self.bylaws.differs(&new) {
            return Err(format!(
                "{}: {field}: differs, and is alike at all members as long as any runs",
                self.path
            ));
        }
        let (old, new) = (&self.bylaws.charter.budgets, new.charter.budgets);
        let changed = old.iter().zip(&new).filter(|(old, new)| old.whole != new.whole);
        let told =
            changed.map(|(old, new)| format!("{}: {} to {}", old.name, old.whole, new.whole)).collect();
        let wholes: Vec<(u64, u64)> = new.iter().map(|budget| (budget.id, budget.whole)).collect();
        self.bylaws.charter.budgets = new;
        if let Some(fleet) = self.fleet() {
            fleet.set_wholes(now, &wholes);
        }
        Ok(told)
    }

    pub fn address(&self, to: &str) -> Option<SocketAddr> {
        self.bylaws.peers.iter().find(|(name, _)| name == to).map(|(_, at)| *at)
    }

    pub fn next_at(&self) -> f64 {
        match &self.course {
            Course::Barred { again_at } => *again_at,
            Course::Joined { fleet, .. } => fleet.next_at(),
            Course::Left => f64::INFINITY,
        }
    }
}

fn read(path: &str, name: &str, longest: f64) -> Result<Bylaws, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    file::read(&text, name, longest).map_err(|fault| format!("{path}: {fault}"))
}

/// Who has read the key is a member, so a file that others may read is refused.
fn secret(path: &str) -> Result<Vec<u8>, String> {
    let told = |e: std::io::Error| format!("key_file: {path}: {e}");
    let mode = std::fs::metadata(path).map_err(told)?.permissions().mode();
    if mode & 0o077 != 0 {
        return Err(format!(
            "key_file: {path}: others than its owner may use it ({:o}); chmod 600",
            mode & 0o777
        ));
    }
    let secret = std::fs::read(path).map_err(told)?;
    if secret.len() < 16 {
        return Err(format!("key_file: {path}: expected 16 bytes at least, found {}", secret.len()));
    }
    Ok(secret)
}
