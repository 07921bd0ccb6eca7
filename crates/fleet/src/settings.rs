//! Settings of a member, and which of them have to be the same at all members.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How units of a budget are spent. Units are whole numbers, so that shares add up exactly.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// A token bucket. A unit is one token of depth that is refilled every `every` seconds: `n` units allow at most
    /// `n x (1 + t / every)` operations in any `t` seconds.
    Rate {
        /// Seconds after which a spent token is back.
        every: f64,
    },
    /// A limit of operations in flight. A unit is one operation.
    Concurrency {
        /// Seconds within which an operation ends, even if its router is lost.
        hold: f64,
    },
}

impl Kind {
    /// Seconds by which an operation may outlive the lease that it was begun under.
    pub fn hold(self) -> f64 {
        match self {
            Kind::Rate { .. } => 0.0,
            Kind::Concurrency { hold } => hold,
        }
    }
}

/// A member and where the others reach it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Where it receives datagrams.
    pub address: SocketAddr,
}

/// A budget's total by settings that were read again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetTotal {
    /// The budget's [`id`](Budget::id).
    pub id: u64,
    /// Units that all routers together may have.
    pub total: u64,
}

/// One budget of the whole fleet. A budget that exists once for each host is one `Budget`; the host is the subject of a
/// [`BudgetKey`](crate::quota_ledger::BudgetKey).
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// The [`label`] of the name.
    pub id: u64,
    /// The name, the same at all members.
    pub name: String,
    /// How it is spent.
    pub kind: Kind,
    /// Units that all routers together may have.
    pub total: u64,
    /// Units that are reserved for each router, with a longer lease than the rest.
    pub floor: u64,
}

impl Budget {
    /// A budget with the id that belongs to its name.
    pub fn named(name: &str, kind: Kind, total: u64, floor: u64) -> Budget {
        Budget { id: label(name), name: name.to_string(), kind, total, floor }
    }
}

/// A 64-bit hash of a name, the same at all members: the first eight bytes of its BLAKE3 hash.
pub fn label(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    hash.as_bytes().iter().take(8).fold(0, |label, byte| label << 8 | u64::from(*byte))
}

/// Settings of one member. All times are in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// This member's name.
    pub name: String,
    /// Names of the members that elect the leader, in the same order at all members. The leader is one of them.
    pub voters: Vec<String>,
    /// How long a leader stays leader after it was last elected.
    pub leader_lease: f64,
    /// How long granted units may be spent, from when they were asked for.
    pub lease: f64,
    /// The same for floors.
    pub floor_lease: f64,
    /// The largest error of each clock's rate, as a fraction.
    pub drift: f64,
    /// Routers that may exist at a time, with those that died within `floor_lease`. Each budget's floor is reserved so
    /// many times.
    pub members_at_most: u64,
    /// The budgets.
    pub budgets: Vec<Budget>,
}

impl FleetConfig {
    /// How long the holder of a lease counts it, where the grantor counts `lease` seconds. It is shorter by twice the
    /// drift, so that the holder's time is over first whichever clock is slow.
    pub fn holder_lease(&self, lease: f64) -> f64 {
        lease * (1.0 - self.drift) / (1.0 + self.drift)
    }

    /// A hash of all settings that have to be the same at all members: voters, leases, drift, floors and kinds of
    /// budgets. Totals are not among them, as they may be changed while the fleet runs.
    pub fn electorate(&self) -> u64 {
        let budgets: Vec<_> =
            self.budgets.iter().map(|budget| (&budget.name, HashedKind(budget.kind), budget.floor)).collect();
        let leases = (self.leader_lease, self.lease, self.floor_lease, self.drift);
        label(&format!("{:?} {leases:?} {} {budgets:?}", self.voters, self.members_at_most))
    }

    /// Units of a budget that are reserved for floors.
    pub fn reserved_for_floors(&self, budget: &Budget) -> u64 {
        budget.floor * self.members_at_most
    }

    /// This member's index among the voters, if it is one.
    pub fn voter_index(&self) -> Option<u16> {
        self.index_of_voter(&self.name)
    }

    /// The index of the voter of that name, if there is one.
    pub(crate) fn index_of_voter(&self, name: &str) -> Option<u16> {
        let index = self.voters.iter().position(|voter| *voter == name)?;
        u16::try_from(index).ok()
    }

    /// The budget of that id.
    pub fn budget(&self, id: u64) -> Option<&Budget> {
        self.budgets.iter().find(|budget| budget.id == id)
    }
}

/// A kind as it is written in the text that [`FleetConfig::electorate`] hashes. Members of all releases hash this text,
/// so its words stay even if the type's names change.
struct HashedKind(Kind);

impl fmt::Debug for HashedKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Kind::Rate { every } => write!(formatter, "Rate {{ every: {every:?} }}"),
            Kind::Concurrency { hold } => write!(formatter, "InHand {{ hold: {hold:?} }}"),
        }
    }
}

/// One process of the program: a member's name, and which of the processes of that name it is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Process {
    /// The member's name.
    pub name: String,
    /// Larger for a process that started later; see [`incarnation`].
    pub incarnation: u64,
}

/// Low bits of an incarnation that are random: 65 milliseconds of its microseconds.
const RANDOM_BITS: u64 = 0xffff;

/// The incarnation of a process that starts at that Unix time: microseconds whose low bits are random, so that two starts
/// at one reading of a clock that was stepped back are two processes. All bits are random where the clock is before
/// 1970 (`None`).
///
/// After a step back of the clock it may be smaller than that of an earlier process of this name. The node learns this
/// from its peers and takes a larger one; see [`node`](crate::node).
pub fn incarnation(unix: Option<Duration>, random: u64) -> u64 {
    let started = unix.map_or(random >> 16, |unix| u64::try_from(unix.as_micros()).unwrap_or(u64::MAX));
    started & !RANDOM_BITS | random & RANDOM_BITS
}
