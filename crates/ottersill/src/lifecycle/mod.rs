//! Start and stop: what the router is told, its log, ready, SIGHUP, SIGTERM, the exit.

pub mod charter;
pub mod log;
pub mod reload;
pub mod run;
