//! Messages between members, and the envelope that carries them.
//!
//! The order of variants and fields is the wire format between members of different releases and must not change.

use serde::{Deserialize, Serialize};

use crate::election::{Ballot, VoterReply};
use crate::quota_ledger::{BudgetRequest, Grant};
use crate::settings::Process;

/// The `request_id` of a [`NotLeader`] that answers no request. The ids of requests start at 1.
pub const NO_REQUEST: u64 = 0;

/// A message between two members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A datagram of the membership protocol.
    Membership(Vec<u8>),
    /// A candidate's request for a voter's promise.
    Prepare {
        /// The candidate's ballot.
        ballot: Ballot,
        /// See [`FleetConfig::shared_settings_hash`](crate::settings::FleetConfig::shared_settings_hash).
        shared_settings_hash: u64,
    },
    /// A candidate's request for the leader lease.
    Accept {
        /// The candidate's ballot.
        ballot: Ballot,
        /// See [`FleetConfig::shared_settings_hash`](crate::settings::FleetConfig::shared_settings_hash).
        shared_settings_hash: u64,
    },
    /// A voter's answer to a candidate.
    VoterReply {
        /// The ballot of the request that it answers.
        ballot: Ballot,
        /// The answer.
        reply: VoterReply,
    },
    /// A router's request for units.
    QuotaRequest(QuotaRequest),
    /// The leader's answer to a request for units.
    QuotaReply(QuotaReply),
    /// The answer of a member that is not leader to a request for units.
    NotLeader(NotLeader),
}

/// A router's request for units of some budgets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Increases with each request of a process, starting at 1.
    pub request_id: u64,
    /// The newest term that the router knows.
    pub newest_known_term: Ballot,
    /// See [`FleetConfig::shared_settings_hash`](crate::settings::FleetConfig::shared_settings_hash).
    pub shared_settings_hash: u64,
    /// Whether the router leaves and releases all its leases.
    pub leaving: bool,
    /// The router's report and request for each budget.
    pub budgets: Vec<BudgetRequest>,
}

/// The leader's answer to a [`QuotaRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// The id of the request that it answers.
    pub request_id: u64,
    /// The incarnation of the process that sent the request.
    pub to_incarnation: u64,
    /// The leader's term.
    pub term: Ballot,
    /// The grants; empty unless the router's request names this term.
    pub grants: Vec<Grant>,
}

/// The answer of a member that is not leader.
///
/// With [`NO_REQUEST`] as `request_id` it informs a process that the sender knows a larger incarnation of the process's name;
/// `to_incarnation` is that larger incarnation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NotLeader {
    /// The id of the request that it answers, or [`NO_REQUEST`].
    pub request_id: u64,
    /// The incarnation of the process that sent the request.
    pub to_incarnation: u64,
    /// The name of the leader, if known.
    pub leader: Option<String>,
}

/// A message with its sender and its recipient.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sending process.
    pub from: Process,
    /// The name of the receiving member.
    pub to: String,
    /// Increases with each envelope of a process; zero for one that a member sends to itself.
    pub(crate) sequence: u64,
    /// The message.
    pub message: Message,
}

impl Envelope {
    /// Creates an envelope that a member sends to itself.
    pub fn loopback(process: Process, message: Message) -> Envelope {
        Envelope { to: process.name.clone(), from: process, sequence: 0, message }
    }
}
