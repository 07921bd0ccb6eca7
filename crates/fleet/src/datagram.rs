//! The datagrams exchanged between members.

use std::net::SocketAddr;

/// Size of the largest datagram, in bytes. Larger ones are neither sent nor read.
pub const MAX_DATAGRAM_BYTES: usize = 8192;

/// A datagram that is to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    /// The name of the receiving member.
    pub to: String,
    /// The address that the receiving member advertises for itself, for senders whose settings contain no address for it.
    pub advertised_address: Option<SocketAddr>,
    /// The bytes, sealed by an [`Authenticator`](crate::authenticator::Authenticator).
    pub bytes: Vec<u8>,
}
