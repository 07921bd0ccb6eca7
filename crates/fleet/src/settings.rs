//! What a member of the fleet is told when it starts, and what all of them have to be told alike.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How a budget is spent. Both kinds are counted in units, whole numbers, so that parts add up exactly.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// A unit is one token of depth that comes back every `every` seconds: so many units spend at most
    /// units x (1 + t / every) in any t seconds.
    Rate { every: f64 },
    /// A unit is one thing in hand, which ends at most `hold` seconds after it was begun, whatever becomes of its
    /// router.
    Concurrency { hold: f64 },
}

impl Kind {
    /// Seconds for which what was begun under a right may outlive it.
    pub fn hold(self) -> f64 {
        match self {
            Kind::Rate { .. } => 0.0,
            Kind::Concurrency { hold } => hold,
        }
    }
}

/// One budget of the whole fleet. Those that are kept for each host, say, are one `Budget` with a subject a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// Of its name, by [`label`].
    pub id: u64,
    pub name: String,
    pub kind: Kind,
    /// Units that all routers together may have.
    pub total: u64,
    /// Units of each router's floor, which it keeps for `floor_lease` though it hears nobody.
    pub floor: u64,
}

impl Budget {
    pub fn named(name: &str, kind: Kind, total: u64, floor: u64) -> Budget {
        Budget { id: label(name), name: name.to_string(), kind, total, floor }
    }
}

/// A short name for a long one, the same at all members. 64 bits of BLAKE3, so that two names of one file, which is
/// checked for it, do not meet by chance.
pub fn label(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    hash.as_bytes().iter().take(8).fold(0, |all, byte| all << 8 | u64::from(*byte))
}

/// Times in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    pub name: String,
    /// Who elects the keeper, by name, in the same order at all members; one of these is the keeper.
    pub voters: Vec<String>,
    /// A keeper is one for so long after it was last elected.
    pub leader_lease: f64,
    /// What a keeper grants may be spent for so long after it was asked for.
    pub lease: f64,
    /// The same for floors.
    pub floor_lease: f64,
    /// How far each clock may run faster or slower than true time, as a part.
    pub drift: f64,
    /// Routers that may be there at once, those counted that died within `floor_lease`: each floor of a budget times
    /// this is set aside.
    pub members_at_most: u64,
    pub budgets: Vec<Budget>,
}

impl FleetConfig {
    /// The time that the one who spends counts for a lease, where the one who granted it counts `lease`: whoever's
    /// clock is slow, the spender's time is over first.
    pub fn holder_lease(&self, lease: f64) -> f64 {
        lease * (1.0 - self.drift) / (1.0 + self.drift)
    }

    /// What has to be alike at all members, and changes only while none runs: whom the lease of the keeper goes by, and
    /// what a new keeper takes for granted of the one before. A voter answers only those who say the same.
    pub fn electorate(&self) -> u64 {
        let floors: Vec<_> = self.budgets.iter().map(|b| (&b.name, HashedKind(b.kind), b.floor)).collect();
        let leases = (self.leader_lease, self.lease, self.floor_lease, self.drift);
        label(&format!("{:?} {leases:?} {} {floors:?}", self.voters, self.members_at_most))
    }

    /// Units of a budget that are kept aside for floors.
    pub fn set_aside(&self, budget: &Budget) -> u64 {
        budget.floor * self.members_at_most
    }

    pub fn voter_index(&self) -> Option<u16> {
        self.voters.iter().position(|voter| *voter == self.name).map(|voter_index| voter_index as u16)
    }

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

/// A process of the program: its name, and which of those that bore it. A later start has a larger incarnation, if need
/// be by learning of the earlier one's (`Fleet`).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Process {
    pub name: String,
    pub incarnation: u64,
}

/// Bits of an incarnation that are random: 65 milliseconds of its microseconds.
const RANDOM_BITS: u64 = 0xffff;

/// The incarnation of a process that starts at that Unix time: microseconds, the last bits random, so that two starts at
/// one reading of a clock that was stepped are two processes. All random where the clock is before 1970.
pub fn incarnation(unix: Option<Duration>, random: u64) -> u64 {
    let started = unix.map_or(random >> 16, |unix| unix.as_micros() as u64);
    started & !RANDOM_BITS | random & RANDOM_BITS
}
