//! Test support for ottersill, which uses the loopback interface only: a stand-in for the replicated store and its discovery
//! service, peers that a test scripts step by step, proxies that inject network faults, a harness that runs a cluster of
//! router processes under faults, and the audit of the files that these routers write. It tests the built program from the
//! outside and does not depend on how routing makes its decisions.
//!
//! Modules in reading order:
//!
//! - [`stand_in`]: endpoints that implement PostgreSQL's protocol, their discovery service, and a client
//! - [`scripted_peer`]: an endpoint and a discovery service to which a test gives each answer
//! - [`fault_proxy`]: proxies for datagrams and connections that inject faults
//! - [`cluster`]: router processes with proxies between them, load, and fault schedules
//! - [`scale`]: compares a router in a small deployment with one in a large deployment
//! - [`flood`]: measures what usual clients wait while others flood a router
//! - [`audit`]: checks the routers' audit files against the budgets
//! - [`command`]: the command line
#![warn(clippy::cast_possible_truncation, clippy::cast_precision_loss, clippy::cast_sign_loss)]
#![warn(clippy::shadow_unrelated)]

pub mod audit;
mod clock;
pub mod cluster;
pub mod command;
mod convert;
pub mod fault_proxy;
pub mod flood;
mod process_usage;
pub mod scale;
pub mod scripted_peer;
pub mod stand_in;
mod sync;
