//! Runs a schedule of faults on a cluster.

use std::thread;
use std::time::{Duration, Instant};

use crate::cluster::{Cluster, ClusterError};
use crate::fault_proxy::LinkFaults;

use super::{Fault, Step, WRITE_EVERY};

impl Cluster {
    /// Runs a schedule to its end, with each step at its time.
    pub fn play(&mut self, steps: &[Step]) -> Result<(), ClusterError> {
        let since = Instant::now();
        for Step { at, fault } in steps {
            thread::sleep(Duration::from_secs_f64(*at).saturating_sub(since.elapsed()));
            self.inject(fault)?;
        }
        Ok(())
    }

    fn inject(&mut self, fault: &Fault) -> Result<(), ClusterError> {
        match fault {
            Fault::Start(router) => self.start(*router)?,
            Fault::Kill(router) => self.kill(*router),
            Fault::Pause(Some(router)) => self.pause(*router),
            Fault::Pause(None) => self.pause_leader(),
            Fault::Resume(router) => self.resume(*router),
            Fault::Terminate(router) => drop(self.terminate(*router)),
            Fault::Reload(router) => self.reload(*router),
            Fault::Partition(sides) => self.partition(|router| side_of(sides, router), false),
            Fault::Cut(from, to) => self.change_link(*from, *to, |faults| faults.cut = true),
            Fault::Links(faults) => self.set_all_links(*faults),
            Fault::Heal => self.set_all_links(LinkFaults::default()),
            Fault::Load(clients) => self.start_load_at(clients, WRITE_EVERY),
        }
        Ok(())
    }

    /// Suspends the leader, if there is one.
    pub(super) fn pause_leader(&mut self) {
        if let Some(leader) = self.leader() {
            self.pause(leader);
        }
    }
}

/// Returns the index of the side of a router; a router that is on no side gets an index of its own.
fn side_of(sides: &[Vec<usize>], router: usize) -> usize {
    let listed = sides.iter().position(|side| side.contains(&router));
    listed.unwrap_or(sides.len() + router)
}
