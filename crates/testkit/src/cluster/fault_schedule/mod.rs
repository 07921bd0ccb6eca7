//! Schedules of faults, parsed from a script or drawn from a seed.
//!
//! - [`Step`], [`Fault`]: a fault and its time
//! - [`parse_script`]: parses a script
//! - [`Cluster::play`](super::Cluster::play), [`Cluster::run_random_faults`](super::Cluster::run_random_faults): run a schedule

mod play;
mod random;
mod script;

use crate::fault_proxy::LinkFaults;

pub use script::{ScriptError, StepError, parse_script};

/// One statement in this many is a write, in load that a script starts.
const WRITE_EVERY: u64 = 8;

/// One step of a script.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Time of the step, in seconds from the start of the script.
    pub at: f64,
    /// Fault that the step injects.
    pub fault: Fault,
}

/// The action of a step. Routers are identified by their index.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Starts a router, unless it is running.
    Start(usize),
    /// Kills a router with SIGKILL.
    Kill(usize),
    /// Suspends a router with SIGSTOP; `None` selects the leader.
    Pause(Option<usize>),
    /// Resumes a router with SIGCONT.
    Resume(usize),
    /// Terminates a router with SIGTERM and waits for its exit.
    Terminate(usize),
    /// Has a router reload its files, with SIGHUP.
    Reload(usize),
    /// Cuts all links between different sides; a router that is on no side is a side of its own.
    Partition(Vec<Vec<usize>>),
    /// Cuts the link from the first router to the second.
    Cut(usize, usize),
    /// Sets the faults of all links between routers.
    Links(LinkFaults),
    /// Removes the faults of all links between routers.
    Heal,
    /// Restarts the load with these numbers of clients, one for each router.
    Load(Vec<usize>),
}
