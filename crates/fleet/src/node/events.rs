//! Events and counters that a node reports to its caller.

use crate::election::Ballot;
use crate::local_quota::QuotaState;
use crate::membership::MembershipChange;
use crate::quota_ledger::{BudgetKey, Pools};
use crate::settings::Process;

/// A change that the caller writes to the log or to the audit file.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A member joined, left or became unreachable.
    MembershipChanged(MembershipChange),
    /// This process became leader (`true`) or stopped being leader (`false`).
    LeadershipChanged(bool),
    /// A reply identified this member as leader. Requests are sent to it from now on.
    LeaderFound(String),
    /// The units of a budget that this process may spend from now on have changed.
    QuotaGranted {
        /// The budget.
        key: BudgetKey,
        /// The leader's term.
        term: Ballot,
        /// Sequence number of the grant within its term; `u64::MAX` if all units were released.
        serial: u64,
        /// Units that may be spent.
        units: Pools<u64>,
        /// When the leases of the units expire, in seconds.
        expires_at: Pools<f64>,
    },
    /// The state of this process's quota of a budget has changed.
    QuotaStateChanged {
        /// The budget.
        key: BudgetKey,
        /// The new state.
        state: QuotaState,
    },
    /// A process has different values for settings that must be the same at all members. It gets no answer.
    IncompatibleMember(Process),
    /// Another member knew a larger incarnation of this process's name, so this process has taken a still larger one. It
    /// may spend nothing until it receives a new grant.
    IncarnationRaised {
        /// The previous incarnation.
        from: u64,
        /// The new incarnation.
        to: u64,
    },
    /// Another member knows a process of this name that started later, and ignores this process.
    Superseded {
        /// The incarnation of that process.
        by: u64,
    },
    /// The leader divides a smaller total than the one in this member's settings, because another member's settings
    /// contain the smaller total.
    SmallerTotal {
        /// The budget.
        key: BudgetKey,
        /// The total in this member's settings.
        own: u64,
        /// The total that the leader divides.
        used: u64,
    },
}

/// Event counts since the node started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams received.
    pub received: u64,
    /// Bytes of the datagrams received.
    pub received_bytes: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams that are not from this fleet or were altered in transit.
    pub unauthenticated: u64,
    /// Datagrams addressed to another member.
    pub misaddressed: u64,
    /// Datagrams that were received before, or whose sender was replaced by a later process of its name.
    pub outdated: u64,
    /// Times that requests went unanswered until the timeout.
    pub unanswered: u64,
    /// Replies that arrived too late, belong to an earlier term or are meant for an earlier incarnation.
    pub stale: u64,
    /// Messages of members that differ in settings that must be the same at all members.
    pub incompatible: u64,
    /// Datagrams sent by another process with this member's name.
    pub own_name: u64,
    /// Times that this process became leader.
    pub elections: u64,
}
