//! The decisions of ottersill, without I/O: [`Router`] decides, a [`Front`](interface::Front) carries out.

mod clock;
mod dispatch;
mod eligibility;
pub mod facade;
mod feedback;
mod ids;
pub mod interface;
mod monitoring;
mod retry;
mod router;
mod sampling;
mod selection;
mod state;
mod stats;

pub use router::Router;
