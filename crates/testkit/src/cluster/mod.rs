//! Many routers of the built program on one machine: each with its own files, a proxy on every way between two of them and
//! on every way to an endpoint, clients that send all the time, and faults: killed, paused, terminated, started again,
//! cut off.
//!
//! - [`ClusterPlan`]: how many routers, endpoints and budget units there are
//! - [`Cluster`]: starts the routers, brings about faults, tells what they hold
//! - [`RouterProcess`]: one router, its files and its process
//! - [`fault_schedule`]: schedules of faults, from a script or from a seed
//! - [`query`]: asks a router at its control address
//! - [`Answers`]: what clients were answered

mod control_client;
mod error;
pub mod fault_schedule;
mod files;
mod harness;
mod load;
mod network;
mod observation;
mod plan;
mod router_process;

use std::time::Duration;

pub use control_client::query;
pub use error::ClusterError;
pub use harness::Cluster;
pub(crate) use harness::unused_ip;
pub use load::Answers;
pub(crate) use load::{ANSWER_TIMEOUT, statement_text};
pub use plan::ClusterPlan;
pub use router_process::{DuplicateRouter, RouterProcess};
pub(crate) use router_process::{Launcher, RouterAddresses};

/// Longer than anything that a cluster is waited for may take.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);
