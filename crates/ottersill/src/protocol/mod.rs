//! PostgreSQL's wire protocol, and the non-blocking sockets that carry it.

#[allow(clippy::cast_possible_truncation, reason = "message lengths fit into the 32-bit length field")]
pub mod frame;
pub mod read_buffer;
pub mod receive;
pub mod socket;
pub mod socket_failure;
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times are bounded by the settings"
)]
pub mod statement_text;
