//! record.txt: what was sent, answered and run, one line an event, in seconds since the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::Mutex;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).unwrap_or_else(|e| crate::cannot_run(&format!("{path}: {e}")));
        Record { started: Instant::now(), file: Mutex::new(BufWriter::new(file)) }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{:9.4} {text}", self.now());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        let _ = writeln!(std::io::stdout(), "{text}");
        self.line(text);
        let _ = self.file.lock().unwrap().flush();
    }
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}
