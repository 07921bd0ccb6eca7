//! The lifecycle of a router process: configuration, log, start, reload and shutdown.

pub mod config;
pub mod error;
pub mod log;
pub mod reload;
pub mod run;
pub mod shutdown;
pub mod start;
