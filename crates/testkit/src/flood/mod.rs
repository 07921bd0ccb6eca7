//! Measures what usual clients of a router wait while other clients flood it: with small messages, sound or not, at full speed, or
//! with connections that never become usual. A benchmark: it prints a table and judges nothing.
//!
//! - [`FloodInput`]: what a flooding client sends
//! - [`Flood`]: flooding clients that run until they are stopped
//! - [`FloodPlan`]: the number of clients and routers of one run, and the part of a core that a router gets
//! - [`FloodMeasurement`]: the results of one run

mod affinity;
mod error;
mod flooder;
mod input;
mod measurement;
mod plan;
mod routers;
mod usual_load;

pub use error::FloodError;
pub use flooder::Flood;
pub use input::FloodInput;
pub use measurement::FloodMeasurement;
pub use plan::FloodPlan;
