//! What a node tells its caller: events and counters.

use crate::election::Ballot;
use crate::local_quota::QuotaState;
use crate::membership::MembershipChange;
use crate::quota_ledger::{BudgetKey, POOLS};
use crate::settings::Process;

/// What happened, for the log and for whoever adds up.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    MembershipChanged(MembershipChange),
    /// This process keeps the books from now on, or no longer does.
    LeadershipChanged(bool),
    /// Whom it asks.
    LeaderFound(String),
    /// A right of its own: units of both pots and their ends. `serial` names the grant in its tenure.
    QuotaGranted {
        key: BudgetKey,
        term: Ballot,
        serial: u64,
        amounts: [u64; POOLS],
        until: [f64; POOLS],
    },
    QuotaStateChanged {
        key: BudgetKey,
        standing: QuotaState,
    },
    /// A process whose file differs in what has to be alike; it gets no answer.
    IncompatibleMember(Process),
    /// A larger incarnation of its own name was known to others, so this process goes by a larger one still. It has no
    /// part of anything until it is granted one anew.
    IncarnationRaised {
        from: u64,
        to: u64,
    },
    /// A process of its name that was started later is known to others; they do not hear this one any more.
    Superseded {
        by: u64,
    },
    /// The keeper goes by a smaller whole than this one's file: another member's file says so.
    SmallerTotal {
        key: BudgetKey,
        own: u64,
        used: u64,
    },
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub heard: u64,
    pub heard_bytes: u64,
    pub sent: u64,
    pub sent_bytes: u64,
    pub unauthenticated: u64,
    pub misaddressed: u64,
    pub old: u64,
    /// Questions that nobody answered in time.
    pub unanswered: u64,
    /// Grants that came too late, or of an earlier tenure.
    pub stale: u64,
    /// Candidates or voters whose file differs in what has to be alike.
    pub incompatible: u64,
    /// Letters of another process under this one's name.
    pub own_name: u64,
    pub elections: u64,
}
