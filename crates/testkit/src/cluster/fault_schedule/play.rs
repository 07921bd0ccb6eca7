//! Plays a schedule of faults on a cluster.

use std::thread;
use std::time::{Duration, Instant};

use crate::cluster::{Cluster, ClusterError};
use crate::fault_proxy::LinkFaults;

use super::{Fault, Step, WRITE_EVERY};

impl Cluster {
    /// Plays a schedule to its end, each step at its time.
    pub fn play(&mut self, steps: &[Step]) -> Result<(), ClusterError> {
        let since = Instant::now();
        for Step { at, fault } in steps {
            thread::sleep(Duration::from_secs_f64(*at).saturating_sub(since.elapsed()));
            self.bring_about(fault)?;
        }
        Ok(())
    }

    fn bring_about(&mut self, fault: &Fault) -> Result<(), ClusterError> {
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

    /// Pauses the leader, if there is one.
    pub(super) fn pause_leader(&mut self) {
        if let Some(leader) = self.leader() {
            self.pause(leader);
        }
    }
}

/// The number of the side that a router is on; one of its own if it is in none.
fn side_of(sides: &[Vec<usize>], router: usize) -> usize {
    let named = sides.iter().position(|side| side.contains(&router));
    named.unwrap_or(sides.len() + router)
}
