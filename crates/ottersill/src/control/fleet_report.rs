//! The answers of the control listener: the state of the fleet as JSON objects.

use ottersill_fleet::local_quota::LocalQuota;
use ottersill_fleet::membership::Member;
use ottersill_fleet::node::FleetNode;
use ottersill_fleet::quota_ledger::{BudgetKey, LedgerEntry};
use serde_json::{Value, json};

use crate::discovery::registry::EndpointRegistry;
use crate::fleet_link::names::BudgetNames;
use crate::fleet_link::{FleetLink, MembershipState};

/// The state from which control answers are built.
pub struct FleetReport<'a> {
    /// The time in Unix seconds, read from the clock for this answer.
    pub now: f64,
    /// The link to the fleet; none if this router is not in a fleet.
    pub link: Option<&'a FleetLink>,
    /// Gives the names of the endpoints that budgets apply to.
    pub endpoints: &'a EndpointRegistry,
}

impl FleetReport<'_> {
    /// Returns the answer to a question: JSON objects, one per line. The answer to an unknown question is a single object with
    /// the field `fault`.
    pub fn answer(&self, question: &str) -> String {
        let objects = match question {
            "members" => self.members(),
            "budgets" => self.budgets(),
            // `books` and `counts` are earlier names of these questions.
            "ledger" | "books" => self.ledger(),
            "counters" | "counts" => self.counters(),
            other => vec![fault(&format!("expected members, budgets, ledger or counters, found {other:?}"))],
        };
        objects.into_iter().map(|object| object.to_string() + "\n").collect()
    }

    /// This member and the names of its budgets, if it has joined the fleet.
    fn joined(&self) -> Option<(&FleetNode, BudgetNames<'_>)> {
        let link = self.link?;
        match link.state() {
            MembershipState::Joined { fleet, .. } => Some((fleet, link.names(self.endpoints))),
            MembershipState::AddressTaken { .. } | MembershipState::Left => None,
        }
    }

    /// The known members, and since when each is present or absent.
    fn members(&self) -> Vec<Value> {
        let fleet = match self.link.map(FleetLink::state) {
            Some(MembershipState::Joined { fleet, .. }) => fleet,
            Some(MembershipState::AddressTaken { .. }) => {
                return vec![fault("another process holds this member's address")];
            }
            Some(MembershipState::Left) | None => return vec![fault("this router is in no fleet")],
        };
        let leader = fleet.leader();
        let object = |member: &Member| {
            let name = member.process.name.as_str();
            json!({"member": name, "incarnation": member.process.incarnation, "at": member.address,
                "presence": member.presence, "for_s": self.now - member.since, "leader": leader == Some(name),
                "me": member.process == *fleet.process()})
        };
        fleet.members().map(object).collect()
    }

    /// This router's quota of each budget, and when it expires.
    fn budgets(&self) -> Vec<Value> {
        let Some((fleet, names)) = self.joined() else { return Vec::new() };
        let object = |(key, quota): (&BudgetKey, &LocalQuota)| {
            let (leased, expires_at) = (quota.leased(self.now), quota.expires_at());
            json!({"budget": names.budget(key.budget), "subject": names.subject(key.subject), "total": quota.total(),
                "leased": leased.demand, "leased_for_s": (expires_at.demand - self.now).max(0.0), "floor": leased.floor,
                "floor_for_s": (expires_at.floor - self.now).max(0.0), "in_use": quota.in_use(), "acquired": quota.acquired(),
                "denied": quota.denied(), "state": format!("{:?}", quota.state())})
        };
        fleet.quotas().map(object).collect()
    }

    /// The holders of each budget and their quota. Only the leader knows them.
    fn ledger(&self) -> Vec<Value> {
        let Some((fleet, names)) = self.joined() else { return Vec::new() };
        if !fleet.is_leader(self.now) {
            return vec![json!({"fault": "another member is the leader", "leader": fleet.leader()})];
        }
        let object = |line: LedgerEntry| {
            let granted = line.outstanding.sum();
            json!({"budget": names.budget(line.key.budget), "subject": names.subject(line.key.subject),
                "holder": line.holder.name, "incarnation": line.holder.incarnation, "leased": line.outstanding.demand,
                "floor": line.outstanding.floor, "in_use": line.in_use, "demand": line.demand,
                "unused": granted.saturating_sub(line.demand.max(line.in_use))})
        };
        fleet.ledger_entries(self.now).into_iter().map(object).collect()
    }

    /// Counts of datagrams, elections and refused acquisitions.
    fn counters(&self) -> Vec<Value> {
        let (Some(link), Some((fleet, _))) = (self.link, self.joined()) else { return Vec::new() };
        let counts = fleet.counters();
        vec![
            json!({"received": counts.received, "received_bytes": counts.received_bytes, "sent": counts.sent,
            "sent_bytes": counts.sent_bytes, "unauthenticated": counts.unauthenticated, "misaddressed": counts.misaddressed, "outdated": counts.outdated,
            "unanswered": counts.unanswered, "stale": counts.stale, "incompatible": counts.incompatible,
            "own_name": counts.own_name, "elections": counts.elections, "refused": link.refused_acquisitions(),
            "unwritten": link.unwritten_audit_lines()}),
        ]
    }
}

/// Returns an object that states why a query can't be answered.
fn fault(text: &str) -> Value {
    json!({"fault": text})
}
