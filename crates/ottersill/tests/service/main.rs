//! Whole statements over loopback: the program itself between a client and a stand-in store.

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
