//! PostgreSQL's wire protocol, and the non-blocking sockets that carry it.

#[allow(clippy::cast_possible_truncation, reason = "a message is shorter than its length field can say")]
pub mod frame;
pub mod socket;
pub mod socket_failure;
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times are bounded by those of the settings"
)]
pub mod statement_text;
