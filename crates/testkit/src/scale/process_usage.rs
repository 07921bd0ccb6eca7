//! What a process uses, as the kernel tells it under `/proc`.

use std::fs;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Between two counts of descriptors.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// The line of `status` that has the peak of the resident memory.
const PEAK_MEMORY: &str = "VmHWM:";
const BYTES_PER_KB: u64 = 1024;

/// One process, by its folder under `/proc`.
pub(super) struct ProcessUsage {
    folder: PathBuf,
}

impl ProcessUsage {
    /// That of the process with this id.
    pub(super) fn of(process: u32) -> ProcessUsage {
        ProcessUsage { folder: PathBuf::from(format!("/proc/{process}")) }
    }

    /// The most resident memory that it ever had, in bytes.
    pub(super) fn peak_memory(&self) -> io::Result<u64> {
        let status = fs::read_to_string(self.folder.join("status"))?;
        let line = status.lines().find_map(|line| line.strip_prefix(PEAK_MEMORY));
        let kilobytes = line.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.map(|kilobytes| kilobytes * BYTES_PER_KB).ok_or(io::ErrorKind::InvalidData.into())
    }

    /// Counts its open descriptors again and again until `stopped`, and returns the highest count.
    pub(super) fn peak_descriptors(&self, stopped: &AtomicBool) -> io::Result<usize> {
        let mut peak = 0;
        while !stopped.load(Ordering::Relaxed) {
            peak = peak.max(fs::read_dir(self.folder.join("fd"))?.count());
            thread::sleep(SAMPLE_INTERVAL);
        }
        Ok(peak)
    }
}
