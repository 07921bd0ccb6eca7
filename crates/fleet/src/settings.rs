//! Settings of a member, and a hash of those that must be the same at all members.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How the units of a budget are spent. Units are integers, so that shares add up to the total exactly.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitKind {
    /// A token bucket. A unit is one token of bucket depth that is refilled every `refill_seconds`: `n` units allow at
    /// most `n x (1 + t / refill_seconds)` operations in any `t` seconds.
    Rate {
        /// Seconds until a spent token is refilled.
        refill_seconds: f64,
    },
    /// A limit on operations in flight. A unit is one operation.
    Concurrency {
        /// Seconds within which an operation ends, even if its router crashes.
        hold_seconds: f64,
    },
}

impl LimitKind {
    /// Returns the seconds by which an operation may outlast the lease under which it began; 0 for a rate.
    pub fn hold_seconds(self) -> f64 {
        match self {
            LimitKind::Rate { .. } => 0.0,
            LimitKind::Concurrency { hold_seconds } => hold_seconds,
        }
    }
}

/// A member and its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The member's name.
    pub name: String,
    /// Address at which the member receives datagrams.
    pub address: SocketAddr,
}

/// A budget's total after the settings were reloaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetTotal {
    /// The budget's [`id`](Budget::id).
    pub id: u64,
    /// Units that all routers together may hold.
    pub total: u64,
}

/// One fleet-wide budget. A budget that applies separately to each endpoint is one `Budget`; the endpoint is the
/// subject of a [`BudgetKey`](crate::quota_ledger::BudgetKey).
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// The budget's identifier: the [`name_hash`] of its name.
    pub id: u64,
    /// The budget's name, the same at all members.
    pub name: String,
    /// How the units are spent.
    pub kind: LimitKind,
    /// Units that all routers together may hold.
    pub total: u64,
    /// Units reserved for each router, granted with a longer lease than the others.
    pub floor: u64,
}

impl Budget {
    /// Creates a budget whose id is derived from its name.
    pub fn new(name: &str, kind: LimitKind, total: u64, floor: u64) -> Budget {
        Budget { id: name_hash(name), name: name.to_string(), kind, total, floor }
    }
}

/// Returns a 64-bit hash of a name, the same at all members: the first eight bytes of its BLAKE3 hash, big-endian.
pub fn name_hash(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    hash.as_bytes().iter().take(8).fold(0, |value, byte| value << 8 | u64::from(*byte))
}

/// Settings of one member. All times are in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// This member's name.
    pub name: String,
    /// Names of the members that elect the leader from among themselves, in the same order at all members.
    pub voters: Vec<String>,
    /// Seconds for which a member stays leader after it was last elected.
    pub leader_lease_seconds: f64,
    /// Seconds for which granted units of the demand pool may be spent, counted from the request for them.
    pub lease_seconds: f64,
    /// Seconds for which granted floors may be spent, counted from the request for them.
    pub floor_lease_seconds: f64,
    /// The largest rate error of any member's clock, as a fraction.
    pub max_clock_drift: f64,
    /// The largest number of routers at any time, including those that crashed within the last `floor_lease_seconds`.
    /// Each budget's floor is reserved this many times.
    pub max_members: u64,
    /// The fleet-wide budgets.
    pub budgets: Vec<Budget>,
}

impl FleetConfig {
    /// Returns the seconds for which the holder of a lease may use it, if it lasts `lease` seconds for its grantor. It is
    /// shorter by about twice the drift, so that the lease expires at the holder first, whichever clock is slow.
    pub fn holder_lease(&self, lease: f64) -> f64 {
        lease * (1.0 - self.max_clock_drift) / (1.0 + self.max_clock_drift)
    }

    /// Returns a hash of all settings that must be the same at all members: the voters, the leases, the drift, the member
    /// limit, and the names, kinds and floors of the budgets. Totals are excluded because they may be changed while the
    /// fleet runs.
    pub fn shared_settings_hash(&self) -> u64 {
        let budgets: Vec<_> =
            self.budgets.iter().map(|budget| (&budget.name, HashedKind(budget.kind), budget.floor)).collect();
        let leases =
            (self.leader_lease_seconds, self.lease_seconds, self.floor_lease_seconds, self.max_clock_drift);
        name_hash(&format!("{:?} {leases:?} {} {budgets:?}", self.voters, self.max_members))
    }

    /// Returns the units of a budget that are reserved for floors.
    pub fn reserved_for_floors(&self, budget: &Budget) -> u64 {
        budget.floor * self.max_members
    }

    /// Returns this member's index among the voters, if it is a voter.
    pub fn voter_index(&self) -> Option<u16> {
        self.index_of_voter(&self.name)
    }

    /// Returns the index of the voter named `name`, if there is one.
    pub(crate) fn index_of_voter(&self, name: &str) -> Option<u16> {
        let index = self.voters.iter().position(|voter| *voter == name)?;
        u16::try_from(index).ok()
    }

    /// Returns the budget with that id, if there is one.
    pub fn budget(&self, id: u64) -> Option<&Budget> {
        self.budgets.iter().find(|budget| budget.id == id)
    }
}

/// Formats a [`LimitKind`] for the text that [`FleetConfig::shared_settings_hash`] hashes. Members of all releases must
/// hash the same text, so it stays the same even if the type's names change.
struct HashedKind(LimitKind);

impl fmt::Debug for HashedKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            LimitKind::Rate { refill_seconds: every } => write!(formatter, "Rate {{ every: {every:?} }}"),
            LimitKind::Concurrency { hold_seconds: hold } => write!(formatter, "InHand {{ hold: {hold:?} }}"),
        }
    }
}

/// One process of a member. A restarted member keeps its name and gets a new incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Process {
    /// The member's name.
    pub name: String,
    /// Distinguishes the processes of one name, and is larger for one that started later; see [`incarnation`].
    pub incarnation: u64,
}

/// Mask of the random low bits of an incarnation, which span 65 ms of its microseconds.
const RANDOM_BITS_MASK: u64 = 0xffff;

/// Returns the incarnation of a process that starts at Unix time `unix`: the time in microseconds with random low bits,
/// so that two starts at the same wall-clock time, which a clock that is stepped back can cause, get different
/// incarnations. All bits are random if the clock is before 1970 (`None`).
///
/// After the clock was stepped back, the incarnation may be smaller than that of an earlier process of the same name.
/// The node learns this from its peers and takes a larger one; see [`node`](crate::node).
pub fn incarnation(unix: Option<Duration>, random: u64) -> u64 {
    let started = unix.map_or(random >> 16, |unix| u64::try_from(unix.as_micros()).unwrap_or(u64::MAX));
    started & !RANDOM_BITS_MASK | random & RANDOM_BITS_MASK
}
