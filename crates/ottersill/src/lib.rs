//! The program `ottersill`: a router on sockets, in one process with one thread. An event loop around the routing module,
//! which alone decides where a request goes.
//!
//! In reading order: [`command`] (the command line), [`lifecycle`] (configuration, start, main loop, reload, shutdown),
//! [`event_loop`] (hands each event to the part that owns it), [`reactor`], [`timers`] and [`clock`] (what the parts see of
//! the loop), [`client`] (client connections), [`statement_checker`] (what a client may ask), [`in_flight`] (the requests between them and the endpoints), [`backend`]
//! (connections to endpoints), [`protocol`] (PostgreSQL's wire protocol, sockets), [`discovery`] (endpoint lists),
//! [`fleet_link`] (the other routers), [`control`] (answers to operators), [`counters`]. `docs/architecture.md` says who
//! owns which state.

#![warn(missing_docs)]
#![warn(clippy::cast_possible_truncation, clippy::cast_precision_loss, clippy::cast_sign_loss)]

pub mod backend;
pub mod client;
pub mod clock;
pub mod command;
pub mod control;
pub mod counters;
pub mod discovery;
pub mod event_loop;
pub mod fleet_link;
pub mod in_flight;
pub mod lifecycle;
pub mod protocol;
pub mod reactor;
pub mod statement_checker;
pub mod timers;
