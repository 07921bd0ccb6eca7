//! Budgets of a whole fleet of routers, divided among them by leases.
//!
//! Each router runs one [`node::FleetNode`]. The nodes elect one of a few voters as leader; the leader divides each
//! budget by demand and grants units with leases; a router spends only what it holds a lease for. The sum over all
//! routers never exceeds a budget's total, whatever datagrams, processes or clocks (within a stated drift) do.
//! `docs/fleet.md` gives the design and its proof, `docs/operators-fleet.md` how to run it.
//!
//! The crate does no I/O and reads no clock: callers hand in datagrams and times and pick up datagrams to send. Times
//! are seconds (`f64`) of any clock that never goes back.
//!
//! Modules in reading order:
//!
//! 1. [`settings`]: settings of a member, names of processes
//! 2. [`election`]: who is leader, by a lease that a majority of the voters grants
//! 3. [`allocation`]: how a total is divided by demand
//! 4. [`quota_ledger`]: the leader's record of what every router may spend
//! 5. [`local_quota`]: what this router may spend
//! 6. [`membership`]: which routers are there
//! 7. [`envelope`], [`authenticator`], [`datagram`]: messages, their proof and what goes over the network
//! 8. [`node`]: all of these put together

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
