//! What goes over the network.

use std::net::SocketAddr;

/// Bytes of the longest datagram. Longer ones are neither sent nor read.
pub const MAX_DATAGRAM_BYTES: usize = 8192;

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    /// The name of the member that it is for.
    pub to: String,
    /// The address that this member gave for itself, for senders whose settings do not name one.
    pub advertised_address: Option<SocketAddr>,
    /// The bytes, sealed by an [`Authenticator`](crate::authenticator::Authenticator).
    pub bytes: Vec<u8>,
}
