//! Runs ottersill's routing on the wire of the operators' simulator. The simulator hosts any number of routers in one
//! process: it writes a batch of events a line to standard input, and reads a reply with the routers' actions a line
//! from standard output. This crate translates; it decides nothing. Instances share nothing but the numbered endpoint
//! lists that the wire declares for the whole process.
//!
//! Modules in reading order; each uses only those before it:
//!
//! 1. [`wire`]: the forms of events and actions, reading a batch, writing a reply.
//! 2. [`error`]: what can be wrong with an event, a batch or the streams.
//! 3. [`instance`]: one router with the names that the wire has for its indices.
//! 4. [`session`]: all instances of the process; a batch in, a reply out.
//! 5. [`stdio`]: the loop over standard input and output.

#![warn(clippy::cast_possible_truncation, clippy::cast_precision_loss, clippy::cast_sign_loss)]
#![warn(clippy::shadow_unrelated)]

pub mod error;
pub mod instance;
pub mod session;
pub mod stdio;
pub mod wire;
