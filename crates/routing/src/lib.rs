//! Routing of requests in a replicated store, without I/O and without a clock.
//!
//! [`Router`] decides which endpoint serves a request, whether a failed attempt is retried, and what is shed; whoever
//! implements [`Transport`](interface::Transport) carries that out. [`facade::Facade`] wraps both in a blocking style for network
//! code. Times are seconds that the caller hands in; every random choice comes from a seeded hash, so a run can be repeated
//! exactly.
//!
//! The modules in reading order (`docs/architecture.md` says more):
//!
//! 1. [`interface`]: settings, requests, results, reports; what the caller has to implement.
//! 2. [`facade`]: the same for network code, as pick, report, tick.
//! 3. `router`: the entry points, which hand what happens to the concerns in a fixed order.
//! 4. `arrival`, `dispatch`: the way of a request from its arrival to its final answer; `request`: its states.
//! 5. `eligibility`, `selection`: which endpoints may take it, and which of them does.
//! 6. `feedback`, `monitoring`: what is learnt from results, reports and health checks; `retention`: how long it is kept of
//!    endpoints that have left.
//! 7. One concern each, with its own state: `primary`, `consistency`, `retry`, `admission`, `concurrency_limit`,
//!    `slow_start`, `throughput`, `outlier`, `health_check`, `departure`, `stats`.
//! 8. What holds these: `endpoint`, `replica_set`, `state`; and `ids`, `clock`, `sampling`, `convert` below all.
//!
//! No two modules import each other; imports go down from `facade` and `router` to `ids`, `clock`, `sampling`, `convert` and
//! `interface`.

#![warn(missing_docs)]
#![warn(clippy::cast_possible_truncation, clippy::cast_precision_loss, clippy::cast_sign_loss)]
#![allow(
    clippy::needless_pass_by_value,
    reason = "the facade takes requests and events by value, as its callers have no use for them after"
)]

mod admission;
mod arrival;
mod clock;
pub mod clock_offset;
mod concurrency_limit;
mod consistency;
mod convert;
mod departure;
mod dispatch;
mod eligibility;
mod endpoint;
pub mod facade;
mod feedback;
mod health_check;
mod ids;
pub mod interface;
mod monitoring;
mod outlier;
mod primary;
mod replica_set;
mod request;
mod retention;
mod retry;
mod router;
mod sampling;
mod selection;
mod slow_start;
mod state;
mod stats;
mod throughput;
mod time_conversion;

pub use router::Router;
