//! A stand-in for the replicated store: endpoints that implement the subset of PostgreSQL's protocol that ottersill needs,
//! the discovery service that lists them, and a client. The implementation follows the public specifications. Each
//! connection has a thread of its own, and one thread accepts for all listeners; all endpoints share their data.
//!
//! - [`StandInStore`]: the endpoints and discovery, and control of their behaviour
//! - [`MembershipChange`]: which endpoints join and leave in one change of discovery's list
//! - [`Behaviour`]: how an endpoint handles the statements that it receives
//! - [`AnswerDelay`]: how long discovery takes for its answers
//! - [`Client`]: a session with a router
//! - [`message`]: encodes a message of the protocol

mod acceptor;
mod answer_delay;
mod behaviour;
mod client;
mod connection;
mod discovery;
pub(crate) mod endpoint_list;
mod membership;
pub(crate) mod pg_messages;
mod shared_state;
mod state;
mod store;

pub use answer_delay::AnswerDelay;
pub use behaviour::Behaviour;
pub use client::Client;
pub use membership::MembershipChange;
pub use pg_messages::message;
pub use state::Execution;
pub(crate) use store::DEFAULT_GROUP;
pub use store::StandInStore;
