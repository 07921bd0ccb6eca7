//! Client connections: how they are accepted, read, answered and closed.

pub mod accept;
pub mod answers;
pub mod close;
pub mod connection;
pub mod limits;
pub mod queries;
pub mod session;
pub mod table;
