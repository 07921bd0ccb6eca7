//! The link to the other routers of the fleet: datagrams, quota leases, the audit file.

pub mod audit_file;
pub mod error;
pub mod handlers;
pub mod link;
pub mod quota;
