//! The testkit: a stand-in store with its discovery, relays between processes that lose and delay what passes, rigs of
//! many router processes with faults from a seed, and the audit of what they wrote down. On loopback only.

pub mod audit;
pub mod cluster;
pub mod fault_proxy;
pub mod scripted_peer;
pub mod stand_in;
