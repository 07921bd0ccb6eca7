//! What is kept in memory: statements, hosts with the connections to them, clients, alarms, counters, the tie to the fleet.

pub mod audit_file;
pub mod clients;
pub mod lines;
pub mod link;
pub mod statements;
