//! End-to-end tests over loopback: the router process between clients and a stand-in store.

mod classification;
mod client_protocol;
mod connection_limits;
mod discovery;
mod explain;
mod fixture;
mod lifecycle;
mod statements_and_failures;
#[path = "../support/mod.rs"]
mod support;
