//! The decisions of ottersill, without I/O: [`Router`] decides, a [`Front`](interface::Front) carries out.

mod decide;
pub mod facade;
pub mod interface;
mod state;

pub use decide::Router;
