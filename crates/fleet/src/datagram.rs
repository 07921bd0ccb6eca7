//! What goes over the network.

use std::net::SocketAddr;

/// Longer ones are not sent, and not read.
pub const MAX_DATAGRAM_BYTES: usize = 8192;

/// A datagram to be sent. Where the member's address was not given to this one, it is the one that it told.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    pub to: String,
    pub advertised_address: Option<SocketAddr>,
    pub bytes: Vec<u8>,
}
