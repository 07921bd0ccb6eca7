//! The simulator's wire: JSON, a batch of events a line in, a reply with actions a line out.
//!
//! Names of types and methods here are those of the wire where it has one (`Demand`, `say_no`); outside this module the
//! words of ottersill are used. [`batch`] passes each event on as soon as it is parsed, since a batch may hold megabytes,
//! and strings are slices of the line.

pub mod batch;
pub mod event;
pub mod reply;

/// The number of an instance on the wire.
pub type InstanceNumber = u32;
/// The number of a request on the wire.
pub type RequestId = u64;
