//! System calls of a router that fail on schedule, by the library of `crates/syscall-faults`.

use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Faults for one router; none occurs before `arm`.
pub struct Faults {
    pub schedule: String,
    /// Exists while faults occur, and names those that did.
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
        let test = std::env::current_exe().expect("this test's path");
        let library = test.with_file_name("libsyscall_faults.so");
        assert!(library.exists(), "{}", library.display());
        [
            ("LD_PRELOAD", library.display().to_string()),
            ("SYSCALL_FAULTS", self.schedule.clone()),
            ("SYSCALL_FAULTS_ARMED", self.armed.display().to_string()),
        ]
    }

    pub fn arm(&self) {
        std::fs::write(&self.armed, "").expect("a file");
    }

    /// The faults that have occurred, as `accept4 EPROTO` or `recv@client ETIMEDOUT`.
    pub fn occurred(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.armed).unwrap_or_default();
        text.lines().map(str::to_string).collect()
    }

    pub fn disarm(&self) -> Vec<String> {
        let occurred = self.occurred();
        // It may be gone already.
        let _ = std::fs::remove_file(&self.armed);
        occurred
    }
}

impl Drop for Faults {
    fn drop(&mut self) {
        self.disarm();
    }
}
