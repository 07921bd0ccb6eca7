//! What is spoken on the wire: PostgreSQL's protocol to clients and hosts, discovery's HTTP, the sockets.

pub mod client_close;
pub mod client_side;
pub mod exchange;
pub mod fleet_side;
pub mod frame;
pub mod host_side;
pub mod reply;
pub mod socket;
pub mod socket_failure;
pub mod statement;
