//! The router of ottersill on sockets: one program, one thread, one loop around the decision module.

pub mod command;
pub mod control;
pub mod counters;
pub mod discovery;
pub mod lifecycle;
pub mod memory;
pub mod reactor;
pub mod timers;
pub mod wire;
