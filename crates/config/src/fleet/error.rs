//! Why a fleet file is rejected, and where it is wrong.

use std::ops::RangeInclusive;

use prost_reflect::text_format::ParseError;
use thiserror::Error;

use super::locate::Position;

/// Why a fleet file is rejected, and where it is wrong. The text is one line for the operator.
#[derive(Debug, Error)]
#[error("line {line}: {field}: {reason}")]
#[must_use]
pub struct FleetConfigError {
    /// The line of the field, from 1; where the field is absent, the line of the message that lacks it. Of text that can't
    /// be parsed, the line of the word at which the parser stopped.
    pub line: usize,
    /// The column of that place, from 1, in bytes.
    pub column: usize,
    /// The path of the field, for instance `budget[1].whole`.
    pub field: String,
    /// What is wrong with the field.
    #[source]
    pub reason: Box<Reason>,
}

impl FleetConfigError {
    pub(super) fn new(position: Position, field: String, reason: Reason) -> FleetConfigError {
        FleetConfigError { line: position.line, column: position.column, field, reason: Box::new(reason) }
    }
}

/// What is wrong with a field of the fleet file.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum Reason {
    /// The text is not of the schema.
    #[error(transparent)]
    Syntax(#[from] ParseError),
    /// The schema that the program was built with can't be decoded.
    #[error(transparent)]
    Schema(#[from] prost_reflect::DescriptorError),
    /// The schema that the program was built with lacks the message.
    #[error("no such message")]
    NoSuchMessage,
    /// A value of the message does not fit the type that the program has for it.
    #[error(transparent)]
    Conversion(#[from] serde_json::Error),
    /// An address is not `host:port` with a numeric host.
    #[error("expected an address with its port, found {found:?}")]
    NotAnAddress {
        /// What is there instead.
        found: String,
    },
    /// A peer has no name.
    #[error("a member needs a name")]
    PeerWithoutName,
    /// Two peers have the same name.
    #[error("another member has this name")]
    DuplicatePeer,
    /// There are no voters, or too many.
    #[error("expected one voter at least, and {max} at most")]
    VoterCount {
        /// Voters that there may be.
        max: usize,
    },
    /// The number of voters is even.
    #[error("expected an odd number: one more brings no further failure that is survived")]
    EvenVoterCount,
    /// A voter is not among the peers.
    #[error("no peer has this name, and each must know where voters are")]
    UnknownVoter,
    /// A voter is listed twice.
    #[error("named twice: it would vote twice")]
    DuplicateVoter,
    /// This member is no peer and the file names no address for it.
    #[error("{member:?} is no peer, so it needs its own address")]
    NoListenAddress {
        /// The name of this member.
        member: String,
    },
    /// The control address is reachable from other machines.
    #[error("expected a loopback address: nobody signs in there")]
    ControlNotLoopback,
    /// No key file is named.
    #[error("members have to prove who they are")]
    NoKeyFile,
    /// A time is outside its range.
    #[error("expected {min_seconds} to {max_seconds} seconds, found {found}")]
    DurationOutOfRange {
        /// The smallest value, in seconds.
        min_seconds: f64,
        /// The largest value, in seconds.
        max_seconds: f64,
        /// The value that is there, in seconds.
        found: f64,
    },
    /// The lease of grants ends before a new leader can be elected.
    #[error(
        "expected half as much again as keeper_lease_s: else all parts run out before the next keeper is found"
    )]
    LeaseTooShort,
    /// The bound on clock drift is outside its range.
    #[error("expected {} to {}, found {found}", .range.start(), .range.end())]
    DriftOutOfRange {
        /// The values that are accepted.
        range: RangeInclusive<f64>,
        /// The value that is there.
        found: f64,
    },
    /// The bound on the number of members is outside its range.
    #[error("expected {} to {}", .range.start(), .range.end())]
    MemberLimitOutOfRange {
        /// The values that are accepted.
        range: RangeInclusive<u32>,
    },
    /// There are more peers than members may be there.
    #[error("there are more peers than that")]
    MemberLimitBelowPeers,
    /// A budget does not say what it limits.
    #[error("what is it for?")]
    NoBudgetKind,
    /// Two budgets limit the same.
    #[error("an earlier budget is for this")]
    DuplicateBudget,
    /// A budget has no units.
    #[error("expected one unit at least: nothing could be spent")]
    EmptyBudget,
    /// The floors of all members exceed the budget.
    #[error("{floor} for each of {members} routers is more than the whole, {total}")]
    FloorsExceedBudget {
        /// Units that each member keeps for itself.
        floor: u64,
        /// Members that may be there.
        members: u64,
        /// Units of the whole budget.
        total: u64,
    },
    /// Units in use are considered returned while an attempt may still run.
    #[error(
        "expected {longest_timeout_seconds} seconds at least, the longest statement timeout: an execution may outlive its router for so long"
    )]
    HoldOutOfRange {
        /// The longest statement timeout of the deployment, in seconds.
        longest_timeout_seconds: f64,
    },
    /// A budget of concurrent units has a field of rates.
    #[error("this budget is no rate")]
    RateFieldOfConcurrencyBudget,
    /// A budget by rate has a field of concurrent units.
    #[error("this budget is a rate")]
    ConcurrencyFieldOfRateBudget,
}
