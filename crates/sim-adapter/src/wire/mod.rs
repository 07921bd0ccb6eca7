//! The simulator's JSON protocol, called the wire: each input line is a batch of events, and each output line is a reply
//! with actions.
//!
//! Types and methods of this module have the names of the wire where it defines one (`Demand`, `say_no`); the other
//! modules use ottersill's own terms. [`batch`] passes each event on as soon as it is parsed, because a batch may hold
//! megabytes. Strings are slices of the line.

pub mod batch;
pub mod event;
pub mod reply;

/// The number of an instance on the wire.
pub type InstanceNumber = u32;
/// The number of a request on the wire.
pub type RequestId = u64;
