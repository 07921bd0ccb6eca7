//! Request routing for a replicated store, without I/O and without a clock.
//!
//! [`Router`] decides which endpoint serves a request, whether a failed attempt is retried, and which requests are shed; an
//! implementation of [`Transport`](interface::Transport) carries the decisions out. [`facade::Facade`] wraps both in a
//! blocking-style interface for network code. Times are seconds that the caller passes in. Every random choice comes from a
//! seeded hash, so a run can be reproduced exactly.
//!
//! The modules in reading order (`docs/architecture.md` has more detail):
//!
//! 1. [`interface`]: settings, requests, results, reports; the trait that the caller has to implement.
//! 2. [`facade`]: the same for network code, as pick, report and tick.
//! 3. `router`: the entry points, which pass each event on to the other modules in a fixed order.
//! 4. `arrival`, `dispatch`: a request from its arrival to its final answer; `request`: its states.
//! 5. `eligibility`, `selection`: which endpoints may be sent a request, and which of them is chosen.
//! 6. `feedback`, `monitoring`: what is learnt from results, reports and health checks; `retention`: how long this is kept
//!    for endpoints that have left the list.
//! 7. One concern each, with its own state: `primary`, `consistency`, `retry`, `admission`, `concurrency_limit`,
//!    `slow_start`, `throughput`, `outlier`, `health_check`, `departure`, `stats`.
//! 8. The types that hold these states: `endpoint`, `replica_set`, `state`; and, below all others, `ids`, `clock`, `sampling`,
//!    `convert`.
//!
//! Some modules stand apart, for the caller: [`fair_queue`], the order in which it serves its sources of work and how much of each
//! at a time; [`statement_ids`], which of two statements with one id is the first; [`executed_writes`], the ids that must not run
//! again; [`discovery_watch`], when discovery is called and which of its answers are acted on, with its parts
//! `discovery_call`, `list_order` and [`response_time`].
//!
//! No two modules import each other: imports lead from `facade` and `router` down to `ids`, `clock`, `sampling`, `convert`
//! and `interface`.

#![warn(missing_docs)]
#![warn(clippy::cast_possible_truncation, clippy::cast_precision_loss, clippy::cast_sign_loss)]
#![allow(
    clippy::needless_pass_by_value,
    reason = "the facade takes requests and events by value, because its callers do not use them afterwards"
)]

mod admission;
mod arrival;
mod clock;
pub mod clock_offset;
mod concurrency_limit;
mod consistency;
mod convert;
mod departure;
mod discovery_call;
pub mod discovery_watch;
mod dispatch;
mod eligibility;
mod endpoint;
pub mod executed_writes;
pub mod facade;
pub mod fair_queue;
mod feedback;
mod health_check;
mod ids;
pub mod interface;
mod list_order;
mod monitoring;
mod outlier;
mod primary;
mod replica_set;
mod request;
pub mod response_time;
mod retention;
mod retry;
mod router;
mod sampling;
mod selection;
mod slow_start;
mod state;
pub mod statement_ids;
mod stats;
mod throughput;
mod time_conversion;

pub use router::Router;
