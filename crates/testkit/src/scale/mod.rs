//! What one router of the built program needs in a large deployment, compared with a small one under the same traffic: a
//! stand-in store of thousands of endpoints, each at a loopback address of its own, a change of discovery's list each
//! second, and clients in an open loop.
//!
//! - [`ScalePlan`]: how many endpoints there are, and what is done to the router
//! - [`Measurement`]: what one run came to
//! - [`Quantity`]: what is compared, and how far it may grow
//! - [`Comparison`]: the table, with a bound and a verdict for each row

mod discovery;
mod error;
mod growth;
mod hosts;
mod load;
mod measurement;
mod plan;
mod process_usage;
mod report;
mod router;

pub use error::ScaleError;
pub use growth::{Growth, Quantity};
pub use measurement::Measurement;
pub use plan::ScalePlan;
pub use report::{Comparison, Row};
