//! Fleet-wide budgets, divided among the routers of a fleet by leases.
//!
//! Each router runs one [`node::FleetNode`]. The nodes elect one of a few voters as leader. The leader divides each
//! budget by demand and grants units with leases, and a router spends only the units that it holds a lease for. The sum
//! over all routers never exceeds a budget's total, regardless of datagram loss, delay, reordering and duplication,
//! of processes that stall, crash or restart, and of clock rates that differ within the configured drift.
//! `docs/fleet.md` gives the design and its proof, `docs/operators-fleet.md` explains how to run it.
//!
//! The crate performs no I/O and reads no clock: callers pass in received datagrams and the current time, and collect
//! the datagrams to send. Times are seconds (`f64`) of any monotonic clock.
//!
//! Modules in reading order:
//!
//! 1. [`settings`]: settings of a member, identity of processes
//! 2. [`election`]: leader election, by a lease that a majority of the voters grants
//! 3. [`allocation`]: division of a total by demand
//! 4. [`quota_ledger`]: the leader's record of the units that each router may spend
//! 5. [`local_quota`]: the units that this router may spend
//! 6. [`membership`]: the member list
//! 7. [`envelope`], [`authenticator`], [`datagram`]: messages, their authentication and the datagrams that carry them
//! 8. [`node`]: one member, composed of the modules above

#![warn(clippy::cast_possible_truncation, clippy::cast_precision_loss, clippy::cast_sign_loss)]
#![warn(clippy::shadow_unrelated)]

pub mod allocation;
pub mod authenticator;
mod convert;
pub mod datagram;
pub mod election;
pub mod envelope;
pub mod local_quota;
pub mod membership;
pub mod node;
pub mod quota_ledger;
pub mod settings;
