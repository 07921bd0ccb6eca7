//! A stand-in for the replicated store: endpoints that speak as much of PostgreSQL's protocol as ottersill needs, the
//! discovery service that lists them, and a client. Written from the public specifications. One thread a connection, one
//! for all listeners; all endpoints share their data.
//!
//! - [`StandInStore`]: endpoints and discovery, and how they behave
//! - [`MembershipChange`]: which endpoints leave and join in one change of discovery's list
//! - [`Behaviour`]: what an endpoint does with the statements that it receives
//! - [`Client`]: one session with a router
//! - [`message`]: how a message is framed

mod acceptor;
mod behaviour;
mod client;
mod database;
mod discovery;
pub(crate) mod endpoint_list;
mod membership;
pub(crate) mod pg_messages;
mod shared_state;
mod state;
mod store;

pub use behaviour::Behaviour;
pub use client::Client;
pub use membership::MembershipChange;
pub use pg_messages::message;
pub use state::Execution;
pub(crate) use store::DEFAULT_GROUP;
pub use store::StandInStore;
