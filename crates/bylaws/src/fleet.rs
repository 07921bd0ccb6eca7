//! `fleet.textproto`: who the members are, and the budgets of the whole fleet.

use std::net::SocketAddr;

use ottersill_fleet::settings::{Budget, FleetConfig, Kind};
use serde::Deserialize;

use crate::{Fault, locate, parse};

#[derive(Deserialize)]
struct Text {
    peer: Vec<Peer>,
    voter: Vec<String>,
    listen: String,
    control: String,
    key_file: String,
    audit_file: String,
    keeper_lease_s: f64,
    lease_s: f64,
    floor_lease_s: f64,
    drift: f64,
    members_at_most: u32,
    budget: Vec<Row>,
}

#[derive(Deserialize)]
struct Peer {
    name: String,
    at: String,
    control: String,
}

#[derive(Deserialize)]
struct Row {
    of: Of,
    whole: u32,
    floor: u32,
    every_s: f64,
    hold_s: f64,
}

/// What a budget is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Of {
    Unknown,
    ExecutionsAtEachHost,
    SecondTries,
    Probes,
    NewConnections,
    ExecutionsAtEachColdHost,
}

impl Of {
    /// Whether there is one budget of it for each host.
    pub fn of_each_host(self) -> bool {
        matches!(self, Of::ExecutionsAtEachHost | Of::ExecutionsAtEachColdHost)
    }

    pub fn name(self) -> &'static str {
        match self {
            Of::Unknown => "unknown",
            Of::ExecutionsAtEachHost => "executions at each host",
            Of::SecondTries => "second tries",
            Of::Probes => "probes",
            Of::NewConnections => "new connections",
            Of::ExecutionsAtEachColdHost => "executions at each cold host",
        }
    }
}

/// A file that passed all checks.
#[derive(Clone, Debug, PartialEq)]
pub struct Bylaws {
    pub charter: FleetConfig,
    pub peers: Vec<(String, SocketAddr)>,
    /// Where the others reach this member, and where it listens.
    pub at: SocketAddr,
    pub listen: SocketAddr,
    pub control: Option<SocketAddr>,
    pub key_file: String,
    pub audit_file: Option<String>,
    /// What each of the charter's budgets is for.
    pub purposes: Vec<Of>,
}

impl Bylaws {
    /// What a reload can't take over, if the other file differs in it: whom leases go by has to be alike at all members, so
    /// it changes only while none runs.
    pub fn differs(&self, other: &Bylaws) -> Option<&'static str> {
        let (ours, theirs) = (&self.charter, &other.charter);
        let fields = [
            (
                "voter, leases, drift, members_at_most or a budget's floor, every_s or hold_s",
                ours.electorate() != theirs.electorate(),
            ),
            ("peer", self.peers != other.peers),
            ("listen", self.listen != other.listen),
            ("control", self.control != other.control),
            ("key_file", self.key_file != other.key_file),
            ("audit_file", self.audit_file != other.audit_file),
        ];
        fields.into_iter().find(|(_, differs)| *differs).map(|(field, _)| field)
    }
}

/// Longest clock error that is believed of a machine that is in order; a file that allows for less than this would rest
/// on luck, one that allows for more than the other bound wastes most of each lease.
const DRIFT: (f64, f64) = (0.001, 0.2);

/// Reads the file of the member of that name, in a service whose longest statement timeout is `longest` seconds.
pub fn read(text: &str, name: &str, longest: f64) -> Result<Bylaws, Fault> {
    let file: Text = parse("ottersill.fleet.Fleet", text)?;
    let fault = |field: &str, reason: String| Fault {
        line: locate::line_of(text, field),
        field: field.to_string(),
        reason,
    };
    let must = |holds: bool, field: &str, reason: &str| {
        if holds { Ok(()) } else { Err(fault(field, reason.to_string())) }
    };
    let address = |field: &str, said: &str| -> Result<SocketAddr, Fault> {
        said.parse().map_err(|_| fault(field, format!("expected an address with its port, found {said:?}")))
    };
    let mut peers = Vec::new();
    for (index, peer) in file.peer.iter().enumerate() {
        let again = file.peer[..index].iter().any(|other| other.name == peer.name);
        must(!peer.name.is_empty(), &format!("peer[{index}].name"), "a member needs a name")?;
        must(!again, &format!("peer[{index}].name"), "another member has this name")?;
        peers.push((peer.name.clone(), address(&format!("peer[{index}].at"), &peer.at)?));
    }
    let count = file.voter.len();
    must((1..=15).contains(&count), "voter", "expected one voter at least, and 15 at most")?;
    must(
        count % 2 == 1,
        "voter",
        "expected an odd number: one more brings no further failure that is survived",
    )?;
    for (index, voter) in file.voter.iter().enumerate() {
        let known = peers.iter().any(|(name, _)| name == voter);
        must(
            known,
            &format!("voter[{index}]"),
            "no peer has this name, and each must know where voters are",
        )?;
        must(
            !file.voter[..index].contains(voter),
            &format!("voter[{index}]"),
            "named twice: it would vote twice",
        )?;
    }
    let own = peers.iter().find(|(peer, _)| peer == name).map(|(_, at)| *at);
    let listen = if file.listen.is_empty() { own } else { Some(address("listen", &file.listen)?) };
    let listen =
        listen.ok_or_else(|| fault("listen", format!("{name:?} is no peer, so it needs its own address")))?;
    let mut control = match file.control.as_str() {
        "" => None,
        said => Some(("control".to_string(), address("control", said)?)),
    };
    for (index, peer) in file.peer.iter().enumerate().filter(|(_, peer)| !peer.control.is_empty()) {
        let field = format!("peer[{index}].control");
        let at = address(&field, &peer.control)?;
        if peer.name == name && control.is_none() {
            control = Some((field, at));
        }
    }
    if let Some((field, at)) = &control {
        must(at.ip().is_loopback(), field, "expected a loopback address: nobody signs in there")?;
    }
    let control = control.map(|(_, at)| at);
    must(!file.key_file.is_empty(), "key_file", "members have to prove who they are")?;
    let span = |field: &str, value: f64, least: f64, most: f64| {
        let reason = format!("expected {least} to {most} seconds, found {value}");
        must((least..=most).contains(&value), field, &reason)
    };
    span("keeper_lease_s", file.keeper_lease_s, 0.2, 60.0)?;
    span("lease_s", file.lease_s, 0.2, 60.0)?;
    must(
        file.lease_s >= 1.5 * file.keeper_lease_s,
        "lease_s",
        "expected half as much again as keeper_lease_s: else all parts run out before the next keeper is found",
    )?;
    span("floor_lease_s", file.floor_lease_s, file.lease_s, 3600.0)?;
    let reason = format!("expected {} to {}, found {}", DRIFT.0, DRIFT.1, file.drift);
    must((DRIFT.0..=DRIFT.1).contains(&file.drift), "drift", &reason)?;
    must((1..=10_000).contains(&file.members_at_most), "members_at_most", "expected 1 to 10000")?;
    let members = u64::from(file.members_at_most);
    must(members as usize >= peers.len(), "members_at_most", "there are more peers than that")?;
    let (mut budgets, mut purposes) = (Vec::new(), Vec::new());
    for (index, row) in file.budget.iter().enumerate() {
        let at = |field: &str| format!("budget[{index}].{field}");
        must(row.of != Of::Unknown, &at("of"), "what is it for?")?;
        must(!purposes.contains(&row.of), &at("of"), "an earlier budget is for this")?;
        must(row.whole > 0, &at("whole"), "expected one unit at least: nothing could be spent")?;
        let (whole, floor) = (u64::from(row.whole), u64::from(row.floor));
        let reason = format!("{floor} for each of {members} routers is more than the whole, {whole}");
        must(floor * members <= whole, &at("floor"), &reason)?;
        let kind = match row.of {
            Of::ExecutionsAtEachHost => {
                let reason = format!(
                    "expected {longest} seconds at least, the longest statement timeout: an execution may outlive its router for so long"
                );
                must(row.hold_s >= longest && row.hold_s <= 600.0, &at("hold_s"), &reason)?;
                must(row.every_s == 0.0, &at("every_s"), "this budget is no rate")?;
                Kind::Concurrency { hold: row.hold_s }
            }
            _ => {
                span(&at("every_s"), row.every_s, 0.01, 60.0)?;
                must(row.hold_s == 0.0, &at("hold_s"), "this budget is a rate")?;
                Kind::Rate { every: row.every_s }
            }
        };
        budgets.push(Budget::named(row.of.name(), kind, whole, floor));
        purposes.push(row.of);
    }
    let charter = FleetConfig {
        name: name.to_string(),
        voters: file.voter,
        leader_lease: file.keeper_lease_s,
        lease: file.lease_s,
        floor_lease: file.floor_lease_s,
        drift: file.drift,
        members_at_most: members,
        budgets,
    };
    let audit_file = (!file.audit_file.is_empty()).then_some(file.audit_file);
    let at = own.unwrap_or(listen);
    Ok(Bylaws { charter, peers, at, listen, control, key_file: file.key_file, audit_file, purposes })
}
