//! The control listener, where operators ask a running router about its fleet (`ottersill fleet`). It changes nothing.

#![warn(missing_docs)]

pub mod fleet_report;
pub mod server;
