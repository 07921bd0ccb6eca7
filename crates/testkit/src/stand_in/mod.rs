//! A stand-in for the replicated store: endpoints that speak as much of PostgreSQL's protocol as ottersill needs, the
//! discovery service that lists them, and a client. Written from the public specifications. One thread a connection;
//! all endpoints share their data.
//!
//! - [`StandInStore`]: endpoints and discovery, and how they behave
//! - [`Behaviour`]: what an endpoint does with the statements that it receives
//! - [`Client`]: one session with a router
//! - [`message`]: how a message is framed

mod behaviour;
mod client;
mod database;
mod discovery;
pub(crate) mod endpoint_list;
pub(crate) mod pg_messages;
mod state;
mod store;

pub use behaviour::Behaviour;
pub use client::Client;
pub use pg_messages::message;
pub use state::Execution;
pub use store::StandInStore;
