//! Test equipment for ottersill, on loopback only: a stand-in for the replicated store and its discovery service, peers
//! that a test scripts step by step, proxies that inject network faults, a harness that runs a cluster of router
//! processes under faults, and the audit of what these routers wrote down. It drives the built program from outside and
//! does not know how routing decides.
//!
//! Modules in reading order:
//!
//! - [`stand_in`]: endpoints that speak PostgreSQL's protocol, their discovery, and a client
//! - [`scripted_peer`]: an endpoint and a discovery whose answers a test gives by hand
//! - [`fault_proxy`]: forwards datagrams and connections, with faults
//! - [`cluster`]: many router processes with proxies between them, load, and fault schedules
//! - [`scale`]: one router in a small and in a large deployment, compared
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
pub mod scale;
pub mod scripted_peer;
pub mod stand_in;
mod sync;
