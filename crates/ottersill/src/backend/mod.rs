//! Backend connections: the connections to database endpoints, and the attempts and health checks that they carry.

pub mod attempt;
pub mod connection;
pub mod reply;
