//! What a node is started with beside its settings.

use std::net::SocketAddr;

use crate::settings::Peer;

/// What a node is started with beside its settings.
pub struct MemberIdentity<'a> {
    /// From [`incarnation`](crate::settings::incarnation): different from that of each earlier process of this name, and
    /// larger unless the wall clock was stepped back.
    pub incarnation: u64,
    /// Where the others reach it.
    pub address: SocketAddr,
    /// The voters.
    pub seeds: Vec<Peer>,
    /// The contents of the key file.
    pub secret: &'a [u8],
    /// Of all random choices.
    pub seed: u64,
}
