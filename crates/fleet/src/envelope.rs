//! Messages between members, and the envelope that they travel in.
//!
//! Members of different releases talk to each other: the order of variants and fields is the wire format, and stays.

use serde::{Deserialize, Serialize};

use crate::election::{Ballot, VoterReply};
use crate::quota_ledger::{BudgetRequest, Grant};
use crate::settings::Process;

/// Requests are numbered from one. This number in [`NotLeader`] says that it answers no request.
pub const NO_REQUEST: u64 = 0;

/// A message between two members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A datagram of the membership protocol.
    Membership(Vec<u8>),
    /// A candidate asks a voter for its promise.
    Prepare {
        /// The candidate's ballot.
        ballot: Ballot,
        /// See [`FleetConfig::electorate`](crate::settings::FleetConfig::electorate).
        electorate: u64,
    },
    /// A candidate asks a voter for the leader's lease.
    Accept {
        /// The candidate's ballot.
        ballot: Ballot,
        /// See [`FleetConfig::electorate`](crate::settings::FleetConfig::electorate).
        electorate: u64,
    },
    /// A voter answers a candidate.
    VoterReply {
        /// The ballot that it answers.
        ballot: Ballot,
        /// The answer.
        reply: VoterReply,
    },
    /// A router asks the leader for units.
    QuotaRequest(QuotaRequest),
    /// The leader grants units.
    QuotaReply(QuotaReply),
    /// Whoever was asked is not leader.
    NotLeader(NotLeader),
}

/// A router's request for units of some budgets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Grows with each request of a process.
    pub request_id: u64,
    /// The newest term that the router has heard of.
    pub seen: Ballot,
    /// See [`FleetConfig::electorate`](crate::settings::FleetConfig::electorate).
    pub electorate: u64,
    /// The router leaves and gives everything back.
    pub leaving: bool,
    /// What it reports and asks for, budget by budget.
    pub budgets: Vec<BudgetRequest>,
}

/// The leader's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// The request that it answers.
    pub request_id: u64,
    /// The incarnation of the process that asked.
    pub to: u64,
    /// The leader's term.
    pub term: Ballot,
    /// What is granted. Nothing is, until the router's request names this term.
    pub grants: Vec<Grant>,
}

/// The answer of a member that is not leader.
///
/// With [`NO_REQUEST`] it is sent to a process whose name has a larger incarnation by what the sender knows: `to` is that
/// incarnation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NotLeader {
    /// The request that it answers, or [`NO_REQUEST`].
    pub request_id: u64,
    /// The incarnation of the process that asked.
    pub to: u64,
    /// The name of the leader, if it is known.
    pub leader: Option<String>,
}

/// A message with its sender and its receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Who sent it.
    pub from: Process,
    /// The name of the member that it is for.
    pub to: String,
    /// Grows with each envelope of a process; zero for one that a member sends to itself.
    pub(crate) sequence: u64,
    /// The message.
    pub message: Message,
}

impl Envelope {
    /// An envelope that a member sends to itself.
    pub fn to_itself(process: Process, message: Message) -> Envelope {
        Envelope { to: process.name.clone(), from: process, sequence: 0, message }
    }
}
