//! The program `ottersill`: a router on sockets, in one process with one thread. An event loop around the routing module,
//! which alone decides where a request goes.
//!
//! In reading order: [`command`] (the command line), [`lifecycle`] (configuration, start, main loop, reload, shutdown),
//! [`reactor`] and [`timers`] (what the parts see of the event loop), [`wire`] (the loop itself, client and backend
//! connections, PostgreSQL's protocol), [`memory`] (what those keep), [`discovery`] (endpoint lists), [`control`] (answers
//! to operators), [`counters`]. `docs/architecture.md` says who owns which state.

pub mod command;
pub mod control;
pub mod counters;
pub mod discovery;
pub mod lifecycle;
pub mod memory;
pub mod reactor;
pub mod timers;
pub mod wire;
