//! Errors of the fleet file, with the position of the invalid field.

use std::ops::RangeInclusive;

use prost_reflect::text_format::ParseError;
use thiserror::Error;

use super::locate::Position;

/// The reason why a fleet file is rejected, with the position of the error. The message is a single line, meant for
/// operators.
#[derive(Debug, Error)]
#[error("line {line}: {field}: {reason}")]
#[must_use]
pub struct FleetConfigError {
    /// The line of the field, counted from 1. If the field is absent, the line of the message that lacks it. If the text
    /// can't be parsed, the line of the token at which the parser stopped.
    pub line: usize,
    /// The column of that position in bytes, counted from 1.
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
    /// The text does not follow the schema.
    #[error(transparent)]
    Syntax(#[from] ParseError),
    /// The schema that was compiled into the program can't be decoded.
    #[error(transparent)]
    Schema(#[from] prost_reflect::DescriptorError),
    /// The schema that was compiled into the program lacks the message.
    #[error("the schema that was compiled into the program has no such message")]
    NoSuchMessage,
    /// A value of the message can't be converted to the Rust type of its field.
    #[error(transparent)]
    Conversion(#[from] serde_json::Error),
    /// An address is not `host:port` with a numeric host.
    #[error("expected an address with its port, found {found:?}")]
    NotAnAddress {
        /// The value that was found.
        found: String,
    },
    /// A peer has no name.
    #[error("expected a name, found an empty one")]
    PeerWithoutName,
    /// Two peers have the same name.
    #[error("an earlier peer has the same name")]
    DuplicatePeer,
    /// There are no voters, or too many.
    #[error("expected 1 to {max} voters")]
    VoterCount {
        /// Maximum number of voters.
        max: usize,
    },
    /// The number of voters is even.
    #[error(
        "expected an odd number of voters: an even number tolerates no more failures than one voter fewer"
    )]
    EvenVoterCount,
    /// A voter is not among the peers.
    #[error("no peer has this name, and every member needs the addresses of all voters")]
    UnknownVoter,
    /// A voter is listed twice.
    #[error("this voter is listed twice, and would vote twice")]
    DuplicateVoter,
    /// This member is not among the peers and the file has no `listen` address.
    #[error("{member:?} is not among the peers, so it needs a listen address of its own")]
    NoListenAddress {
        /// The name of this member.
        member: String,
    },
    /// The control address is reachable from other machines.
    #[error("expected a loopback address: control requests are not authenticated")]
    ControlNotLoopback,
    /// The file names no key file.
    #[error("expected the path of the key file: members authenticate each other with its key")]
    NoKeyFile,
    /// A duration is outside its range.
    #[error("expected {min_seconds} to {max_seconds} seconds, found {found}")]
    DurationOutOfRange {
        /// The smallest value, in seconds.
        min_seconds: f64,
        /// The largest value, in seconds.
        max_seconds: f64,
        /// The value that was found, in seconds.
        found: f64,
    },
    /// The lease of grants is too short: it would expire before a new leader can be elected.
    #[error(
        "expected at least 1.5 times keeper_lease_s: otherwise all grants expire before a new leader is elected"
    )]
    LeaseTooShort,
    /// The maximum clock drift is outside its range.
    #[error("expected {} to {}, found {found}", .range.start(), .range.end())]
    DriftOutOfRange {
        /// The values that are accepted.
        range: RangeInclusive<f64>,
        /// The value that was found.
        found: f64,
    },
    /// The maximum number of members is outside its range.
    #[error("expected {} to {}", .range.start(), .range.end())]
    MemberLimitOutOfRange {
        /// The values that are accepted.
        range: RangeInclusive<u32>,
    },
    /// There are more peers than the maximum number of members.
    #[error("expected at least the number of peers")]
    MemberLimitBelowPeers,
    /// A budget does not say what it limits.
    #[error("the budget does not say what it limits")]
    NoBudgetKind,
    /// Two budgets have the same kind.
    #[error("an earlier budget already limits this")]
    DuplicateBudget,
    /// A budget has no units.
    #[error("expected at least 1 unit: a budget of 0 allows nothing")]
    EmptyBudget,
    /// The floors of all members together exceed the total of the budget.
    #[error("a floor of {floor} for each of {members} routers exceeds the budget's whole, {total}")]
    FloorsExceedBudget {
        /// Units that are reserved for each member.
        floor: u64,
        /// Maximum number of members.
        members: u64,
        /// Total units of the budget.
        total: u64,
    },
    /// The hold time is outside its range. If it is too short, units in use are treated as released while an attempt may
    /// still be running.
    #[error(
        "expected at least {longest_timeout_seconds} seconds, the longest statement timeout: an attempt may run that long after its router crashed"
    )]
    HoldOutOfRange {
        /// The longest statement timeout of the deployment, in seconds.
        longest_timeout_seconds: f64,
    },
    /// A budget that limits concurrency has a field of rate limits.
    #[error("this budget limits concurrency, and the field applies to rate limits only")]
    RateFieldOfConcurrencyBudget,
    /// A budget that limits a rate has a field of concurrency limits.
    #[error("this budget limits a rate, and the field applies to concurrency limits only")]
    ConcurrencyFieldOfRateBudget,
}
