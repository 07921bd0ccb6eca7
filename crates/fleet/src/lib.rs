//! The fleet: who is there, who keeps the books, and budgets of the whole divided among the routers by leases.
//!
//! No I/O and no clock: a [`fleet::Fleet`] is handed datagrams and times, in seconds of any clock that never goes back.

pub mod books;
pub mod divide;
pub mod fleet;
pub mod members;
pub mod purse;
pub mod seal;
pub mod terms;
pub mod vote;
