//! Start parameters of a node that are not part of its settings.

use std::net::SocketAddr;

use crate::settings::Peer;

/// Start parameters of a node that are not part of its settings.
pub struct MemberIdentity<'a> {
    /// The incarnation from [`incarnation`](crate::settings::incarnation). It differs from those of all earlier processes
    /// of this name, and is larger unless the wall clock was stepped back.
    pub incarnation: u64,
    /// Address at which the other members reach this node.
    pub address: SocketAddr,
    /// The voters and their addresses.
    pub seeds: Vec<Peer>,
    /// The contents of the key file.
    pub secret: &'a [u8],
    /// Seed of all random choices.
    pub seed: u64,
}
