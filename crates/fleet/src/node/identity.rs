//! What a node is started with beside its settings.

use std::net::SocketAddr;

/// What a node is started with beside its settings.
pub struct MemberIdentity<'a> {
    /// From [`incarnation`](crate::settings::incarnation): different from that of each earlier process of this name, and
    /// larger unless the wall clock was stepped back.
    pub incarnation: u64,
    /// Where the others reach it.
    pub address: SocketAddr,
    /// Names and addresses of the voters.
    pub seeds: Vec<(String, SocketAddr)>,
    /// The contents of the key file.
    pub secret: &'a [u8],
    /// Of all random choices.
    pub seed: u64,
}
