//! Resource usage of a process, as the kernel reports it in `/proc`.

use std::fs;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Interval between two counts of the open descriptors.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Prefix of the line in `status` that contains the peak resident memory.
const PEAK_MEMORY_PREFIX: &str = "VmHWM:";
const BYTES_PER_KB: u64 = 1024;

/// Reads the resource usage of one process from its folder in `/proc`.
pub(crate) struct ProcessUsage {
    folder: PathBuf,
}

impl ProcessUsage {
    /// Returns a reader for the process with this id.
    pub(crate) fn of(process: u32) -> ProcessUsage {
        ProcessUsage { folder: PathBuf::from(format!("/proc/{process}")) }
    }

    /// Returns the peak resident memory, in bytes.
    pub(crate) fn peak_memory(&self) -> io::Result<u64> {
        let status = fs::read_to_string(self.folder.join("status"))?;
        let line = status.lines().find_map(|line| line.strip_prefix(PEAK_MEMORY_PREFIX));
        let kilobytes = line.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.map(|kilobytes| kilobytes * BYTES_PER_KB).ok_or(io::ErrorKind::InvalidData.into())
    }

    /// Samples the number of open descriptors until `stopped` is set, and returns the highest.
    pub(crate) fn peak_descriptors(&self, stopped: &AtomicBool) -> io::Result<usize> {
        let mut peak = 0;
        while !stopped.load(Ordering::Relaxed) {
            peak = peak.max(fs::read_dir(self.folder.join("fd"))?.count());
            thread::sleep(SAMPLE_INTERVAL);
        }
        Ok(peak)
    }
}
