//! The fleet: who is there, who keeps the books, and budgets of the whole divided among the routers by leases.
//!
//! No I/O and no clock: a [`fleet::Fleet`] is handed datagrams and times, in seconds of any clock that never goes back.

pub mod allocation;
pub mod authenticator;
pub mod datagram;
pub mod election;
pub mod envelope;
pub mod local_quota;
pub mod membership;
pub mod node;
pub mod quota_ledger;
pub mod settings;
