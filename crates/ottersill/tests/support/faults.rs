//! Injects failures into the system calls of a router on a schedule, with the library of `crates/syscall-faults`.

use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The fault schedule of one router. No fault occurs before `arm`.
pub struct Faults {
    pub schedule: String,
    /// File that exists while faults are armed. The library appends the faults that have occurred to it.
    pub armed: PathBuf,
}

impl Faults {
    pub fn new(schedule: String) -> Faults {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let armed = std::env::temp_dir().join(format!("faults-{}-{number}", std::process::id()));
        Faults { schedule, armed }
    }

    pub fn environment(&self) -> [(&'static str, String); 3] {
        let test = std::env::current_exe().expect("path of the test binary is unknown");
        let library = test.with_file_name("libsyscall_faults.so");
        assert!(library.exists(), "missing library: {}", library.display());
        [
            ("LD_PRELOAD", library.display().to_string()),
            ("SYSCALL_FAULTS", self.schedule.clone()),
            ("SYSCALL_FAULTS_ARMED", self.armed.display().to_string()),
        ]
    }

    pub fn arm(&self) {
        std::fs::write(&self.armed, "").expect("file that arms the faults could not be written");
    }

    /// Returns the faults that have occurred, such as `accept4 EPROTO` or `recv@client ETIMEDOUT`.
    pub fn occurred(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.armed).unwrap_or_default();
        text.lines().map(str::to_string).collect()
    }

    pub fn disarm(&self) -> Vec<String> {
        let occurred = self.occurred();
        // The file may have been removed already.
        let _ = std::fs::remove_file(&self.armed);
        occurred
    }
}

impl Drop for Faults {
    fn drop(&mut self) {
        self.disarm();
    }
}
