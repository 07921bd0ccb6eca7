//! Client connections: how they are accepted, read, answered and closed.

pub mod close;
pub mod connection;
pub mod queries;
