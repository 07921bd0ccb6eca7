//! The decisions of ottersill, without I/O: [`Router`] decides, a [`Front`](interface::Front) carries out.

mod clock;
pub mod facade;
mod ids;
pub mod interface;
mod retry;
mod router;
mod sampling;
mod state;
mod stats;

pub use router::Router;
