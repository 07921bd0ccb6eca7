//! Schedules of faults: read from a script, or drawn from a seed.
//!
//! - [`Step`], [`Fault`]: what happens when
//! - [`parse_script`]: reads a script
//! - [`Cluster::play`](super::Cluster::play), [`Cluster::run_random_faults`](super::Cluster::run_random_faults)

mod play;
mod random;
mod script;

use crate::fault_proxy::LinkFaults;

pub use script::{ScriptError, StepError, parse_script};

/// One clients' statement in so many is a write, where a script starts load.
const WRITE_EVERY: u64 = 8;

/// One step of a script.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When, in seconds from the start of the script.
    pub at: f64,
    /// What happens.
    pub fault: Fault,
}

/// What a step does. Routers are named by their index.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Starts a router, unless it runs.
    Start(usize),
    /// SIGKILL.
    Kill(usize),
    /// SIGSTOP; without a router, to the leader.
    Pause(Option<usize>),
    /// SIGCONT.
    Resume(usize),
    /// SIGTERM, and wait for the end.
    Terminate(usize),
    /// SIGHUP.
    Reload(usize),
    /// Nothing passes between the sides; a router that is in none is one of its own.
    Partition(Vec<Vec<usize>>),
    /// Nothing passes from the one to the other.
    Cut(usize, usize),
    /// What happens on all ways between routers.
    Links(LinkFaults),
    /// All ways between routers are mended.
    Heal,
    /// Numbers of clients of each router.
    Load(Vec<usize>),
}
