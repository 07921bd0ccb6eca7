//! Runs ottersill's routing in the operators' simulator. The simulator runs any number of routers ("instances") in one
//! adapter process. It writes one batch of events per line to the adapter's standard input, and reads one reply per
//! line, with the routers' actions, from its standard output. This crate only translates between that JSON protocol
//! ("the wire") and the router; it makes no routing decisions. Instances share nothing except the numbered endpoint
//! lists, which the wire declares for the whole process.
//!
//! Modules in reading order; each uses only those before it:
//!
//! 1. [`wire`]: the types of events and actions, parsing of batches and writing of replies.
//! 2. [`error`]: the errors of events, batches and streams.
//! 3. [`instance`]: one router, with the mapping between names on the wire and indices of routing.
//! 4. [`session`]: all instances of the process. It turns a batch into a reply.
//! 5. [`stdio`]: the loop over standard input and output.

#![warn(clippy::cast_possible_truncation, clippy::cast_precision_loss, clippy::cast_sign_loss)]
#![warn(clippy::shadow_unrelated)]

pub mod error;
pub mod instance;
pub mod session;
pub mod stdio;
pub mod wire;
