//! Places threads and processes on cores: the routers get the first cores, everything else the others.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};

use rustix::thread::{CpuSet, sched_setaffinity};

use super::FloodError;

fn place(cores: impl Iterator<Item = usize>) -> Result<(), FloodError> {
    let mut set = CpuSet::new();
    cores.for_each(|core| set.set(core));
    sched_setaffinity(None, &set).map_err(|errno| FloodError::Affinity(errno.into()))
}

/// Places the calling thread, and those that it starts from now on, on that core.
pub(super) fn use_core(core: usize) -> Result<(), FloodError> {
    place(std::iter::once(core))
}

/// Places the calling thread, and those that it starts from now on, on all cores but the first `reserved`.
pub(super) fn use_other_cores(reserved: usize) -> Result<(), FloodError> {
    place(reserved..CpuSet::MAX_CPU)
}

/// Threads that keep cores busy until they are dropped.
pub(super) struct Competitors {
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Competitors {
    /// Starts that many threads on each of the first `cores` cores.
    pub(super) fn start(cores: usize, per_core: usize) -> Competitors {
        let stopped = Arc::new(AtomicBool::new(false));
        let run = |core: usize| {
            let stopped = Arc::clone(&stopped);
            thread::spawn(move || {
                if use_core(core).is_ok() {
                    while !stopped.load(Ordering::Relaxed) {
                        std::hint::spin_loop();
                    }
                }
            })
        };
        let threads = (0..cores * per_core).map(|index| run(index % cores)).collect();
        Competitors { stopped, threads }
    }
}

impl Drop for Competitors {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}
