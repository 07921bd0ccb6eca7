//! Validation of a fleet file. The checks run in the order of this file, and the first failure is reported.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use ottersill_fleet::settings::{Budget, FleetConfig, LimitKind, Peer};

use super::error::{FleetConfigError, Reason};
use super::locate::FieldMap;
use super::schema::{BudgetEntry, FleetMessage};
use super::{BudgetKind, FleetFile};

const MAX_VOTERS: usize = 15;
/// Accepted range of `keeper_lease_s` and `lease_s`.
const LEASE_SECONDS: RangeInclusive<f64> = 0.2..=60.0;
/// Minimum ratio of the lease of grants to the lease of the leader, so that a new leader can be elected before grants
/// expire.
const MIN_LEASE_RATIO: f64 = 1.5;
const MAX_FLOOR_LEASE_SECONDS: f64 = 3600.0;
/// Accepted range of the maximum clock drift, as a fraction. Working clocks drift by up to the lower bound, so a smaller
/// value would not be safe. A value above the upper bound would waste most of each lease.
const CLOCK_DRIFT: RangeInclusive<f64> = 0.001..=0.2;
const MEMBER_LIMIT: RangeInclusive<u32> = 1..=10_000;
/// Accepted range of the time until a spent unit of a rate limit is refilled.
const REFILL_SECONDS: RangeInclusive<f64> = 0.01..=60.0;
const MAX_HOLD_SECONDS: f64 = 600.0;

type Result<T, E = FleetConfigError> = std::result::Result<T, E>;

impl FleetFile {
    /// Parses and validates the fleet file `text` for the member named `member`. `longest_timeout_seconds` is the longest
    /// statement timeout of the deployment.
    ///
    /// # Errors
    ///
    /// Returns [`FleetConfigError`] for the first invalid field. No part of such a file may be used.
    pub fn from_textproto(text: &str, member: &str, longest_timeout_seconds: f64) -> Result<FleetFile> {
        let file = FleetMessage::parse(text)?;
        Checker { file: &file, fields: FieldMap::parse(text), member, longest_timeout_seconds }.fleet_file()
    }
}

struct Checker<'a> {
    file: &'a FleetMessage,
    fields: FieldMap<'a>,
    /// The name of this member.
    member: &'a str,
    /// The longest statement timeout of the deployment.
    longest_timeout_seconds: f64,
}

/// The addresses of this member.
struct OwnAddresses {
    /// The address at which the other members reach this one.
    advertised: SocketAddr,
    listen: SocketAddr,
    control: Option<SocketAddr>,
}

impl Checker<'_> {
    fn fleet_file(&self) -> Result<FleetFile> {
        let file = self.file;
        let peers = self.peers()?;
        self.check_voters(&peers)?;
        let own = self.own_addresses(&peers)?;
        self.require(!file.key_file.is_empty(), "key_file", || Reason::NoKeyFile)?;
        self.check_leases()?;
        self.check_member_limit(peers.len())?;
        let (budgets, budget_kinds) = self.budgets()?;
        let fleet = FleetConfig {
            name: self.member.to_string(),
            voters: file.voter.clone(),
            leader_lease_seconds: file.keeper_lease_s,
            lease_seconds: file.lease_s,
            floor_lease_seconds: file.floor_lease_s,
            max_clock_drift: file.drift,
            max_members: u64::from(file.members_at_most),
            budgets,
        };
        Ok(FleetFile {
            fleet,
            peers,
            advertised_address: own.advertised,
            listen_address: own.listen,
            control_address: own.control,
            key_file: file.key_file.clone(),
            audit_file: (!file.audit_file.is_empty()).then(|| file.audit_file.clone()),
            budget_kinds,
        })
    }

    fn error(&self, field: &str, reason: Reason) -> FleetConfigError {
        FleetConfigError::new(self.fields.position_of(field), field.to_string(), reason)
    }

    fn require(&self, holds: bool, field: &str, reason: impl FnOnce() -> Reason) -> Result<()> {
        if holds { Ok(()) } else { Err(self.error(field, reason())) }
    }

    fn address(&self, field: &str, text: &str) -> Result<SocketAddr> {
        text.parse().map_err(|_| self.error(field, Reason::NotAnAddress { found: text.to_string() }))
    }

    fn require_duration(&self, field: &str, found: f64, range: RangeInclusive<f64>) -> Result<()> {
        self.require(range.contains(&found), field, || Reason::DurationOutOfRange {
            min_seconds: *range.start(),
            max_seconds: *range.end(),
            found,
        })
    }

    fn peers(&self) -> Result<Vec<Peer>> {
        let listed = &self.file.peer;
        let mut peers = Vec::with_capacity(listed.len());
        for (index, peer) in listed.iter().enumerate() {
            let name_field = format!("peer[{index}].name");
            let duplicate = listed[..index].iter().any(|other| other.name == peer.name);
            self.require(!peer.name.is_empty(), &name_field, || Reason::PeerWithoutName)?;
            self.require(!duplicate, &name_field, || Reason::DuplicatePeer)?;
            let address = self.address(&format!("peer[{index}].at"), &peer.at)?;
            peers.push(Peer { name: peer.name.clone(), address });
        }
        Ok(peers)
    }

    fn check_voters(&self, peers: &[Peer]) -> Result<()> {
        let voters = &self.file.voter;
        let voter_count = || Reason::VoterCount { max: MAX_VOTERS };
        self.require((1..=MAX_VOTERS).contains(&voters.len()), "voter", voter_count)?;
        self.require(voters.len() % 2 == 1, "voter", || Reason::EvenVoterCount)?;
        for (index, voter) in voters.iter().enumerate() {
            let field = format!("voter[{index}]");
            let known = peers.iter().any(|peer| peer.name == *voter);
            self.require(known, &field, || Reason::UnknownVoter)?;
            self.require(!voters[..index].contains(voter), &field, || Reason::DuplicateVoter)?;
        }
        Ok(())
    }

    fn own_addresses(&self, peers: &[Peer]) -> Result<OwnAddresses> {
        let own = peers.iter().find(|peer| peer.name == self.member).map(|peer| peer.address);
        let listen = match self.file.listen.as_str() {
            "" => own,
            text => Some(self.address("listen", text)?),
        };
        let no_listen_address = || Reason::NoListenAddress { member: self.member.to_string() };
        let listen = listen.ok_or_else(|| self.error("listen", no_listen_address()))?;
        Ok(OwnAddresses { advertised: own.unwrap_or(listen), listen, control: self.control_address()? })
    }

    /// The file's own field `control` takes precedence over that of the peer entry.
    fn control_address(&self) -> Result<Option<SocketAddr>> {
        let mut control = match self.file.control.as_str() {
            "" => None,
            text => Some(("control".to_string(), self.address("control", text)?)),
        };
        for (index, peer) in self.file.peer.iter().enumerate().filter(|(_, peer)| !peer.control.is_empty()) {
            let field = format!("peer[{index}].control");
            let address = self.address(&field, &peer.control)?;
            if peer.name == self.member && control.is_none() {
                control = Some((field, address));
            }
        }
        let Some((field, address)) = control else { return Ok(None) };
        self.require(address.ip().is_loopback(), &field, || Reason::ControlNotLoopback)?;
        Ok(Some(address))
    }

    fn check_leases(&self) -> Result<()> {
        let file = self.file;
        self.require_duration("keeper_lease_s", file.keeper_lease_s, LEASE_SECONDS)?;
        self.require_duration("lease_s", file.lease_s, LEASE_SECONDS)?;
        let long_enough = file.lease_s >= MIN_LEASE_RATIO * file.keeper_lease_s;
        self.require(long_enough, "lease_s", || Reason::LeaseTooShort)?;
        self.require_duration("floor_lease_s", file.floor_lease_s, file.lease_s..=MAX_FLOOR_LEASE_SECONDS)?;
        let drift_out_of_range = || Reason::DriftOutOfRange { range: CLOCK_DRIFT, found: file.drift };
        self.require(CLOCK_DRIFT.contains(&file.drift), "drift", drift_out_of_range)
    }

    fn check_member_limit(&self, peers: usize) -> Result<()> {
        let limit = self.file.members_at_most;
        let out_of_range = || Reason::MemberLimitOutOfRange { range: MEMBER_LIMIT };
        self.require(MEMBER_LIMIT.contains(&limit), "members_at_most", out_of_range)?;
        self.require(limit as usize >= peers, "members_at_most", || Reason::MemberLimitBelowPeers)
    }

    fn budgets(&self) -> Result<(Vec<Budget>, Vec<BudgetKind>)> {
        let (mut budgets, mut kinds) = (Vec::new(), Vec::new());
        for (index, entry) in self.file.budget.iter().enumerate() {
            budgets.push(self.budget(index, entry, &kinds)?);
            kinds.push(entry.of);
        }
        Ok((budgets, kinds))
    }

    /// Validates the budget at `index` of the file. `earlier` holds the kinds of the budgets before it.
    fn budget(&self, index: usize, entry: &BudgetEntry, earlier: &[BudgetKind]) -> Result<Budget> {
        let field = |name: &str| format!("budget[{index}].{name}");
        self.require(entry.of != BudgetKind::Unknown, &field("of"), || Reason::NoBudgetKind)?;
        self.require(!earlier.contains(&entry.of), &field("of"), || Reason::DuplicateBudget)?;
        self.require(entry.whole > 0, &field("whole"), || Reason::EmptyBudget)?;
        let (total, floor) = (u64::from(entry.whole), u64::from(entry.floor));
        let members = u64::from(self.file.members_at_most);
        let floors_exceed_budget = || Reason::FloorsExceedBudget { floor, members, total };
        self.require(floor * members <= total, &field("floor"), floors_exceed_budget)?;
        let kind = match entry.of {
            BudgetKind::AttemptsPerEndpoint => self.concurrency_limit(entry, field)?,
            _ => self.rate_limit(entry, field)?,
        };
        Ok(Budget::new(entry.of.budget_name(), kind, total, floor))
    }

    fn concurrency_limit(&self, entry: &BudgetEntry, field: impl Fn(&str) -> String) -> Result<LimitKind> {
        let longest_timeout_seconds = self.longest_timeout_seconds;
        let in_range = entry.hold_s >= longest_timeout_seconds && entry.hold_s <= MAX_HOLD_SECONDS;
        self.require(in_range, &field("hold_s"), || Reason::HoldOutOfRange { longest_timeout_seconds })?;
        self.require(entry.every_s == 0.0, &field("every_s"), || Reason::RateFieldOfConcurrencyBudget)?;
        Ok(LimitKind::Concurrency { hold_seconds: entry.hold_s })
    }

    fn rate_limit(&self, entry: &BudgetEntry, field: impl Fn(&str) -> String) -> Result<LimitKind> {
        self.require_duration(&field("every_s"), entry.every_s, REFILL_SECONDS)?;
        self.require(entry.hold_s == 0.0, &field("hold_s"), || Reason::ConcurrencyFieldOfRateBudget)?;
        Ok(LimitKind::Rate { refill_seconds: entry.every_s })
    }
}
