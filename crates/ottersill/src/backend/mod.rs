//! Backend connections: the connections to database endpoints, and the attempts and health checks that they carry.

pub mod attempt;
pub mod connection;
pub mod outcome;
pub mod pool;
pub mod reply;
pub mod session;
pub mod table;
