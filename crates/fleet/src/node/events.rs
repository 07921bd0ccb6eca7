//! What a node tells its caller: events and counters.

use crate::election::Ballot;
use crate::local_quota::QuotaState;
use crate::membership::MembershipChange;
use crate::quota_ledger::{BudgetKey, Pools};
use crate::settings::Process;

/// Something happened, for the log and the audit file.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A member came or went.
    MembershipChanged(MembershipChange),
    /// This process is leader from now on, or no longer is.
    LeadershipChanged(bool),
    /// This member was heard as leader, and is asked from now on.
    LeaderFound(String),
    /// What this process may spend of a budget from now on.
    QuotaGranted {
        /// The budget.
        key: BudgetKey,
        /// The leader's term.
        term: Ballot,
        /// The grant's number in its term; the largest there is where everything was given back.
        serial: u64,
        /// Units.
        units: Pools<u64>,
        /// Until when they may be spent.
        expires_at: Pools<f64>,
    },
    /// What this process has of a budget is of another state.
    QuotaStateChanged {
        /// The budget.
        key: BudgetKey,
        /// The state.
        state: QuotaState,
    },
    /// A process whose settings differ in what has to be the same at all members; it gets no answer.
    IncompatibleMember(Process),
    /// A larger incarnation of this process's name was known to another member, so it goes by one that is larger still.
    /// It may spend nothing until it is granted something anew.
    IncarnationRaised {
        /// The incarnation before.
        from: u64,
        /// The incarnation from now on.
        to: u64,
    },
    /// Another member knows a process of this name that started later, and does not hear this one any more.
    Superseded {
        /// The incarnation of that process.
        by: u64,
    },
    /// The leader divides a smaller total than this member's settings give, because another member's settings do.
    SmallerTotal {
        /// The budget.
        key: BudgetKey,
        /// The total by this member's settings.
        own: u64,
        /// The total that the leader divides.
        used: u64,
    },
}

/// Counts since the node started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams received.
    pub received: u64,
    /// Their bytes.
    pub received_bytes: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams of another fleet, or changed on their way.
    pub unauthenticated: u64,
    /// Datagrams for another member.
    pub misaddressed: u64,
    /// Datagrams that came before, or of a process that a later one of its name has replaced.
    pub outdated: u64,
    /// Requests that nobody answered in time.
    pub unanswered: u64,
    /// Replies that came too late, or of an earlier term.
    pub stale: u64,
    /// Messages of members whose settings differ in what has to be the same.
    pub incompatible: u64,
    /// Datagrams of another process of this member's name.
    pub own_name: u64,
    /// How often this process became leader.
    pub elections: u64,
}
