//! The control listener, through which operators query the state of the fleet at a running router (`ottersill fleet`). It is
//! read-only.

pub mod fleet_report;
pub mod server;
