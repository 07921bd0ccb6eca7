//! Messages between members, and the envelope that they travel in.

use serde::{Deserialize, Serialize};

use crate::election::{Ballot, VoterReply};
use crate::quota_ledger::{Grant, QuotaRequest};
use crate::settings::Process;

/// Questions are numbered from one.
pub const NO_REQUEST: u64 = 0;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Of the membership protocol.
    Swim(Vec<u8>),
    Prepare {
        ballot: Ballot,
        electorate: u64,
    },
    Accept {
        ballot: Ballot,
        electorate: u64,
    },
    VoterReply {
        ballot: Ballot,
        answer: VoterReply,
    },
    /// `seen` is the newest tenure that the sender knows of.
    QuotaRequest {
        request_id: u64,
        seen: Ballot,
        electorate: u64,
        leaving: bool,
        entries: Vec<QuotaRequest>,
    },
    QuotaReply {
        request_id: u64,
        to: u64,
        term: Ballot,
        grants: Vec<Grant>,
    },
    /// Not the keeper; the name of who may be. With [`NO_QUESTION`] it answers a process that a later one of its name is
    /// known to have followed: `to` is the incarnation of that one.
    NotLeader {
        request_id: u64,
        to: u64,
        leader: Option<String>,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    pub from: Process,
    pub to: String,
    pub(crate) sequence: u64,
    pub message: Message,
}

impl Envelope {
    /// One that was never sealed, from a member to itself.
    pub fn new(from: Process, to: String, message: Message) -> Envelope {
        Envelope { from, to, sequence: 0, message }
    }
}
