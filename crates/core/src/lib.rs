//! The decisions of ottersill, without I/O: [`Router`] decides, a [`Front`](interface::Front) carries out.

pub mod facade;
pub mod interface;
mod router;
mod state;

pub use router::Router;
