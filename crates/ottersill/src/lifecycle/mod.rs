//! Start and stop: what the router is told, its log, ready, SIGTERM, the exit.

pub mod charter;
pub mod log;
pub mod serve;
