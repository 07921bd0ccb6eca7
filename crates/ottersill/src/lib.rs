//! The program `ottersill`: a router for PostgreSQL clients, in one process with one thread. It is an event loop around the
//! routing module, which makes all decisions about where a request is sent.
//!
//! In reading order: [`command`] (the command line), [`lifecycle`] (configuration, start, main loop, reload, shutdown),
//! [`event_loop`] (dispatches each event to the component that owns it), [`reactor`], [`timers`] and [`clock`] (the event loop's
//! interface for the components), [`client`] (client connections), [`statement_checker`] (checks and classifies statements),
//! [`in_flight`] (requests in flight), [`backend`] (connections to endpoints), [`protocol`] (PostgreSQL messages, sockets),
//! [`discovery`] (endpoint lists), [`fleet_link`] (communication with the other routers), [`control`] (answers to operators),
//! [`work_meter`], [`loop_statistics`], [`counters`] and [`log_throttle`] (what operators see). `docs/architecture.md` describes which component owns which state.

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
pub mod log_throttle;
pub mod loop_statistics;
pub mod protocol;
pub mod reactor;
pub mod statement_checker;
pub mod timers;
pub mod work_meter;
