//! The cluster harness: runs many router processes on one machine, each with its own files. Proxies connect the routers with
//! each other and with the endpoints, and clients send statements continuously. Faults kill, suspend, terminate, restart and
//! cut off routers.
//!
//! - [`ClusterPlan`]: the number of routers and endpoints, the budgets and other parameters
//! - [`Cluster`]: starts the routers, injects faults, and observes the routers
//! - [`RouterProcess`]: the files and the process of one router
//! - [`fault_schedule`]: fault schedules from a script or from a seed
//! - [`query`]: queries a router at its control address
//! - [`Answers`]: counts of the answers to clients

mod control_client;
mod diagnostics;
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

/// Timeout of all waits for a cluster or one of its routers; longer than any awaited event may take.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
