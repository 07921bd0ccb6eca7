//! Proxies that inject network faults between processes.
//!
//! - [`DatagramProxy`] forwards datagrams one way, with [`LinkFaults`]
//! - [`StreamProxy`] forwards connections, with [`StreamFaults`]

mod datagram;
mod stream;

pub use datagram::{DatagramProxy, LinkFaults};
pub use stream::{StreamFaults, StreamProxy};
