//! Compares the resource usage of one router in a large deployment with that in a small one under the same load. A
//! deployment is a stand-in store with up to thousands of endpoints, each at its own loopback address, a change of
//! discovery's endpoint list every second, and open-loop clients.
//!
//! - [`ScalePlan`]: the number of endpoints, the load and the changes of one run
//! - [`Measurement`]: the results of one run
//! - [`Quantity`]: a quantity that is compared, and its bound
//! - [`Comparison`]: the table with a bound and a verdict in each row

mod discovery;
mod endpoints;
mod error;
mod growth;
mod load;
mod measurement;
mod plan;
mod report;
mod router;

pub use error::ScaleError;
pub use growth::{Growth, Quantity};
pub use measurement::Measurement;
pub use plan::ScalePlan;
pub use report::{Comparison, Row};
