//! PostgreSQL's wire protocol, and the non-blocking sockets that carry it.

pub mod frame;
pub mod socket;
pub mod socket_failure;
pub mod statement_text;
