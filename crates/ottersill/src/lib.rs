//! The program `ottersill`: a router on sockets, in one process with one thread. An event loop around the routing module,
//! which alone decides where a request goes.
//!
//! In reading order: [`command`] (the command line), [`lifecycle`] (configuration, start, main loop, reload, shutdown),
//! [`reactor`] and [`timers`] (what the parts see of the event loop), [`wire`] (the loop itself, client and backend
//! connections, PostgreSQL's protocol), [`memory`] (what those keep), [`discovery`] (endpoint lists), [`control`] (answers
//! to operators), [`counters`]. `docs/architecture.md` says who owns which state.

// The connections and the event loop are being split; what they need for these lints comes with that.
#![allow(
    missing_docs,
    clippy::needless_pass_by_value,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines,
    reason = "the modules `wire` and `memory` are being split"
)]

pub mod command;
pub mod control;
pub mod counters;
pub mod discovery;
pub mod lifecycle;
pub mod memory;
pub mod reactor;
pub mod timers;
pub mod wire;
