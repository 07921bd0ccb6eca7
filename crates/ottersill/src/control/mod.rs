//! The control listener, where operators ask a running router about its fleet (`ottersill fleet`). It changes nothing.

pub mod fleet_report;
pub mod server;
